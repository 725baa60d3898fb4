package shard

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// listedMemory is how long an ended registration counts at the start of a term.
	listedMemory = 30 * time.Second
	// relistTime is how long after an outage of the store an endpoint may stay without a registration. Registrations that
	// end during an outage come back within about two seconds if their endpoints live.
	relistTime = 2500 * time.Millisecond
	// minMemory is how long the registrations must have been followed before they count as complete. An endpoint whose
	// registration ended earlier has been given nothing since, and what it had was mostly shorter.
	minMemory = 8 * time.Second
)

// Registrations is what a read of the registrations has found.
type Registrations struct {
	Changed []work.Endpoint
	Removed []work.EndpointID
	// Whole means that endpoints that are not in Changed are not registered.
	Whole bool
	// Recovered means that the store was not reached before this read.
	Recovered bool
	AsOf      time.Duration // when the read began
}

// Directory holds the registrations of all zones, also ended ones, so that a term begins with all endpoints that an
// earlier dispatcher may have used. It is safe for concurrent use.
type Directory struct {
	mu           sync.Mutex
	listed       map[work.EndpointID]seen
	followed     bool // all registrations have been seen, since followedFrom
	followedFrom time.Duration
	firstAfter   bool // the first read of this process's life came after an outage, at firstAt
	firstAt      time.Duration
	readAt       time.Duration // beginning of the last read
	recovered    bool          // the store was not reached for a while, until recoveredAt
	recoveredAt  time.Duration
}

// seen is a registration and when it was last there.
type seen struct {
	endpoint work.Endpoint
	present  bool
	missing  bool // counts as present, although it has ended, because it may come back after an outage
	last     time.Duration
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{listed: map[work.EndpointID]seen{}}
}

// Apply takes the result of a read and returns the endpoints whose registrations have ended. Those that end while the store
// is away, or soon after, count as present for relistTime: a zone that is cut off from the store loses the registrations of
// all its endpoints, and they go on serving.
func (d *Directory) Apply(r Registrations, now time.Duration) []work.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt = r.AsOf
	if r.Recovered {
		d.recovered, d.recoveredAt = true, now
	}
	present := map[work.EndpointID]bool{}
	for _, e := range r.Changed {
		present[e.ID] = true
		d.listed[e.ID] = seen{endpoint: e, present: true, last: now}
	}
	removed := d.end(d.ended(r, present, now), now)
	d.forget(now)
	return removed
}

// ended returns the endpoints that a read does not list any more, and those that have been missing.
func (d *Directory) ended(r Registrations, present map[work.EndpointID]bool, now time.Duration) []work.EndpointID {
	ended := slices.Clone(r.Removed)
	if r.Whole {
		if !d.followed {
			d.firstAfter, d.firstAt = r.Recovered, now
		}
		// What was registered and removed since the read before is not known.
		d.followed, d.followedFrom = true, now
		for id := range d.listed {
			if !present[id] {
				ended = append(ended, id)
			}
		}
		return ended
	}
	for id, e := range d.listed {
		if e.missing {
			ended = append(ended, id)
		}
	}
	return ended
}

// end ends registrations, or marks them as missing if they may come back, and returns those that it has ended.
func (d *Directory) end(ended []work.EndpointID, now time.Duration) []work.EndpointID {
	awaited := d.recovered && now-d.recoveredAt < relistTime
	var removed []work.EndpointID
	for _, id := range ended {
		e, ok := d.listed[id]
		switch {
		case !ok || !e.present:
			removed = append(removed, id)
		case awaited:
			e.missing = true
			d.listed[id] = e
		default:
			d.listed[id] = seen{endpoint: e.endpoint, last: now}
			removed = append(removed, id)
		}
	}
	return removed
}

func (d *Directory) forget(now time.Duration) {
	for id, e := range d.listed {
		if !e.present && now-e.last > listedMemory {
			delete(d.listed, id)
		}
	}
}

// EndpointsKnown reports whether the endpoints that live are known: their registrations have been read, and those that ended with
// an outage before the first read have had time to come back.
func (d *Directory) EndpointsKnown(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.followed && (!d.firstAfter || now-d.firstAt >= relistTime)
}

// Missing returns the number of endpoints that count as present although their registrations have ended.
func (d *Directory) Missing() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.listed {
		if e.missing {
			n++
		}
	}
	return n
}

// Count returns the number of endpoints that are registered in a zone.
func (d *Directory) Count(zone string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.listed {
		if e.present && e.endpoint.Zone == zone {
			n++
		}
	}
	return n
}

// PartitionOf returns the partition of a name among a number of partitions.
func PartitionOf(name string, partitions int) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	sum := h.Sum32()
	return int((sum ^ sum>>16) % uint32(partitions))
}

// known returns the registrations that a filter accepts.
func (d *Directory) known(accept func(work.Endpoint) bool) []seen {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []seen
	for _, e := range d.listed {
		if accept(e.endpoint) {
			all = append(all, e)
		}
	}
	return all
}

// complete reports whether the registrations were read after a time and have been followed long enough to name every
// endpoint that an earlier dispatcher may have used.
func (d *Directory) complete(after, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.followed && now-d.followedFrom >= minMemory && d.readAt > after
}
