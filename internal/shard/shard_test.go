package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against a job that is answered before its last task has ended, or whose tasks start twice.
func TestJobCompletes(t *testing.T) {
	is := is.New(t)
	f, _, s, c := newLeadingDispatcher(t, 3, 30*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 9, 30*time.Millisecond)})
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(len(f.Starts()), 9)
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against a cancel that belongs to an earlier submission of a job and ends the present one, and against answers that do not tell
// which submission they are about.
func TestCancelOfAnEarlierSubmission(t *testing.T) {
	is := is.New(t)
	f, _, s, c := newLeadingDispatcher(t, 1, 50*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 1, 50*time.Millisecond), Number: 4})
	s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 50*time.Millisecond), Number: 5})
	s.Cancel(c, &relay.Cancel{Job: "a", Number: 4})
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(c.answer("a").Number, relay.SubmissionNumber(5))
	is.Equal(len(f.Starts()), 1)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("b", 1, time.Hour), Number: 6})
	s.Cancel(c, &relay.Cancel{Job: "b"}) // of an instance of an earlier version
	is.Equal(len(s.Dump().Pool.Jobs), 0)
	s.End()
	s.Submit(c, &relay.Submit{Job: jobOf("c", 1, time.Hour), Number: 7})
	is.Equal(c.answer("c"), &relay.Answer{Job: "c", Number: 7, Refused: pool.ReasonNotLeader})
}

// Guards against runs that continue after their job was cancelled or the connection to its instance ended.
func TestCancelStopsRuns(t *testing.T) {
	is := is.New(t)
	f, _, s, c := newLeadingDispatcher(t, 2, time.Minute)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 2, time.Second)})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("b", 2, time.Second)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	s.Cancel(c, &relay.Cancel{Job: "a"})
	wait.For(t, "the cancelled job's runs are stopped", func() bool { return f.Running() == 2 })
	s.ClientGone(c)
	wait.For(t, "no run is left", func() bool { return f.Running() == 0 })
	is.Equal(c.answer("a"), nil)
}

// Guards against jobs that get no answer, or another answer than ReasonNotLeader, when the term ends while their tasks run.
func TestEndOfTerm(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(1, time.Second)
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	s.register(all)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 2, time.Second)})
	s.End()
	is.Equal(c.answer("a").Refused, pool.ReasonNotLeader)
	s.Submit(c, &relay.Submit{Job: jobOf("b", 1, time.Second)})
	is.Equal(c.answer("b").Refused, pool.ReasonNotLeader)
}
