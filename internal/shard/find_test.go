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

// found returns what a dispatcher says of a job.
func (d *dispatcher) found(id work.JobID) shard.FindResult {
	return d.Find(id).Result
}

// Guards against a successor that says it does not hold a job before the endpoint with the job's run has reported to it, and against one that
// goes on saying that it does not know.
func TestFindDuringATakeover(t *testing.T) {
	is := is.New(t)
	const run = 2 * time.Second
	f, all := newFleet(2, run)
	before, c := newShard(f, func() {}), newClient()
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	submitUntilAccepted(t, before, c, &relay.Submit{Job: jobOf("a", 1, run)})
	wait.For(t, "the task runs", func() bool { return f.Running() == 1 })
	known := before.Find("a")
	is.Equal(known.Result, shard.Held)
	is.Equal(known.Knowledge, before.Knowledge())
	is.True(known.Waited > 0)
	running := f.Starts()[0].Endpoint
	for _, e := range all {
		f.SetSilent(e.Address, e.ID == running)
	}
	after := newShard(f, func() {})
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	t.Cleanup(after.End)
	after.register(all)
	is.Equal(after.found("a"), shard.NotKnownYet)
	for _, e := range all {
		f.SetSilent(e.Address, false)
	}
	wait.For(t, "the run is found", func() bool { return after.found("a") == shard.Held })
	is.Equal(after.Find("a").Knowledge, uint64(0)) // no request for the job is known
	wait.For(t, "the takeover ends", func() bool { return after.found("other") == shard.NotHeld })
	before.End()
	is.Equal(before.found("a"), shard.NotKnownYet) // it does not dispatch any more
}
