package registry

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
)

var t0 = time.Unix(1000, 0)

func newRegistry() *Registry {
	return New(Options{RecordTTL: 10 * time.Minute, AnswerTTL: time.Minute})
}

// Guards against an identity that is claimed twice when resubmissions arrive at the same time.
func TestOneClaimPerIdentity(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	claims := make(chan OpenResult, 64)
	answers := make(chan *api.Answer, 64)
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() { claims <- r.Open(t0, 7, Digest{1}, AnswerFunc(func(a *api.Answer) { answers <- a })) })
	}
	wg.Wait()
	first := 0
	for range 64 {
		if <-claims == First {
			first++
		}
	}
	is.Equal(first, 1)
	done := api.NewAnswer(result.Complete, "")
	r.Finish(t0, 7, done)
	for range 64 {
		is.Equal(<-answers, done) // every waiter gets the same answer
	}
	is.Equal(r.Open(t0, 7, Digest{2}, nil), Reused)
}

// Guards against a second start of a job whose outputs were dropped: its record must be kept longer than they are.
func TestRecordOutlivesAnswer(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	is.Equal(r.Open(t0, 1, Digest{}, nil), First)
	done := api.NewAnswer(result.Complete, "")
	done.Outputs = []string{"x"}
	r.Finish(t0, 1, done)
	r.Expire(t0.Add(time.Minute))
	var got *api.Answer
	is.Equal(r.Open(t0, 1, Digest{}, AnswerFunc(func(a *api.Answer) { got = a })), Attached)
	is.Equal(got.Code, result.AnswerDropped)
	r.Expire(t0.Add(10 * time.Minute))
	is.Equal(r.Open(t0, 1, Digest{}, nil), Attached) // the record is kept while the identity is valid
	r.Expire(t0.Add(10*time.Minute + 1))
	is.Equal(r.Stats().Records, 0)
}

// Guards against a refused submission that prevents a later one under the same identity.
func TestWithdrawnIdentityMayBeSubmittedAgain(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	var got *api.Answer
	is.Equal(r.Open(t0, 1, Digest{}, AnswerFunc(func(a *api.Answer) { got = a })), First)
	r.Withdraw(1, api.NewAnswer(result.QueueFull, ""))
	is.Equal(got.Code, result.QueueFull)
	is.Equal(r.Open(t0, 1, Digest{}, nil), First)
}

// Guards against dropping the record of a job that is still running.
func TestOpenRecordIsNeverDropped(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Open(t0, 1, Digest{}, nil)
	r.Expire(t0.Add(time.Hour))
	is.Equal(r.Open(t0, 1, Digest{}, nil), Attached)
}

// Guards against refused submissions that occupy memory for the retention of a record, which is 11 min.
func TestWithdrawnRecordsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	for seq := range uint64(100) {
		is.Equal(r.Open(t0, seq, Digest{}, nil), First)
		r.Withdraw(seq, api.NewAnswer(result.QueueFull, ""))
	}
	is.Equal(r.byAge.Len(), 0)
}

// answeredWaiter is a waiter that was already answered, as by its timeout.
type answeredWaiter struct{}

func (answeredWaiter) Answer(*api.Answer) {}
func (answeredWaiter) Answered() bool     { return true }

// Guards against memory that grows with each request that waits for a long job and times out.
func TestWaitersThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	r.Open(t0, 1, Digest{}, nil)
	for range 1000 {
		is.True(r.Watch(1, true, answeredWaiter{}))
	}
	is.True(len(r.records[1].waiters) < 10)
}
