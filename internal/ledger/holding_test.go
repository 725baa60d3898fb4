package ledger_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against tasks of stored jobs that wait for the leases of earlier dispatchers, although none has ever held the log, and against such
// tasks that do not wait although one has.
func TestJobsOfALogThatWasNeverHeldAreNew(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	appendRecords(t, s, joblog.Submission{Job: *job("a")})
	first := newHolder(t, s, 32)
	wait.For(t, "the log is held", first.held)
	is.Equal(len(first.resumed), 1)
	is.True(first.resumed[0].New)
	next := newHolder(t, s, 64)
	wait.For(t, "the successor holds the log", next.held)
	is.Equal(len(next.resumed), 1)
	is.True(!next.resumed[0].New)
	appendRecords(t, s, joblog.Submission{Job: *job("b")})
	wait.For(t, "the successor finds the job", func() bool { return next.has(&next.added, "b") })
	is.True(next.found[0].New)
}

// Guards against tasks that run twice during an upgrade: holders of earlier versions let jobs start without a record of it.
func TestJobsOfALogThatAnEarlierVersionHeldAreNotNew(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	appendRecords(t, s, joblog.Submission{Job: *job("a")})
	_, err := s.Append(t.Context(), store.Append{Topic: topic, Producer: &store.Producer{Name: "savorypass", Epoch: 32 * 256}})
	is.NoErr(err)
	h := newHolder(t, s, 64)
	wait.For(t, "the log is held", h.held)
	is.Equal(len(h.resumed), 1)
	is.True(!h.resumed[0].New)
}

// Guards against tasks that run twice (review/11, the wait that jobs of other instances are spared): a holder that has been replaced reads a
// job that was stored since, and starts it beside its successor.
func TestReplacedHolderStartsNoJobThatItReads(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	old := newHolder(t, s, 32)
	wait.For(t, "the log is held", old.held)
	next := newHolder(t, s, 64)
	wait.For(t, "the successor holds the log", next.held)
	appendRecords(t, s, joblog.Submission{Job: *job("a")})
	wait.For(t, "the successor finds the job", func() bool { return next.has(&next.added, "a") })
	wait.For(t, "the earlier holder has read the job", func() bool { return old.Dump()[0].Known == 1 })
	time.Sleep(200 * time.Millisecond)
	is.True(!old.has(&old.added, "a"))
}

// Guards against the same for a job that a replaced holder reads when it begins: it has set its epoch before its successor, and reads the log after it.
func TestHolderThatIsReplacedBeforeItReadsResumesNothing(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	next := newLedger(t, s, 1, nil)
	slow := &readGate{Store: s, before: func() {
		next.Sync(ledger.Share{Fence: 64, Partitions: 1})
		wait.For(t, "the successor holds the log", next.held)
		appendRecords(t, s, joblog.Submission{Job: *job("a")})
		wait.For(t, "the successor finds the job", func() bool { return next.has(&next.added, "a") })
	}}
	old := newLedger(t, slow, 1, nil)
	old.Sync(ledger.Share{Fence: 32, Partitions: 1})
	wait.For(t, "the earlier holder has read the log", slow.read.Load)
	time.Sleep(200 * time.Millisecond)
	is.True(!old.held())
}

// Guards against a cancelled job that starts: its cancel comes while the holder cannot prove yet that it may start the job.
func TestCancelBeforeTheProofOfHolding(t *testing.T) {
	is := is.New(t)
	s := &appendGate{Store: keyed.New()}
	h := newLedger(t, s, 1, nil)
	h.Sync(ledger.Share{Fence: 32, Partitions: 1})
	wait.For(t, "the log is held", h.held)
	s.closed.Store(true)
	appendRecords(t, s.Store, joblog.Submission{Job: *job("a")}, joblog.Submission{Job: *job("b")})
	wait.For(t, "the holder has read the jobs", func() bool { return h.Dump()[0].Live == 2 })
	appendRecords(t, s.Store, joblog.Cancel{Job: "a"})
	wait.For(t, "the holder has read the cancel", func() bool { return h.has(&h.dropped, "a") })
	is.True(!h.has(&h.added, "b"))
	s.closed.Store(false)
	wait.For(t, "the other job starts", func() bool { return h.has(&h.added, "b") })
	is.True(!h.has(&h.added, "a"))
	is.Equal(h.state("a").State, work.Cancelled)
}

// appendGate is a store that takes no records of holders while it is closed.
type appendGate struct {
	*keyed.Store
	closed atomic.Bool
}

func (g *appendGate) Append(ctx context.Context, a store.Append) (store.Appended, error) {
	if a.Producer != nil && len(a.Records) > 0 && g.closed.Load() {
		return store.Appended{}, store.ErrUnavailable
	}
	return g.Store.Append(ctx, a)
}

// readGate is a store that calls a function before it answers the first read.
type readGate struct {
	*keyed.Store
	before func()
	once   sync.Once
	read   atomic.Bool
}

func (g *readGate) Newest(ctx context.Context, topic string, partition int) (store.Batch, error) {
	g.once.Do(g.before)
	b, err := g.Store.Newest(ctx, topic, partition)
	g.read.Store(true)
	return b, err
}
