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

// Guards against a job that waits for the end of leases at a successor that has just started, because a part of its tasks had ended when its
// dispatcher's term did. The clock is virtual.
func TestHandoverOfAJobThatIsHalfDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 100*time.Millisecond)
		f.RunTime = func(task work.TaskID) time.Duration { // the second half takes longer
			return time.Duration(100+200*(task.Index/2)) * time.Millisecond
		}
		before, after, c := newShard(f, func() {}), newShard(f, func() {}), newClient()
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		before.register(all)
		time.Sleep(50 * time.Millisecond)
		before.Submit(c, &relay.Submit{Job: jobOf("a", 4, 100*time.Millisecond)})
		time.Sleep(150 * time.Millisecond)
		before.End()
		is.True(c.answer("a").Started)
		after.Begin(shard.Term{Fence: 2, Partitions: 1})
		after.register(all)
		after.Submit(c, &relay.Submit{Job: jobOf("a", 4, 100*time.Millisecond), Resumed: true, Partitions: 1, GivenBack: true, Succeeded: c.answer("a").Succeeded})
		time.Sleep(200 * time.Millisecond)
		is.True(completed(c, "a")())
		is.Equal(f.OverlappingRuns(), "")
		is.Equal(len(f.Starts()), 4)
		after.End()
		time.Sleep(2 * time.Second)
	})
}
