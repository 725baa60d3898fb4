package shard

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// endedRetention is how long ended registrations are retained. A new term includes their endpoints.
	endedRetention = 30 * time.Second
	// reregisterTime is how long after an outage of the store an endpoint without a registration still counts as registered.
	// Endpoints that are alive renew registrations that ended during an outage within about two seconds.
	reregisterTime = 2500 * time.Millisecond
	// minFollowTime is how long the registrations must have been followed before they count as complete. An endpoint whose
	// registration ended earlier has got no runs since.
	minFollowTime = 8 * time.Second
)

// Registrations is the result of one read of the registrations in the store.
type Registrations struct {
	Changed []work.Endpoint
	Removed []work.EndpointID
	// Snapshot means that Changed lists all registered endpoints.
	Snapshot bool
	// Recovered means that the store could not be reached before this read.
	Recovered bool
	AsOf      time.Duration // when the read began
}

// Directory holds the registrations of the endpoints of all zones. It retains ended ones for endedRetention, so that a
// term begins with all endpoints that an earlier dispatcher may have used. It is safe for concurrent use.
type Directory struct {
	mu               sync.Mutex
	version          uint64 // number of reads that were applied
	registrations    map[work.EndpointID]registration
	followed         bool // all registrations were read at followedFrom, and all changes have been followed since
	followedFrom     time.Duration
	firstAfterOutage bool // the first complete read in this process, at firstReadAt, came after an outage
	firstReadAt      time.Duration
	lastReadBegan    time.Duration // when the last read began
	unreadable       bool          // the last read failed
	recovered        bool          // there was an outage of the store; the last one ended at recoveredAt
	recoveredAt      time.Duration
}

// registration is a present or ended registration.
type registration struct {
	endpoint work.Endpoint
	present  bool
	missing  bool          // the registration has ended, but counts as present because the endpoint may register again after an outage
	since    time.Duration // the endpoint's process has been registered in all reads since then
	lastSeen time.Duration
}

// sinceWith returns since when an endpoint has been registered if it is registered now. r is its registration as known before.
func (r registration) sinceWith(e work.Endpoint, now time.Duration) time.Duration {
	if !r.present || r.missing || r.endpoint.StartedUnixMS != e.StartedUnixMS || r.endpoint.Address != e.Address {
		return now
	}
	return r.since
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{registrations: map[work.EndpointID]registration{}}
}

// Apply records the result of a read and returns the endpoints whose registrations have ended. Registrations that end during
// an outage of the store, or soon after, count as present until reregisterTime after the outage: in a zone that is cut off
// from the store the registrations of all endpoints end, while the endpoints continue to serve.
func (d *Directory) Apply(r Registrations, now time.Duration) []work.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.lastReadBegan, d.unreadable = r.AsOf, false
	if r.Recovered {
		d.recovered, d.recoveredAt = true, now
	}
	present := map[work.EndpointID]bool{}
	for _, e := range r.Changed {
		present[e.ID] = true
		d.registrations[e.ID] = registration{endpoint: e, present: true, since: d.registrations[e.ID].sinceWith(e, now), lastSeen: now}
	}
	removed := d.markEnded(d.endedIDs(r, present, now), now)
	d.forget(now)
	return removed
}

// ReadFailed records that a read of the registrations failed.
func (d *Directory) ReadFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreadable = true
}

// Unreadable reports whether the last read failed.
func (d *Directory) Unreadable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreadable
}

// knowledge returns the age of the registrations.
func (d *Directory) knowledge() knowledge {
	d.mu.Lock()
	defer d.mu.Unlock()
	return knowledge{complete: d.followed, asOf: d.lastReadBegan}
}

// endedIDs returns the endpoints that are no longer registered according to a read, and those marked as missing.
func (d *Directory) endedIDs(r Registrations, present map[work.EndpointID]bool, now time.Duration) []work.EndpointID {
	endedIDs := slices.Clone(r.Removed)
	if r.Snapshot {
		if !d.followed {
			d.firstAfterOutage, d.firstReadAt = r.Recovered, now
		}
		// Endpoints that were registered and removed since the read before are not known.
		d.followed, d.followedFrom = true, now
		for id := range d.registrations {
			if !present[id] {
				endedIDs = append(endedIDs, id)
			}
		}
		return endedIDs
	}
	for id, e := range d.registrations {
		if e.missing {
			endedIDs = append(endedIDs, id)
		}
	}
	return endedIDs
}

// markEnded marks registrations as ended, or as missing if their endpoints may register again after an outage. It returns
// the endpoints whose registrations have ended.
func (d *Directory) markEnded(ended []work.EndpointID, now time.Duration) []work.EndpointID {
	mayReturn := d.recovered && now-d.recoveredAt < reregisterTime
	var removed []work.EndpointID
	for _, id := range ended {
		e, ok := d.registrations[id]
		switch {
		case !ok || !e.present:
			removed = append(removed, id)
		case mayReturn:
			e.missing = true
			d.registrations[id] = e
		default:
			d.registrations[id] = registration{endpoint: e.endpoint, lastSeen: now}
			removed = append(removed, id)
		}
	}
	return removed
}

func (d *Directory) forget(now time.Duration) {
	for id, e := range d.registrations {
		if !e.present && now-e.lastSeen > endedRetention {
			delete(d.registrations, id)
		}
	}
}

// EndpointsKnown reports whether all live endpoints are known: the registrations have been read, and endpoints whose
// registrations ended in an outage before the first read have had time to register again.
func (d *Directory) EndpointsKnown(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.followed && (!d.firstAfterOutage || now-d.firstReadAt >= reregisterTime)
}

// Missing returns the number of endpoints that count as registered although their registrations have ended.
func (d *Directory) Missing() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.registrations {
		if e.missing {
			n++
		}
	}
	return n
}

// Registered returns the endpoints that are registered in a zone.
func (d *Directory) Registered(zone string) []work.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []work.Endpoint
	for _, e := range d.registrations {
		if e.present && e.endpoint.Zone == zone {
			all = append(all, e.endpoint)
		}
	}
	return all
}

// Count returns the number of endpoints that are registered in a zone.
func (d *Directory) Count(zone string) int { return len(d.Registered(zone)) }

// PartitionOf maps a name to a partition, from 0 to partitions-1.
func PartitionOf(name string, partitions int) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	sum := h.Sum32()
	return int((sum ^ sum>>16) % uint32(partitions))
}

// matching returns the present and ended registrations that a filter accepts.
func (d *Directory) matching(accept func(work.Endpoint) bool) []registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepted(accept)
}

// accepted is matching for callers that hold d.mu.
func (d *Directory) accepted(accept func(work.Endpoint) bool) []registration {
	var all []registration
	for _, e := range d.registrations {
		if accept(e.endpoint) {
			all = append(all, e)
		}
	}
	return all
}

// view is what a directory knows at one time.
type view struct {
	registrations []registration // present and ended ones
	// complete means that the registrations have been followed long enough to include every endpoint that an earlier dispatcher may
	// have used until asOf.
	complete bool
	asOf     time.Duration // when the last read began
	version  uint64        // of the directory
}

// covers reports whether every endpoint is among the present and the ended registrations that a dispatcher may have used for a job which
// arrived at a time. A dispatcher learns up to minFollowTime late that a registration has ended, and longer runs outlast the record of it.
func (d *Directory) covers(arrived, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.followed && arrived-d.followedFrom >= minFollowTime && now-arrived <= endedRetention-minFollowTime
}

// view returns what is known of the registrations that a filter accepts.
func (d *Directory) view(accept func(work.Endpoint) bool, now time.Duration) view {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.summary(now)
	v.registrations = d.accepted(accept)
	return v
}

// summarize returns a view without registrations. It does not look at each of them.
func (d *Directory) summarize(now time.Duration) view {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.summary(now)
}

// summary is summarize for callers that hold d.mu.
func (d *Directory) summary(now time.Duration) view {
	return view{complete: d.followed && now-d.followedFrom >= minFollowTime, asOf: d.lastReadBegan, version: d.version}
}
