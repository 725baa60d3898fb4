package shard_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// fenceRecorder records the fences that each endpoint gets with requests for reports.
type fenceRecorder struct {
	work.Dialer
	mu     sync.Mutex
	fences map[work.EndpointID]map[int64]bool
}

type recordedEndpoint struct {
	work.EndpointClient
	id       work.EndpointID
	recorder *fenceRecorder
}

func (r *fenceRecorder) Dial(e work.Endpoint) work.EndpointClient {
	return &recordedEndpoint{r.Dialer.Dial(e), e.ID, r}
}

func (e *recordedEndpoint) RenewLease(ctx context.Context, l work.LeaseRequest) (work.Report, work.Refusal, error) {
	e.recorder.add(e.id, l.Fence)
	return e.EndpointClient.RenewLease(ctx, l)
}

func (r *fenceRecorder) add(id work.EndpointID, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fences[id] == nil {
		r.fences[id] = map[int64]bool{}
	}
	r.fences[id][fence] = true
}

func (r *fenceRecorder) got(id work.EndpointID, fence int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fences[id][fence]
}

// Guards against a session of an ended term that asks an endpoint of another partition for a report with the fence of the next term, which
// the dispatcher of that partition uses as well.
func TestNoFenceOfTheNextTermFromEndedSessions(t *testing.T) {
	const rounds = 50
	f, all := newFleet(12, time.Second)
	recorder := &fenceRecorder{Dialer: f, fences: map[work.EndpointID]map[int64]bool{}}
	d := newShardWith(f, func(o *shard.Options) { o.Dialer = recorder })
	t.Cleanup(d.End)
	d.register(all)
	for n := range int64(rounds) {
		d.Begin(shard.Term{Fence: 10*n + 1, Partitions: 1})
		d.Begin(shard.Term{Fence: 10*n + 2, Partitions: 1})
		d.Begin(shard.Term{Fence: 10*n + 3, Partitions: 2})
		time.Sleep(10 * time.Millisecond)
		for _, e := range all {
			if shard.PartitionOf(string(e.ID), 2) != 0 && recorder.got(e.ID, 10*n+3) {
				t.Fatalf("round %d: %s of the other partition got fence %d", n, e.ID, 10*n+3)
			}
		}
	}
}
