package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// partitionOfTwo returns the endpoints that belong to one of two partitions.
func partitionOfTwo(all []work.Endpoint, partition int) []work.Endpoint {
	var some []work.Endpoint
	for _, e := range all {
		if shard.PartitionOf(string(e.ID), 2) == partition {
			some = append(some, e)
		}
	}
	return some
}

// Guards against a second run of a task that a dispatcher has started which took the zone for undivided, as an instance does that has just
// started: its endpoint belongs to another partition than the dispatcher that resumes the job, for which the number has not changed.
func TestResumedFromADispatcherOfAnUndividedZone(t *testing.T) {
	is := is.New(t)
	const run = 2 * time.Second
	f, all := newFleet(8, run)
	a := newShard(f, func() {})
	a.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(a.End)
	a.register(partitionOfTwo(all, 1))
	b := newShard(f, func() {})
	b.register(all)
	b.skip(time.Minute) // so that it has followed the registrations for long enough
	b.Begin(shard.Term{Fence: 2, Partitions: 2})
	t.Cleanup(b.End)
	wait.For(t, "the dispatcher of the partition knows all runs there", func() bool { return b.found("other") == shard.NotHeld })
	arrived := time.Now()
	submitUntilAccepted(t, a, newClient(), &relay.Submit{Job: jobOf("j", 1, run)})
	wait.For(t, "the task runs", func() bool { return f.Running() == 1 })
	a.End() // it has learned of the number of partitions
	submitUntilAccepted(t, b, newClient(), &relay.Submit{Job: jobOf("j", 1, run), Resumed: true, GivenBack: true, Waited: time.Since(arrived)})
	time.Sleep(10 * time.Millisecond)
	r := shard.Registrations{Snapshot: true, Changed: all, AsOf: b.now()}
	b.UpdateEndpoints(r, b.directory.Apply(r, time.Second))
	time.Sleep(run / 2)
	is.Equal(f.OverlappingRuns(), "")
}
