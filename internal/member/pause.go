package member

import (
	"sync/atomic"
	"time"
)

// gate answers whether the process may dispatch. open is all that Check reads besides the last tick, so a check
// before each dispatch costs two atomic loads.
type gate struct {
	origin   time.Time
	lastTick atomic.Int64 // since origin, monotonic
	paused   atomic.Bool
	stopped  atomic.Bool // superseded or fenced, for good
	fenced   atomic.Bool

	// Below: guarded by the controller's lock.
	pausedAt   time.Time // when the pause was noticed
	firstRound uint64    // first heartbeat round after the pause; 0: none yet
}

func (g *gate) start(now time.Time) { g.origin = now }

// tick records that the process is running and reports whether it was paused before.
func (g *gate) tick(now time.Time) (paused bool) {
	at := int64(now.Sub(g.origin))
	gap := at - g.lastTick.Load()
	if gap > int64(PauseGap) {
		g.pause(gap) // before the tick, so that no check passes in between
		paused = true
	}
	g.lastTick.Store(at)
	return paused
}

func (g *gate) check(now time.Time) bool {
	if gap := int64(now.Sub(g.origin)) - g.lastTick.Load(); gap > int64(PauseGap) {
		g.pause(gap)
		return false
	}
	return !g.paused.Load() && !g.stopped.Load()
}

func (g *gate) pause(gap int64) {
	if gap >= int64(FenceGap) {
		g.fenced.Store(true)
		g.stopped.Store(true)
	}
	g.paused.Store(true)
}

func (g *gate) stop() { g.stopped.Store(true) }

func (g *gate) round(seq uint64) {
	if g.paused.Load() && g.firstRound == 0 && !g.pausedAt.IsZero() {
		g.firstRound = seq
	}
}

// MayDispatch reports whether the process may dispatch now. It is false from the first call after a pause until a
// heartbeat round and a read of the instance list have completed. now must carry a monotonic reading.
func (c *Controller) MayDispatch(now time.Time) bool { return c.gate.check(now) }

// Fenced reports whether this process must not give answers any more, since it was paused for FenceGap or longer. now
// must carry a monotonic reading.
func (c *Controller) Fenced(now time.Time) bool {
	c.gate.check(now)
	return c.gate.fenced.Load()
}

// Paused reports whether the process recovers from a pause or is stopped for good by a newer incarnation.
func (c *Controller) Paused() bool { return !c.gate.check(c.opts.Clock.Now()) }

// pauseLocked begins the recovery from a pause. Peers declare a paused instance dead, so what it owned may have passed
// to others. View.Returns changes now and not at the end, so that ownership has been claimed anew before dispatching
// goes on.
func (c *Controller) pauseLocked(now time.Time) {
	c.returns++
	c.gate.pausedAt = now
	c.gate.firstRound = 0
	c.nextZone, c.nextFar, c.listed.next = now, now, now
	for _, r := range c.members {
		if r.Live() {
			r.heard = now // silence during this process's own pause says nothing about the peer
		}
	}
	c.pending = append(c.pending, Event{Kind: Paused})
	if c.gate.fenced.Load() {
		c.newer = true // owns nothing any more
		c.pending = append(c.pending, Event{Kind: Fenced})
	}
}

// resumeLocked ends a pause when its conditions are met or its bound has passed.
func (c *Controller) resumeLocked(now time.Time) {
	if !c.gate.paused.Load() {
		return
	}
	if c.gate.pausedAt.IsZero() { // a check noticed a gap that ended before this tick
		c.pauseLocked(now)
		return
	}
	complete := !c.listed.lastStarted.Before(c.gate.pausedAt) && c.roundCompleteLocked()
	if !complete && now.Sub(c.gate.pausedAt) < MaxResumeWait {
		return
	}
	c.gate.pausedAt = time.Time{}
	c.gate.firstRound = 0
	c.gate.paused.Store(false)
	c.pending = append(c.pending, Event{Kind: Resumed})
}

// roundCompleteLocked reports whether each peer of the zone that counts as live has answered a heartbeat that was
// sent after the pause.
func (c *Controller) roundCompleteLocked() bool {
	if c.gate.firstRound == 0 {
		return false
	}
	for k, r := range c.members {
		if k.zone == c.opts.Self.Zone && r.Live() && r.acked < c.gate.firstRound {
			return false
		}
	}
	return true
}
