package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// newWeighingShard returns a dispatcher that weighs costs of delays and whose only endpoint is full: its runs last longer than expected.
func newWeighingShard(t *testing.T, c *client) (*fleet.Fleet, *dispatcher, *shard.Counts) {
	f, all := newFleet(1, 10*time.Second)
	counts := shard.NewCounts()
	s := newShardWith(f, func(o *shard.Options) {
		o.Weighs, o.Counts = func(string) bool { return true }, &counts
	})
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	s.register(all)
	time.Sleep(time.Second)
	s.Submit(c, &relay.Submit{Job: jobOf("occupies", 2, time.Second)})
	time.Sleep(100 * time.Millisecond)
	if f.Running() != 2 {
		t.Fatalf("%d tasks run", f.Running())
	}
	return f, s, &counts
}

// jobStarts returns the number of starts of a job's tasks.
func jobStarts(f *fleet.Fleet, id work.JobID) int {
	n := 0
	for _, s := range f.Starts() {
		if s.Task.Job == id {
			n++
		}
	}
	return n
}

// Guards against a job that waits in vain at a full dispatcher, and against one that starts after it was given back. The clock is virtual.
func TestWaitingJobIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newClient()
		f, s, counts := newWeighingShard(t, c)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, time.Second)})
		is.Equal(c.answer("a"), nil) // accepted
		time.Sleep(2 * time.Second)
		answer := c.answer("a")
		time.Sleep(15 * time.Second)
		starts := jobStarts(f, "a")
		endAndSettle(s)
		is.True(answer != nil)
		is.Equal(answer.Refused, pool.ReasonGivenBack)
		is.True(!answer.Started)
		is.Equal(starts, 0)
		is.Equal(counts.GivenBack.Value(), int64(1))
	})
}

// Guards against a job that is given back although its instance knows no other dispatcher: it would be refused, and its result could still be
// of some use. The clock is virtual.
func TestJobWithoutAnotherDispatcherIsNotGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newClient()
		_, s, counts := newWeighingShard(t, c)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, time.Second), Last: true})
		time.Sleep(2 * time.Second)
		answer := c.answer("a")
		endAndSettle(s)
		is.Equal(answer, nil)
		is.Equal(counts.GivenBack.Value(), int64(0))
	})
}

// Guards against a resumed job that is given back as not run, although its earlier dispatcher may have started it. The clock is virtual.
func TestResumedJobIsNotGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newClient()
		_, s, counts := newWeighingShard(t, c)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, time.Second), Resumed: true, Partitions: 1})
		time.Sleep(5 * time.Second)
		answer := c.answer("a")
		endAndSettle(s)
		is.Equal(answer, nil)
		is.Equal(counts.GivenBack.Value(), int64(0))
	})
}

// Guards against a job that is given back as not run while its start is in flight or was not answered. The clock is virtual.
func TestJobWhoseStartIsInFlightIsNotGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, c := is.New(t), newClient()
		f, all := newFleet(1, 10*time.Second)
		f.LoseAnswer = func(call string) (bool, time.Duration) { return call == "start", 0 }
		s := newShardWith(f, func(o *shard.Options) { o.Weighs = func(string) bool { return true } })
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 3, time.Second)}) // two tasks start, the third one waits
		time.Sleep(4 * time.Second)
		answer := c.answer("a")
		endAndSettle(s)
		is.Equal(answer, nil)
	})
}
