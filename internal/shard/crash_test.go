package shard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// crashingTask is the task of job "crashing" that crashes each endpoint that runs it.
var crashingTask = work.TaskID{Job: "crashing"}

// maxCrashes is the number of endpoints that one task may crash before it is no longer started.
const maxCrashes = 2

// newCrashingFleet returns a fleet in which crashingTask crashes its endpoints.
func newCrashingFleet(n int) (*fleet.Fleet, []work.Endpoint) {
	f, all := newFleet(n, 100*time.Millisecond)
	f.DownTime = 3 * time.Second
	f.CrashTime = func(task work.TaskID) time.Duration {
		if task == crashingTask {
			return 50 * time.Millisecond
		}
		return 0
	}
	return f, all
}

// patientJob returns a job of tasks of 100 ms whose caller waits for long.
func patientJob(id string, tasks int) work.Job {
	j := jobOf(id, tasks, 100*time.Millisecond)
	j.Objective.Extra = 20 * time.Second
	return j
}

// endAndSettle ends a dispatcher's term and lets its last calls and the endpoints' timers end, so that no goroutine is left.
func endAndSettle(s *dispatcher) {
	s.End()
	time.Sleep(5 * time.Second)
}

// Guards against a task that is started without end although it crashes each endpoint that runs it: it is given up after two crashes,
// and the jobs whose tasks ran beside it complete. The clock is virtual.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newCrashingFleet(6)
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		defer endAndSettle(s)
		s.register(all)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: patientJob("crashing", 1)})
		for i := range 3 {
			s.Submit(c, &relay.Submit{Job: patientJob(fmt.Sprint("other", i), 4)})
		}
		time.Sleep(15 * time.Second)
		is.Equal(f.Crashes(crashingTask), maxCrashes)
		a := c.answer("crashing")
		is.True(a != nil && a.State == work.Failed)
		for i := range 3 {
			is.True(completed(c, work.JobID(fmt.Sprint("other", i)))())
		}
		is.Equal(f.OverlappingRuns(), "")
	})
}

// Guards against a start that was decided before its endpoint's capacity shrank and is sent afterwards: a thin link holds start
// requests back while the registration with the smaller capacity arrives. The clock is virtual.
func TestCapacityShrinksWhileStartsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, time.Second)
		all[0].Size = work.Size{MilliCPU: 16000, MemoryMB: 16384}
		f.SetCapacity(all[0].Address, all[0].Size)
		f.LinkBytesPerSecond = 30_000
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		defer endAndSettle(s)
		s.register(all)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: patientJob("a", 16)})
		time.Sleep(20 * time.Millisecond) // the link delivers 100 requests a second; four are in flight or delivered, the others wait
		small := f.SetCapacity(all[0].Address, work.Size{MilliCPU: 4000, MemoryMB: 16384})
		s.register([]work.Endpoint{small})
		time.Sleep(50 * time.Millisecond)
		f.SetCapacity(all[0].Address, small.Size) // the requests in flight have been delivered; no further start is excused
		time.Sleep(30 * time.Second)
		is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000, MemoryMB: 64}), "")
		is.True(completed(c, "a")())
	})
}
