package ledger_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

const topic = "keyed.jobs.north"

// dispatcher records what a ledger asks for.
type dispatcher struct {
	mu      sync.Mutex
	refuse  bool
	offered []work.JobID
	started []work.JobID
	added   []work.JobID
	dropped []work.JobID
	resumed []shard.ResumedJob
	loads   int
	// settled is what StoredSettled returns, and released counts the calls of ReleaseStored.
	settled  bool
	released int
	// stuck is what StoredToMove returns, and found what AddStored has got.
	stuck []work.JobID
	found []shard.ResumedJob
	// taking, if it is not nil, is closed when TakeStored may return.
	taking chan struct{}
}

func (d *dispatcher) OfferStored(_ int64, job *work.Job, _ time.Duration) (pool.Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offered = append(d.offered, job.ID)
	if d.refuse {
		return pool.Verdict{Reason: pool.ReasonNoRoom, RetryAfter: time.Second}, true
	}
	return pool.Verdict{}, true
}

func (d *dispatcher) note(list *[]work.JobID, id work.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*list = append(*list, id)
}

func (d *dispatcher) has(list *[]work.JobID, id work.JobID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(*list, id)
}

func (d *dispatcher) StartStored(_ int64, id work.JobID)                             { d.note(&d.started, id) }
func (d *dispatcher) AddStored(_ int64, r shard.ResumedJob)                          { d.noteAdded(r) }
func (d *dispatcher) DropStored(_ int64, id work.JobID)                              { d.note(&d.dropped, id) }
func (d *dispatcher) StoredStarted(work.JobID) bool                                  { return false }
func (d *dispatcher) StoredWaiting(int64, string, func(work.JobID) bool) (int, bool) { return 0, true }

func (d *dispatcher) noteAdded(r shard.ResumedJob) {
	d.note(&d.added, r.Job.ID)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.found = append(d.found, r)
}

// StoredToMove returns the stuck jobs until TakeStored takes them.
func (d *dispatcher) StoredToMove(int64, func(work.JobID) bool) []work.JobID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.stuck)
}

func (d *dispatcher) TakeStored(_ int64, wanted func(work.JobID) bool) (taken []work.JobID) {
	d.mu.Lock()
	taking := d.taking
	d.mu.Unlock()
	if taking != nil {
		<-taking
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range d.stuck {
		if wanted(id) {
			taken = append(taken, id)
		}
	}
	d.stuck = slices.DeleteFunc(d.stuck, wanted)
	return taken
}

func (d *dispatcher) ReleaseStored(int64, func(work.JobID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released++
}

func (d *dispatcher) StoredSettled(int, func(work.JobID) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settled
}

func (d *dispatcher) settle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settled = true
}

func (d *dispatcher) hasReleased() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.released > 0
}

func (d *dispatcher) StoredEnd(_ int64, _ work.End, record func() shard.Recording) shard.Recording {
	return record()
}

func (d *dispatcher) ResumeStored(_ int64, load func() []shard.ResumedJob, _ func(work.JobID) bool) bool {
	all := load()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resumed, d.loads = all, d.loads+1
	return true
}

func (d *dispatcher) held() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loads > 0
}

// holder is a ledger with one log partition, and its dispatcher.
type holder struct {
	*ledger.Ledger
	*dispatcher
}

func newHolder(t *testing.T, s *keyed.Store, fence int64) *holder {
	h := newLedger(t, s, 1, nil)
	h.Sync(ledger.Share{Fence: fence, Partitions: 1})
	return h
}

// newLedger returns a ledger that holds nothing yet. ask sends requests to others.
func newLedger(t *testing.T, s joblog.Log, logPartitions int, ask func(relay.StoredRequest) *relay.StoredReply) *holder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	begun := time.Now()
	h := &holder{dispatcher: &dispatcher{}}
	h.Ledger = ledger.New(ledger.Options{
		Log: s, Topic: topic, LogPartitions: logPartitions, Retention: time.Minute, Usage: func(time.Duration) ledger.Usage { return ledger.Used },
		Belongs: func(id work.JobID) bool { return id != "foreign" },
		Ask:     func(_ context.Context, r relay.StoredRequest) *relay.StoredReply { return ask(r) },
		Counts:  &ledger.Counts{}, Now: func() time.Duration { return time.Since(begun) }, Logger: log,
	})
	h.SetDispatcher(h.dispatcher)
	t.Cleanup(h.end)
	return h
}

func (h *holder) end() { h.Sync(ledger.Share{}) }

// ask sends a request and returns the reply, or one without a result if none comes.
func (h *holder) ask(r relay.StoredRequest) relay.StoredReply {
	replies := make(chan *relay.StoredReply, 1)
	h.Handle(&r, func(a *relay.StoredReply) { replies <- a })
	select {
	case a := <-replies:
		return *a
	case <-time.After(5 * time.Second):
		return relay.StoredReply{}
	}
}

func (h *holder) submit(id work.JobID) relay.StoredResult {
	return h.ask(relay.StoredRequest{Operation: relay.StoredSubmit, Job: job(id)}).Result
}

func (h *holder) state(id work.JobID) relay.StoredReply {
	return h.ask(relay.StoredRequest{Operation: relay.StoredState, ID: id})
}

func job(id work.JobID) *work.Job {
	return &work.Job{ID: id, Queue: "q", Steps: []work.Step{{Count: 2}}, Objective: work.Objective{Attempts: 2}}
}

func success(id work.JobID, index int) work.End {
	return work.End{Sequence: 1, Task: work.TaskID{Job: id, Index: index}, Run: 1, Reason: work.EndSucceeded}
}

// Guards against requests that come before the holder has read its partition: they crashed the process.
func TestRequestsBeforeTheLogIsRead(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	s.SetDown(true)
	h := newHolder(t, s, 32)
	is.Equal(h.submit("a"), relay.StoredNoHolder)
	is.Equal(h.state("a").Result, relay.StoredNoHolder)
	is.Equal(h.RecordEnd(success("a", 0), 0, func() {}), shard.Undecided)
	s.SetDown(false)
	wait.For(t, "the log is held", h.held)
	is.Equal(h.state("a").Result, relay.StoredNoJob)
}

// Guards against a job that is answered as not stored although its append was carried out and only the answer lost, and against a
// refused one that stays.
func TestAppendWithoutAnswer(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newHolder(t, s, 32)
	wait.For(t, "the log is held", h.held)
	s.FailAppends(keyed.LoseAnswer)
	is.Equal(h.submit("a"), relay.StoredDone)
	is.True(h.has(&h.started, "a"))
	s.FailAppends(keyed.Refuse)
	is.Equal(h.submit("b"), relay.StoredNotSaved)
	is.True(h.has(&h.dropped, "b"))
	is.Equal(h.state("b").Result, relay.StoredNoJob)
	h.refuse = true
	is.Equal(h.submit("c"), relay.StoredRefused)
	is.Equal(h.submit("a"), relay.StoredDone) // a repeat of an accepted job is not decided anew
}

// Guards against a job that is lost because its holder was replaced between the append and the answer, and against an older holder that
// still accepts, records or denies jobs.
func TestReplacedHolder(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	old := newHolder(t, s, 32)
	wait.For(t, "the log is held", old.held)
	is.Equal(old.submit("a"), relay.StoredDone)
	successor := newHolder(t, s, 64)
	wait.For(t, "the successor holds the log", successor.held)
	is.Equal(len(successor.resumed), 1)
	is.Equal(successor.submit("a"), relay.StoredDone)
	recorded := make(chan bool, 1)
	old.RecordEnd(success("a", 0), 0, func() { recorded <- true })
	is.True(old.submit("b") != relay.StoredDone)
	is.Equal(successor.state("b").Result, relay.StoredNoJob)
	is.Equal(successor.submit("c"), relay.StoredDone)
	is.True(old.state("c").Result != relay.StoredNoJob)
	is.Equal(len(recorded), 0)
}

// Guards against an end that an endpoint may forget before the store has it, and against one that the next holder does not know.
func TestEndsOutliveTheHolder(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newHolder(t, s, 32)
	wait.For(t, "the log is held", h.held)
	is.Equal(h.submit("a"), relay.StoredDone)
	s.SetDown(true)
	recorded := make(chan bool, 2)
	is.Equal(h.RecordEnd(success("a", 0), 0, func() { recorded <- true }), shard.RecordedSoon)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(recorded), 0)
	s.SetDown(false)
	<-recorded
	s.SetDown(true)
	h.RecordEnd(success("a", 1), 0, func() { recorded <- true })
	h.end()                            // before the second end is stored
	time.Sleep(100 * time.Millisecond) // the stand-in carries out an append in progress
	s.SetDown(false)
	next := newHolder(t, s, 64)
	wait.For(t, "the successor holds the log", next.held)
	is.Equal(next.resumed[0].Succeeded, []work.TaskID{{Job: "a"}})
	is.Equal(len(recorded), 0)
	next.JobEnded("a", work.Completed)
	is.Equal(next.state("a").State, work.Completed) // waits until the end is stored
	last := newHolder(t, s, 96)
	wait.For(t, "the last holds the log", last.held)
	is.Equal(len(last.resumed), 0)
	is.Equal(last.state("a").State, work.Completed)
}

// Guards against crashes under a stored task that are forgotten with the dispatcher that has seen them: the task crashes further endpoints at each
// successor.
func TestCrashesOutliveTheHolder(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newHolder(t, s, 32)
	wait.For(t, "the log is held", h.held)
	is.Equal(h.submit("a"), relay.StoredDone)
	task := work.TaskID{Job: "a", Index: 1}
	h.RecordCrash(task, 1)
	h.RecordCrash(task, 2)
	h.RecordCrash(work.TaskID{Job: "unknown"}, 1)
	recorded := make(chan bool, 1)
	h.RecordEnd(success("a", 0), 0, func() { recorded <- true })
	<-recorded
	next := newHolder(t, s, 64)
	wait.For(t, "the successor holds the log", next.held)
	is.Equal(next.resumed[0].Unsuccessful, []attempt.Attempt{
		{Task: task, Run: 1, Outcome: attempt.Crashed}, {Task: task, Run: 2, Outcome: attempt.Crashed},
	})
}

// unreachable is a transport that reaches no holder.
type unreachable struct{}

func (unreachable) Send(string, *relay.StoredRequest, func(*relay.StoredReply)) bool { return false }

// newCutOffClient returns a client of a zone with one partition that reaches the store and no holder.
func newCutOffClient(s joblog.Log, vacancy func(string) time.Duration) *ledger.Client {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return ledger.NewClient(ledger.ClientOptions{
		Transport: unreachable{}, Log: s, Topic: func(string) string { return topic }, Zones: []string{"north"}, LogPartitions: 1,
		Announce: func(context.Context) error { return nil }, Vacancy: vacancy, Logger: log,
	})
}

// Guards against a job or a cancel that is lost when its instance cannot reach the holder, and against a refusal of a job that the store
// has.
func TestAppendInPlaceOfTheHolder(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newHolder(t, s, 32)
	wait.For(t, "the log is held", h.held)
	c := newCutOffClient(s, nil)
	s.FailAppends(keyed.LoseAnswer, keyed.Refuse)
	is.Equal(c.Submit(t.Context(), job("a"), time.Now()).Result, ledger.Done)
	wait.For(t, "the holder finds the job", func() bool { return h.has(&h.added, "a") })
	waiting, ok := c.Pending(t.Context(), "q")
	is.True(ok)
	is.Equal(waiting, 1)
	is.Equal(c.Cancel(t.Context(), "a").State, work.Cancelled)
	wait.For(t, "the holder finds the cancel", func() bool { return h.state("a").State == work.Cancelled })
	is.True(h.has(&h.dropped, "a"))
	is.Equal(c.Cancel(t.Context(), "b").Result, ledger.NoJob) // before its submission; the record is appended all the same
	wait.For(t, "the holder finds the cancel", func() bool { return h.Dump()[0].Known == 2 })
	is.Equal(h.submit("b"), relay.StoredDone)
	is.Equal(h.state("b").State, work.Cancelled)
	is.True(!h.has(&h.started, "b"))
	s.SetDown(true)
	is.Equal(c.Submit(t.Context(), job("d"), time.Now()).Result, ledger.NotSaved)
}

// Guards against a cancelled job that stays queued because the holder reads its submission and its cancel, which another instance has
// appended, in one batch.
func TestSubmissionAndCancelInOneBatch(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newHolder(t, s, 32)
	wait.For(t, "the log is held", h.held)
	appendRecords(t, s, joblog.Submission{Job: *job("a")}, joblog.Cancel{Job: "a"})
	appendRecords(t, s, joblog.Cancel{Job: "b"}, joblog.Submission{Job: *job("b")})
	for _, id := range []work.JobID{"a", "b"} {
		wait.For(t, "the holder ends the job", func() bool { return h.state(id).State == work.Cancelled })
		is.True(!h.has(&h.added, id))
	}
	is.Equal(h.Dump()[0].Live, 0)
}

// appendRecords appends records in one batch, as an instance does that cannot reach the holder.
func appendRecords(t *testing.T, s *keyed.Store, all ...any) {
	is := is.New(t)
	var records []store.Record
	for _, content := range all {
		r, err := joblog.Encode(content)
		is.NoErr(err)
		records = append(records, r)
	}
	_, err := s.Append(t.Context(), store.Append{Topic: topic, Records: records})
	is.NoErr(err)
}

// Guards against the state of a job that is read while an append changes it. It needs the race detector.
func TestRepeatedSubmissionDuringTheEnd(t *testing.T) {
	is := is.New(t)
	h := newHolder(t, keyed.New(), 32)
	wait.For(t, "the log is held", h.held)
	for n := range 20 {
		id := work.JobID(rune('a' + n))
		is.Equal(h.submit(id), relay.StoredDone)
		var ended atomic.Bool
		var repeats sync.WaitGroup
		for range 4 {
			repeats.Go(func() {
				for !ended.Load() {
					h.submit(id)
				}
			})
		}
		h.JobEnded(id, work.Completed)
		is.Equal(h.state(id).State, work.Completed)
		ended.Store(true)
		repeats.Wait()
	}
}

// Guards against a number of waiting jobs that was true some time ago, given while neither the holder nor the store can be asked.
func TestPendingThatIsNotKnown(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	c := newCutOffClient(s, nil)
	waiting, ok := c.Pending(t.Context(), "q")
	is.True(ok)
	is.Equal(waiting, 0)
	is.Equal(c.Submit(t.Context(), job("a"), time.Now()).Result, ledger.Done)
	s.SetDown(true)
	time.Sleep(2 * time.Second)
	_, ok = c.Pending(t.Context(), "q")
	is.True(!ok)
	s.SetDown(false)
	wait.For(t, "the job is counted", func() bool {
		waiting, ok := c.Pending(t.Context(), "q")
		return ok && waiting == 1
	})
}

// Guards against a job that is accepted although its zone has had no dispatcher for long and may never get one.
func TestSubmissionToAVacantZone(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	vacancy := 2 * time.Second
	c := newCutOffClient(s, func(string) time.Duration { return vacancy })
	is.Equal(c.Submit(t.Context(), job("a"), time.Now()).Result, ledger.Done)
	vacancy = 20 * time.Second
	is.Equal(c.Submit(t.Context(), job("b"), time.Now()).Result, ledger.NotSaved)
	b, err := s.Newest(t.Context(), topic, 0)
	is.NoErr(err)
	is.Equal(len(b.Records), 1)
}

// Guards against instances that look for a job in different places, and against partitions that exceed the store's writes.
func TestPlaces(t *testing.T) {
	is := is.New(t)
	is.Equal(ledger.PartitionsFor(600, 3, 16), 4)
	is.Equal(ledger.PartitionsFor(3200, 5, 16), 16)
	is.Equal(ledger.PartitionsFor(0, 3, 2), 2)
	is.Equal(ledger.ZoneOf("4af73a5bb1d04c10", []string{"a", "b", "c"}), "a")
	held := map[int]int{}
	for p := range 8 {
		held[ledger.DispatcherOf(p, 8, 4)]++
	}
	is.Equal(held, map[int]int{0: 2, 1: 2, 2: 2, 3: 2})
}
