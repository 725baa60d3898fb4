package pool

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/delaycost"
)

const (
	// demandTimeConstant is the time constant of the exponential averages of a queue's demand and acceptance. It is
	// longer than the gaps between the jobs of a queue and shorter than a swing of demand.
	demandTimeConstant = 2 * time.Second
	// toleratedGap is the difference of two queues' acceptance below which it counts as chance.
	toleratedGap = 0.02
	// fullGap is the difference from which the whole unmet demand of the queue with the lower acceptance is reserved.
	fullGap = 0.15
	// minDecayedJobs is the decayed number of jobs below which a queue's record is deleted.
	minDecayedJobs = 0.001
	// maxReservedShare is the largest share of the capacity that is reserved for other queues.
	maxReservedShare = 0.35
)

// demand is the recent demand of a queue and how much of it was accepted. The figures decay with demandTimeConstant.
type demand struct {
	decayedTo time.Duration // time up to which the figures have been decayed
	work      float64       // expected work of the jobs, in thousandths of a core times nanoseconds
	jobs      float64       // number of jobs
	accepted  float64       // number of accepted jobs
	weight    float64       // cost of a unit of the queue's work that is refused, see package delaycost; 1 if costs are not weighed
}

// decay reduces the figures to their values at a time.
func (d *demand) decay(now time.Duration) {
	if now <= d.decayedTo {
		return
	}
	f := math.Exp(-float64(now-d.decayedTo) / float64(demandTimeConstant))
	d.decayedTo = now
	d.work *= f
	d.jobs *= f
	d.accepted *= f
}

// acceptance returns the share of the jobs that were accepted; 1 while there are too few jobs for a meaningful share.
func (d *demand) acceptance() float64 {
	const minJobs = 0.5 // with fewer, the share is not meaningful
	if d.jobs < minJobs {
		return 1
	}
	return d.accepted / d.jobs
}

// loss returns the cost of what is refused of the queue's work.
func (d *demand) loss() float64 { return delaycost.Loss(d.weight, d.acceptance()) }

// recordDemand adds a new job and the decision on it to the demand of its queue.
func (p *Pool) recordDemand(j *job, accepted bool, now time.Duration) {
	d := p.demand[j.Queue]
	if d == nil {
		d = &demand{decayedTo: now}
		p.demand[j.Queue] = d
	}
	d.decay(now)
	d.weight = j.weight()
	d.jobs++
	d.work += j.waitingWork()
	if accepted {
		d.accepted++
	}
}

// reservedForOthers returns the capacity, in thousandths of a core, that a job has to leave to other queues. total is the
// capacity of the job's service.
//
// Without this reservation, when demand exceeds capacity, wide jobs of short tasks would be refused nearly always: they need
// much capacity at once, and narrow jobs, which can wait more easily, take each piece that becomes free. A queue leaves
// capacity to the queues with a lower acceptance than its own: their average demand, less what they use now. While all jobs
// are accepted nothing is reserved.
func (p *Pool) reservedForOthers(j *job, total int, now time.Duration) int {
	own := p.demand[j.Queue]
	if own == nil {
		return 0
	}
	own.decay(now)
	used := p.usedByQueue()
	sum := 0.0
	for name, d := range p.demand {
		d.decay(now)
		if d.jobs < minDecayedJobs {
			delete(p.demand, name)
			continue
		}
		gap := d.loss() - own.loss()
		if name == j.Queue || gap <= toleratedGap {
			continue
		}
		unused := d.work/float64(demandTimeConstant) - float64(used[name])
		sum += max(unused, 0) * min(gap/fullGap, 1)
	}
	return int(min(sum, maxReservedShare*float64(total)))
}

// usedByQueue returns the capacity that the runs of each queue occupy, in thousandths of a core.
func (p *Pool) usedByQueue() map[string]int {
	used := map[string]int{}
	for _, r := range p.runs {
		if r.job != nil {
			used[r.job.Queue] += r.Size.MilliCPU
		}
	}
	return used
}
