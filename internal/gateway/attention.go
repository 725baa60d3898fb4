package gateway

import (
	"sync/atomic"
	"time"
)

// attention tells for how long the gateway has not attended to its callers. It notices that a caller leaves only while the event loop
// of the callers' listener turns, and tells the job's dispatcher only while its lock is free.
type attention struct {
	started  time.Time
	servedAt atomic.Int64 // beginning of the call of Serve in progress, in nanoseconds since started; 0 if there is none
	freeAt   atomic.Int64 // when the lock was last free, in nanoseconds since started
}

func (a *attention) now() time.Duration { return time.Since(a.started) }

// begin and end enclose the work of the event loop on one request. There is one event loop.
func (a *attention) begin() { a.servedAt.Store(max(int64(a.now()), 1)) }
func (a *attention) end()   { a.servedAt.Store(0) }

// noteFree records that the gateway's lock is free.
func (a *attention) noteFree() { a.freeAt.Store(int64(a.now())) }

// lapse returns how long ago the lock was last free, or how long the event loop has worked on one request, if that is longer.
func (a *attention) lapse() time.Duration {
	now := a.now()
	lapse := now - time.Duration(a.freeAt.Load())
	if servedAt := a.servedAt.Load(); servedAt > 0 {
		lapse = max(lapse, now-time.Duration(servedAt))
	}
	return lapse
}

// Unattended returns how long the gateway has been unable to notice that its callers leave. It does not wait for the gateway's lock.
func (g *Gateway) Unattended() time.Duration {
	if g.mu.TryLock() {
		g.attention.noteFree()
		g.mu.Unlock()
	}
	return g.attention.lapse()
}
