// Package placement remembers at which dispatchers jobs were placed.
//
// A caller that has lost its connection submits its job again, at any instance. That instance cannot tell the request from a new job, and
// the instance that has the earlier request may not know that its caller has left: the close of the connection may be held up on its way.
// Each job therefore has a home, the dispatcher of a partition that follows from the job's ID. Instances tell the home where they place the
// job, and learn where another request has placed it. They submit it there, so that one dispatcher knows all runs of the job.
package placement

import (
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
	records map[work.JobID]record
}

// record is the placement of one job.
type record struct {
	home    int // partition of the home
	request uint64
	at      relay.Placement
	until   time.Duration // when the placement is forgotten
}

// New returns an empty registry with a monotonic clock.
func New(now func() time.Duration) *Registry {
	return &Registry{now: now, records: map[work.JobID]record{}}
}

// Apply applies a claim. If the claim asks and another request has placed the job, that placement stays on record and is returned.
// Otherwise the placement of the claim is recorded, or forgotten if it is released.
func (r *Registry) Apply(c *relay.Claim) (earlier relay.Placement, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	old, known := r.records[c.Job]
	known = known && old.until > now && old.request != c.Request
	until := now + max(c.Remaining, 0) + retention
	switch {
	case c.Released && known:
		return old.at, true
	case c.Released:
		delete(r.records, c.Job)
		return relay.Placement{}, false
	case c.Asks && known:
		old.until = max(old.until, until)
		r.records[c.Job] = old
		return old.at, true
	}
	r.records[c.Job] = record{c.Partition, c.Request, c.At, until}
	return relay.Placement{}, false
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
	for id, x := range r.records {
		if match(x) {
			delete(r.records, id)
		}
	}
}

// Len returns the number of placements.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
