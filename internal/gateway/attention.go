package gateway

import (
	"time"

	"github.com/savorypass/savorypass/internal/pause"
)

// noteFree records that the gateway's lock is free. g.mu is held.
func (g *Gateway) noteFree() { g.freeAt.Store(int64(pause.Elapsed())) }

// lastFree returns when the gateway's lock was last known to be free.
func (g *Gateway) lastFree() time.Duration {
	if g.mu.TryLock() {
		g.noteFree()
		g.mu.Unlock()
	}
	return time.Duration(g.freeAt.Load())
}

// Unattended returns a time d for which the following holds: every close of a caller's connection that reached the kernel more than d ago has
// been handled completely, so that its job is discarded and its cancel has been passed to the route. d is also at least the time for which
// the gateway's lock has been held. Unattended waits neither for that lock nor for the event loop.
func (g *Gateway) Unattended() time.Duration {
	noticed := g.opts.Closes.HandledUntil() // first: a close that it covers is among the departures until it has been handled
	attended := min(g.departures.handledUntil(noticed), g.lastFree())
	return pause.Elapsed() - attended // last: this goroutine may have been without the processor meanwhile
}
