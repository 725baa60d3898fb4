package member

import (
	"sync/atomic"
	"time"
)

// gate decides whether the process may dispatch. A check takes no lock and costs a few atomic loads, so it can be made
// before each dispatch.
type gate struct {
	startedAt time.Time
	lastTick  atomic.Int64 // nanoseconds since startedAt, monotonic
	paused    atomic.Bool  // from the detection of a pause until the recovery from it
	stopped   atomic.Bool  // superseded or fenced; never reset
	fenced    atomic.Bool  // a pause was FenceGap or longer; never reset

	// The fields below are guarded by the controller's lock.
	pausedAt   time.Time // tick at which the pause was detected; zero: none
	firstRound uint64    // sequence number of the first heartbeat after the pause; 0: none yet
}

func (g *gate) start(now time.Time) { g.startedAt = now }

// tick records that the process is running and reports whether it was paused before.
func (g *gate) tick(now time.Time) (paused bool) {
	at := int64(now.Sub(g.startedAt))
	gap := at - g.lastTick.Load()
	if gap > int64(PauseGap) {
		g.pause(gap) // before lastTick is set, so that no check passes in between
		paused = true
	}
	g.lastTick.Store(at)
	return paused
}

// check reports whether the process may dispatch. It detects a pause that no tick has detected yet.
func (g *gate) check(now time.Time) bool {
	if gap := int64(now.Sub(g.startedAt)) - g.lastTick.Load(); gap > int64(PauseGap) {
		g.pause(gap)
		return false
	}
	return !g.paused.Load() && !g.stopped.Load()
}

// pause records a pause with a gap between ticks, in nanoseconds.
func (g *gate) pause(gap int64) {
	if gap >= int64(FenceGap) {
		g.fenced.Store(true)
		g.stopped.Store(true)
	}
	g.paused.Store(true)
}

func (g *gate) stop() { g.stopped.Store(true) }

// recordRound records that the heartbeat with a sequence number is being sent.
func (g *gate) recordRound(seq uint64) {
	if g.paused.Load() && g.firstRound == 0 && !g.pausedAt.IsZero() {
		g.firstRound = seq
	}
}

// MayDispatch reports whether the process may dispatch now. After a pause it is false until a heartbeat round and a
// read of the instance list have completed, or MaxResumeWait has passed. Once the process is superseded or fenced, it
// is always false. now must carry a monotonic clock reading.
func (c *Controller) MayDispatch(now time.Time) bool { return c.gate.check(now) }

// Fenced reports whether this process must not give answers any more, because it was paused for FenceGap or longer. now
// must carry a monotonic clock reading.
func (c *Controller) Fenced(now time.Time) bool {
	c.gate.check(now)
	return c.gate.fenced.Load()
}

// Paused reports whether the process may not dispatch at present: it is recovering from a pause, superseded or fenced.
func (c *Controller) Paused() bool { return !c.gate.check(c.opts.Clock.Now()) }

// pauseLocked begins the recovery from a pause. Peers declare a paused instance dead, so they may have taken over its
// workers. View.Returns changes at the beginning of the recovery, so that this instance has claimed its workers again
// before it continues to dispatch.
func (c *Controller) pauseLocked(now time.Time) {
	c.returnCount++
	c.gate.pausedAt = now
	c.gate.firstRound = 0
	c.nextZoneHeartbeat, c.nextOtherZoneHeartbeat, c.listed.next = now, now, now
	for _, r := range c.members {
		if r.Live() {
			r.lastHeard = now // the silence is due to this process's own pause
		}
	}
	c.pending = append(c.pending, Event{Kind: Paused})
	if c.gate.fenced.Load() {
		c.superseded = true // owns no workers any more
		c.pending = append(c.pending, Event{Kind: Fenced})
	}
}

// resumeLocked ends the recovery from a pause once the instance list was read and a heartbeat round has completed, or
// MaxResumeWait has passed.
func (c *Controller) resumeLocked(now time.Time) {
	if !c.gate.paused.Load() {
		return
	}
	if c.gate.pausedAt.IsZero() { // a check, not a tick, detected the pause
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

// roundCompleteLocked reports whether every live peer of the zone has acknowledged a heartbeat that was sent after the
// pause.
func (c *Controller) roundCompleteLocked() bool {
	if c.gate.firstRound == 0 {
		return false
	}
	for k, r := range c.members {
		if k.zone == c.opts.Self.Zone && r.Live() && r.lastAcked < c.gate.firstRound {
			return false
		}
	}
	return true
}
