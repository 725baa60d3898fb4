package engine

import (
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// Load is a recent summary of the engine's work.
type Load struct {
	sched.Stats
	Jobs int
	Wait time.Duration // expected time until all queued tasks have started
}

// loadInterval is how often the summary is renewed; it is read for heartbeats, which leave 4 times a second.
const loadInterval = 50 * time.Millisecond

// Load returns the last summary without asking the loop.
func (e *Engine) Load() Load {
	if l := e.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

func (e *Engine) publishLoad(now time.Time) {
	if now.Sub(e.loadedAt) < loadInterval {
		return
	}
	e.loadedAt = now
	l := &Load{Stats: e.opts.Scheduler.Stats(), Jobs: len(e.jobs)}
	if s, ok := e.opts.Scheduler.(sched.Sharer); ok && l.Queued > 0 {
		l.Wait = s.Backlog(now).Wait
	}
	e.load.Store(l)
}

// Usage returns what each team uses on the slots that this instance assigns, its peers' tasks included.
func (e *Engine) Usage() map[string]sched.Size {
	out := map[string]sched.Size{}
	e.call(func(time.Time) {
		for _, w := range e.workers {
			if w.peer {
				continue
			}
			for f := range w.flights {
				team, size := f.charge()
				s := out[team]
				s.Cores += size.Cores
				s.MemoryMB += size.MemoryMB
				s.Accelerators += size.Accelerators
				out[team] = s
			}
		}
	})
	return out
}

// charge returns the team and the declared size of a task.
func (f *flight) charge() (team string, size sched.Size) {
	if f.foreign != nil {
		return f.foreign.task.Team, f.foreign.task.Size
	}
	return f.job.Team, f.job.Shape.Tasks[f.index].Size
}
