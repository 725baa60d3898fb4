package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/platform"
)

// fakeLog is a log in memory with faults that a test can switch on.
type fakeLog struct {
	mu       sync.Mutex
	clock    clockwork.Clock
	records  []platform.Record
	first    int64  // offset of the oldest record that is retained
	down     bool   // calls fail without effect
	loseNext string // "effect": the next append takes effect and only its answer is lost; "all": it has no effect either
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	lose := l.loseNext
	l.loseNext = ""
	if lose == "all" {
		return 0, platform.ErrUnknown
	}
	offset := int64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, Time: l.clock.Now(), Data: data})
	if lose == "effect" {
		return 0, platform.ErrUnknown
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, max int) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := platform.Batch{First: l.first, Next: int64(len(l.records))}
	switch {
	case l.down:
		return platform.Batch{}, platform.ErrUnavailable
	case from < l.first:
		return b, platform.ErrTruncated
	case from < b.Next:
		b.Records = append(b.Records, l.records[from:min(from+int64(max), b.Next)]...)
	}
	return b, nil
}

func (l *fakeLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *fakeLog) dropAll() { l.set(func() { l.first = int64(len(l.records)) }) }

// peers holds controllers by name and returns their states.
type peers map[string]*Controller

func (p peers) Fetch(_ context.Context, peer string) (Snapshot, error) {
	if c := p[peer]; c != nil {
		return c.Snapshot(), nil
	}
	return Snapshot{}, errors.New("unreachable")
}

func newQuietController(o Options) *Controller {
	l := logrus.New()
	l.SetOutput(io.Discard)
	o.Logger = l
	return New(o)
}

type testSystem struct {
	is    *is.I
	ctx   context.Context
	clock *clockwork.FakeClock
	log   *fakeLog
	peers peers
}

func newTestSystem(t *testing.T) *testSystem {
	clock := clockwork.NewFakeClock()
	return &testSystem{is: is.New(t), ctx: t.Context(), clock: clock, log: &fakeLog{clock: clock}, peers: peers{}}
}

func (w *testSystem) instance(name string) *Controller {
	c := newQuietController(Options{Log: w.log, Peers: w.peers, Name: name, Clock: w.clock, LiveInstances: func() []string { return []string{"a", "b", "c"} }})
	w.peers[name] = c
	return c
}

func (w *testSystem) publish(c *Controller, mark int) Outcome {
	return c.Publish(w.ctx, Publication{Author: fmt.Sprint("author", mark), Document: validDoc(mark), Replaces: c.Version()})
}

// publishBehind publishes through an instance that misses records. Publish then waits for a few poll intervals before
// it rejects the document, so the clock is advanced until it returns.
func (w *testSystem) publishBehind(c *Controller, mark int) Outcome {
	done := make(chan Outcome, 1)
	go func() { done <- w.publish(c, mark) }()
	for {
		select {
		case out := <-done:
			return out
		case <-time.After(time.Millisecond): // the outcome does not depend on how often the clock is advanced
			w.clock.Advance(defaultPollInterval)
		}
	}
}

// Guards against an outage of the log that makes instances lose their configuration or keeps it from reaching others.
func TestLogOutage(t *testing.T) {
	w := newTestSystem(t)
	a, b := w.instance("a"), w.instance("b")
	w.is.Equal(w.publish(a, 1), Outcome{Status: OutcomePublished, Version: 1, Author: "author1"})
	w.log.set(func() { w.log.down = true })
	w.is.True(a.poll(w.ctx) != nil)
	w.is.NoErr(a.Ready())
	w.is.Equal(w.publish(a, 2).Status, OutcomeRejected)
	w.is.Equal(a.Version(), uint64(1))
	w.is.True(b.poll(w.ctx) != nil)
	w.is.True(b.Ready() != nil) // no configuration yet
	b.ObserveVersion("a", 1)
	b.fetch(w.ctx)
	w.is.Equal(b.Snapshot(), a.Snapshot())
	w.log.set(func() { w.log.down = false })
	w.is.Equal(w.publish(b, 2).Version, uint64(2))
	text, err := b.Diff(1, 2)
	w.is.NoErr(err)
	w.is.True(strings.Contains(text, "-    max_run_time: 11s\n+    max_run_time: 12s"))
}

// Guards against a publication that is reported as failed although it was published, and against one that is applied
// twice. Both can happen when the answer to an append is lost.
func TestLostAnswers(t *testing.T) {
	w := newTestSystem(t)
	a := w.instance("a")
	w.log.loseNext = "effect"
	w.is.Equal(w.publish(a, 1).Status, OutcomePublished)
	w.is.Equal(len(w.log.records), 1)
	again := Publication{Author: "author1", Document: validDoc(1), Nonce: a.Snapshot().Nonce}
	w.is.Equal(a.Publish(w.ctx, again).Status, OutcomePublished)
	again.Nonce = "another"
	w.is.Equal(a.Publish(w.ctx, again).Status, OutcomeConflict)
	w.is.Equal(len(w.log.records), 1)

	a.opts.PublishTimeout = 24 * time.Hour // the clock may move on while the publication is not waiting for it
	w.log.loseNext = "all"
	done := make(chan Outcome)
	go func() { done <- w.publish(a, 2) }()
	w.is.Equal(w.advanceUntil(done), Outcome{Status: OutcomePublished, Version: 2, Author: "author2"})
	w.log.records = append(w.log.records, platform.Record{Offset: 2, Data: w.log.records[1].Data}) // the lost append takes effect late
	w.is.NoErr(a.poll(w.ctx))
	w.is.Equal(a.Version(), uint64(2))
}

// advanceUntil advances the clock by a poll interval whenever two timers wait for it or 10 ms have passed, until an
// outcome arrives.
func (w *testSystem) advanceUntil(done chan Outcome) Outcome {
	for {
		step, cancel := context.WithTimeout(w.ctx, 10*time.Millisecond)
		_ = w.clock.BlockUntilContext(step, 2) // the publication's timeout and its pause
		cancel()
		select {
		case out := <-done:
			return out
		default:
			w.clock.Advance(defaultPollInterval)
		}
	}
}

// Guards against an unknown outcome that is reported as a rejection although the record may still be accepted.
func TestOutcomeUnknown(t *testing.T) {
	w := newTestSystem(t)
	a := w.instance("a")
	w.log.loseNext = "effect"
	log := &unreadableLog{fakeLog: w.log}
	a.opts.Log = log
	done := make(chan Outcome)
	go func() { done <- w.publish(a, 1) }()
	w.is.Equal(w.advanceUntil(done).Status, OutcomeUnknown)
	a.opts.Log = w.log
	w.is.NoErr(a.poll(w.ctx))
	w.is.Equal(a.Version(), uint64(1)) // the record had been appended and accepted
}

// unreadableLog is a log that can no longer be read after the first append.
type unreadableLog struct{ *fakeLog }

func (l *unreadableLog) Read(ctx context.Context, stream string, from int64, max int) (platform.Batch, error) {
	b, err := l.fakeLog.Read(ctx, stream, from, max)
	if b.Next > 0 {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return b, err
}

// Guards against two operators who publish on the same base at the same time and are both told that they succeeded.
func TestRacingOperators(t *testing.T) {
	w := newTestSystem(t)
	a, b := w.instance("a"), w.instance("b")
	for round := range 20 {
		w.is.NoErr(a.poll(w.ctx))
		w.is.NoErr(b.poll(w.ctx))
		base := a.Version()
		outs := make([]Outcome, 2)
		var wg sync.WaitGroup
		for i, c := range []*Controller{a, b} {
			wg.Go(func() {
				outs[i] = c.Publish(w.ctx, Publication{Author: fmt.Sprint("op", i), Document: validDoc(2*round + i), Replaces: base})
			})
		}
		wg.Wait()
		win, lose := outs[0], outs[1]
		if win.Status != OutcomePublished {
			win, lose = lose, win
		}
		w.is.Equal(win.Status, OutcomePublished)
		w.is.Equal(lose, Outcome{Status: OutcomeConflict, Version: base + 1, Author: win.Author})
	}
	w.is.NoErr(a.poll(w.ctx))
	w.is.NoErr(b.poll(w.ctx))
	w.is.Equal(a.Snapshot(), b.Snapshot())
}

// Guards against an instance that accepts a record although it misses the records before it, which the retention
// dropped: instances that have folded those refuse the record.
func TestRetentionDropsEverything(t *testing.T) {
	w := newTestSystem(t)
	a, b := w.instance("a"), w.instance("b")
	w.publish(a, 1)
	w.is.NoErr(b.poll(w.ctx))
	w.publish(a, 2)
	w.log.dropAll()
	stale := encoded(publishRecord(1, "stale", validDoc(9)))
	_, err := w.log.Append(w.ctx, Stream, stale)
	w.is.NoErr(err)
	w.is.Equal(w.publish(a, 3).Version, uint64(3))
	w.is.NoErr(b.poll(w.ctx))
	w.is.Equal(b.Version(), uint64(1))
	w.is.Equal(w.publishBehind(b, 4).Status, OutcomeRejected)
	b.ObserveVersion("a", 3)
	b.fetch(w.ctx)
	w.is.NoErr(b.poll(w.ctx))
	w.is.Equal(b.Snapshot(), a.Snapshot())

	// No instance that has folded the records is left, and the log has dropped them: an operator restores a document.
	w.log.dropAll()
	d := w.instance("d")
	w.is.Equal(w.publishBehind(d, 5).Status, OutcomeRejected)
	w.is.Equal(d.Restore(w.ctx, "ann", validDoc(5)).Status, OutcomePublished)
	w.is.Equal(w.publish(d, 6).Status, OutcomePublished)
	w.is.Equal(d.Restore(w.ctx, "ann", validDoc(7)).Status, OutcomeNotNeeded)
}

// Guards against faults after a log has lost its records and its offsets start at 0 again: that no instance can publish
// any more, or that an instance returns to the versions of the new log's first records.
func TestLogRestarts(t *testing.T) {
	w := newTestSystem(t)
	a, b := w.instance("a"), w.instance("b")
	for mark := range 3 {
		w.publish(a, mark)
	}
	w.is.NoErr(b.poll(w.ctx))
	first := w.log.records[:1]
	w.log.set(func() { w.log.records = append([]platform.Record(nil), first...) })
	w.is.Equal(w.publish(a, 4).Version, uint64(4))
	a.writeCheckpoint(w.ctx)
	w.is.NoErr(b.poll(w.ctx))
	w.is.Equal(b.Snapshot().Digest, a.Snapshot().Digest)
	w.is.Equal(w.publish(b, 5).Version, uint64(5))
}

// Guards against an appended record that every instance refuses, because JSON altered its document or it is too large.
func TestPublishRefusesWhatNoRecordCanHold(t *testing.T) {
	w := newTestSystem(t)
	a := w.instance("a")
	for _, p := range []Publication{
		{Author: "x", Document: append(validDoc(1), "# \xff\n"...)},
		{Author: "x", Document: validDoc(1), Nonce: "\xff"},
		{Author: "x", Document: append(validDoc(1), "#"+strings.Repeat("\x01", 60_000)...)}, // six bytes each in JSON
		{Author: strings.Repeat("x", 200), Document: validDoc(1)},
	} {
		w.is.Equal(a.Publish(w.ctx, p).Status, OutcomeRejected)
	}
	w.is.Equal(len(w.log.records), 0)
}

// Guards against a new instance that waits for the log although peers have the configuration, against a peer's older
// state that reverts the version, and against subscribers that see versions out of order.
func TestNewInstanceStartsFromPeer(t *testing.T) {
	w := newTestSystem(t)
	old, a := w.instance("old"), w.instance("a")
	w.publish(old, 1)
	w.is.NoErr(a.poll(w.ctx))
	w.publish(a, 2)
	w.log.set(func() { w.log.down = true })

	n := w.instance("n")
	got := make(chan uint64, 10)
	n.Subscribe(func(u Update) { got <- u.State.Version })
	ctx, cancel := context.WithCancel(w.ctx)
	ended := make(chan error)
	go func() { ended <- n.Run(ctx) }()
	n.ObserveVersion("old", 1)
	w.is.Equal(<-got, uint64(1))
	n.ObserveVersion("a", 2)
	w.is.Equal(<-got, uint64(2))
	n.ObserveVersion("old", 9) // a heartbeat with a higher version than the peer has
	w.is.True(!n.fetchFrom(w.ctx, "old"))
	w.is.Equal(n.Snapshot(), a.Snapshot())
	cancel()
	w.is.True(errors.Is(<-ended, context.Canceled))
	w.is.Equal(len(got), 0)
}

// Guards against instances that start together, do not know each other yet and all write a checkpoint: a log that keeps
// few records then drops records that no instance has folded.
func TestNoCheckpointWhileMembersAreNotKnown(t *testing.T) {
	w := newTestSystem(t)
	known := false
	c := newQuietController(Options{Log: w.log, Peers: w.peers, Name: "a", Clock: w.clock, LiveInstances: func() []string {
		if known {
			return []string{"a"}
		}
		return nil
	}})
	w.is.Equal(w.publish(c, 1).Status, OutcomePublished)
	c.writeCheckpoint(w.ctx)
	w.is.Equal(len(w.log.records), 1) // the publication
	known = true
	c.writeCheckpoint(w.ctx)
	w.is.Equal(len(w.log.records), 2)
}

// Guards against instances that find no state to start from after all of them were restarted, because publications have
// pushed the newest checkpoint out of a log that keeps few records.
func TestCheckpointPushedOutOfTheLog(t *testing.T) {
	w := newTestSystem(t)
	c := newQuietController(Options{Log: w.log, Peers: w.peers, Name: "a", Clock: w.clock, LiveInstances: func() []string { return []string{"a"} }})
	follow := func() {
		w.is.NoErr(c.poll(w.ctx))
		c.writeCheckpoint(w.ctx)
	}
	w.is.Equal(w.publish(c, 1).Status, OutcomePublished)
	follow() // the first checkpoint
	w.is.Equal(w.publish(c, 2).Status, OutcomePublished)
	w.is.Equal(w.publish(c, 3).Status, OutcomePublished)
	follow()
	w.is.Equal(len(w.log.records), 4) // no second checkpoint, because the log still holds the first one
	w.log.set(func() { w.log.first = 2 })
	follow()
	w.is.Equal(len(w.log.records), 5)
	follow()
	w.is.Equal(len(w.log.records), 5) // a second checkpoint is not needed
	w.log.set(func() { w.log.first = 4 })
	restarted := w.instance("a")
	w.is.NoErr(restarted.poll(w.ctx))
	w.is.Equal(restarted.Version(), uint64(3))
}

// Guards against a version whose record the log's retention drops before a checkpoint repeats it, also while the instance
// that is due to write the checkpoint is down.
func TestCheckpoints(t *testing.T) {
	w := newTestSystem(t)
	all := []*Controller{w.instance("a"), w.instance("b"), w.instance("c")}
	w.publish(all[0], 1)
	for _, skipped := range []int{-1, 0, 1} { // the instance of this rank writes no checkpoint; -1: all write
		for range 6 {
			for _, c := range all {
				w.is.NoErr(c.poll(w.ctx))
				if c.checkpointRank(c.opts.LiveInstances(), 1) != skipped {
					c.writeCheckpoint(w.ctx)
				}
			}
			w.clock.Advance(defaultRetention / 16)
		}
		last := w.log.records[len(w.log.records)-1]
		w.is.True(w.clock.Since(last.Time) <= defaultRetention/2)
	}
	w.is.True(len(w.log.records) <= 7) // one publication and at most one checkpoint per quarter
	w.log.set(func() { w.log.first = int64(len(w.log.records)) - 1 })
	n := w.instance("n")
	w.is.NoErr(n.poll(w.ctx))
	w.is.Equal(n.Snapshot().Digest, all[0].Snapshot().Digest)
	w.is.Equal(w.publish(n, 2).Version, uint64(2))
}
