// Package placement remembers at which dispatchers jobs were placed.
//
// A caller that has lost its connection submits its job again, at any instance. That instance cannot tell the request from a new job, and
// the instance that has the earlier request may not know that its caller has left: the close of the connection may be held up on its way.
// Each job therefore has a home, the dispatcher of a partition that follows from the job's ID. Instances tell the home where they place the
// job, and learn where another request has placed it. They submit it there, so that one dispatcher knows all runs of the job.
package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// retention is how long a placement is remembered after the job's caller waits no longer: the dispatcher drops the job then, and the leases
// of its runs end, see shard.LeaseWithin.
const retention = 2 * time.Second

// Registry holds the placements of the jobs whose home is on this instance. It is safe for concurrent use.
type Registry struct {
	now func() time.Duration

	mu      sync.Mutex
	records map[work.JobID][]record // in the order of their first claims
}

// record is where one request has placed a job.
type record struct {
	home    int // partition of the home
	request uint64
	at      relay.Placement
	since   time.Duration // when the request arrived
	until   time.Duration // when the placement is forgotten
}

// New returns an empty registry with a monotonic clock.
func New(now func() time.Duration) *Registry {
	return &Registry{now: now, records: map[work.JobID][]record{}}
}

// Apply applies a claim. If the claim asks and another request has placed the job, nothing is recorded, and the first such placement is returned.
// Otherwise the placement of the claim is recorded, or that of its request forgotten if it is released.
func (r *Registry) Apply(c *relay.Claim) (earlier relay.Placement, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	until := now + max(c.Remaining, 0) + retention
	records := slices.DeleteFunc(r.records[c.Job], func(x record) bool { return x.until <= now })
	if other := slices.IndexFunc(records, func(x record) bool { return x.request != c.Request }); c.Asks && other >= 0 {
		first := &records[other]
		first.until = max(first.until, until)
		r.set(c.Job, records)
		at := first.at
		at.Waited = now - first.since
		return at, true
	}
	records = slices.DeleteFunc(records, func(x record) bool { return x.request == c.Request })
	if !c.Released {
		records = append(records, record{c.Partition, c.Request, c.At, now - c.At.Waited, until})
	}
	r.set(c.Job, records)
	return relay.Placement{}, false
}

func (r *Registry) set(id work.JobID, records []record) {
	if len(records) == 0 {
		delete(r.records, id)
		return
	}
	r.records[id] = records
}

// Drop forgets the placements of a home whose dispatcher on this instance has ended its term.
func (r *Registry) Drop(home int) {
	r.forget(func(x record) bool { return x.home == home })
}

// Sweep forgets the placements that are out of date.
func (r *Registry) Sweep() {
	now := r.now()
	r.forget(func(x record) bool { return x.until <= now })
}

func (r *Registry) forget(match func(record) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, records := range r.records {
		r.set(id, slices.DeleteFunc(records, match))
	}
}

// Len returns the number of jobs with placements.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
