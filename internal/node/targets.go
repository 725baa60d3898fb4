package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// A job is placed in two passes. In the first it is offered to partitions of the instance's zone that seem to be able to start it at once,
// and each of them refuses it unless it does. In the second it may wait, at home where the wait is shortest, and in another zone only when
// its own has refused it.

const (
	// maxImmediate is how many partitions are tried for a start at once. Each try costs a message to another instance.
	maxImmediate = 3
	// maxWaitingTries is how many partitions of the instance's zone are tried for a place in their queues.
	maxWaitingTries = 4
	// homeShare is the share of a job's slack that it rather waits in its own zone than goes to another one. Bytes between zones are dear.
	homeShare = 0.5
	// fullPressure is the pressure, in percent, at which a partition has no capacity left for a job that must start soon.
	fullPressure = 100
)

// demand is what the choice of partitions depends on in a job.
type demand struct {
	id       work.JobID
	milliCPU int           // processors that its first tasks request, in thousandths of a core
	slack    time.Duration // wait that its objective allows, by the caller's estimates
}

func demandOf(job *work.Job) demand {
	longest := time.Duration(0)
	for i := range job.Steps {
		longest = max(longest, job.Steps[i].Estimate)
	}
	stretch := max(job.Objective.Stretch-1, 0)
	return demand{job.ID, job.InitialMilliCPU(), time.Duration(stretch*float64(longest)) + job.Objective.Extra}
}

// zoneLoad is the known load of a zone's dispatchers.
type zoneLoad struct {
	zone  string
	loads []relay.Load // by partition
}

// immediateTargets returns the partitions of the instance's zone that seem to be able to start a job at once: of the two partitions that
// its ID selects the one with the larger free share first, then the best of the others. It returns none in a zone with one
// partition, where there is no choice.
//
// Some partitions of a zone are full for the length of a few tasks while others have capacity, whatever the zone's demand. Reports are older
// than a short task is long, so the partition itself decides.
func immediateTargets(d demand, own zoneLoad) []gateway.Target {
	if len(own.loads) == 1 {
		return nil
	}
	parts := own.preferred(d.id)
	var extra []int
	for part := range own.loads {
		if !slices.Contains(parts, part) {
			extra = append(extra, part)
		}
	}
	own.sortByFree(extra)
	parts = slices.DeleteFunc(append(parts, extra...), func(part int) bool { return !startsAtOnce(own.loads[part], d) })
	return own.targets(parts[:min(len(parts), maxImmediate)])
}

// likelyLate reports whether a job is likely to be late in its own zone: at each of its partitions it would use so much of its slack for the
// wait that later, more urgent jobs and errors of the estimates make it late.
func likelyLate(d demand, own zoneLoad) bool {
	for _, l := range own.loads {
		if expectedWait(l, d) <= time.Duration(homeShare*float64(d.slack)) {
			return false
		}
	}
	return true
}

// nearbyTargets returns a partition of another zone that seems to be able to start a job at once, for a job that is likely to be late in its
// own zone.
func nearbyTargets(d demand, others []zoneLoad, random func() float64) []gateway.Target {
	ready, _ := candidates(d, others)
	return targetsOf(shuffled(ready, random)[:min(len(ready), 1)])
}

// waitingTargets returns the dispatchers at which a job may wait: up to maxWaitingTries partitions of the instance's zone, the shortest
// expected wait first, and one partition of each other zone, see overflowTargets. Partitions whose wait is hopeless for the job are left out, but
// for the first one, whose refusal tells the caller when to come back.
func waitingTargets(d demand, own zoneLoad, others []zoneLoad, random func() float64) []gateway.Target {
	parts := own.byWait(d)
	parts = parts[:min(len(parts), maxWaitingTries)]
	hopeful := parts[:1]
	for _, part := range parts[1:] {
		if !hopeless(own.loads[part], d) {
			hopeful = append(hopeful, part)
		}
	}
	return append(own.targets(hopeful), overflowTargets(d, others, random)...)
}

// preferred returns the two partitions that the hash of a job's ID selects, the one with the larger free share first. In a zone with a
// single partition it returns just that.
func (z zoneLoad) preferred(id work.JobID) []int {
	n := len(z.loads)
	first := shard.PartitionOf(string(id), n)
	if n == 1 {
		return []int{first}
	}
	parts := []int{first, (first + n/2) % n}
	z.sortByFree(parts)
	return parts
}

// byWait returns all partitions, the one with the shortest expected wait first. Among equals the preferred ones come first.
func (z zoneLoad) byWait(d demand) []int {
	parts := z.preferred(d.id)
	for part := range z.loads {
		if !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	slices.SortStableFunc(parts, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(expectedWait(z.loads[a], d), expectedWait(z.loads[b], d)),
			cmp.Compare(z.loads[a].Pressure, z.loads[b].Pressure),
		)
	})
	return parts
}

// sortByFree sorts partitions by their free share, largest first.
func (z zoneLoad) sortByFree(parts []int) {
	slices.SortStableFunc(parts, func(a, b int) int { return cmp.Compare(freeShare(z.loads[b]), freeShare(z.loads[a])) })
}

func (z zoneLoad) targets(parts []int) []gateway.Target {
	var targets []gateway.Target
	for _, part := range parts {
		targets = append(targets, gateway.Target{Zone: z.zone, Partition: part})
	}
	return targets
}
