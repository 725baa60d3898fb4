package share

import (
	"sync"

	"github.com/savorypass/savorypass/internal/metric"
)

// reports are the peers whose last backlog report from this instance has brought no grant so far.
type reports struct {
	mu    sync.Mutex
	peers map[string]bool
}

// set notes whether a report waits for a grant and returns whether one did.
func (r *reports) set(peer string, waits bool) (waited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waited = r.peers[peer]
	if waits {
		r.peers[peer] = true
	} else {
		delete(r.peers, peer)
	}
	return waited
}

// superseded counts the last report to a peer as wasted if it has brought no grant. next says that another one follows.
func (s *Service) superseded(peer string, next bool) {
	if s.open.set(peer, next) {
		s.opts.Wasted(metric.WastedBacklog)
	}
}
