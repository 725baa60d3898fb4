package shard_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a lease that is extended for a run of another dispatcher of which this one does not know, because the endpoint has not
// reported to its fence yet: nobody may wait for that run. The clock is virtual.
func TestLeaseBetweenTwoFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, time.Minute)
		var lose atomic.Bool
		f.LoseAnswer = func(string) (bool, time.Duration) { return lose.Load(), 0 }
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: jobOf("own", 1, time.Minute)})
		time.Sleep(time.Second)
		other := f.Dial(all[0])
		report, _, err := other.RenewLease(t.Context(), work.LeaseRequest{Fence: 2})
		is.NoErr(err)
		_, _, err = other.Start(t.Context(), work.StartRequest{
			Task: work.TaskID{Job: "other"}, Run: 1, Spec: "text", LeaseEnd: report.Clock + lease, Fence: 2,
		})
		is.NoErr(err)
		before := f.Running()
		lose.Store(true) // the endpoint carries out requests, but its reports are lost
		s.Begin(shard.Term{Fence: 3, Partitions: 1})
		time.Sleep(lease + time.Millisecond)
		after := f.Running()
		s.End()
		time.Sleep(2 * time.Second)
		is.Equal(before, 2)
		is.Equal(after, 0)
	})
}

// Guards against the start of a task whose caller has stopped waiting while this process was stopped: the request to start it was
// waiting for the window and is sent before the next periodic check. The clock is virtual.
func TestNoStartForAnExpiredJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, time.Minute)
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(1010 * time.Millisecond) // between two periodic checks
		for range s.window.Status().Size {
			s.window.Acquire()
		}
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, time.Minute), Remaining: time.Second})
		synctest.Wait()
		waiting := s.window.Status().Waiting
		s.skip(2 * time.Second)
		s.window.Forgo()
		synctest.Wait()
		s.End()
		time.Sleep(time.Second)
		is.Equal(waiting, 1)
		is.Equal(len(f.Starts()), 0)
	})
}

// Guards against a job that is cancelled at the end of an earlier submission's time although its caller's instance has
// submitted it again without a time, as instances of earlier versions do. The clock is virtual.
func TestExpiryOfAnEarlierSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 900 * time.Millisecond
		f, all := newFleet(1, run)
		s, before, c := newShard(f, func() {}), newClient(), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		s.Submit(before, &relay.Submit{Job: jobOf("a", 1, run), Remaining: 200 * time.Millisecond})
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, run), Resumed: true, Partitions: 1})
		time.Sleep(2 * time.Second)
		s.End()
		time.Sleep(time.Second)
		is.True(completed(c, "a")())
	})
}

// Guards against a run that goes on when its job may have been submitted again: the caller's instance has fallen silent, as after a loss
// of power, and the endpoint does not carry out the stop. The clock is virtual.
func TestRunOfASilentInstanceIsOverInTime(t *testing.T) {
	for _, retransmit := range []time.Duration{600 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(retransmit.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(1, time.Minute)
				f.LoseAnswer = func(call string) (bool, time.Duration) { return call == "stop", -1 }
				within, ok := shard.LeaseWithin(retransmit)
				s, c := newShardWithLease(f, 0, within, func() {}), newClient()
				s.Begin(shard.Term{Fence: 1, Partitions: 1})
				s.register(all)
				time.Sleep(time.Second)
				s.Submit(c, &relay.Submit{Job: jobOf("a", 1, time.Minute)})
				time.Sleep(2 * time.Second)
				before := f.Running()
				c.fallSilent()
				time.AfterFunc(relay.SilenceLimit, func() { s.ClientGone(c) })
				time.Sleep(retransmit)
				after := f.Running()
				s.End()
				time.Sleep(2 * time.Second)
				is.True(ok)
				is.Equal(before, 1)
				is.Equal(after, 0)
			})
		})
	}
}

// Guards against tasks that start for a caller whose instance is silent, and against endpoints that other jobs cannot use meanwhile.
// The clock is virtual.
func TestJobOfASilentInstanceIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 10*time.Millisecond)
		s, silent, c := newShard(f, func() {}), newClient(), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(1010 * time.Millisecond)
		for range s.window.Status().Size {
			s.window.Acquire()
		}
		s.Submit(silent, &relay.Submit{Job: jobOf("a", 2, 10*time.Millisecond)})
		silent.fallSilent()
		time.Sleep(250 * time.Millisecond)
		s.Submit(c, &relay.Submit{Job: jobOf("b", 1, 10*time.Millisecond)})
		synctest.Wait()
		for range 4 {
			s.window.Forgo()
		}
		time.Sleep(20 * time.Millisecond)
		done, starts := completed(c, "b")(), len(f.Starts())
		s.End()
		time.Sleep(time.Second)
		is.True(done)
		is.Equal(starts, 1)
	})
}

// Guards against a second run of a task whose endpoint is dropped as silent and not registered before a lease of several seconds has
// expired. The clock is virtual.
func TestSilentEndpointWithALongLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 20 * time.Second
		f, all := newFleet(2, run)
		smallest(f, all)
		s, c := newShardWithLease(f, 0, 4*time.Second, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, run)})
		time.Sleep(2 * time.Second)
		f.SetSilent(all[1].Address, true)
		r := shard.Registrations{Removed: []work.EndpointID{all[1].ID}, AsOf: s.now()}
		s.UpdateEndpoints(r, s.directory.Apply(r, s.now()))
		time.Sleep(10 * time.Second)
		s.End()
		time.Sleep(2 * run)
		is.Equal(len(f.Starts()), 2)
		is.Equal(f.Starts()[0].Endpoint, all[1].ID)
		is.Equal(f.OverlappingRuns(), "")
	})
}
