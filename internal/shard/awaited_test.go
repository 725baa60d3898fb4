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

// Guards against refusals in the moments between the start of a term, or of a fence, and the first reports of the endpoints. The clock is
// virtual.
func TestSubmissionBeforeTheFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 20*time.Millisecond)
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 2, 20*time.Millisecond)})
		is.Equal(c.answer("a"), nil) // not refused
		time.Sleep(100 * time.Millisecond)
		is.True(completed(c, "a")())
		s.Begin(shard.Term{Fence: 2, Partitions: 1})
		s.Submit(c, &relay.Submit{Job: jobOf("b", 2, 20*time.Millisecond)})
		is.Equal(c.answer("b"), nil)
		time.Sleep(100 * time.Millisecond)
		is.True(completed(c, "b")())
		s.End()
		time.Sleep(2 * time.Second)
	})
}

// Guards against jobs that are accepted for endpoints that do not answer the first poll: they are neither started there nor kept, and the
// next ones are refused at once. The clock is virtual.
func TestEndpointsThatDoNotAnswerTheFirstPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 20*time.Millisecond)
		for _, e := range all {
			f.SetSilent(e.Address, true)
		}
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		early := jobOf("early", 1, 20*time.Millisecond)
		early.Objective.Extra = 200 * time.Millisecond
		s.Submit(c, &relay.Submit{Job: early})
		is.Equal(c.answer("early"), nil)
		time.Sleep(time.Second)
		is.Equal(c.answer("early").Refused, pool.ReasonWaitedTooLong)
		is.True(!c.answer("early").Started)
		s.Submit(c, &relay.Submit{Job: jobOf("late", 1, 20*time.Millisecond)})
		is.Equal(c.answer("late").Refused, pool.ReasonNoEndpoint)
		is.Equal(len(f.Starts()), 0)
		s.End()
		time.Sleep(2 * time.Second)
	})
}
