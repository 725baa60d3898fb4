package shard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
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

// inBubble runs a test on a virtual clock, with a dispatcher that has held the term for the endpoints of a new fleet for a second.
func inBubble(t *testing.T, newFleet func() (*fleet.Fleet, []work.Endpoint), test func(b *bubble)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bubble{I: is.New(t), c: newClient()}
		b.f, b.all = newFleet()
		b.s = newShard(b.f, func() {})
		b.s.Begin(shard.Term{Fence: 1, Partitions: 1})
		defer endAndSettle(b.s)
		b.s.register(b.all)
		time.Sleep(time.Second)
		test(b)
	})
}

// bubble is what a test in inBubble works with.
type bubble struct {
	*is.I
	f   *fleet.Fleet
	all []work.Endpoint
	s   *dispatcher
	c   *client
}

// failed reports whether a job was answered as failed.
func (b *bubble) failed(id work.JobID) bool {
	a := b.c.answer(id)
	return a != nil && a.State == work.Failed
}

// Guards against a task that is started without end although it crashes each endpoint that runs it: it is given up after two crashes,
// and the jobs whose tasks ran beside it complete. The clock is virtual.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	inBubble(t, func() (*fleet.Fleet, []work.Endpoint) { return newCrashingFleet(6) }, func(b *bubble) {
		b.s.Submit(b.c, &relay.Submit{Job: patientJob("crashing", 1)})
		for i := range 3 {
			b.s.Submit(b.c, &relay.Submit{Job: patientJob(fmt.Sprint("other", i), 4)})
		}
		time.Sleep(15 * time.Second)
		b.Equal(b.f.Crashes(crashingTask), maxCrashes)
		b.True(b.failed("crashing"))
		for i := range 3 {
			b.True(completed(b.c, work.JobID(fmt.Sprint("other", i)))())
		}
		b.Equal(b.f.OverlappingRuns(), "")
	})
}

// Guards against crashes that are forgotten when another dispatcher takes the partition over, when a job goes to another partition and
// when it is submitted again after it was given up: the submission carries what the instance knows. The clock is virtual.
func TestCrashesCountForTheNextDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newCrashingFleet(4)
		before, c := newShard(f, func() {}), newClient()
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		before.register(all)
		time.Sleep(time.Second)
		before.Submit(c, &relay.Submit{Job: patientJob("crashing", 1)})
		time.Sleep(1300 * time.Millisecond) // the first crash is known, and the second process has crashed or is about to
		endAndSettle(before)
		for fence := range int64(3) {
			after, c := newShard(f, func() {}), newClient()
			after.Begin(shard.Term{Fence: 2 + fence, Partitions: 1})
			after.register(all)
			time.Sleep(2 * time.Second)
			after.Submit(c, &relay.Submit{Job: patientJob("crashing", 1), Resumed: fence == 0, Attempts: before.history.OfJob("crashing")})
			time.Sleep(5 * time.Second)
			a := c.answer("crashing")
			is.True(a != nil && a.State == work.Failed)
			before.history.Merge(after.history.OfJob("crashing"), 0)
			endAndSettle(after)
		}
		is.True(f.Crashes(crashingTask) <= maxCrashes+1) // the crash that its dispatcher's end left uncounted is allowed for
	})
}

// Guards against failures that are forgotten at a takeover, so that a task fails more often than its queue allows: the second
// dispatcher finds the failed end in the endpoint's report or learns of it from the submission. The clock is virtual.
func TestFailuresCountForTheNextDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 100*time.Millisecond)
		f.Fails = func(work.TaskID) bool { return true }
		var known []attempt.Attempt
		for fence := range int64(4) {
			s, c := newShard(f, func() {}), newClient()
			s.Begin(shard.Term{Fence: 1 + fence, Partitions: 1})
			s.register(all)
			time.Sleep(2 * time.Second)
			s.Submit(c, &relay.Submit{Job: patientJob("failing", 1), Resumed: fence > 0, Attempts: known})
			time.Sleep(130 * time.Millisecond) // one run has failed and the next has begun
			endAndSettle(s)
			known = s.history.OfJob("failing")
		}
		is.Equal(len(f.Starts()), 2)
	})
}

// Guards against a failed run that counts twice, and ends a job with two attempts: the endpoint has restarted, and this dispatcher reads the
// registration of the new process later than the report of a run there, which the earlier dispatcher has seen fail, too. The clock is virtual.
func TestFailureBeforeTheRegistrationIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 100 * time.Millisecond
		f, all := newFleet(1, run)
		fails := true
		f.Fails = func(work.TaskID) bool { return fails }
		before := f.Resize(all[0].Address, all[0].Size) // registered with the start of its process
		time.Sleep(time.Second)
		f.Restart(before.Address)
		now := f.Resize(before.Address, before.Size)
		is.True(now.StartedUnixMS != before.StartedUnixMS)
		task := work.TaskID{Job: "a"}
		startElsewhere(t, f, now, 1, task)
		time.Sleep(2 * run)
		fails = false
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 2, Partitions: 1})
		defer endAndSettle(s)
		s.register([]work.Endpoint{before})
		time.Sleep(run)
		is.Equal(s.history.Count(task, attempt.Failed), 1)
		s.register([]work.Endpoint{now})
		seen := attempt.Attempt{Task: task, Run: 1, Process: attempt.Process{Endpoint: now.ID, StartedUnixMS: now.StartedUnixMS}, Outcome: attempt.Failed}
		s.Submit(c, &relay.Submit{Job: patientJob("a", 1), Resumed: true, Partitions: 1, Attempts: []attempt.Attempt{seen}})
		time.Sleep(5 * time.Second)
		is.Equal(s.history.Count(task, attempt.Failed), 1)
		is.True(completed(c, "a")())
	})
}

// Guards against a crash that is taken back when the next process answers: the dispatcher that took over learned of the crash from others, has
// never talked to the crashed process, and its registration of the endpoint names no process or the crashed one. A process that was only
// cut off takes its crash back all the same. The clock is virtual.
func TestCrashStaysWhenTheNextProcessAnswers(t *testing.T) {
	for _, c := range []struct {
		name             string
		registered, ends bool // the registration names the process; the process ends
		want             int  // crashes on record
	}{
		{"next process, registration without a process", false, true, 1},
		{"next process, registration of the crashed one", true, true, 1},
		{"same process, registration without a process", false, false, 0},
		{"same process, registration of it", true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newCrashingFleet(1)
				e := all[0]
				named := f.Resize(e.Address, e.Size) // names the process
				if c.registered {
					e = named
				}
				if c.ends {
					startElsewhere(t, f, e, 1, crashingTask)
					time.Sleep(100 * time.Millisecond)
					is.Equal(f.Crashes(crashingTask), 1)
				} else {
					f.SetRefusing(e.Address, true)
					time.AfterFunc(f.DownTime, func() { f.SetRefusing(e.Address, false) })
				}
				s := newShard(f, func() {})
				process := attempt.Process{Endpoint: e.ID, StartedUnixMS: named.StartedUnixMS}
				s.history.Merge([]attempt.Attempt{{Task: crashingTask, Run: 1, Process: process, Outcome: attempt.Crashed}}, 0)
				s.Begin(shard.Term{Fence: 2, Partitions: 1})
				defer endAndSettle(s)
				s.register([]work.Endpoint{e})
				time.Sleep(f.DownTime - time.Second)
				is.Equal(s.history.Count(crashingTask, attempt.Crashed), 1) // no process answers yet
				time.Sleep(2 * time.Second)
				is.Equal(s.history.Count(crashingTask, attempt.Crashed), c.want)
			})
		})
	}
}

// Guards against a task that is given up although no process has crashed: an endpoint that a firewall cuts off refuses connections
// and answers again later. The clock is virtual.
func TestRefusedConnectionsAreNoCrashOnceTheProcessAnswers(t *testing.T) {
	inBubble(t, func() (*fleet.Fleet, []work.Endpoint) { return newFleet(2, 3*time.Second) }, func(b *bubble) {
		b.s.Submit(b.c, &relay.Submit{Job: patientJob("a", 4)})
		for i := range 4 {
			time.Sleep(200 * time.Millisecond)
			b.f.SetRefusing(b.all[i%2].Address, true)
			time.Sleep(2 * time.Second)
			b.f.SetRefusing(b.all[i%2].Address, false)
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Second)
		b.True(completed(b.c, "a")())
		b.Equal(b.f.OverlappingRuns(), "")
	})
}

// Guards against the crash of a process that is taken back when the next one answers: the dispatcher knows of the crash from another
// instance, and has not talked to the endpoint before. The clock is virtual.
func TestNextProcessTakesBackNoCrash(t *testing.T) {
	for _, test := range []struct {
		name       string
		registered bool // the registration has the start of the crashed process
	}{{"registered with its start", true}, {"registered without a start", false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(1, time.Second)
				before := f.Resize(all[0].Address, all[0].Size)
				crash := attempt.Attempt{
					Task: work.TaskID{Job: "a"}, Run: 1, Outcome: attempt.Crashed,
					Process: attempt.Process{Endpoint: before.ID, StartedUnixMS: before.StartedUnixMS},
				}
				f.SetRefusing(before.Address, true)
				s := newShard(f, func() {})
				s.history.Merge([]attempt.Attempt{crash}, 0)
				s.Begin(shard.Term{Fence: 1, Partitions: 1})
				defer endAndSettle(s)
				if !test.registered {
					before.StartedUnixMS = 0
				}
				s.register([]work.Endpoint{before})
				time.Sleep(2 * time.Second) // longer than a lease
				f.Restart(before.Address)
				f.SetRefusing(before.Address, false)
				time.Sleep(time.Second)
				is.Equal(s.history.Count(crash.Task, attempt.Crashed), 1)
			})
		})
	}
}

// Guards against crashes that are not counted because the endpoint's machine is gone too, so that nothing refuses connections: another
// process at the address shows later that the first one has ended. The clock is virtual.
func TestSilentCrashesCount(t *testing.T) {
	inBubble(t, func() (*fleet.Fleet, []work.Endpoint) { return newCrashingFleet(6) }, func(b *bubble) {
		b.f.SilentCrashes = true
		b.s.Submit(b.c, &relay.Submit{Job: patientJob("crashing", 1)})
		time.Sleep(20 * time.Second)
		b.True(b.f.Crashes(crashingTask) <= 4) // starts go on while the crashed processes are away for 3 s
		b.True(b.failed("crashing"))
	})
}

// Guards against a start that was decided before its endpoint's capacity shrank and is sent afterwards: a thin link holds start
// requests back while the registration with the smaller capacity arrives. The clock is virtual.
func TestCapacityShrinksWhileStartsWait(t *testing.T) {
	large := func() (*fleet.Fleet, []work.Endpoint) {
		f, all := newFleet(1, time.Second)
		all[0] = f.SetCapacity(all[0].Address, work.Size{MilliCPU: 16000, MemoryMB: 16384})
		f.LinkBytesPerSecond = 30_000
		return f, all
	}
	inBubble(t, large, func(b *bubble) {
		b.s.Submit(b.c, &relay.Submit{Job: patientJob("a", 16)})
		time.Sleep(20 * time.Millisecond) // the link delivers 100 requests a second; four are in flight or delivered, the others wait
		small := b.f.SetCapacity(b.all[0].Address, work.Size{MilliCPU: 4000, MemoryMB: 16384})
		b.s.register([]work.Endpoint{small})
		time.Sleep(50 * time.Millisecond)
		b.f.SetCapacity(b.all[0].Address, small.Size) // the requests in flight have been delivered; no further start is excused
		time.Sleep(30 * time.Second)
		b.Equal(b.f.OverCapacity(work.Size{MilliCPU: 1000, MemoryMB: 64}), "")
		b.True(completed(b.c, "a")())
	})
}
