package ledger_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// neighbours are the ledgers of the two dispatchers of a zone, which reach each other unless they are cut.
type neighbours struct {
	*testing.T
	cut     atomic.Bool
	mu      sync.Mutex
	ledgers [2]*holder
}

func (n *neighbours) ledger(i int) *holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledgers[i]
}

// replace puts another instance's ledger in the place of one.
func (n *neighbours) replace(i int, l *holder) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledgers[i] = l
}

func newNeighbours(t *testing.T, s *keyed.Store) *neighbours {
	n := &neighbours{T: t}
	for i := range n.ledgers {
		n.replace(i, newLedger(t, s, 2, n.ask))
	}
	return n
}

func (n *neighbours) ask(r relay.StoredRequest) *relay.StoredReply {
	if n.cut.Load() {
		return nil
	}
	to := ledger.DispatcherOf(r.Partition, 2, 2)
	if r.Operation == relay.StoredSettled {
		to = r.Dispatcher
	}
	reply := n.ledger(to).ask(r)
	return &reply
}

// divide gives each of the two dispatchers its share.
func (n *neighbours) divide(fence int64) {
	for i := range n.ledgers {
		n.ledger(i).Sync(ledger.Share{Fence: fence, Partition: i, Partitions: 2})
	}
}

// jobOf returns the name of a job of a partition of the log.
func jobOf(partition int) work.JobID {
	for id := work.JobID("a"); ; id += "a" {
		if ledger.PartitionOf(id, 2) == partition {
			return id
		}
	}
}

// Guards against an end that is forgotten because it was reported to a dispatcher that does not hold the job's part of the log: its task
// started again after the zone was divided (review/7).
func TestEndReportedToAnotherDispatcher(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	n := newNeighbours(t, s)
	n.ledger(0).Sync(ledger.Share{Fence: 32, Partitions: 1})
	id := jobOf(1)
	wait.For(t, "the log is held", func() bool {
		return n.ledger(0).ask(relay.StoredRequest{Operation: relay.StoredSubmit, Partition: 1, Job: job(id)}).Result == relay.StoredDone
	})
	n.divide(64)
	recorded := make(chan bool, 1)
	n.cut.Store(true)
	is.Equal(n.ledger(0).RecordEnd(success(id, 0), 0, func() { recorded <- true }), shard.RecordedSoon)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(recorded), 0)
	n.cut.Store(false)
	<-recorded
	next := newLedger(t, s, 2, n.ask)
	n.replace(1, next)
	next.Sync(ledger.Share{Fence: 96, Partition: 1, Partitions: 2})
	wait.For(t, "the successor holds the log", next.held)
	is.Equal(next.resumed[0].Succeeded, []work.TaskID{{Job: id}})
	is.Equal(n.ledger(0).RecordEnd(success("foreign", 0), 0, func() {}), shard.NotStored) // belongs to another zone
}

// Guards against a holder that starts tasks of jobs that it has taken over from another dispatcher of its zone, while runs or ends of them
// may be known there.
func TestResumedJobsWaitForTheNeighbours(t *testing.T) {
	is := is.New(t)
	n := newNeighbours(t, keyed.New())
	n.divide(64)
	wait.For(t, "the log is held", n.ledger(1).held)
	time.Sleep(200 * time.Millisecond)
	is.True(!n.ledger(1).hasReleased())
	n.ledger(0).settle()
	wait.For(t, "the jobs continue", n.ledger(1).hasReleased)
	is.True(!n.ledger(0).hasReleased())
}
