package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against an offered job that waits although its sender can place it elsewhere, against a refusal without the load that tells the
// sender where to go, and against one that keeps the job out when it is submitted to wait.
func TestOfferedJobDoesNotWait(t *testing.T) {
	is := is.New(t)
	_, _, s, c := newLeadingDispatcher(t, 1, time.Minute)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("running", 2, time.Minute), StartOnly: true})
	offer := &relay.Submit{Job: jobOf("offered", 1, time.Minute), StartOnly: true}
	s.Submit(c, offer)
	a := c.answer("offered")
	is.Equal(a.Refused, pool.ReasonWouldWait)
	is.True(!a.Started)
	is.Equal(a.Load.Total, 2000)
	is.Equal(a.Load.Free, 0)
	waiting := jobOf("offered", 1, time.Minute)
	waiting.Objective.Extra = time.Hour
	queued := newClient()
	s.Submit(queued, &relay.Submit{Job: waiting})
	is.Equal(queued.answer("offered"), nil)
	is.Equal(s.Load().Free, -1000)
}

// Guards against a second start of a job elsewhere: a job that the dispatcher holds is not turned away when it is offered again.
func TestKnownJobIsNotTurnedAway(t *testing.T) {
	is := is.New(t)
	_, _, s, c := newLeadingDispatcher(t, 1, time.Minute)
	m := &relay.Submit{Job: jobOf("a", 2, time.Minute), StartOnly: true}
	submitUntilAccepted(t, s, c, m)
	wait.For(t, "the job has started", func() bool { return s.Load().Free == 0 })
	s.Submit(c, m)
	is.Equal(c.answer("a"), nil)
}
