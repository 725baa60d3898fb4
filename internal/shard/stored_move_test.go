package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a stored job that is given to another zone while a run of it may go on here, that is kept although nothing fits it any more, and
// against starts after it was given away. The clock is virtual.
func TestStoredJobIsGivenAwayWithoutRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, _ := newStoredShard(1, time.Minute)
		toMove := func() int { return len(s.StoredToMove(1, ownsAll)) }
		for _, id := range []string{"runs", "held"} {
			_, ok := s.offer(1, id, 2)
			is.True(ok)
		}
		s.StartStored(1, "runs")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.Running(), 2)
		s.leave(endpoints(1)[0])
		time.Sleep(10 * time.Second)
		is.Equal(f.Running(), 2)
		is.Equal(toMove(), 0)
		is.Equal(s.TakeStored(1, ownsAll), nil)
		f.SetSilent(endpoints(1)[0].Address, true)
		for f.Running() == 2 {
			is.Equal(toMove(), 0)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(5 * time.Second) // the dispatcher waits longer than the endpoint, whose clock may differ
		is.Equal(s.StoredToMove(1, ownsAll), []work.JobID{"runs"})
		is.Equal(len(s.StoredToMove(2, ownsAll)), 0) // another fence
		is.Equal(s.TakeStored(1, ownsAll), []work.JobID{"runs"})
		is.Equal(toMove(), 0)
		started := len(f.Starts())
		f.SetSilent(endpoints(1)[0].Address, false)
		s.follow(endpoints(1)...)
		time.Sleep(10 * time.Second)
		is.Equal(len(f.Starts()), started)
		s.End()
	})
}

// Guards against a resumed job that is given to another zone before the runs that an earlier dispatcher may have started are over.
func TestResumedJobIsGivenAwayAfterTheTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, s, _ := newStoredShard(1, time.Minute)
		s.leave(endpoints(1)[0])
		s.Begin(shard.Term{Fence: 2, Partitions: 1})
		job := jobOf("a", 1, 30*time.Millisecond)
		is.True(s.ResumeStored(2, func() []shard.ResumedJob { return []shard.ResumedJob{{Job: &job}} }, ownsAll))
		is.Equal(len(s.StoredToMove(2, ownsAll)), 0)
		time.Sleep(lease)
		is.Equal(len(s.StoredToMove(2, ownsAll)), 0)
		time.Sleep(20 * time.Second)
		is.Equal(s.TakeStored(2, ownsAll), []work.JobID{"a"})
		s.End()
	})
}
