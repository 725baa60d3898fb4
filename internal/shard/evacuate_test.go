package shard_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// zoneState is the state of a zone, which a test changes.
type zoneState struct{ state atomic.Int32 }

func (z *zoneState) set(s evacuation.State) { z.state.Store(int32(s)) }

// leadZone is lead for a zone that may be evacuated. The dispatcher's term has to be ended.
func leadZone(f *fleet.Fleet, all []work.Endpoint, z *zoneState) *dispatcher {
	s := newShardWith(f, func(o *shard.Options) {
		o.Evacuation = func() evacuation.State { return evacuation.State(z.state.Load()) }
	})
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	s.register(all)
	time.Sleep(time.Second)
	return s
}

// steppedJob returns a job of a step of tasks and one task that follows them.
func steppedJob(id string, tasks int) work.Job {
	j := patientJob(id, tasks)
	j.Steps = append(j.Steps, work.Step{Count: 1, Size: j.Steps[0].Size, Estimate: j.Steps[0].Estimate, DependsOn: []int{0}})
	return j
}

// startsOf returns how often each task was started.
func startsOf(fleets ...*fleet.Fleet) map[work.TaskID]int {
	starts := map[work.TaskID]int{}
	for _, f := range fleets {
		for _, s := range f.Starts() {
			starts[s.Task]++
		}
	}
	return starts
}

// Guards against starts in a zone that is evacuated at a crest, against a run in progress that is stopped, and against jobs that wait there
// until their callers leave. The clock is virtual.
func TestZoneEvacuatedAtACrest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 400*time.Millisecond)
		z, c := &zoneState{}, newClient()
		s := leadZone(f, all, z)
		defer time.Sleep(time.Second)
		defer s.End()
		for i := range 6 {
			s.Submit(c, &relay.Submit{Job: patientJob(fmt.Sprint("j", i), 2)})
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(f.Starts()), 4) // the capacity
		z.set(evacuation.Evacuated)
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.Pressure(), 1000)
		s.Submit(c, &relay.Submit{Job: patientJob("late", 2)})
		time.Sleep(time.Second)
		is.Equal(len(f.Starts()), 4)
		finished, back := 0, 0
		for _, id := range []work.JobID{"j0", "j1", "j2", "j3", "j4", "j5", "late"} {
			a := c.answer(id)
			switch {
			case a == nil:
				t.Fatalf("job %s waits", id)
			case a.State == work.Completed:
				finished++
			case a.Refused == pool.ReasonEvacuated && !a.Started && a.RetryAfter > 0:
				back++
			}
		}
		is.Equal(finished, 2)
		is.Equal(back, 5)
		z.set(evacuation.Open)
		s.Submit(c, &relay.Submit{Job: patientJob("after", 2)})
		time.Sleep(time.Second)
		is.True(completed(c, "after")())
	})
}

// Guards against a job in progress that is lost with its zone, or whose tasks run again in the other one, also if the answer that hands it over
// is lost. The clock is virtual.
func TestJobInProgressIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here, all := newFleet(1, 400*time.Millisecond)
		there, others := newFleet(1, 400*time.Millisecond)
		z, c := &zoneState{}, newClient()
		s, next := leadZone(here, all, z), leadZone(there, others, &zoneState{})
		defer time.Sleep(time.Second)
		defer s.End()
		defer next.End()
		s.Submit(c, &relay.Submit{Job: steppedJob("j", 3)}) // two tasks start at once
		time.Sleep(100 * time.Millisecond)
		z.set(evacuation.Evacuated)
		time.Sleep(100 * time.Millisecond)
		is.True(c.answer("j") == nil) // its runs go on
		time.Sleep(500 * time.Millisecond)
		a := c.answer("j")
		is.True(a.HandedOver)
		is.True(a.Started)
		is.Equal(a.Refused, pool.ReasonNotLeader) // what an instance of an earlier version goes by
		is.Equal(len(a.Succeeded), 2)
		c.mu.Lock()
		delete(c.answers, "j") // lost with its connection
		c.mu.Unlock()
		s.Submit(c, &relay.Submit{Job: steppedJob("j", 3), Resumed: true, Partitions: 1})
		time.Sleep(2 * time.Second)
		a = c.answer("j")
		is.True(a.HandedOver)
		is.Equal(len(a.Succeeded), 2)
		next.Submit(c, &relay.Submit{Job: steppedJob("j", 3), InProgress: true, Succeeded: a.Succeeded})
		time.Sleep(2 * time.Second)
		is.True(completed(c, "j")())
		starts := startsOf(here, there)
		is.Equal(len(starts), 4)
		for _, n := range starts {
			is.Equal(n, 1)
		}
	})
}

// Guards against a job that two instances continue elsewhere, each in its own way. The clock is virtual.
func TestJobOfTwoInstancesIsHandedOverToOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 400*time.Millisecond)
		z, first, second := &zoneState{}, newClient(), newClient()
		s := leadZone(f, all, z)
		defer time.Sleep(time.Second)
		defer s.End()
		s.Submit(first, &relay.Submit{Job: steppedJob("j", 2), Request: 1})
		s.Submit(second, &relay.Submit{Job: steppedJob("j", 2), Request: 2})
		time.Sleep(100 * time.Millisecond)
		z.set(evacuation.Evacuated)
		time.Sleep(time.Second)
		is.True(first.answer("j") == nil)
		is.True(second.answer("j") == nil)
		s.ClientGone(first)
		time.Sleep(100 * time.Millisecond)
		is.True(first.answer("j") == nil)
		is.True(second.answer("j").HandedOver)
	})
}

// Guards against start requests that wait for the congestion window and are sent into an evacuated zone. The clock is virtual.
func TestStartsThatWaitForTheWindowAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 10*time.Second)
		all[0] = f.SetCapacity(all[0].Address, work.Size{MilliCPU: 64000, MemoryMB: 65536})
		f.LinkBytesPerSecond = 30_000
		z, c := &zoneState{}, newClient()
		s := leadZone(f, all, z)
		defer time.Sleep(time.Second)
		defer s.End()
		for i := range 16 {
			s.Submit(c, &relay.Submit{Job: patientJob(fmt.Sprint("j", i), 1)})
		}
		time.Sleep(20 * time.Millisecond)
		z.set(evacuation.Evacuated)
		time.Sleep(400 * time.Millisecond) // the requests in flight have been delivered
		sent := len(f.Starts())
		is.True(sent < 16)
		time.Sleep(2 * time.Second)
		is.Equal(len(f.Starts()), sent)
		back := 0
		for i := range 16 {
			if a := c.answer(work.JobID(fmt.Sprint("j", i))); a != nil && a.Refused == pool.ReasonEvacuated {
				back++
			}
		}
		is.Equal(back, 16-sent) // truly not run
	})
}

// Guards against a dispatcher that starts runs after a restart before it knows whether its zone is evacuated. The clock is virtual.
func TestNoStartBeforeTheEvacuationsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 100*time.Millisecond)
		z, c := &zoneState{}, newClient()
		z.set(evacuation.Unknown)
		s := leadZone(f, all, z)
		defer time.Sleep(time.Second)
		defer s.End()
		s.Submit(c, &relay.Submit{Job: patientJob("j", 1)})
		time.Sleep(300 * time.Millisecond)
		is.Equal(len(f.Starts()), 0)
		is.True(c.answer("j") == nil)
		z.set(evacuation.Open)
		time.Sleep(300 * time.Millisecond)
		is.True(completed(c, "j")())
	})
}

// Guards against a job whose dispatcher is lost while its zone is evacuated: the successor starts the rest of it there, or does not take it
// and its runs are stopped. The clock is virtual.
func TestTakeoverInAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 700*time.Millisecond)
		z, before, after := &zoneState{}, newClient(), newClient()
		lost := leadZone(f, all, z)
		lost.Submit(before, &relay.Submit{Job: steppedJob("j", 2)})
		time.Sleep(50 * time.Millisecond)
		is.Equal(len(f.Starts()), 2)
		lost.End()
		z.set(evacuation.Evacuated)
		s := newShardWith(f, func(o *shard.Options) {
			o.Evacuation = func() evacuation.State { return evacuation.State(z.state.Load()) }
		})
		defer time.Sleep(time.Second)
		defer s.End()
		s.followed(all)
		s.Begin(shard.Term{Fence: 2, Partitions: 1})
		time.Sleep(100 * time.Millisecond) // the endpoints report
		s.Submit(after, &relay.Submit{Job: steppedJob("j", 2), Resumed: true, Partitions: 1})
		time.Sleep(3 * time.Second)
		is.True(after.answer("j").HandedOver)
		is.Equal(len(after.answer("j").Succeeded), 2)
		is.Equal(len(f.Starts()), 2)
	})
}
