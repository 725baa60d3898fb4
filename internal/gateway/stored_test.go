package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/work"
)

// unknownUsage stands for stored jobs of which it is not known whether there are any.
type unknownUsage struct{ StoredJobs }

func (unknownUsage) Usage() ledger.Usage { return ledger.UsageUnknown }

// Guards against an instance that denies jobs, or says that nothing waits, although it has not read whether the deployment has stored jobs.
func TestNothingIsDeniedWhileTheUsageIsUnknown(t *testing.T) {
	is := is.New(t)
	f := startStoring(t, time.Minute, &router{}, unknownUsage{})
	background := context.Background()
	is.Equal(f.receive(f.call(background, "GET", "/p/a", "")).status, 503)
	is.Equal(f.receive(f.call(background, "GET", "/p/", "")).status, 503)
	is.Equal(f.sweepUntil(f.call(background, "DELETE", "/p/a", "")).status, 503)
}

// unsettledCancels stands for stored jobs whose log does not tell that a cancel was carried out.
type unsettledCancels struct {
	StoredJobs
	result ledger.Result
}

func (unsettledCancels) Usage() ledger.Usage { return ledger.Used }

func (u unsettledCancels) Cancel(context.Context, work.JobID) ledger.Answer {
	return ledger.Answer{Result: u.result}
}

// Guards against a best-effort job that goes on after its cancel because neither the holder of the log nor the store can be reached.
func TestBestEffortJobIsCancelledWithoutTheLog(t *testing.T) {
	for _, result := range []ledger.Result{ledger.NoJob, ledger.NotSaved, ledger.NotKnown} {
		is := is.New(t)
		a, b := start(t, time.Minute), startStoring(t, time.Minute, &router{}, unsettledCancels{result: result})
		job := a.post("x")
		cancel := b.call(context.Background(), "DELETE", "/p/x", "")
		b.eventually("the cancellation is passed on", func() bool { return len(b.Cancellations().Recent()) == 1 })
		passOn(b, a, b)
		is.Equal(a.receive(job).body, "cancelled")
		is.Equal(b.sweepUntil(cancel), response{status: 200, body: "cancelled"})
	}
}

// slowCancels is unsettledCancels with a store that does not answer in time.
type slowCancels struct{ unsettledCancels }

func (s slowCancels) Cancel(ctx context.Context, id work.JobID) ledger.Answer {
	<-ctx.Done()
	return s.unsettledCancels.Cancel(ctx, id)
}

// Guards against a best-effort job that goes on, and against a response that comes when its caller has left, if the cancel has waited for
// the log until then.
func TestCancelWithoutTimeForASearch(t *testing.T) {
	is := is.New(t)
	a := start(t, time.Minute)
	b := startStoring(t, 500*time.Millisecond, &router{}, slowCancels{unsettledCancels{result: ledger.NotKnown}})
	job := a.post("x")
	is.Equal(b.receive(b.call(context.Background(), "DELETE", "/p/x", "")).status, 504) // without a sweep, which ends searches
	passOn(b, a)
	is.Equal(a.receive(job).body, "cancelled")
}

// Guards against an answer that denies or acknowledges more than is known when no instance holds the job to cancel.
func TestCancelOfAJobThatNoInstanceHolds(t *testing.T) {
	is := is.New(t)
	for result, status := range map[ledger.Result]int{ledger.NoJob: 410, ledger.NotSaved: 503, ledger.NotKnown: 504} {
		f := startStoring(t, time.Minute, &router{}, unsettledCancels{result: result})
		is.Equal(f.sweepUntil(f.call(context.Background(), "DELETE", "/p/x", "")).status, status)
	}
}
