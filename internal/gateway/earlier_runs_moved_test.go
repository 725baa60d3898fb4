package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against two runs of a task: the dispatcher knew of a run of an earlier submission and refused the job, and before it was asked again
// its partition got another dispatcher, which took the job for a new one. The run is at an endpoint that has not reported to that one.
func TestEarlierRunsWhosePartitionHasMoved(t *testing.T) {
	is := is.New(t)
	z := startZone(t, 3*time.Second)
	z.both.begin(t, 1, z.endpoints)
	z.peers.prefer(1)
	ctx, leave := context.WithCancel(t.Context())
	z.call(ctx, "POST", "/p/x", "job")
	z.awaitRuns(1)
	z.fleet.SetSilent(z.endpoints[1].Address, true)
	leave()
	z.eventually("the job is discarded", func() bool { return z.Active() == 0 })
	wait.For(t, "the endpoint gets no new runs", func() bool { return z.both.shards[1].Pressure() >= 1000 })
	z.call(t.Context(), "POST", "/p/x", "job")
	z.eventually("the job is refused because of its earlier run", func() bool {
		z.mu.Lock()
		defer z.mu.Unlock()
		p := z.jobs["x"]
		return p != nil && p.earlierRuns
	})
	successor := newPeer(t, z.Gateway, z.fleet, 1)
	successor.shards[1].Begin(shard.Term{Fence: 2, Partitions: partitions})
	successor.shards[1].UpdateEndpoints(shard.Registrations{Changed: append(z.endpoints, anotherOf(z, 1)), Snapshot: true}, nil)
	wait.For(t, "the other endpoint is used", func() bool { return successor.shards[1].Pressure() == 0 })
	z.peers.mu.Lock()
	z.peers.of[1] = successor
	z.peers.mu.Unlock()
	z.eventually("the task starts again", func() bool {
		z.Resubmit()
		return len(z.fleet.Starts()) == 2
	})
	is.Equal(z.fleet.OverlappingRuns(), "")
}

// anotherOf adds another endpoint of a partition to the fleet.
func anotherOf(z *zone, part int) work.Endpoint {
	e := z.endpoints[part]
	for n := 100; e.ID == z.endpoints[part].ID; n++ {
		if id := fmt.Sprint("e", n); shard.PartitionOf(id, partitions) == part {
			e.ID, e.Address = work.EndpointID(id), fmt.Sprintf("10.0.1.%d:80", n)
		}
	}
	z.fleet.Add(e)
	return e
}
