package fair

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

const (
	failuresInRow  = 3    // failures in a row that take a worker out of service
	firstHoldOff   = 1.0  // seconds
	longestHoldOff = 60.0 // seconds
	rateStep       = 1.0 / 16
	rateSamples    = 10  // results from which a worker's failure rate is compared with its peers'
	rateFactor     = 3.0 // failure rate over the peers' that takes a worker out of service
	rateMargin     = 0.3 // and its distance from the peers' rate
	commonFailure  = 0.5 // failure rate of a service from which its failures say nothing about a worker
	maxAway        = 0.5 // share of workers out of service; if more fail, the cause is not the worker
	forgiveAfter   = 60  // successes at full slots after which the hold-off starts from its shortest again
)

// health is what is known of a worker's failures.
type health struct {
	limit   int  // slots that may be used after a return
	away    bool // out of service
	back    float64
	holdOff float64 // length of the last hold-off, 0 if none
	row     int     // failures in a row
	good    int     // successes since the last failure
	rate    float64 // moving share of failures
	samples int
}

// suspicious reports whether the last result was a failure or the worker has not returned in full.
func (h *health) suspicious() bool { return h.row > 0 || h.holdOff > 0 }

// quarantine is the set of workers out of service.
type quarantine struct {
	list  []*worker
	next  float64 // earliest return
	rate  float64 // moving share of failures over all workers
	count int     // workers taken out of service so far
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
	h := sched.WorkerHealth{Failures: w.health.row}
	if w.health.away {
		h.HoldOffRemaining = time.Duration(max(w.health.back-s.clock(now), 0) * float64(time.Second))
	}
	return h
}

// learn updates the estimates and the worker's health from the end of a run.
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
	if o.Kind == platform.Failed && r.service != nil && r.service.class.FailureRate() > commonFailure {
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
	s.estimates.Observe(now, c, r.declared, o.RunTime, w.speed)
	c.ObserveUsage(now, o.Usage)
	s.followEstimate(r.service)
}

// followEstimate files the jobs of a service again when its estimates have moved away from those they were filed by.
func (s *Scheduler) followEstimate(v *service) {
	if len(v.jobs) == 0 {
		return
	}
	mean, size := v.class.Expect(0).Mean, v.class.Size(sched.Size{})
	if near(mean, v.mean) && near(size.Cores, v.size.Cores) && near(float64(size.MemoryMB), float64(v.size.MemoryMB)) {
		return
	}
	v.mean, v.size = mean, size
	for _, j := range v.jobs {
		s.refile(j)
	}
}

// near tolerates the steps of learned sizes and the noise of learned run times.
func near(a, b float64) bool {
	const tolerance = 1.3
	return a <= b*tolerance && b <= a*tolerance
}

func (s *Scheduler) succeeded(w *worker) {
	h := &w.health
	h.row = 0
	h.good++
	h.samples++
	h.rate -= h.rate * rateStep
	s.quarantine.rate -= s.quarantine.rate * rateStep / float64(max(1, len(s.workers)))
	if h.limit < w.Slots {
		h.limit = min(w.Slots, h.limit*2)
	} else if h.good >= forgiveAfter {
		h.holdOff = 0
	}
	s.reindex(w)
}

func (s *Scheduler) failed(now float64, w *worker) {
	h := &w.health
	h.row++
	h.good = 0
	h.samples++
	h.rate += (1 - h.rate) * rateStep
	s.quarantine.rate += (1 - s.quarantine.rate) * rateStep / float64(len(s.workers))
	onTrial := h.limit < w.Slots
	peers := s.quarantine.rate
	outlier := h.samples >= rateSamples && h.rate > peers*rateFactor && h.rate > peers+rateMargin
	if !h.away && (onTrial || h.row >= failuresInRow || outlier) {
		s.withdraw(now, w)
	}
	s.reindex(w)
}

// withdraw takes a worker out of service for a hold-off that doubles each time.
func (s *Scheduler) withdraw(now float64, w *worker) {
	if float64(len(s.quarantine.list)+1) > maxAway*float64(len(s.workers)) {
		return
	}
	h := &w.health
	h.holdOff = min(longestHoldOff, max(firstHoldOff, 2*h.holdOff))
	h.away, h.back = true, now+h.holdOff
	h.rate, h.samples = 0, 0
	s.quarantine.count++
	if len(s.quarantine.list) == 0 || h.back < s.quarantine.next {
		s.quarantine.next = h.back
	}
	s.quarantine.list = append(s.quarantine.list, w)
	s.unhold(w)
}

// restore returns workers whose hold-off has passed, with one slot each.
func (s *Scheduler) restore(now float64) {
	q := &s.quarantine
	if len(q.list) == 0 || now < q.next {
		return
	}
	kept := q.list[:0]
	var returned []*worker
	for _, w := range q.list {
		if w.health.back <= now {
			returned = append(returned, w)
			continue
		}
		if len(kept) == 0 || w.health.back < q.next {
			q.next = w.health.back
		}
		kept = append(kept, w)
	}
	q.list = kept
	for _, w := range returned {
		w.health.away = false
		w.health.row = 0
		w.health.limit = 1
		s.reindex(w)
	}
}
