package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
)

// Guards against a job that is placed elsewhere while its runs go on: the successor of the dispatcher that knows them refuses the job before it
// knows what runs on its endpoints, and its refusal was taken for the word that nothing of the job runs.
func TestRefusalDuringATakeoverDoesNotDenyRuns(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet(1, time.Second)
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 2, Partitions: 1}) // no endpoint is registered yet
	t.Cleanup(s.End)
	const earlier = 7 // knowledge of the dispatcher that has started the job
	s.Submit(c, &relay.Submit{Job: jobOf("a", 1, time.Second), Knowledge: earlier})
	a := c.answer("a")
	is.True(a.Refused != pool.ReasonNone)
	is.True(a.Started)
	is.Equal(a.Knowledge, uint64(earlier)) // so that the job is resumed when it is submitted here again
	s.Submit(c, &relay.Submit{Job: jobOf("b", 1, time.Second)})
	is.True(!c.answer("b").Started)
}
