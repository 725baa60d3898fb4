package fair

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

const (
	maxFailuresInRow    = 3        // consecutive failures after which a worker is quarantined
	minHoldOff          = 1.0      // seconds
	maxHoldOff          = 60.0     // seconds
	failureRateStep     = 1.0 / 16 // weight of one result in a worker's moving average
	minRateSamples      = 10       // results of a worker before its failure rate is compared with the average
	outlierFactor       = 3.0      // a worker is quarantined if its failure rate exceeds the average this many times
	outlierMargin       = 0.3      // a quarantine for outlierFactor also requires an excess of this difference over the average
	commonFailureRate   = 0.5      // failure rate of a service above which its failures don't count against workers
	maxQuarantinedShare = 0.5      // of all workers; if more fail, the cause is not the workers
	holdOffResetAfter   = 60       // successes in a row, with all slots usable, that reset the hold-off to its minimum
)

// health records a worker's failures. After too many of them the worker is quarantined: it gets no tasks for a hold-off
// period, then returns with one usable slot. The number of usable slots doubles with each success; a failure before all
// slots are usable quarantines the worker again.
type health struct {
	slotLimit     int     // upper bound of the usable slots; grows after a quarantine
	quarantined   bool    // gets no tasks until returnAt
	returnAt      float64 // end of the hold-off, in seconds of the scheduler's clock
	holdOff       float64 // length of the last hold-off in seconds, 0 if none or reset
	failuresInRow int     // consecutive failures
	successes     int     // successes since the last failure
	failureRate   float64 // moving average of the share of failures
	samples       int     // results since the last quarantine
}

// suspicious reports whether the last result was a failure, or the worker's last hold-off is not reset yet, see
// holdOffResetAfter.
func (h *health) suspicious() bool { return h.failuresInRow > 0 || h.holdOff > 0 }

// quarantine holds the quarantined workers, and statistics over all workers.
type quarantine struct {
	list        []*worker
	nextReturn  float64 // earliest returnAt of the list
	failureRate float64 // moving average of the share of failures over all workers
	holdOffs    int     // number of quarantines since the scheduler was created
}

func (q *quarantine) remove(w *worker) {
	for i, x := range q.list {
		if x == w {
			q.list = append(q.list[:i], q.list[i+1:]...)
			return
		}
	}
}

// Health implements sched.HealthReporter.
func (s *Scheduler) Health(now time.Time, worker string) sched.WorkerHealth {
	w := s.workers[worker]
	if w == nil {
		return sched.WorkerHealth{}
	}
	h := sched.WorkerHealth{ConsecutiveFailures: w.health.failuresInRow}
	if w.health.quarantined {
		h.HoldOffRemaining = time.Duration(max(w.health.returnAt-s.clock(now), 0) * float64(time.Second))
	}
	return h
}

// learn updates the estimates and the worker's health from the outcome of a run.
func (s *Scheduler) learn(now float64, w *worker, r run, o sched.Outcome) {
	if o.Stopped {
		return
	}
	if o.Kind == platform.Succeeded {
		s.succeeded(w)
	}
	if r.service != nil {
		s.learnService(now, w, r, o)
	}
	if o.Kind == platform.Succeeded {
		return
	}
	if o.Kind == platform.Failed && r.service != nil && r.service.class.FailureRate() > commonFailureRate {
		return
	}
	s.failed(now, w)
}

func (s *Scheduler) learnService(now float64, w *worker, r run, o sched.Outcome) {
	c := r.service.class
	if o.Kind == platform.Succeeded || o.Kind == platform.Failed {
		c.ObserveFailure(o.Kind == platform.Failed)
	}
	if o.Kind != platform.Succeeded {
		return
	}
	s.estimates.Observe(now, c, r.declared, o.RunTime, w.slowness)
	c.ObserveUsage(now, o.Usage)
	s.regroupIfChanged(r.service)
}

// regroupIfChanged regroups the jobs of a service if its estimates differ too much from those that the jobs' ranks
// were computed with.
func (s *Scheduler) regroupIfChanged(v *service) {
	if len(v.jobs) == 0 {
		return
	}
	mean, size := v.class.Expect(0).Mean, v.class.Size(sched.Size{})
	if similar(mean, v.mean) && similar(size.Cores, v.size.Cores) && similar(float64(size.MemoryMB), float64(v.size.MemoryMB)) {
		return
	}
	v.mean, v.size = mean, size
	for _, j := range v.jobs {
		s.regroup(j)
	}
}

// similar reports whether two estimates differ by at most 30%, more than the steps of estimated sizes and the noise of
// estimated run times.
func similar(a, b float64) bool {
	const tolerance = 1.3
	return a <= b*tolerance && b <= a*tolerance
}

func (s *Scheduler) succeeded(w *worker) {
	h := &w.health
	h.failuresInRow = 0
	h.successes++
	h.samples++
	h.failureRate -= h.failureRate * failureRateStep
	s.quarantine.failureRate -= s.quarantine.failureRate * failureRateStep / float64(max(1, len(s.workers)))
	if h.slotLimit < w.Slots {
		h.slotLimit = min(w.Slots, h.slotLimit*2)
	} else if h.successes >= holdOffResetAfter {
		h.holdOff = 0
	}
	s.reindex(w)
}

func (s *Scheduler) failed(now float64, w *worker) {
	h := &w.health
	h.failuresInRow++
	h.successes = 0
	h.samples++
	h.failureRate += (1 - h.failureRate) * failureRateStep
	s.quarantine.failureRate += (1 - s.quarantine.failureRate) * failureRateStep / float64(len(s.workers))
	onTrial := h.slotLimit < w.Slots
	peers := s.quarantine.failureRate
	outlier := h.samples >= minRateSamples && h.failureRate > peers*outlierFactor && h.failureRate > peers+outlierMargin
	if !h.quarantined && (onTrial || h.failuresInRow >= maxFailuresInRow || outlier) {
		s.startQuarantine(now, w)
	}
	s.reindex(w)
}

// startQuarantine takes a worker out of service, for twice as long as the last time. It does nothing if too many
// workers are quarantined already.
func (s *Scheduler) startQuarantine(now float64, w *worker) {
	if float64(len(s.quarantine.list)+1) > maxQuarantinedShare*float64(len(s.workers)) {
		return
	}
	h := &w.health
	h.holdOff = min(maxHoldOff, max(minHoldOff, 2*h.holdOff))
	h.quarantined, h.returnAt = true, now+h.holdOff
	h.failureRate, h.samples = 0, 0
	s.quarantine.holdOffs++
	if len(s.quarantine.list) == 0 || h.returnAt < s.quarantine.nextReturn {
		s.quarantine.nextReturn = h.returnAt
	}
	s.quarantine.list = append(s.quarantine.list, w)
	s.unhold(w)
}

// endQuarantines returns the workers whose hold-off has passed to service, with one usable slot each.
func (s *Scheduler) endQuarantines(now float64) {
	q := &s.quarantine
	if len(q.list) == 0 || now < q.nextReturn {
		return
	}
	remaining := q.list[:0]
	var returned []*worker
	for _, w := range q.list {
		if w.health.returnAt <= now {
			returned = append(returned, w)
			continue
		}
		if len(remaining) == 0 || w.health.returnAt < q.nextReturn {
			q.nextReturn = w.health.returnAt
		}
		remaining = append(remaining, w)
	}
	q.list = remaining
	for _, w := range returned {
		w.health.quarantined = false
		w.health.failuresInRow = 0
		w.health.slotLimit = 1
		s.reindex(w)
	}
}
