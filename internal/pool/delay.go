package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/delaycost"
	"github.com/savorypass/savorypass/internal/work"
)

// Where the queues of a service have different priorities, the pool weighs what a delay costs callers (package delaycost). A job that
// can no longer meet its objective and has not started yields: it starts after the jobs that still can, and is not counted as work ahead
// of newcomers. Jobs that are expected to miss their objective here are given back while another dispatcher may still run them in time.

// moveTime is the time that a job has to have left when it is given back: the way to another dispatcher takes a few milliseconds.
const moveTime = 10 * time.Millisecond

// WeighBy sets what tells whether costs of delays are weighed for a service. Without it they are not.
func (p *Pool) WeighBy(weighs func(service string) bool) { p.weighs = weighs }

// waits reports whether a job has certainly not started anywhere, and its caller waits.
func (j *job) waits() bool { return !j.started && !j.resumed && !j.stored }

// yields reports whether a job lets the jobs start first that can still meet their objective.
//
// Without this, when demand stays above capacity, the jobs that have become late start first and make all behind them late.
func (j *job) yields(now time.Duration) bool {
	return j.weighed && j.latestStart < now && j.waits()
}

// KeepHere records that no other dispatcher is left for a job, so that it is not given back.
func (p *Pool) KeepHere(id work.JobID) {
	if j := p.jobs[id]; j != nil {
		j.kept = true
	}
}

// precedes reports whether job a starts before job b.
func precedes(a, b *job, now time.Duration) bool {
	if yieldsA, yieldsB := a.yields(now), b.yields(now); yieldsA != yieldsB {
		return yieldsB
	}
	return before(a, b)
}

// weight returns the cost of a unit of the job's work that is not done in time.
func (j *job) weight() float64 {
	if !j.weighed {
		return 1
	}
	return delaycost.Weight(j.Objective.Priority)
}

// GiveBack returns the accepted jobs that have not started, are expected to miss their objective here and could still meet it at another
// dispatcher.
func (p *Pool) GiveBack(now time.Duration) []work.JobID {
	var back []work.JobID
	examined := map[string]bool{}
	for _, j := range p.queue {
		if j.weighed && !examined[j.Service] {
			examined[j.Service] = true
			back = append(back, p.giveBackOf(j.Service, now)...)
		}
	}
	return back
}

// giveBackOf simulates the waiting jobs of a service and leaves out each job that it gives back.
func (p *Pool) giveBackOf(service string, now time.Duration) []work.JobID {
	var back []work.JobID
	var before snapshot
	f := p.forecast(service, work.Size{}, now)
	f.reserve(service, now, now+p.longestExpected(service))
	for _, j := range p.queue {
		if j.Service != service || !j.hasReady() || j.yields(now) || now < j.notBefore || p.holds(j) {
			continue
		}
		if !j.weighed || j.kept || !j.waits() || j.latestStart < now+moveTime {
			f.add(j)
			continue
		}
		f.save(&before)
		if f.add(j) > j.latestStart {
			f.restore(&before)
			back = append(back, j.ID)
		}
	}
	return back
}

// longestExpected returns the longest expected run time of the waiting jobs of a service.
func (p *Pool) longestExpected(service string) time.Duration {
	longest := time.Duration(0)
	for _, j := range p.queue {
		if j.Service == service {
			longest = max(longest, j.expected)
		}
	}
	return longest
}
