package node

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	neighbourPartitions = 4
	neighbourEndpoints  = 30 // of a partition, each with room for two tasks
	taskTime            = 170 * time.Millisecond
	reportInterval      = 100 * time.Millisecond // of loads, as on the relay
)

// neighbour is a partition of a zone that takes jobs of an evacuated zone, without a network.
type neighbour struct {
	pool     *pool.Pool
	reported relay.Load // last report
	running  map[*pool.Run]time.Duration
}

func newNeighbour(name string) *neighbour {
	n := &neighbour{pool: pool.New(attempt.NewHistory()), running: map[*pool.Run]time.Duration{}}
	for i := range neighbourEndpoints {
		id := work.EndpointID(fmt.Sprint(name, i))
		n.pool.Update(work.Endpoint{ID: id, Service: "survey", Size: work.Size{MilliCPU: 64000, MemoryMB: 1000}})
		n.pool.SetUsable(id, true)
	}
	return n
}

// submit offers a job of two tasks and returns whether it was taken.
func (n *neighbour) submit(id string, now time.Duration) bool {
	v, _ := n.pool.Submit(neighbourJob(id), now, now, 0)
	return v.Accepted()
}

func neighbourJob(id string) *work.Job {
	return &work.Job{
		ID: work.JobID(id), Queue: "q", Service: "survey", Objective: work.Objective{Stretch: 1.6, Extra: 60 * time.Millisecond, Attempts: 2},
		Steps: []work.Step{{Count: 2, Size: work.Size{MilliCPU: 32000, MemoryMB: 1}, Estimate: taskTime}},
	}
}

// advance ends the runs that are over and starts others.
func (n *neighbour) advance(now time.Duration) {
	for r, end := range n.running {
		if now >= end {
			delete(n.running, r)
			n.pool.RunEnded(attempt.Process{Endpoint: r.Endpoint}, work.End{Task: r.Task, Run: r.Number, Reason: work.EndSucceeded}, now)
		}
	}
	for _, r := range n.pool.Next(now) {
		n.pool.RunSent(r, now)
		n.pool.RunStarted(r)
		n.running[r] = now + taskTime
	}
}

// neighbours are the zones that serve an evacuated one.
type neighbours map[string][]*neighbour

func newNeighbours() neighbours {
	all := neighbours{}
	for _, zone := range []string{"south", "west"} {
		for part := range neighbourPartitions {
			all[zone] = append(all[zone], newNeighbour(fmt.Sprint(zone, part)))
		}
	}
	return all
}

// advance moves the time on and returns the loads as last reported. The partitions report by turns.
func (all neighbours) advance(now time.Duration) []zoneLoad {
	var loads []zoneLoad
	for _, zone := range []string{"south", "west"} {
		l := zoneLoad{zone: zone}
		for part, n := range all[zone] {
			n.advance(now)
			if (now+time.Duration(part)*17*time.Millisecond)%reportInterval == 0 {
				n.reported = relay.NewLoad(part, n.pool.Pressure(), 1, n.pool.Headroom())
			}
			l.loads = append(l.loads, n.reported)
		}
		loads = append(loads, l)
	}
	return loads
}

// place offers a job to targets in turn. It returns the number of tries and whether the job was taken.
func (all neighbours) place(id string, targets []gateway.Target, now time.Duration) (tries int, taken bool) {
	for _, t := range targets {
		tries++
		if all[t.Zone][t.Partition].submit(id, now) {
			return tries, true
		}
	}
	return tries, false
}

// imbalance returns the difference between the greatest and the least pressure.
func (all neighbours) imbalance() int {
	var pressures []int
	for _, parts := range all {
		for _, n := range parts {
			pressures = append(pressures, n.pool.Pressure())
		}
	}
	return slices.Max(pressures) - slices.Min(pressures)
}

// outcome is what a replay has shown.
type outcome struct {
	imbalance float64 // mean difference between the greatest and the least pressure of a partition, in percent
	tries     float64 // messages for each job of the evacuated zone
	refused   float64 // share of these jobs
}

// ownTargets returns the dispatchers to which an instance of a zone offers the job of its own caller.
func ownTargets(id string, own zoneLoad, others []zoneLoad) []gateway.Target {
	d := demandOf(neighbourJob(id))
	return append(immediateTargets(d, own), waitingTargets(d, own, others, rand.Float64)...)
}

// replayEvacuation lets two zones serve their own callers, who take 57% of them, and from the first second on those of an evacuated zone, who take the
// rest. The evacuated zone's jobs are offered in the order that elsewhere gives.
func replayEvacuation(elsewhere func(id work.JobID, others []zoneLoad) []gateway.Target) outcome {
	const step, evacuatedAt, length = time.Millisecond, time.Second, 5 * time.Second
	all := newNeighbours()
	steps, jobs, tries, refused, imbalance := 0, 0, 0, 0, 0
	for now := time.Duration(0); now < length; now += step {
		loads := all.advance(now)
		for i, own := range loads {
			if now%(5*step) < 2*step { // 0.4 jobs each millisecond
				id := fmt.Sprint(own.zone, now)
				all.place(id, ownTargets(id, own, loads[1-i:2-i]), now)
			}
		}
		if now < evacuatedAt {
			continue
		}
		steps++
		imbalance += all.imbalance()
		if now%(5*step) < 3*step { // 0.6 jobs each millisecond
			id := fmt.Sprintf("%016x", now)
			n, taken := all.place(id, elsewhere(work.JobID(id), loads), now)
			jobs, tries = jobs+1, tries+n
			if !taken {
				refused++
			}
		}
	}
	return outcome{float64(imbalance) / float64(steps), float64(tries) / float64(jobs), float64(refused) / float64(jobs)}
}

// leastLoadedFirst is the order that was weighed and not taken.
func leastLoadedFirst(id work.JobID, others []zoneLoad) []gateway.Target {
	pressure := map[gateway.Target]int{}
	for _, o := range others {
		for part, l := range o.loads {
			pressure[gateway.Target{Zone: o.zone, Partition: part}] = l.Pressure
		}
	}
	targets := targetsElsewhere(id, others)
	slices.SortStableFunc(targets, func(a, b gateway.Target) int { return cmp.Compare(pressure[a], pressure[b]) })
	return targets
}

// Guards against neighbours that an evacuated zone loads by turns, as an order by the last reports does, which costs messages between zones
// and leaves room unused, and against refusals while the neighbours have room.
func TestNeighboursShareTheLoadOfAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	spread, herd := replayEvacuation(targetsElsewhere), replayEvacuation(leastLoadedFirst)
	t.Logf("spread: %+v, least loaded first: %+v", spread, herd)
	is.True(spread.imbalance < 0.9*herd.imbalance)
	is.True(spread.tries < herd.tries)
	is.True(spread.tries < 1.1)
	is.True(spread.refused < 0.01)
}
