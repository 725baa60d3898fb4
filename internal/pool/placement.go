package pool

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// DefaultFarFactor is the factor by which a task takes longer on a rack other than that of its data, where the settings do not say it.
	DefaultFarFactor = 1.5
	// runTimeReserve is the factor on a task's expected run time with which it has to meet its objective on an endpoint; estimates are
	// that far off in about a fourth of the runs.
	runTimeReserve = 1.25
	// worthDelay is the share of the time to a task's end on the best free endpoint within which a faster one has to end it for the task
	// to wait. Smaller gains are within the error of the estimates.
	worthDelay = 0.85
)

// SetFarFactor sets the factor by which a task takes longer on a rack other than that of its data.
func (p *Pool) SetFarFactor(factor float64) { p.farFactor = factor }

// Delayed returns the number of jobs of which a task has waited for a faster endpoint.
func (p *Pool) Delayed() int { return p.delayed }

// pickEndpoint returns the endpoint that starts a task now, or nil and why none does. Endpoints are ranked by the task's expected run time on
// them, and then by the capacity that remains free, least first, so that large tasks still find room elsewhere.
//
// A task that would miss its job's objective even on the best of them waits if it is expected to meet the objective on a faster one that
// frees up. The slower endpoints are left to tasks whose objectives allow for them. A task that has waited in vain starts on any endpoint,
// since no faster one would be in time any more.
func (p *Pool) pickEndpoint(j *job, task work.TaskID, now time.Duration) (*endpoint, startResult) {
	if j.suspects[task] {
		return p.pickIsolated(j, task, now), noRoom
	}
	best, figure := p.bestFree(j, task.Step, now)
	if best == nil {
		return nil, noRoom
	}
	run := float64(p.estimates.of(j.Queue, j.Steps[task.Step].Estimate))
	bestTime := run * math.Exp(figure)
	if float64(j.due(task.Step)-now) >= runTimeReserve*bestTime {
		return best, started
	}
	by := min(j.due(task.Step), now+time.Duration(worthDelay*bestTime))
	if !p.endsElsewhere(j, task.Step, run, now, by) {
		return best, started
	}
	if !j.delayed {
		j.delayed = true
		p.delayed++
	}
	return nil, delayed
}

// bestFree returns the best endpoint that has room for a task of a step, and the figure of its run time there, see speed.
func (p *Pool) bestFree(j *job, step int, now time.Duration) (*endpoint, float64) {
	s := &j.Steps[step]
	var best *endpoint
	var bestRank rank
	var bestFigure float64
	for _, e := range p.order {
		if !p.feasible(j, step, e, now) {
			continue
		}
		figure := e.figure(now) + p.distance(s, e)
		r := rank{speedBin(figure), e.Size.MilliCPU - e.used.MilliCPU - s.Size.MilliCPU}
		if best == nil || r.less(bestRank) {
			best, bestRank, bestFigure = e, r, figure
		}
	}
	return best, bestFigure
}

// endsElsewhere reports whether a step's task with a normal run time is expected to end before a time on an endpoint that has no room
// for it now.
func (p *Pool) endsElsewhere(j *job, step int, run float64, now, by time.Duration) bool {
	s := &j.Steps[step]
	allowed := math.Log(float64(by-now) / run) // NaN, which nothing is below, if that time is over
	for _, e := range p.order {
		figure := e.figure(now) + p.distance(s, e)
		if !(figure < allowed) || !p.suits(j, step, e, now) {
			continue
		}
		if p.nextEnd(e, now)+time.Duration(run*math.Exp(figure)) <= by {
			return true
		}
	}
	return false
}

// nextEnd returns when the first of an endpoint's runs is expected to end, of those that ran when the present decision began or when it was
// first asked. It is calculated once in a decision, since many tasks may ask.
func (p *Pool) nextEnd(e *endpoint, now time.Duration) time.Duration {
	if e.awaited {
		return now // it has room as soon as it has reported
	}
	if e.nextEndOf == p.decisions {
		return e.nextEnd
	}
	e.nextEndOf, e.nextEnd = p.decisions, time.Duration(math.MaxInt64/2)
	for _, r := range e.runs {
		e.nextEnd = min(e.nextEnd, now+r.remaining(now))
	}
	return e.nextEnd
}

// feasible reports whether an endpoint may start a task of a step now.
func (p *Pool) feasible(j *job, step int, e *endpoint, now time.Duration) bool {
	return e.usable && e.used.Plus(j.Steps[step].Size).Fits(e.Size) && p.suits(j, step, e, now)
}

// suits reports whether an endpoint may start a task of a step once it has room and, if it is awaited, has reported.
func (p *Pool) suits(j *job, step int, e *endpoint, now time.Duration) bool {
	s := &j.Steps[step]
	if e.isolation.active() || !e.counts() || !e.takes(j, now) || !e.HasLabel(s.Label) || !s.Size.Fits(e.Size) {
		return false
	}
	return s.MaxPerEndpoint == 0 || j.steps[step].runsOn[e.ID] < s.MaxPerEndpoint
}

// accepts reports whether an endpoint may get new runs of a job's service now.
func (e *endpoint) accepts(j *job, now time.Duration) bool { return e.usable && e.takes(j, now) }

// takes reports whether nothing but a report that is missing speaks against new runs of a job's service on an endpoint.
func (e *endpoint) takes(j *job, now time.Duration) bool {
	return e.Service == j.Service && !e.Draining && !e.leaseEnds && e.unsized+e.superseded == 0 && e.health.available(now, len(e.runs))
}

type rank struct {
	slowness     int // see speedBin
	freeMilliCPU int // after the start, in thousandths of a core
}

func (a rank) less(b rank) bool {
	if a.slowness != b.slowness {
		return a.slowness < b.slowness
	}
	return a.freeMilliCPU < b.freeMilliCPU
}

// distance returns the figure of a task's distance to its data, see speed.
func (p *Pool) distance(s *work.Step, e *endpoint) float64 {
	if s.DataRack == "" || e.HasLabel(s.DataRack) {
		return 0
	}
	return math.Log(p.farFactor)
}
