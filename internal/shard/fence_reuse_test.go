package shard_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
)

// Guards against two runs of a task when a term begins with the fence of the term before, as when the answers to two joins of one generation
// overtake each other: a start request of the earlier term is carried out late, and endpoints that have reported to the fence do not refuse
// it. The clock is virtual.
func TestTermWithTheFenceOfTheTermBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 600 * time.Millisecond
		f, all := newFleet(2, run)
		smallest(f, all)
		var lost atomic.Bool
		f.LoseAnswer = func(call string) (bool, time.Duration) {
			return call == "start" && lost.CompareAndSwap(true, false), 250 * time.Millisecond
		}
		c := newClient()
		var s *dispatcher
		s = newShardWith(f, func(o *shard.Options) { o.OnOutdated = func() { go s.follow() } })
		s.followed(all)
		s.takeOver(shard.Term{Fence: 1, Partitions: 1})
		time.Sleep(time.Second)
		lost.Store(true)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, run)})
		time.Sleep(10 * time.Millisecond)
		s.End()
		given := c.answer("a")
		c.mu.Lock()
		delete(c.answers, "a")
		c.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		time.Sleep(10 * time.Millisecond)
		s.follow()
		s.submitUntilTaken(c, relay.Submit{Job: jobOf("filler", 1, run)}) // takes the endpoint that the start request is on its way to
		time.Sleep(10 * time.Millisecond)
		s.submitUntilTaken(c, relay.Submit{Job: jobOf("a", 1, run), Resumed: true, Partitions: 1, GivenBack: true, Lost: 10 * time.Millisecond})
		time.Sleep(5 * time.Second)
		s.End()
		time.Sleep(2 * time.Second)
		is.True(given.Started)
		is.Equal(f.OverlappingRuns(), "")
		is.True(completed(c, "a")())
	})
}

// submitUntilTaken submits a job again and again, as its instance does if the job is resumed, until it is taken. The registrations are read meanwhile.
func (d *dispatcher) submitUntilTaken(c *client, m relay.Submit) {
	const pause = 20 * time.Millisecond
	for {
		d.Submit(c, &m)
		if a := c.answer(m.Job.ID); a == nil || a.Refused == pool.ReasonNone {
			return
		}
		c.mu.Lock()
		delete(c.answers, m.Job.ID)
		c.mu.Unlock()
		time.Sleep(pause)
		m.Lost += pause
		d.follow()
	}
}
