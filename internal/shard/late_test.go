package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against a dispatcher that says that nothing of a job has started while a run of an earlier submission goes on, in the refusal of an
// expired submission: the caller may have submitted the job again at the same instance, which then places it elsewhere.
func TestRefusalOfAnExpiredSubmissionTellsOfEarlierRuns(t *testing.T) {
	is := is.New(t)
	f, _, s, c := newLeadingDispatcher(t, 1, time.Hour)
	f.LoseAnswer = func(call string) (bool, time.Duration) { return call == "stop", -1 } // stops are not carried out
	submitUntilAccepted(t, s, c, &relay.Submit{Job: patientJob("a", 1), Number: 1})
	wait.For(t, "the task runs", func() bool { return f.Running() == 1 })
	s.Cancel(c, &relay.Cancel{Job: "a"})
	m := &relay.Submit{Job: patientJob("a", 1), Number: 2, Remaining: time.Millisecond}
	m.MarkComposed()
	time.Sleep(2 * time.Millisecond)
	s.Submit(c, m)
	is.Equal(c.answer("a").Number, relay.SubmissionNumber(2))
	is.Equal(f.Running(), 1)
	is.True(c.answer("a").Started)
}
