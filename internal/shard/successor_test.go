package shard_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// newPaths returns the paths from a dispatcher to a fleet. A lost call takes as long as one that times out.
func newPaths(f *fleet.Fleet) *fleet.Paths {
	return &fleet.Paths{Dialer: f, Wait: 60 * time.Millisecond}
}

// idsOf returns the IDs of endpoints.
func idsOf(all []work.Endpoint) []work.EndpointID {
	var ids []work.EndpointID
	for _, e := range all {
		ids = append(ids, e.ID)
	}
	return ids
}

// holder is a dispatcher with stored jobs that reads the registrations and confirms its term at the store as long as it reaches it.
type holder struct {
	*dispatcher
	paths *fleet.Paths
	all   []work.Endpoint
	read  bool // it has read all registrations

	mu        sync.Mutex
	cutOff    bool // it does not reach the store
	confirmed shard.Confirmation
}

// newHolder returns a holder that has followed the registrations for long if followed is true.
func newHolder(t *testing.T, f *fleet.Fleet, all []work.Endpoint, followed bool) *holder {
	h := &holder{paths: newPaths(f), all: all}
	l := &jobLedger{answer: shard.RecordedSoon, ended: map[work.JobID]work.State{}}
	h.dispatcher = newShardWith(f, func(o *shard.Options) {
		o.Dialer, o.Ledger = h.paths, l
		o.TermConfirmed = func(int64) (shard.Confirmation, bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.confirmed, true
		}
	})
	t.Cleanup(h.End)
	h.reach()
	if followed {
		h.skip(time.Minute)
	}
	return h
}

// reach reads the registrations and confirms the term, unless the store is out of reach.
func (h *holder) reach() {
	now := h.now()
	if !h.confirm(now) {
		return
	}
	r := shard.Registrations{Changed: h.all, Snapshot: !h.read, AsOf: now}
	h.read = true
	h.UpdateEndpoints(r, h.directory.Apply(r, now))
}

// confirm confirms the term at a time. It returns false if the store is out of reach.
func (h *holder) confirm(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.cutOff {
		h.confirmed = shard.Confirmation{Held: now, Divided: now}
	}
	return !h.cutOff
}

// setCutOff sets whether the holder is cut off from the store.
func (h *holder) setCutOff(cutOff bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutOff = cutOff
}

// lead begins a term and reaches the store every 250 ms until the test ends.
func (h *holder) lead(t *testing.T, fence int64) {
	h.reach()
	h.Begin(shard.Term{Fence: fence, Partitions: 1})
	go func() {
		for t.Context().Err() == nil {
			h.reach()
			time.Sleep(250 * time.Millisecond)
		}
	}()
}

// startStored starts a stored job.
func (h *holder) startStored(t *testing.T, fence int64, id string, tasks int) {
	is := is.New(t)
	v, ok := h.offer(fence, id, tasks)
	is.True(ok && v.Accepted())
	h.StartStored(fence, work.JobID(id))
}

// resumeStored continues a stored job of which no task has ended.
func (h *holder) resumeStored(t *testing.T, fence int64, id string, tasks int) {
	is := is.New(t)
	job := jobOf(id, tasks, 30*time.Millisecond)
	is.True(h.ResumeStored(fence, func() []shard.ResumedJob { return []shard.ResumedJob{{Job: &job}} }, ownsAll))
}

// onVirtualClock runs a test with a virtual clock. The goroutines of the holders end after the test.
func onVirtualClock(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(2 * time.Second) })
		test(t)
	})
}

// busiest returns the n endpoints with the most runs in progress.
func busiest(f *fleet.Fleet, all []work.Endpoint, n int) []work.Endpoint {
	running := map[work.EndpointID]int{}
	for _, s := range f.Starts() {
		if s.EndedAt.IsZero() {
			running[s.Endpoint]++
		}
	}
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b work.Endpoint) int { return running[b.ID] - running[a.ID] })
	return sorted[:n]
}

// Guards against tasks of stored jobs that run twice (review/11): the holder is cut off from the store, half of the endpoints have no path
// to its successor and do not refuse the holder, which goes on there.
func TestStoredTasksBesideAHolderThatHalfOfTheEndpointsAccept(t *testing.T) {
	onVirtualClock(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 8*time.Second)
		before, after := newHolder(t, f, all, true), newHolder(t, f, all, true)
		before.lead(t, 1)
		time.Sleep(time.Second)
		before.startStored(t, 1, "a", 4)
		time.Sleep(time.Second)
		is.Equal(f.Running(), 4)
		before.setCutOff(true)
		after.paths.SetCut(true, idsOf(busiest(f, all, 2))...)
		time.Sleep(300 * time.Millisecond)
		after.lead(t, 2)
		time.Sleep(100 * time.Millisecond)
		after.resumeStored(t, 2, "a", 4)
		time.Sleep(12 * time.Second)
		is.Equal(f.OverlappingRuns(), "")
		is.True(len(f.Starts()) > 4) // the successor has started the lost runs again, although the paths are still cut
	})
}

// Guards against stored jobs that stop in a short outage of the store, or that no longer run when it is over, and against a dispatcher that
// goes on for as long as its successor waits: the store is away for all, and no endpoint refuses.
func TestStoredTasksInAnOutageOfTheStore(t *testing.T) {
	onVirtualClock(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 20*time.Second)
		h := newHolder(t, f, all, true)
		h.lead(t, 1)
		time.Sleep(time.Second)
		h.startStored(t, 1, "a", 4)
		time.Sleep(time.Second)
		h.setCutOff(true)
		time.Sleep(4500 * time.Millisecond)
		is.Equal(len(f.Starts()), 4)
		is.Equal(f.Running(), 4)
		h.startStored(t, 1, "b", 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(f.Running(), 5)
		time.Sleep(1500 * time.Millisecond) // 6.5 s without the store
		is.Equal(f.Running(), 0)
		time.Sleep(2 * time.Second)
		is.Equal(len(f.Starts()), 5)
		h.setCutOff(false)
		time.Sleep(time.Second)
		is.Equal(f.Running(), 5)
	})
}

// Guards against a holder that goes on without the store on a minority of its endpoints, and against runs beside those of stored jobs that
// end because their endpoint's lease is not extended: the runs of stored jobs are stopped.
func TestHolderOnAMinorityOfItsEndpoints(t *testing.T) {
	onVirtualClock(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(3, 20*time.Second)
		h, c := newHolder(t, f, all, true), newClient()
		h.lead(t, 1)
		time.Sleep(time.Second)
		stored, waitedFor := jobOf("a", 3, 20*time.Second), jobOf("b", 3, 20*time.Second)
		stored.Steps[0].MaxPerEndpoint, waitedFor.Steps[0].MaxPerEndpoint = 1, 1
		v, ok := h.OfferStored(1, &stored, 0)
		is.True(ok && v.Accepted())
		h.StartStored(1, "a")
		submitUntilAccepted(t, h.dispatcher, c, &relay.Submit{Job: waitedFor})
		time.Sleep(time.Second)
		is.Equal(f.Running(), 6)
		left := all[2]
		h.paths.SetCut(true, idsOf(all[:2])...)
		h.setCutOff(true)
		time.Sleep(4 * time.Second)
		kept := 0
		for _, s := range f.Starts()[:6] {
			is.True(s.Task.Job == "b" || !s.EndedAt.IsZero())
			if s.Endpoint == left.ID && s.EndedAt.IsZero() {
				kept++
			}
		}
		is.Equal(kept, 1)
	})
}

// resumeBeside lets a successor continue a job of a holder that has ended and returns how long after the begin of its term the tasks start.
func resumeBeside(t *testing.T, f *fleet.Fleet, after *holder, fence int64) time.Duration {
	is := is.New(t)
	begun := time.Now()
	after.lead(t, fence)
	time.Sleep(10 * time.Millisecond)
	after.resumeStored(t, fence, "a", 2)
	time.Sleep(10 * time.Second)
	starts := f.Starts()
	is.Equal(len(starts), 2)
	return starts[0].StartedAt.Sub(begun)
}

// Guards against stored jobs that a lost endpoint keeps waiting for longer than a confirmation and a lease.
func TestLostEndpointDoesNotDelayStoredJobs(t *testing.T) {
	onVirtualClock(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 20*time.Second)
		after := newHolder(t, f, all, true)
		after.paths.SetCut(true, idsOf(all[:1])...)
		waited := resumeBeside(t, f, after, 2)
		is.True(waited > 2300*time.Millisecond)
		is.True(waited < 2700*time.Millisecond)
	})
}

// Guards against stored jobs that wait for ever because most endpoints are lost, or that start too early on a dispatcher that has not
// followed the registrations and does not know what an earlier one uses.
func TestStoredJobsStartWithoutKnowledge(t *testing.T) {
	for _, lost := range []int{0, 3} {
		for _, followed := range []bool{false, true} {
			if lost == 0 && followed {
				continue
			}
			onVirtualClock(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(4, 20*time.Second)
				after := newHolder(t, f, all, followed)
				after.paths.SetCut(true, idsOf(all[:lost])...)
				waited := resumeBeside(t, f, after, 2)
				is.True(waited > 7*time.Second)
				is.True(waited < 7500*time.Millisecond)
			})
		}
	}
}

// Guards against stored jobs that wait for the leases of earlier dispatchers although it is certain that none starts them: those of a log that
// nobody has held, and those that another instance stores later.
func TestNewStoredJobsDoNotWait(t *testing.T) {
	onVirtualClock(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 20*time.Second)
		h := newHolder(t, f, all, false)
		h.lead(t, 2)
		time.Sleep(500 * time.Millisecond)
		first, second := jobOf("a", 2, time.Second), jobOf("b", 1, time.Second)
		is.True(h.ResumeStored(2, func() []shard.ResumedJob { return []shard.ResumedJob{{Job: &first, New: true}} }, ownsAll))
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(f.Starts()), 2)
		h.AddStored(2, shard.ResumedJob{Job: &second, New: true})
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(f.Starts()), 3)
	})
}

// Guards against stored jobs that wait anew with each change of their zone's group, although no other instance can have held the partition,
// and against jobs that do not wait although one can.
func TestStoredJobsWaitOncePerHolding(t *testing.T) {
	for _, uninterrupted := range []bool{true, false} {
		onVirtualClock(t, func(t *testing.T) {
			is := is.New(t)
			f, all := newFleet(4, 20*time.Second)
			h := newHolder(t, f, all, true)
			h.lead(t, 2)
			time.Sleep(5 * time.Second)
			h.Begin(shard.Term{Fence: 3, Partitions: 1, Uninterrupted: uninterrupted})
			h.resumeStored(t, 3, "a", 2)
			time.Sleep(500 * time.Millisecond)
			is.Equal(len(f.Starts()) == 2, uninterrupted)
			time.Sleep(3 * time.Second)
			is.Equal(len(f.Starts()), 2)
		})
	}
}
