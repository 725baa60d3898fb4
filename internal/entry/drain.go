package entry

import (
	"time"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// Drain begins a planned stop: the instance refuses new work and answers the open requests, then Run returns. Further
// calls have no effect.
func (e *Entry) Drain() {
	if e.draining.Swap(true) {
		return
	}
	e.log.WithField("event", "draining").WithField("limit", e.opts.DrainTimeout).Info("planned stop begins")
	e.engine.Drain()
	e.members.SetDraining(true)
	go e.finishDrain(e.clock.Now().Add(e.opts.DrainTimeout))
}

// finishDrain waits until every request is answered or the deadline has passed, and closes e.drained. A planned stop
// may begin before the listener for callers is open.
func (e *Entry) finishDrain(deadline time.Time) {
	defer close(e.drained)
	select {
	case <-e.serving:
		e.server.Drain()
	case <-e.clock.After(e.opts.DrainTimeout):
	}
	for e.clock.Now().Before(deadline) {
		// A task that a peer has delegated belongs to a job at its home, which would lose the result.
		if jobs, foreign := e.engine.OpenCounts(); jobs == 0 && foreign == 0 && e.server.Active() == 0 {
			return
		}
		e.clock.Sleep(pollInterval)
	}
	jobs, foreign := e.engine.OpenCounts()
	e.log.WithField("event", "drain_timeout").WithField("jobs", jobs).WithField("peer_tasks", foreign).Warn("drain timeout passed; stopping with open work")
}

// drainer implements ops.Drainer, the planned stop on an operator's request.
type drainer struct{ e *Entry }

// Drain implements ops.Drainer.
func (d drainer) Drain() opsapi.Drain {
	d.e.Drain()
	st, _ := d.e.engine.Stats()
	return opsapi.Drain{Draining: true, Queued: st.Queued, Running: st.Running, LimitMS: d.e.opts.DrainTimeout.Milliseconds()}
}

// Draining implements ops.Drainer.
func (d drainer) Draining() bool { return d.e.draining.Load() }
