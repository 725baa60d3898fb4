package ledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// appendElsewhere appends a record like an instance that does not reach the holder.
func appendElsewhere(t *testing.T, s *keyed.Store, record any) {
	t.Helper()
	r, err := joblog.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Append(t.Context(), store.Append{Topic: topic, Records: []store.Record{r}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against an end that is forgotten because its dispatcher knows that there are stored jobs and does not hold the log yet: the task
// started again after the next change of the holder (review/8).
func TestEndBeforeTheLogIsHeld(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newLedger(t, s, 1, func(relay.StoredRequest) *relay.StoredReply { return nil })
	recorded := make(chan bool, 1)
	is.True(h.RecordEnd(success("a", 0), 0, func() { recorded <- true }) != shard.NotStored)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(recorded), 0)
}

// Guards against an end that is forgotten because another instance has stored its job, an earlier dispatcher has started it, and the
// present holder has not read it yet.
func TestEndOfAJobThatWasNotRead(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newHolder(t, s, 32)
	wait.For(t, "the log is held", h.held)
	appendElsewhere(t, s, joblog.Submission{Job: *job("a")})
	recorded := make(chan bool, 1)
	is.Equal(h.RecordEnd(success("a", 0), time.Hour, func() { recorded <- true }), shard.RecordedSoon)
	<-recorded
	next := newHolder(t, s, 64)
	wait.For(t, "the successor holds the log", next.held)
	is.Equal(next.resumed[0].Succeeded, []work.TaskID{{Job: "a"}})
}

// Guards against ends of jobs whose callers wait that endpoints keep for longer than a read of the log takes.
func TestEndOfAJobThatIsNotStored(t *testing.T) {
	is := is.New(t)
	h := newHolder(t, keyed.New(), 32)
	wait.For(t, "the log is held", h.held)
	recorded := make(chan bool, 1)
	is.Equal(h.RecordEnd(success("a", 0), time.Hour, func() { recorded <- true }), shard.RecordedSoon)
	wait.For(t, "the endpoint may forget the end", func() bool { return len(recorded) == 1 })
	is.Equal(h.RecordEnd(success("b", 0), 0, func() {}), shard.NotStored) // the log was read after the task was started
}

// Guards against a cancel, or a request for the state, that is answered as one of no job by a holder that has not read the job yet: the job
// ran to its end (review/9).
func TestDenialNeedsALaterRead(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	h := newHolder(t, s, 32)
	wait.For(t, "the log is held", h.held)
	appendElsewhere(t, s, joblog.Submission{Job: *job("a")})
	appendElsewhere(t, s, joblog.Submission{Job: *job("b")})
	is.Equal(h.state("a").Result, relay.StoredDone)
	is.Equal(h.ask(relay.StoredRequest{Operation: relay.StoredCancel, ID: "b"}).State, work.Cancelled)
	is.Equal(h.state("c").Result, relay.StoredNoJob)
	s.SetDown(true)
	is.Equal(h.state("d").Result, relay.StoredNoHolder)
}
