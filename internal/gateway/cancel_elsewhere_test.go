package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// sweepUntil makes the gateway's periodic checks until a request has its response.
func (f *fixture) sweepUntil(done <-chan response) response {
	f.t.Helper()
	var r response
	f.eventually("the response", func() bool {
		f.Sweep()
		select {
		case r = <-done:
			return true
		default:
			return false
		}
	})
	return r
}

// passOn passes cancellations between instances once, as heartbeats do.
func passOn(instances ...*fixture) {
	for _, from := range instances {
		for _, to := range instances {
			if to != from {
				to.Cancellations().Merge(from.Cancellations().Recent())
			}
		}
	}
}

// Guards against a job that runs to its end although it was cancelled, because the cancel reached another instance than the
// submission.
func TestCancelAtAnotherInstance(t *testing.T) {
	is := is.New(t)
	a, b := start(t, time.Minute), start(t, time.Minute)
	job := a.post("x")
	cancel := b.call(context.Background(), "DELETE", "/p/x", "")
	b.eventually("the cancellation is passed on", func() bool { return len(b.Cancellations().Recent()) == 1 })
	passOn(b, a, b)
	is.Equal(a.receive(job).body, "cancelled")
	is.Equal(a.router.cancelledJobs(), []work.JobID{"x"})
	is.Equal(b.sweepUntil(cancel).status, 200)
	// A submission that arrives later, at any instance, does not start the job.
	for _, f := range []*fixture{a, b} {
		is.Equal(f.receive(f.call(context.Background(), "POST", "/p/x", "job")).body, "cancelled")
	}
	is.Equal(len(a.router.sent()), 1)
	is.Equal(len(b.router.sent()), 0)
}

// Guards against a cancelled job that starts again because a duplicate of its submission arrives at another instance than the one that
// held the job and has cancelled it.
func TestDuplicateOfAJobThatItsInstanceHasCancelled(t *testing.T) {
	is := is.New(t)
	a, b := start(t, time.Minute), start(t, time.Minute)
	job := a.post("x")
	is.Equal(a.receive(a.call(context.Background(), "DELETE", "/p/x", "")).body, "cancelled")
	is.Equal(a.receive(job).body, "cancelled")
	passOn(a, b)
	is.Equal(b.receive(b.call(context.Background(), "POST", "/p/x", "job")).body, "cancelled")
	is.Equal(len(b.router.sent()), 0)
}

// Guards against "no such job" for a job that runs at an instance which could not be asked, and against cancels of ended jobs that are
// passed on to all instances.
func TestCancelOfAnUnknownJob(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.router.cutOff.Store(true)
	is.Equal(f.sweepUntil(f.call(context.Background(), "DELETE", "/p/x", "")).status, 503)
	f.router.cutOff.Store(false)
	is.Equal(f.sweepUntil(f.call(context.Background(), "DELETE", "/p/x", "")).status, 410)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
	before := len(f.Cancellations().Recent())
	is.Equal(f.receive(f.call(context.Background(), "DELETE", "/p/a", "")).status, 410)
	is.True(len(f.Cancellations().Recent()) <= before)
}

// Guards against a cancel that is answered "no such job" because the job was answered 504 here and then submitted elsewhere.
func TestCancelAfterTheJobWasSubmittedElsewhere(t *testing.T) {
	is := is.New(t)
	first, second := start(t, 50*time.Millisecond), start(t, time.Minute)
	is.Equal(first.sweepUntil(first.post("x")).status, 504)
	again := second.post("x")
	cancel := first.call(context.Background(), "DELETE", "/p/x", "")
	first.eventually("the cancellation is passed on", func() bool { return len(first.Cancellations().Recent()) == 1 })
	passOn(first, second, first)
	is.Equal(second.receive(again).body, "cancelled")
	is.Equal(first.sweepUntil(cancel).status, 200)
}

// Guards against a job that starts although its cancellation has come, because it is submitted between the search for the job and the
// record of the cancellation.
func TestCancellationIsRecordedBeforeTheSearch(t *testing.T) {
	is := is.New(t)
	var c *cancellations
	recorded := false
	c = newCancellations(func(id work.JobID) bool {
		recorded = c.isCancelled(id)
		return false
	})
	c.Merge([]relay.Cancellation{{Job: "x"}})
	is.True(recorded)
}
