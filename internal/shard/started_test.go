package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
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
		after.Submit(first, &relay.Submit{Job: patientJob("a", 1), Resumed: true})
		time.Sleep(5 * time.Second)
		is.Equal(f.OverlappingRuns(), "")
		is.True(completed(first, "a")())
	})
}
