package ledger_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// zonesTest is a deployment with a holder in each of two zones, whose logs have one partition.
type zonesTest struct {
	t     *testing.T
	store *keyed.Store
	// refused is the topic that takes no records for now.
	refused atomic.Value

	mu      sync.Mutex
	holders map[string]*holder
}

func topicOf(zone string) string { return "keyed.jobs." + zone }

// Append implements joblog.Log.
func (z *zonesTest) Append(ctx context.Context, a store.Append) (store.Appended, error) {
	if z.refused.Load() == a.Topic && a.Producer == nil {
		return store.Appended{}, store.ErrUnavailable
	}
	return z.store.Append(ctx, a)
}

// Newest implements joblog.Log.
func (z *zonesTest) Newest(ctx context.Context, topic string, partition int) (store.Batch, error) {
	return z.store.Newest(ctx, topic, partition)
}

// Read implements joblog.Log.
func (z *zonesTest) Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (store.Batch, error) {
	return z.store.Read(ctx, topic, partition, from, wait)
}

// Trim implements joblog.Log.
func (z *zonesTest) Trim(ctx context.Context, topic string, partition int, before int64) error {
	return z.store.Trim(ctx, topic, partition, before)
}

// Choose implements ledger.OtherZones.
func (z *zonesTest) Choose(_ *work.Job, excluded []string) string {
	if slices.Contains(excluded, "south") {
		return ""
	}
	return "south"
}

// Topic implements ledger.OtherZones.
func (z *zonesTest) Topic(zone string) string { return topicOf(zone) }

// Ask implements ledger.OtherZones.
func (z *zonesTest) Ask(_ context.Context, zone string, r relay.StoredRequest) *relay.StoredReply {
	z.mu.Lock()
	h := z.holders[zone]
	z.mu.Unlock()
	if h == nil {
		return nil
	}
	reply := h.ask(r)
	return &reply
}

func newZones(t *testing.T) *zonesTest {
	z := &zonesTest{t: t, store: keyed.New(), holders: map[string]*holder{}}
	z.refused.Store("")
	return z
}

// hold makes a holder of a zone's log and ends the one before.
func (z *zonesTest) hold(zone string, fence int64, retention time.Duration) *holder {
	z.t.Helper()
	z.mu.Lock()
	old := z.holders[zone]
	z.mu.Unlock()
	if old != nil {
		old.end()
	}
	return z.holdBeside(zone, fence, retention)
}

// holdBeside makes a holder of a zone's log. The one before goes on until it notices that.
func (z *zonesTest) holdBeside(zone string, fence int64, retention time.Duration) *holder {
	z.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	begun := time.Now()
	h := &holder{dispatcher: &dispatcher{}}
	h.Ledger = ledger.New(ledger.Options{
		Log: z, Zone: zone, Topic: topicOf(zone), LogPartitions: 1, Retention: retention, Others: z,
		Usage: func(time.Duration) ledger.Usage { return ledger.Used }, Belongs: func(work.JobID) bool { return zone == "north" },
		Counts: &ledger.Counts{}, Now: func() time.Duration { return time.Since(begun) }, Logger: log,
	})
	h.SetDispatcher(h.dispatcher)
	z.mu.Lock()
	z.holders[zone] = h
	z.mu.Unlock()
	z.t.Cleanup(h.end)
	h.Sync(ledger.Share{Fence: fence, Partitions: 1})
	wait.For(z.t, "the log is held", h.held)
	return h
}

// strand makes a dispatcher tell that a job cannot go on in its zone.
func (d *dispatcher) strand(id work.JobID) { d.note(&d.stuck, id) }

// records returns the keys of the records of a zone's log.
func (z *zonesTest) records(zone string) string {
	b, err := z.store.Newest(z.t.Context(), topicOf(zone), 0)
	if err != nil {
		z.t.Fatal(err)
	}
	var keys []string
	for _, r := range b.Records {
		if len(r.Value) > 0 && r.Key != "o/holding" {
			keys = append(keys, r.Key)
		}
	}
	slices.Sort(keys)
	return strings.Join(keys, " ")
}

// Guards against a job that waits for ever for an endpoint that its zone has lost, that starts a task again in the other zone which has
// succeeded, or that cannot be found or cancelled after its move.
func TestJobMoves(t *testing.T) {
	is := is.New(t)
	z := newZones(t)
	north, south := z.hold("north", 32, time.Minute), z.hold("south", 32, time.Minute)
	for _, id := range []work.JobID{"a", "b", "c"} {
		is.Equal(north.submit(id), relay.StoredDone)
		north.strand(id)
	}
	recorded := make(chan bool, 2)
	north.RecordEnd(success("a", 1), 0, func() { recorded <- true })
	for _, id := range []work.JobID{"a", "b", "c"} {
		wait.For(t, "the other zone has the job", func() bool { return south.has(&south.added, id) })
	}
	<-recorded
	south.mu.Lock()
	for _, r := range south.found {
		if r.Job.ID == "a" {
			is.Equal(r.Succeeded, []work.TaskID{{Job: "a", Index: 1}})
		} else {
			is.Equal(len(r.Succeeded), 0)
		}
	}
	south.mu.Unlock()
	is.Equal(north.state("a").State, work.Queued)

	south.RecordEnd(success("a", 0), 0, func() { recorded <- true })
	<-recorded // the other zone's holder records it, although the job belongs to this one
	south.JobEnded("a", work.Completed)
	is.Equal(north.state("a").State, work.Completed)
	is.Equal(north.ask(relay.StoredRequest{Operation: relay.StoredCancel, ID: "b"}).State, work.Cancelled)
	is.True(south.has(&south.dropped, "b"))
	south.JobEnded("c", work.Failed)
	wait.For(t, "the job's end is recorded in its own zone", func() bool { return strings.Contains(z.records("north"), "e/c") })
	is.Equal(z.records("north"), "e/a e/b e/c")
	is.Equal(north.submit("a"), relay.StoredDone) // a repeat
	is.Equal(north.state("a").State, work.Completed)
}

// Guards against a job that is lost, or starts in two zones, if its holder is lost between the record of the move and the submission in the
// other zone, or after it.
func TestHolderLostDuringAMove(t *testing.T) {
	is := is.New(t)
	z := newZones(t)
	z.refused.Store(topicOf("south"))
	north, south := z.hold("north", 32, time.Minute), z.hold("south", 32, time.Minute)
	is.Equal(north.submit("a"), relay.StoredDone)
	north.strand("a")
	wait.For(t, "the move is recorded", func() bool { return strings.Contains(z.records("north"), "m/a") })
	is.Equal(z.records("south"), "")

	next := z.hold("north", 64, time.Minute)
	is.Equal(len(next.resumed), 0)
	is.Equal(next.state("a").State, work.Queued)
	pending := next.ask(relay.StoredRequest{Operation: relay.StoredPending, Queue: "q"})
	is.Equal(pending.Pending, 1)
	z.refused.Store("")
	wait.For(t, "the other zone has the job", func() bool { return south.has(&south.added, "a") })
	south.JobEnded("a", work.Completed)
	wait.For(t, "the end is recorded in the other zone", func() bool { return z.records("south") == "e/a h/a" })

	last := z.hold("north", 96, time.Minute)
	wait.For(t, "the end is recorded", func() bool { return z.records("north") == "e/a" })
	is.Equal(len(last.resumed), 0)
	is.Equal(last.state("a").State, work.Completed)
	south.mu.Lock()
	defer south.mu.Unlock()
	is.Equal(len(south.added), 1)
}

// Guards against a job that starts in another zone although its move is not recorded: a replaced holder decides on the move while its successor
// continues the job.
func TestReplacedHolderMovesNothing(t *testing.T) {
	is := is.New(t)
	z := newZones(t)
	old, south := z.hold("north", 32, time.Minute), z.hold("south", 32, time.Minute)
	is.Equal(old.submit("a"), relay.StoredDone)
	successor := z.holdBeside("north", 64, time.Minute)
	is.Equal(len(successor.resumed), 1)
	old.strand("a")
	wait.For(t, "the replaced holder decides on the move", func() bool { return !old.has(&old.stuck, "a") })
	time.Sleep(time.Second)
	is.Equal(z.records("north"), "s/a")
	is.Equal(z.records("south"), "")
	is.Equal(len(south.added), 0)
}

// Guards against a job that moves while its dispatcher runs it: the holder decides on the move, loses its writer, and continues the job under the same
// fence before the decision is noted.
func TestMoveDecidedBeforeTheWriterIsLost(t *testing.T) {
	is := is.New(t)
	z := newZones(t)
	north := z.hold("north", 32, time.Minute)
	is.Equal(north.submit("a"), relay.StoredDone)
	taking := make(chan struct{})
	north.mu.Lock()
	north.taking = taking
	north.mu.Unlock()
	north.strand("a")
	time.Sleep(3 * time.Second) // the holder waits in TakeStored
	loads := func() int {
		north.mu.Lock()
		defer north.mu.Unlock()
		return north.loads
	}
	const epoch = 32 * 256
	_, err := z.store.Append(t.Context(), store.Append{
		Topic: topicOf("north"), Producer: &store.Producer{Name: "savorypass", Epoch: epoch + 1}, Records: nil,
	})
	is.NoErr(err)
	is.True(north.submit("b") != relay.StoredDone) // the writer is refused
	time.Sleep(time.Second)
	is.Equal(loads(), 1)
	close(taking)
	wait.For(t, "the log is held again", func() bool { return loads() == 2 })
	time.Sleep(time.Second)
	is.Equal(len(north.resumed), 1)
	is.Equal(z.records("north"), "s/a")
}

// Guards against a move that is lost, or that starts the job twice, because the store's answers are lost.
func TestMoveWithoutAnswers(t *testing.T) {
	is := is.New(t)
	z := newZones(t)
	north, south := z.hold("north", 32, time.Minute), z.hold("south", 32, time.Minute)
	is.Equal(north.submit("a"), relay.StoredDone)
	z.store.FailAppends(keyed.LoseAnswer, keyed.LoseAnswer, keyed.LoseAnswer) // the next three appends: the move, and the job in the other zone
	north.strand("a")
	wait.For(t, "the other zone has the job", func() bool { return south.has(&south.added, "a") })
	south.JobEnded("a", work.Completed)
	wait.For(t, "the end is recorded", func() bool { return z.records("north") == "e/a" })
	is.Equal(len(south.added), 1)
	is.Equal(len(north.started), 1)
}

// Guards against a cancel of a moved job that an instance appends to the log of the job's own zone and that never reaches the other one.
func TestCancelAppendedForAMovedJob(t *testing.T) {
	is := is.New(t)
	z := newZones(t)
	north, south := z.hold("north", 32, time.Minute), z.hold("south", 32, time.Minute)
	is.Equal(north.submit("a"), relay.StoredDone)
	north.strand("a")
	wait.For(t, "the other zone has the job", func() bool { return south.has(&south.added, "a") })
	r, err := joblog.Encode(joblog.Cancel{Job: "a"})
	is.NoErr(err)
	_, err = z.store.Append(t.Context(), store.Append{Topic: topicOf("north"), Records: []store.Record{r}})
	is.NoErr(err)
	wait.For(t, "the other zone drops the job", func() bool { return south.has(&south.dropped, "a") })
	wait.For(t, "the cancel is recorded", func() bool { return z.records("north") == "e/a" })
	is.Equal(north.state("a").State, work.Cancelled)
}

// Guards against a job that starts anew because the zone that it has moved to forgets its end before its own zone has it.
func TestMovedJobIsKeptUntilItsZoneHasTheEnd(t *testing.T) {
	is := is.New(t)
	const retention = 100 * time.Millisecond
	z := newZones(t)
	north, south := z.hold("north", 32, time.Minute), z.hold("south", 32, retention)
	is.Equal(north.submit("a"), relay.StoredDone)
	north.strand("a")
	wait.For(t, "the other zone has the job", func() bool { return south.has(&south.added, "a") })
	north.end()
	z.mu.Lock()
	delete(z.holders, "north")
	z.mu.Unlock()
	south.JobEnded("a", work.Completed)
	time.Sleep(10 * retention)
	is.Equal(z.records("south"), "e/a h/a")
	z.hold("north", 64, time.Minute)
	wait.For(t, "the end is recorded", func() bool { return z.records("north") == "e/a" })
	wait.For(t, "the job leaves the other zone", func() bool { return z.records("south") == "" })
	is.Equal(len(south.added), 1)
}
