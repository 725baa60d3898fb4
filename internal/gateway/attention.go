package gateway

import (
	"time"

	"github.com/savorypass/savorypass/internal/pause"
)

// noteFree records that the gateway's lock is free. g.mu is held.
func (g *Gateway) noteFree() { g.freeAt.Store(int64(pause.Elapsed())) }

// lockHeld returns how long ago the gateway's lock was last known to be free.
func (g *Gateway) lockHeld() time.Duration {
	if g.mu.TryLock() {
		g.noteFree()
		g.mu.Unlock()
	}
	return pause.Elapsed() - time.Duration(g.freeAt.Load())
}

// Unattended returns how long the gateway has been unable to notice that its callers leave. It waits neither for the gateway's lock nor
// for the event loop.
func (g *Gateway) Unattended() time.Duration { return max(g.opts.Lag.Lag(), g.lockHeld()) }
