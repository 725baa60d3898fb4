package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against a dispatcher that says that nothing of a job has started while a run of an earlier submission goes on, in the refusal of an
// expired submission: the caller may have submitted the job again at the same instance, which then places it elsewhere.
func TestRefusalOfAnExpiredSubmissionTellsOfEarlierRuns(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(1, time.Hour)
	f.LoseAnswer = func(call string) (bool, time.Duration) { return call == "stop", -1 } // stops are not carried out
	s, c := lead(t, f, all), newClient()
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

// Guards against a job that its instance waits for in vain: the submission of an instance that has been silent, and whose connection then
// ends, is handled behind that of the instance that has the job's caller now. The clock is virtual.
func TestLateSubmissionOfASilentInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 300*time.Millisecond)
		s, silent, c := newShard(f, func() {}), newClient(), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		silent.fallSilent()
		time.Sleep(500 * time.Millisecond)
		s.Submit(c, &relay.Submit{Job: patientJob("a", 1)})
		s.Submit(silent, &relay.Submit{Job: patientJob("a", 1)})
		s.ClientGone(silent)
		time.Sleep(2 * time.Second)
		done := completed(c, "a")()
		endAndSettle(s)
		is.True(done)
	})
}
