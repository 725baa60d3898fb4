package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a dispatcher that does not detect that endpoints have accepted a higher fence of another dispatcher.
func TestFenced(t *testing.T) {
	f, all := newFleet(1, 10*time.Millisecond)
	fenced := make(chan struct{}, 1000)
	before := newShard(f, func() {
		select {
		case fenced <- struct{}{}:
		default:
		}
	})
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	defer before.End()
	before.register(all)
	after, c := newShard(f, func() {}), newClient()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	defer after.End()
	after.register(all)
	submitUntilAccepted(t, after, c, &relay.Submit{Job: jobOf("a", 2, 10*time.Millisecond)})
	wait.For(t, "the job completes", completed(c, "a"))
	select {
	case <-fenced:
	case <-time.After(20 * time.Second):
		t.Fatal("the earlier dispatcher did not notice the higher fence")
	}
}

// Guards against overfilling an endpoint when a dispatcher continues with a higher fence and another dispatcher has filled
// the endpoint under a fence in between.
func TestUsedByAnotherBetweenTwoFences(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 1, time.Second)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 1, time.Second)})
	wait.For(t, "the first job has ended", func() bool { return c.answer("a") != nil })
	other := f.Dial(all[0])
	report, refusal, err := other.RenewLease(t.Context(), work.LeaseRequest{Fence: 2})
	is.NoErr(err)
	is.Equal(refusal, work.Done)
	for i := range 2 {
		refusal, _, err = other.Start(t.Context(), work.StartRequest{
			Task: work.TaskID{Job: "other", Index: i}, Run: 1, Spec: "text", LeaseEnd: report.Clock + lease, Fence: 2,
		})
		is.NoErr(err)
		is.Equal(refusal, work.Done)
	}
	s.Begin(shard.Term{Fence: 3, Partitions: 1})
	s.Submit(c, &relay.Submit{Job: jobOf("b", 2, time.Second)})
	wait.For(t, "the job has run", func() bool { return c.answer("b") != nil || len(f.Starts()) > 3 })
	is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000}), "")
}

// Guards against a dispatcher that has not read of its successor in the store, keeps its jobs and continues to poll
// endpoints that refuse it.
func TestTermEndsWhenEndpointsRefuseItsFence(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 3, time.Second)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 6, time.Second)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 6 })
	pollWithFence := func(e work.Endpoint, fence int64) {
		_, _, err := f.Dial(e).RenewLease(t.Context(), work.LeaseRequest{Fence: fence})
		is.NoErr(err)
	}
	pollWithFence(all[0], 2)
	time.Sleep(300 * time.Millisecond)
	is.True(s.Leading()) // one endpoint of three may have belonged to another partition
	pollWithFence(all[1], 2)
	wait.For(t, "the term ends", func() bool { return !s.Leading() })
	is.Equal(c.answer("a").Refused, pool.ReasonNotLeader)
	is.True(c.answer("a").Started)
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	is.True(!s.Leading()) // no term begins with the fence that was refused
	before := f.Renewals()
	time.Sleep(300 * time.Millisecond)
	is.Equal(f.Renewals(), before)
	s.Begin(shard.Term{Fence: 3, Partitions: 1})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("b", 1, 10*time.Millisecond)})
	wait.For(t, "a job has run under the next fence", completed(c, "b"))
}

// Guards against frequent refused polls and log lines for an endpoint that has seen a higher fence while most have not.
func TestEndpointWithHigherFenceIsPolledRarely(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(3, time.Second)
	fenced := make(chan struct{}, 100)
	s := newShard(f, func() { fenced <- struct{}{} })
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	wait.For(t, "the endpoints are polled", func() bool { return f.Renewals() > 2 })
	_, _, err := f.Dial(all[0]).RenewLease(t.Context(), work.LeaseRequest{Fence: 2})
	is.NoErr(err)
	<-fenced
	begun := time.Now()
	const more = 3
	for range more {
		<-fenced
	}
	is.True(time.Since(begun) > (more-1)*200*time.Millisecond) // a slow machine can only make it longer
	c := newClient()
	s.Begin(shard.Term{Fence: 3, Partitions: 1})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 6, time.Second)})
	wait.For(t, "the job has run under the next fence", func() bool { return c.answer("a") != nil })
}

// Guards against an endpoint that becomes unusable for a poll because the answer to a poll with the earlier fence arrives
// after the report to the current fence.
func TestAnswerToTheEarlierFenceComesLate(t *testing.T) {
	is := is.New(t)
	_, _, s, _ := newLeadingDispatcher(t, 1, time.Second)
	usable := func() bool {
		all := s.Dump().Pool.Endpoints
		return len(all) == 1 && all[0].Usable
	}
	wait.For(t, "the endpoint is usable", usable)
	time.Sleep(20 * time.Millisecond) // by now the next poll waits at the endpoint
	s.Begin(shard.Term{Fence: 2, Partitions: 1})
	wait.For(t, "the endpoint has reported to the current fence", usable)
	for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		is.True(usable())
	}
}

// Guards against a second run of a task that another dispatcher started between two fences of this one. This dispatcher does
// not know of it, because the endpoint that runs the task has not reported to the current fence yet.
func TestResumedBetweenTwoFences(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 2, 300*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("first", 4, 300*time.Millisecond)})
	wait.For(t, "the first job has ended", func() bool { return c.answer("first") != nil })
	s.skip(time.Minute) // so that the runs from before the term have long been known
	other := f.Dial(all[0])
	report, _, err := other.RenewLease(t.Context(), work.LeaseRequest{Fence: 2})
	is.NoErr(err)
	refusal, _, err := other.Start(t.Context(), work.StartRequest{
		Task: work.TaskID{Job: "a"}, Run: 1, Spec: "text", LeaseEnd: report.Clock + lease, Fence: 2,
	})
	is.NoErr(err)
	is.Equal(refusal, work.Done)
	f.SetSilent(all[0].Address, true) // so that it does not report
	s.Begin(shard.Term{Fence: 4, Partitions: 1})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 1, 300*time.Millisecond), Resumed: true, Partitions: 1})
	time.Sleep(100 * time.Millisecond)
	f.SetSilent(all[0].Address, false)
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against a second run of a task when the number of partitions has changed and the first run is on an endpoint that
// now belongs to another partition, whose dispatcher keeps the run for claimTime.
func TestResumedAfterDivision(t *testing.T) {
	is := is.New(t)
	const run = 1800 * time.Millisecond // longer than the lease and the time to detect the end of a term
	f, all := newFleet(12, run)         // twice the capacity that the job needs
	before, c := newShard(f, func() {}), newClient()
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 12, run)}
	submitUntilAccepted(t, before, c, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 12 })
	before.End()
	divided := func(part int) *dispatcher {
		d := newShardOf(f, part, func() {})
		d.register(all)
		d.skip(time.Minute) // so that it has followed the registrations for long enough
		d.Begin(shard.Term{Fence: 2, Partitions: 2, DividedAt: d.skip(0)})
		d.register(all)
		t.Cleanup(d.End)
		return d
	}
	first := divided(0)
	// The other dispatcher reads the division later, before the leases have expired.
	time.AfterFunc(600*time.Millisecond, func() { divided(1) })
	resumed := newClient()
	submitUntilAccepted(t, first, resumed, &relay.Submit{Job: m.Job, Resumed: true, Partitions: 2})
	wait.For(t, "the job completes", completed(resumed, "a"))
	is.Equal(f.OverlappingRuns(), "")
}
