package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against a second run of a task at a dispatcher that has lost its partition and got it back without noticing: it resumes a job that
// another one has started meanwhile, on the reports that it had before.
func TestResumedAtAnEarlierHolder(t *testing.T) {
	is := is.New(t)
	const run = 3 * time.Second
	f, all := fleet.New(run), endpoints(3)
	all[0].Size.MilliCPU *= 2 // the others are used first where they can be reached
	for _, e := range all {
		f.Add(e)
	}
	later := newPaths(f)
	a := newShard(f, func() {})
	a.register(all)
	a.skip(time.Minute) // so that it has followed the registrations for long enough
	a.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(a.End)
	wait.For(t, "the earlier holder knows all runs", func() bool { return a.found("j") == shard.NotHeld })
	b := newShardWith(f, func(o *shard.Options) { o.Dialer = later })
	later.SetCut(true, idsOf(all[1:])...)
	b.Begin(shard.Term{Fence: 2, Partitions: 1})
	t.Cleanup(b.End)
	b.register(all)
	arrived := time.Now()
	submitUntilAccepted(t, b, newClient(), &relay.Submit{Job: jobOf("j", 1, run)})
	wait.For(t, "the task runs", func() bool { return f.Running() == 1 })
	b.End() // its partition goes back
	c := newClient()
	submitUntilAccepted(t, a, c, &relay.Submit{Job: jobOf("j", 1, run), Resumed: true, Partitions: 1, GivenBack: true, Waited: time.Since(arrived)})
	time.Sleep(10 * time.Millisecond)
	r := shard.Registrations{Snapshot: true, Changed: all, AsOf: a.now()}
	a.UpdateEndpoints(r, a.directory.Apply(r, time.Second))
	time.Sleep(run / 2)
	is.Equal(f.OverlappingRuns(), "")
}
