package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against tasks that run twice when a dispatcher replaces one that has no information about its successor, and
// against the loss of the runs that the earlier dispatcher had started.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(4, 400*time.Millisecond)
	before, c1 := newShard(f, func() {}), newClient()
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 8, 400*time.Millisecond)}
	submitUntilAccepted(t, before, c1, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 8 })
	after, c2 := newShard(f, func() {}), newClient()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	defer after.End()
	after.register(all)
	submitUntilAccepted(t, after, c2, &relay.Submit{Job: m.Job, Resumed: true, Partitions: 1})
	wait.For(t, "the job completes at the new dispatcher", completed(c2, "a"))
	is.Equal(len(f.Starts()), 8) // nothing was started again
	is.Equal(f.OverlappingRuns(), "")
	before.End()
}

// Guards against a second run of a task at a takeover when the endpoint that runs it is not registered at that moment.
func TestTakeoverUnregistered(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(2, 300*time.Millisecond)
	before, c1 := newShard(f, func() {}), newClient()
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 4, 300*time.Millisecond)}
	submitUntilAccepted(t, before, c1, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	before.End()
	after, c2 := newShard(f, func() {}), newClient()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	defer after.End()
	after.register(all[:1]) // the second endpoint is not registered
	submitUntilAccepted(t, after, c2, &relay.Submit{Job: m.Job, Resumed: true, Partitions: 1})
	wait.For(t, "the job completes", completed(c2, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against a second run of a task when the new dispatcher does not know the endpoint that runs it, because its last
// read of the registrations was before the term.
func TestTakeoverStaleRegistrations(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(2, 300*time.Millisecond)
	before, c1 := newShard(f, func() {}), newClient()
	after, c2 := newShard(f, func() {}), newClient()
	after.register(all[:1])
	after.skip(time.Minute) // so that it has followed the registrations for long enough
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 4, 300*time.Millisecond)}
	submitUntilAccepted(t, before, c1, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	before.End()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	t.Cleanup(after.End)
	submitUntilAccepted(t, after, c2, &relay.Submit{Job: m.Job, Resumed: true, Partitions: 1})
	wait.For(t, "the job completes", completed(c2, "a"))
	is.Equal(f.OverlappingRuns(), "")
}
