package entry

import (
	"time"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// Drain begins the planned stop: new work is refused, work in progress is answered, then Run returns.
func (e *Entry) Drain() {
	if e.draining.Swap(true) {
		return
	}
	e.log.WithField("event", "draining").WithField("limit", e.opts.DrainTimeout).Info("planned stop begins")
	e.engine.Drain()
	e.members.SetDraining(true)
	go e.finishDrain(e.clock.Now().Add(e.opts.DrainTimeout))
}

// finishDrain waits until every request is answered, or the time is up. A stop may begin before the listener for callers
// has been opened.
func (e *Entry) finishDrain(limit time.Time) {
	defer close(e.drained)
	select {
	case <-e.serving:
		e.server.Drain()
	case <-e.clock.After(e.opts.DrainTimeout):
	}
	for e.clock.Now().Before(limit) {
		// A peer's task that runs here is part of a job at its home, which would lose the result.
		if jobs, foreign := e.engine.OpenCounts(); jobs == 0 && foreign == 0 && e.server.Active() == 0 {
			return
		}
		e.clock.Sleep(drainPoll)
	}
	jobs, foreign := e.engine.OpenCounts()
	e.log.WithField("event", "drain_timeout").WithField("jobs", jobs).WithField("peer_tasks", foreign).Warn("planned stop ends with open jobs")
}

// drainer adapts Entry to the operators' interface.
type drainer struct{ e *Entry }

// Drain implements ops.Drainer.
func (d drainer) Drain() opsapi.Drain {
	d.e.Drain()
	st, _ := d.e.engine.Stats()
	return opsapi.Drain{Draining: true, Queued: st.Queued, Running: st.Running, LimitMS: d.e.opts.DrainTimeout.Milliseconds()}
}

// Draining implements ops.Drainer.
func (d drainer) Draining() bool { return d.e.draining.Load() }
