package joblog

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

func newWriter(s *keyed.Store, epoch int64) *Writer {
	log, _ := logrustest.NewNullLogger()
	return NewWriter(Options{Log: s, Partition: partition, Epoch: epoch, Logger: log})
}

// count returns how often each key was appended to the partition.
func count(t rapid.TB, s *keyed.Store) map[string]int {
	b, err := s.Read(context.Background(), partition.Topic, partition.Number, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	n := map[string]int{}
	for _, r := range b.Records {
		n[r.Key]++
	}
	return n
}

// outcomes collects what the callers were told, by key.
type outcomes map[string]Outcome

func (o outcomes) done(t rapid.TB, key string) Done {
	return func(outcome Outcome, _ error) {
		if o[key] != 0 {
			t.Fatalf("%s is told twice", key)
		}
		o[key] = outcome
	}
}

// request queues the submission of a job without waiting.
func (o outcomes) request(t rapid.TB, w *Writer, id work.JobID) {
	r := record(t, Submission{work.Job{ID: id}})
	if _, room := w.queue.request([]store.Record{r}, o.done(t, r.Key)); !room {
		t.Fatal("no room")
	}
}

func attempts(w *Writer, n int) (v verdict) {
	for range n {
		v, _ = w.attempt(context.Background())
	}
	return v
}

// Guards against outcomes that are not true under any sequence of refused, lost, unanswered and late appends and a takeover:
// a job that runs although its caller was told that it never does, one that is lost although it was accepted, and records
// that are appended twice.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := keyed.New()
		w := newWriter(s, 1)
		if err := w.Open(context.Background()); err != nil {
			t.Fatal(err)
		}
		faults := []keyed.Fault{keyed.None, keyed.Refuse, keyed.LoseCall, keyed.LoseAnswer, keyed.Delay}
		s.FailAppends(rapid.SliceOfN(rapid.SampledFrom(faults), 0, 12).Draw(t, "faults")...)
		told := outcomes{}
		var ended []string
		n := 0
		takeover := rapid.IntRange(0, 40).Draw(t, "takeover")
		for i := range 40 {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n++
				if w.closed == nil {
					told.request(t, w, work.JobID(fmt.Sprint(n)))
				}
			case 1:
				n++
				r := record(t, End{work.JobID(fmt.Sprint(n)), work.Completed})
				if w.Keep(work.JobID(fmt.Sprint(n)), []store.Record{r}, told.done(t, r.Key)) == nil {
					ended = append(ended, r.Key)
				}
			case 2:
				s.Deliver()
			default:
				if w.closed == nil {
					attempts(w, 1)
				}
			}
			if i == takeover {
				s.FailAppends()
				if err := newWriter(s, 2).Open(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
		}
		s.FailAppends()
		for w.closed == nil && attempts(w, 1) != 0 {
		}
		s.Deliver()
		appended := count(t, s)
		for key, outcome := range told {
			switch {
			case outcome == Stored && appended[key] != 1:
				t.Fatalf("%s was stored %d times", key, appended[key])
			case outcome == NeverStored && appended[key] != 0:
				t.Fatalf("%s was stored %d times although its caller was told that it never is", key, appended[key])
			case appended[key] > 1:
				t.Fatalf("%s was stored %d times", key, appended[key])
			}
		}
		for _, key := range ended {
			if told[key] == 0 || w.closed == nil && told[key] != Stored {
				t.Fatalf("the holder's %s has outcome %v", key, told[key])
			}
		}
	})
}

// Guards against a caller who is refused, or not told anything, although the append was done, at once or seconds later.
func TestNoAnswer(t *testing.T) {
	for _, fault := range []keyed.Fault{keyed.LoseAnswer, keyed.Delay, keyed.LoseCall} {
		is := is.New(t)
		s, told := keyed.New(), outcomes{}
		w := newWriter(s, 1)
		told.request(t, w, "a")
		s.FailAppends(fault, keyed.Refuse)
		is.Equal(attempts(w, 2), groupUncertain) // the refusal of a repeat proves nothing
		is.Equal(told["s/a"], Outcome(0))
		told.request(t, w, "b") // does not join the group whose repeat the store must recognize
		s.Deliver()
		is.Equal(attempts(w, 2), groupStored)
		is.Equal(told, outcomes{"s/a": Stored, "s/b": Stored})
		is.Equal(count(t, s), map[string]int{"s/a": 1, "s/b": 1})
	}
}

// Guards against a holder that was replaced and wakes: nothing of it may be appended, and what it had sent is not known to it.
func TestFencedHolder(t *testing.T) {
	is := is.New(t)
	s, told := keyed.New(), outcomes{}
	old := newWriter(s, 1)
	is.NoErr(old.Open(t.Context()))
	told.request(t, old, "sent")
	s.FailAppends(keyed.Delay)
	attempts(old, 1)
	told.request(t, old, "waiting")
	next := newWriter(s, 2)
	is.NoErr(next.Open(t.Context()))
	s.Deliver() // carried out seconds later
	err := old.Run(t.Context())
	is.True(errors.Is(err, store.ErrFenced))
	is.Equal(told, outcomes{"s/sent": NotKnown, "s/waiting": NeverStored})
	is.Equal(len(count(t, s)), 0)
	_, err = old.Store(t.Context(), record(t, Submission{testJob("c")}))
	is.True(errors.Is(err, ErrClosed))
	is.True(errors.Is(old.Open(t.Context()), store.ErrFenced))
}

// Guards against a second writer with the same epoch whose appends the store takes for repeats of the first one's, so that its
// callers are told stored although nothing was.
func TestSameEpoch(t *testing.T) {
	is := is.New(t)
	s, told := keyed.New(), outcomes{}
	first, second := newWriter(s, 1), newWriter(s, 1)
	is.NoErr(first.Open(t.Context()))
	told.request(t, first, "a")
	is.Equal(attempts(first, 1), groupStored)
	is.True(errors.Is(second.Open(t.Context()), store.ErrConflict))
	told.request(t, second, "b")
	is.Equal(attempts(second, 1), holderReplaced)
	is.Equal(told, outcomes{"s/a": Stored, "s/b": NeverStored})
}

// Guards against a holder that dies between append and answer and whose successor does not find the job, and against a job that
// is twice in the state because it was submitted at two instances.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	s, told := keyed.New(), outcomes{}
	first := newWriter(s, 1)
	is.NoErr(first.Open(t.Context()))
	told.request(t, first, "a")
	s.FailAppends(keyed.LoseAnswer)
	attempts(first, 1) // the holder dies here
	own := store.Append{Topic: partition.Topic, Partition: partition.Number, Records: []store.Record{record(t, Submission{testJob("a")})}}
	_, err := s.Append(t.Context(), own) // an entry instance that does not reach the holder
	is.NoErr(err)
	second := newWriter(s, 2)
	is.NoErr(second.Open(t.Context()))
	jobs, _, err := Load(t.Context(), s, partition, 0, second.log())
	is.NoErr(err)
	is.Equal(jobs.Live(), []work.JobID{"a"})
}

// Guards against ends that are lost while the store is down or full, against requests that wait for it instead of being
// refused, and against a store that was down at the start.
func TestStoreDownOrFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		w := newWriter(s, 1)
		s.SetDown(true)
		time.AfterFunc(5*time.Second, func() { s.SetDown(false) })
		is.NoErr(w.Open(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		outcome, err := w.Store(ctx, record(t, Submission{testJob("a")}))
		is.NoErr(err)
		is.Equal(outcome, Stored)

		s.SetMaxBytes(1)
		kept := make(chan Outcome, 2)
		done := func(o Outcome, _ error) { kept <- o }
		is.NoErr(w.Keep("a", []store.Record{record(t, Progress{"a", ends(0, 1)})}, done))
		outcome, err = w.Store(ctx, record(t, Submission{testJob("b")}))
		is.Equal(outcome, NeverStored)
		is.True(errors.Is(err, store.ErrFull))
		is.NoErr(w.Keep("a", []store.Record{record(t, End{"a", work.Completed}), progress.drop("a")}, done))
		synctest.Wait()
		s.SetMaxBytes(0)
		is.Equal(<-kept, Stored)
		is.Equal(<-kept, Stored)
		is.Equal(count(t, s), map[string]int{"s/a": 1, "e/a": 1, "p/a": 1}) // the waiting progress was replaced by its deletion
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// Guards against a caller that waits beyond its time, and against one whose submission is stored after it was told otherwise.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	w := newWriter(s, 1)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	outcome, _ := w.Store(gone, record(t, Submission{testJob("a")}))
	is.Equal(outcome, NeverStored)
	is.Equal(attempts(w, 1), verdict(0))

	s.FailAppends(keyed.LoseCall)
	waiting, cancel := context.WithCancel(t.Context())
	answered := make(chan Outcome)
	go func() {
		outcome, _ := w.Store(waiting, record(t, Submission{testJob("b")}))
		answered <- outcome
	}()
	for attempts(w, 1) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.Equal(<-answered, NotKnown)
	is.Equal(attempts(w, 1), groupStored)
}

// Guards against records that wait for the store without a bound, and against ends that find no room because of requests.
func TestBacklog(t *testing.T) {
	is := is.New(t)
	w := newWriter(keyed.New(), 1)
	large := work.Job{Spec: string(make([]byte, maxRecordBytes/2))}
	accepted := 0
	for n := range 1000 {
		large.ID = work.JobID(fmt.Sprint(n))
		if _, room := w.queue.request([]store.Record{record(t, Submission{large})}, func(Outcome, error) {}); room {
			accepted++
		}
	}
	is.True(accepted > 10 && w.queue.bytes <= maxRequestBytes)
	for _, id := range []work.JobID{"a", "b"} { // the largest records that a holder may have
		own := store.Record{Key: progress.key(id), Value: make([]byte, maxRecordBytes)}
		is.NoErr(w.Keep(id, []store.Record{own}, func(Outcome, error) {}))
	}
	records := 0
	for records < accepted+2 {
		group := w.queue.next()
		is.True(len(group) > 0 && size(group) <= maxGroupBytes)
		records += len(group)
		w.queue.settle(groupStored, nil)
	}
	is.Equal(w.queue.bytes, 0)
}

// Guards against a group interval that no longer joins records: each would cost a call.
func TestGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWriter(keyed.New(), 1)
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		for n := range 200 { // one job each 2 ms
			is.NoErr(w.Keep(work.JobID(fmt.Sprint(n)), []store.Record{record(t, Submission{testJob(work.JobID(fmt.Sprint(n)))})}, func(Outcome, error) {}))
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		stats := w.Stats()
		is.Equal(stats.Records, int64(200))
		is.True(stats.Appends >= 14 && stats.Appends <= 18) // 400 ms at one append in 25 ms
		cancel()
		synctest.Wait()
	})
}

// Guards against history that is kept although nobody reads it, and against records that are trimmed before readers had time.
func TestHistory(t *testing.T) {
	is := is.New(t)
	h := &History{}
	for second := range 60 {
		now := time.Duration(second) * time.Second
		h.Appended(store.Appended{End: int64(100 * second)}, now)
		before, ok := h.Trim(now)
		is.Equal(ok, second > 0 && second%10 == 0)
		if ok {
			is.Equal(before, int64(100*(second-10)))
		}
	}
}
