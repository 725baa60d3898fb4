package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a second run beside one that is being stopped: the endpoint has carried out a start request without an answer,
// and its stop takes a while. The clock is virtual.
func TestRunThatIsBeingStoppedStillCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 400*time.Millisecond)
		f.StopTime = 50 * time.Millisecond
		n := 0
		f.LoseAnswer = func(call string) (bool, time.Duration) {
			n++
			return call == "start" && n%3 == 0, 0
		}
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		for i := range 6 {
			s.Submit(c, &relay.Submit{Job: jobOf(fmt.Sprint("a", i), 4, 400*time.Millisecond)})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		is.Equal(f.OverlappingRuns(), "")
		is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000, MemoryMB: 64}), "")
		s.End()
		time.Sleep(time.Second)
	})
}

// Guards against start requests that wait in the queue of a thin link until they time out, so that runs are stopped and started
// again and fill the link further. Two jobs of eight tasks with long specifications arrive every 250 ms; their requests take
// 60% of the link, but those of two jobs take 150 ms, more than a request's timeout.
func TestThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs, tasks = 20, 8
		f, all := newFleet(12, 50*time.Millisecond)
		f.LinkBytesPerSecond = 250_000
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		for i := range jobs {
			m := &relay.Submit{Job: jobOf(fmt.Sprint("thin", i), tasks, 50*time.Millisecond)}
			m.Job.Spec = strings.Repeat("x", 2000)
			s.Submit(c, m)
			if i%2 == 1 {
				time.Sleep(250 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		for i := range jobs {
			is.True(completed(c, work.JobID(fmt.Sprint("thin", i)))())
		}
		is.Equal(len(f.Starts()), jobs*tasks) // no run was started again
		s.End()
		time.Sleep(time.Second) // for the last calls to end
	})
}

// Guards against start requests that collapse on longer paths between an instance and its endpoints: nothing is congested, so a job
// takes the time of the path longer, and no run is started again. The clock is virtual.
func TestLongPaths(t *testing.T) {
	for _, oneWay := range []time.Duration{5 * time.Millisecond, 12 * time.Millisecond, 40 * time.Millisecond} {
		t.Run(oneWay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const jobs, tasks, run = 100, 8, 50 * time.Millisecond
				f, all := newFleet(48, run)
				f.PathDelay = oneWay
				s, c := newShard(f, func() {}), newClient()
				s.Begin(shard.Term{Fence: 1, Partitions: 1})
				s.register(all)
				time.Sleep(2 * time.Second)
				for i := range jobs {
					s.Submit(c, &relay.Submit{Job: jobOf(fmt.Sprint("far", i), tasks, run)})
					time.Sleep(40 * time.Millisecond)
				}
				time.Sleep(run + 6*oneWay) // the last job has three round trips: a start, the end of a poll before it, and its report
				for i := range jobs {
					is.True(completed(c, work.JobID(fmt.Sprint("far", i)))())
				}
				is.True(len(f.Starts()) <= jobs*tasks+tasks) // only the first requests may time out, before response times are known
				s.End()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against a second run of a task whose start was confirmed at the very instant at which a report without it was requested, as on
// clocks of low resolution: that report may be older than the run. The clock is virtual, so starts, ends and polls share instants.
func TestReportOfTheSameInstant(t *testing.T) {
	for range 10 {
		inBubble(t, func() (*fleet.Fleet, []work.Endpoint) { return newFleet(8, 100*time.Millisecond) }, func(b *bubble) {
			for i := range 40 {
				for k := range 4 {
					b.s.Submit(b.c, &relay.Submit{Job: patientJob(fmt.Sprint("wave", i, "-", k), 4)})
				}
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Second)
			b.Equal(b.f.OverlappingRuns(), "")
		})
	}
}

// Guards against two simultaneous runs of a task when a start request gets no answer and is carried out later.
func TestLateStartRequest(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(3, 80*time.Millisecond)
	n := 0
	f.LoseAnswer = func(call string) (bool, time.Duration) {
		if call != "start" {
			return false, 0
		}
		n++
		return n%3 == 0, time.Duration(n%4) * 100 * time.Millisecond
	}
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	for i := range 6 {
		submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf(fmt.Sprint("late", i), 4, 80*time.Millisecond)})
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%+v", s.Dump())
		}
	})
	for i := range 6 {
		wait.For(t, "the job completes", completed(c, work.JobID(fmt.Sprint("late", i))))
	}
	is.Equal(f.OverlappingRuns(), "")
}
