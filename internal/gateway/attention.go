package gateway

import (
	"time"

	"github.com/savorypass/savorypass/internal/pause"
)

// noteFree records that the gateway's lock is free. g.mu is held.
func (g *Gateway) noteFree() { g.freeAt.Store(int64(pause.SinceBoot())) }

// lastFree returns when the gateway's lock was last known to be free.
func (g *Gateway) lastFree() time.Duration {
	if g.mu.TryLock() {
		g.noteFree()
		g.mu.Unlock()
	}
	return time.Duration(g.freeAt.Load())
}

// Unattended returns how long the gateway has been unable to notice that its callers leave. It waits neither for the gateway's lock nor
// for the event loop.
func (g *Gateway) Unattended() time.Duration {
	attended := min(g.opts.Lag.HandledUntil(), g.lastFree())
	return pause.SinceBoot() - attended // last: this goroutine may have been without the processor meanwhile
}
