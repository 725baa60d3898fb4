package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
)

// Guards against a caller's time that counts from the handling of its submission: one that has waited for longer than the caller does is
// refused, and the run of one that has waited for a part of that time ends with the caller's time. The clock is virtual.
func TestCallersTimeCountsFromTheSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const remaining, margin, waited = 500 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond
		f, all := newFleet(1, 10*time.Second)
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		late := &relay.Submit{Job: jobOf("late", 1, 10*time.Second), Remaining: remaining}
		late.MarkComposed()
		time.Sleep(remaining)
		s.Submit(c, late)
		time.Sleep(20 * time.Millisecond)
		lateStarts := len(f.Starts())
		m := &relay.Submit{Job: jobOf("a", 1, 10*time.Second), Remaining: remaining}
		m.MarkComposed()
		time.Sleep(waited)
		s.Submit(c, m)
		time.Sleep(20 * time.Millisecond)
		starts := len(f.Starts())
		time.Sleep(remaining - waited + margin)
		running := f.Running()
		s.End()
		time.Sleep(2 * time.Second)
		is.Equal(c.answer("late").Refused, pool.ReasonExpired)
		is.Equal(lateStarts, 0)
		is.Equal(starts, 1)
		is.Equal(running, 0)
	})
}
