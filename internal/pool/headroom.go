package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// ReasonWouldWait refuses a submission that asks for a start at once: not all tasks that are ready could start now. Only senders that
// ask for it get it.
const ReasonWouldWait Reason = "would_wait"

// Headroom is what the endpoints that take new runs have left, for those who choose between partitions. Capacities are in thousandths
// of a core.
type Headroom struct {
	Total int // capacity of the endpoints
	Free  int // what tasks of the present mean size can use, less what waiting tasks request; negative if more waits than is free
	Rate  int // what the present runs release in a millisecond on average
}

// Headroom returns the present headroom.
//
// Used processors alone do not tell whether a job can start: with tasks of a little more than half an endpoint, a partition of which 60 %
// is in use can start no further task. What is free therefore counts in multiples of the mean size of the runs.
func (p *Pool) Headroom() Headroom {
	var h Headroom
	size, rate := p.meanRun()
	for _, e := range p.order {
		if !e.usable || e.Draining {
			continue
		}
		h.Total += e.Size.MilliCPU
		if free := max(e.Size.MilliCPU-e.used.MilliCPU, 0); e.unsized == 0 {
			h.Free += free - free%max(size, 1)
		}
	}
	h.Free -= p.waitingMilliCPU()
	h.Rate = int(rate * float64(time.Millisecond))
	return h
}

// meanRun returns the mean processors of a run, and those that the runs release in a nanosecond on average.
func (p *Pool) meanRun() (milliCPU int, rate float64) {
	const shortestRun = float64(time.Millisecond) // bounds the rate where a run time is not known yet
	sum := 0
	for _, r := range p.runs {
		sum += r.Size.MilliCPU
		rate += float64(r.Size.MilliCPU) / max(float64(r.Expected), shortestRun)
	}
	return sum / max(len(p.runs), 1), rate
}

// waitingMilliCPU returns the processors that the tasks request which wait for nothing but capacity.
func (p *Pool) waitingMilliCPU() int {
	sum := 0
	for _, j := range p.queue {
		for i := range j.steps {
			if j.ready(i) {
				sum += len(j.steps[i].waiting) * j.Steps[i].Size.MilliCPU
			}
		}
	}
	return sum
}

// StartsNow reports whether all tasks of a new job that wait for no other step would start now. Waiting jobs do not count: what they could
// use, they would have taken already.
func (p *Pool) StartsNow(w *work.Job, now time.Duration) bool {
	probe := &job{Job: w}
	for i := range w.Steps {
		s := &w.Steps[i]
		if len(s.DependsOn) == 0 && p.slots(probe, s, now) < s.Count {
			return false
		}
	}
	return true
}

// slots returns how many tasks of a step the endpoints could start now, counted up to the number of its tasks. The steps of a job
// are counted as if each were alone.
func (p *Pool) slots(j *job, s *work.Step, now time.Duration) int {
	n := 0
	for _, e := range p.order {
		if n >= s.Count {
			return n
		}
		if e.isolation.active() || !e.accepts(j, now) || !e.HasLabel(s.Label) {
			continue
		}
		n += e.slots(s)
	}
	return n
}

// slots returns how many further tasks of a step an endpoint has capacity for.
func (e *endpoint) slots(s *work.Step) int {
	most := s.Count
	if s.MaxPerEndpoint > 0 {
		most = min(most, s.MaxPerEndpoint)
	}
	used := e.used
	for n := range most {
		if used = used.Plus(s.Size); !used.Fits(e.Size) {
			return n
		}
	}
	return most
}
