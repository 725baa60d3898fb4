package node

import (
	"sync"
	"time"
)

// maxHostSearch is how long the dispatchers of other zones may be out of reach before the jobs of an evacuated zone are refused at once. A
// takeover, or a restart of all instances, takes less time.
const maxHostSearch = time.Second

// hostReach knows for how long no zone that serves an evacuated one could be reached.
type hostReach struct {
	mu        sync.Mutex
	lostSince time.Time // zero while a zone is reached, or none is needed
}

// note records whether a zone that serves this one is reached, or none is needed.
func (h *hostReach) note(reached bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case reached:
		h.lostSince = time.Time{}
	case h.lostSince.IsZero():
		h.lostSince = now
	}
}

// lost reports whether no zone has been reached for maxHostSearch.
func (h *hostReach) lost(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lostSince.IsZero() && now.Sub(h.lostSince) > maxHostSearch
}

// checkHosts notes whether a dispatcher of another zone can take the jobs of this one, if this one is evacuated.
func (r *router) checkHosts() {
	r.hosts.note(!r.evacuations.Evacuated(r.ownZone) || r.reachesHost(), time.Now())
}

// reachesHost reports whether a dispatcher of another zone that is not evacuated is connected.
func (r *router) reachesHost() bool {
	for _, zone := range r.others {
		if r.evacuations.Evacuated(zone) {
			continue
		}
		for part := range r.divisions.Partitions(zone) {
			if r.connected(r.dispatcher(zone, part)) {
				return true
			}
		}
	}
	return false
}

// connected reports whether there is an open connection to the instance at an address.
func (r *router) connected(address string) bool {
	r.mu.Lock()
	route := r.routes[address]
	r.mu.Unlock()
	return route != nil && route.uplink.Connected()
}
