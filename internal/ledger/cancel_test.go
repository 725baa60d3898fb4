package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// unreadable is a store that takes appends and answers no reads.
type unreadable struct{ *keyed.Store }

func (unreadable) Newest(context.Context, string, int) (store.Batch, error) {
	return store.Batch{}, store.ErrUnavailable
}

// Guards against a cancel that counts as carried out because its record was appended, although the log holds no such job: a best-effort
// job of that name goes on. It also guards against a job that is shown as cancelled although it had ended before.
func TestCancelInPlaceOfTheHolder(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	c := newCutOffClient(s, nil)
	is.Equal(c.Cancel(t.Context(), "unknown").Result, ledger.NoJob)
	appendRecords(t, s, joblog.Submission{Job: *job("live")}, joblog.Submission{Job: *job("ended")}, joblog.End{Job: "ended", State: work.Completed})
	is.Equal(c.Cancel(t.Context(), "live"), ledger.Answer{Result: ledger.Done, State: work.Cancelled})
	is.Equal(c.Cancel(t.Context(), "ended"), ledger.Answer{Result: ledger.Done, State: work.Completed})
	is.Equal(newCutOffClient(unreadable{s}, nil).Cancel(t.Context(), "live").Result, ledger.NotKnown)
}

// Guards against a read of the whole partition for each cancel of many that come at once.
func TestCancelsShareReads(t *testing.T) {
	is := is.New(t)
	s := &slowStore{Store: keyed.New()}
	c := newCutOffClient(s, nil)
	const cancels = 50
	var wait sync.WaitGroup
	for n := range cancels {
		id := work.JobID(fmt.Sprint("j", n))
		appendRecords(t, s.Store, joblog.Submission{Job: *job(id)})
		wait.Go(func() {
			if a := c.Cancel(t.Context(), id); a.State != work.Cancelled {
				t.Errorf("the cancel of %s was answered %+v", id, a)
			}
		})
	}
	wait.Wait()
	is.True(s.reads.Load() > 0)
	is.True(s.reads.Load() < cancels/2)
}

// slowStore counts the reads of a partition's newest records, which take a while.
type slowStore struct {
	*keyed.Store
	reads atomic.Int64
}

func (s *slowStore) Newest(ctx context.Context, topic string, partition int) (store.Batch, error) {
	s.reads.Add(1)
	time.Sleep(50 * time.Millisecond)
	return s.Store.Newest(ctx, topic, partition)
}
