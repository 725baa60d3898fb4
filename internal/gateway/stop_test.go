package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against cancels whose connection ends without an answer, because the instance stops while it asks the others for the job.
func TestStopAnswersCancelsThatAreSearchedFor(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.router.cutOff.Store(true)
	cancel := f.call(context.Background(), "DELETE", "/p/x", "")
	f.eventually("the cancellation is passed on", func() bool { return len(f.Cancellations().Recent()) == 1 })
	f.EndPending()
	is.Equal(f.receive(cancel).status, 503)
	is.Equal(f.receive(f.call(context.Background(), "DELETE", "/p/y", "")).status, 503) // the process is about to end
	f.eventually("no request is in progress", func() bool { return f.server.Active() == 0 })
}

// silentHolders stands for stored jobs whose holders do not answer.
type silentHolders struct {
	asked chan struct{} // gets a value for each request
}

func (silentHolders) Usage() ledger.Usage { return ledger.Used }

func (s silentHolders) wait(ctx context.Context) ledger.Answer {
	s.asked <- struct{}{}
	<-ctx.Done()
	return ledger.Answer{Result: ledger.NoAnswer}
}

func (s silentHolders) Submit(ctx context.Context, _ *work.Job, _ time.Time) ledger.Answer {
	return s.wait(ctx)
}
func (s silentHolders) State(ctx context.Context, _ work.JobID) ledger.Answer  { return s.wait(ctx) }
func (s silentHolders) Cancel(ctx context.Context, _ work.JobID) ledger.Answer { return s.wait(ctx) }
func (s silentHolders) Pending(ctx context.Context, _ string) (int, bool) {
	s.wait(ctx)
	return 0, false
}

// Guards against requests for stored jobs whose connection ends without an answer, because the instance stops while it waits for the holder
// of the job.
func TestStopAnswersRequestsForStoredJobs(t *testing.T) {
	is := is.New(t)
	stored := silentHolders{make(chan struct{}, 8)}
	f := startStoring(t, time.Minute, &router{}, stored)
	all := []<-chan response{
		f.call(context.Background(), "POST", "/p/a", "stored"),
		f.call(context.Background(), "GET", "/p/b", ""),
		f.call(context.Background(), "DELETE", "/p/c", ""),
		f.call(context.Background(), "GET", "/p/", ""),
	}
	for range all {
		<-stored.asked
	}
	f.EndPending()
	all = append(all, f.call(context.Background(), "GET", "/p/d", ""))
	for _, answer := range all {
		is.Equal(f.receive(answer).status, 503)
	}
}
