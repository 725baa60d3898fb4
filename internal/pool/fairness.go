package pool

import (
	"math"
	"time"
)

const (
	// demandMemory is the time over which a queue's demand and acceptance are averaged. It is longer than the gaps between
	// the jobs of a queue and shorter than a swing of demand.
	demandMemory = 2 * time.Second
	// toleratedGap is the difference of two queues' acceptance that is taken for chance.
	toleratedGap = 0.02
	// fullGap is the difference from which all of the demand of the queue that is refused more often is kept free.
	fullGap = 0.15
	// forgotten is the number of jobs below which a queue's faded demand is dropped.
	forgotten = 0.001
	// maxKept is the largest part of the room that is kept free for other queues.
	maxKept = 0.35
)

// demand is what a queue has asked for lately, and how much of it was taken. The figures fade with demandMemory.
type demand struct {
	at    time.Duration // to which the figures have faded
	work  float64       // thousandths of a core times nanoseconds
	jobs  float64
	taken float64
}

// fade brings the figures to a time.
func (d *demand) fade(now time.Duration) {
	if now <= d.at {
		return
	}
	f := math.Exp(-float64(now-d.at) / float64(demandMemory))
	d.at = now
	d.work *= f
	d.jobs *= f
	d.taken *= f
}

// acceptance is the part of the jobs that were taken; 1 while there were none.
func (d *demand) acceptance() float64 {
	const few = 0.5 // jobs; less says nothing
	if d.jobs < few {
		return 1
	}
	return d.taken / d.jobs
}

// noteDemand records a decision on a new job.
func (p *Pool) noteDemand(j *job, taken bool, now time.Duration) {
	d := p.demand[j.Queue]
	if d == nil {
		d = &demand{at: now}
		p.demand[j.Queue] = d
	}
	d.fade(now)
	d.jobs++
	d.work += p.waitingWork(j)
	if taken {
		d.taken++
	}
}

// kept returns the room, in thousandths of a core, that a job of a queue has to leave to other queues, of the room of a
// service in total.
//
// It answers demand above capacity by queues of which some wait more easily than others: wide jobs of short tasks, which
// need much room at once, find none behind narrow ones, which take each piece that becomes free, and would be refused
// nearly always. A queue leaves room to those that are refused more often than itself: what they ask for on average and
// do not use now. While all are taken nothing is kept.
func (p *Pool) kept(j *job, total int, now time.Duration) int {
	own := p.demand[j.Queue]
	if own == nil {
		return 0
	}
	own.fade(now)
	used := p.usedByQueue()
	sum := 0.0
	for name, d := range p.demand {
		d.fade(now)
		if d.jobs < forgotten {
			delete(p.demand, name)
			continue
		}
		gap := own.acceptance() - d.acceptance()
		if name == j.Queue || gap <= toleratedGap {
			continue
		}
		unused := d.work/float64(demandMemory) - float64(used[name])
		sum += max(unused, 0) * min(gap/fullGap, 1)
	}
	return int(min(sum, maxKept*float64(total)))
}

// usedByQueue returns the room that the runs of each queue take, in thousandths of a core.
func (p *Pool) usedByQueue() map[string]int {
	used := map[string]int{}
	for _, r := range p.runs {
		if r.job != nil {
			used[r.job.Queue] += r.Size.MilliCPU
		}
	}
	return used
}
