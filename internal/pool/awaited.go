package pool

import "github.com/savorypass/savorypass/internal/work"

// An endpoint that has been asked for its runs under a new fence answers within a round trip. Until then it gets no runs, but it
// counts as capacity for admission: a job that it will soon have room for waits for it instead of being refused.

// SetAwaited sets whether the report of an endpoint is expected soon. It holds until SetUsable is called.
func (p *Pool) SetAwaited(id work.EndpointID, awaited bool) {
	if e, ok := p.endpoints[id]; ok {
		e.awaited = awaited
	}
}

// counts reports whether an endpoint counts as capacity: it may get new runs, or is expected to as soon as it has reported.
func (e *endpoint) counts() bool { return (e.usable || e.awaited) && !e.Draining }
