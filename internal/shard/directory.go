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
	// minMemory is how long the registrations must have been followed before they count as complete. An endpoint whose
	// registration ended earlier has been given nothing since, and what it had was mostly shorter.
	minMemory = 8 * time.Second
)

// Registrations is what a read of the registrations has found.
type Registrations struct {
	Changed []work.Endpoint
	Removed []work.EndpointID
	Whole   bool          // endpoints that are not in Changed are not registered
	AsOf    time.Duration // when the read began
}

// Directory holds the registrations of all zones, also ended ones, so that a term begins with all endpoints that an
// earlier dispatcher may have used. It is safe for concurrent use.
type Directory struct {
	mu           sync.Mutex
	listed       map[work.EndpointID]seen
	followed     bool // all registrations have been seen, since followedFrom
	followedFrom time.Duration
	readAt       time.Duration // beginning of the last read
}

// seen is a registration and when it was last there.
type seen struct {
	endpoint work.Endpoint
	present  bool
	last     time.Duration
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{listed: map[work.EndpointID]seen{}}
}

// Apply takes the result of a read and returns the endpoints whose registrations it has ended.
func (d *Directory) Apply(r Registrations, now time.Duration) []work.EndpointID {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt = r.AsOf
	present := map[work.EndpointID]bool{}
	for _, e := range r.Changed {
		present[e.ID] = true
		d.listed[e.ID] = seen{e, true, now}
	}
	removed := slices.Clone(r.Removed)
	if r.Whole {
		// What was registered and removed since the read before is not known.
		d.followed, d.followedFrom = true, now
		for id := range d.listed {
			if !present[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		if e, ok := d.listed[id]; ok && e.present {
			d.listed[id] = seen{e.endpoint, false, now}
		}
	}
	d.forget(now)
	return removed
}

func (d *Directory) forget(now time.Duration) {
	for id, e := range d.listed {
		if !e.present && now-e.last > listedMemory {
			delete(d.listed, id)
		}
	}
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
