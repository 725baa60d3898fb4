package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against two runs of a task when a dispatcher holds a job as new and then learns that an earlier dispatcher may have started it:
// another instance submits it as resumed. The earlier run is on an endpoint that the dispatcher does not know. The clock is virtual.
func TestJobThatTurnsOutToBeResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 300*time.Millisecond)
		f.RunTime = func(task work.TaskID) time.Duration {
			if task.Job == "a" {
				return 900 * time.Millisecond
			}
			return 300 * time.Millisecond
		}
		before, first := newShard(f, func() {}), newClient()
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		before.register(all[:1])
		time.Sleep(time.Second)
		before.Submit(first, &relay.Submit{Job: patientJob("a", 1)})
		time.Sleep(50 * time.Millisecond)
		is.Equal(f.Running(), 1)
		after, second := newShard(f, func() {}), newClient()
		after.Begin(shard.Term{Fence: 2, Partitions: 1})
		defer endAndSettle(after)
		after.register(all[1:])
		time.Sleep(50 * time.Millisecond)
		after.Submit(second, &relay.Submit{Job: patientJob("filler", 2)})
		time.Sleep(50 * time.Millisecond)
		after.Submit(second, &relay.Submit{Job: patientJob("a", 1)})
		before.End()
		after.Submit(first, &relay.Submit{Job: patientJob("a", 1), Resumed: true, Partitions: 1})
		time.Sleep(5 * time.Second)
		is.Equal(f.OverlappingRuns(), "")
		is.True(completed(first, "a")())
	})
}

// Guards against a dispatcher that says that nothing of a job has started while a run of an earlier submission goes on: in a refusal, and
// at the end of its term.
func TestRefusalsTellOfEarlierRuns(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(1, time.Hour)
	f.LoseAnswer = func(call string) (bool, time.Duration) { return call == "stop", -1 } // stops are not carried out
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: patientJob("a", 1), Number: 1})
	wait.For(t, "the task runs", func() bool { return f.Running() == 1 })
	s.Cancel(c, &relay.Cancel{Job: "a"})
	s.Submit(c, &relay.Submit{Job: patientJob("a", 1), Number: 2, Waited: time.Hour})
	is.Equal(c.answer("a").Refused, pool.ReasonNoRoom)
	is.True(c.answer("a").Started)
	s.Submit(c, &relay.Submit{Job: patientJob("b", 1), Number: 3, Waited: time.Hour})
	is.True(!c.answer("b").Started)
	s.Submit(c, &relay.Submit{Job: patientJob("a", 1), Number: 4})
	s.End()
	is.Equal(c.answer("a"), &relay.Answer{Job: "a", Number: 4, Refused: pool.ReasonNotLeader, Started: true, Partitions: 1})
}
