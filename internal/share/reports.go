package share

import (
	"sync"

	"github.com/savorypass/savorypass/internal/metric"
)

// unansweredReports holds the peers that have sent no grant since the last backlog report from this instance to them.
type unansweredReports struct {
	mu    sync.Mutex
	peers map[string]bool
}

// set records whether a report to the peer waits for a grant, and returns whether one waited before.
func (r *unansweredReports) set(peer string, waits bool) (waited bool) {
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

// reportEnded is called when a new report or a withdrawal follows the last report to a peer. It counts the last report as
// wasted if no grant followed it. next is true if the peer now has a new report.
func (s *Service) reportEnded(peer string, next bool) {
	if s.unanswered.set(peer, next) {
		s.opts.Wasted(metric.WastedBacklog)
	}
}
