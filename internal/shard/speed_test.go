package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against the speed of a process counting for the one that is started in its place, also where reports do not name its start.
func TestSpeedOfRestartedEndpoint(t *testing.T) {
	f, all, s, c := newLeadingDispatcher(t, 1, 30*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 2, 30*time.Millisecond)})
	wait.For(t, "the job completes", completed(c, "a"))
	runs := func() int { return s.Dump().Pool.Endpoints[0].SpeedRuns }
	wait.For(t, "the speed is learned", func() bool { return runs() == 2 })
	f.Restart(all[0].Address)
	wait.For(t, "the speed is forgotten", func() bool { return runs() == 0 })
}

// Guards against a far factor of the settings that does not reach the decision: a task whose data is far takes so much longer that it waits for
// the rack of its data.
func TestFarFactorReachesThePool(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(2, 100*time.Millisecond)
	all[0].Labels, all[1].Labels = []string{"r0"}, []string{"r1"}
	s := newShardWith(f, func(o *shard.Options) { o.FarFactor = 50 })
	c := newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	for _, id := range []string{"a", "b"} {
		job := jobOf(id, 2, 100*time.Millisecond)
		job.Steps[0].DataRack = "r0"
		submitUntilAccepted(t, s, c, &relay.Submit{Job: job})
	}
	wait.For(t, "the jobs complete", func() bool { return completed(c, "a")() && completed(c, "b")() })
	speeds := map[string]pool.EndpointDump{}
	for _, e := range s.Dump().Pool.Endpoints {
		speeds[e.ID] = e
	}
	is.Equal(speeds[string(work.EndpointID("e0"))].SpeedRuns, 4)
	is.Equal(speeds["e1"].SpeedRuns, 0)
}
