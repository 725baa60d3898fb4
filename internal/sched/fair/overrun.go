package fair

import "math"

const (
	overrunFactor  = 3.0 // a run is an overrun after this many times the 90th percentile of its expected run time
	minOverrun     = 0.5 // seconds; no run is an overrun before that
	overrunClasses = 10  // number of time limits, each twice the one before
)

// overruns finds runs that take far longer than expected. Time limits are rounded to a few classes: within a class,
// runs reach the limit in the order in which they started, so that a queue is enough and no heap is needed.
type overruns struct {
	class [overrunClasses]watchQueue
}

// watch is a run with the time at which it becomes an overrun.
type watch struct {
	w      *worker
	slot   int
	serial uint32  // the slot's count of runs when the run started; distinguishes it from later runs on the slot
	dueAt  float64 // seconds of the scheduler's clock
}

// watchQueue is a first-in first-out queue. Entries before head have been processed.
type watchQueue struct {
	list []watch
	head int
}

func (q *watchQueue) push(x watch) {
	if q.head > 64 && q.head*2 > len(q.list) {
		n := copy(q.list, q.list[q.head:])
		clear(q.list[n:])
		q.list, q.head = q.list[:n], 0
	}
	q.list = append(q.list, x)
}

// watch schedules the check of a run that has just started.
func (o *overruns) watch(now float64, w *worker, slot int, p90 float64) {
	i, after := 0, minOverrun
	for after < p90*overrunFactor/math.Sqrt2 && i < overrunClasses-1 {
		i, after = i+1, after*2
	}
	o.class[i].push(watch{w, slot, w.runCounts[slot], now + after})
}

// markOverdue marks the runs that have reached their time limit as long and stuck.
func (s *Scheduler) markOverdue(now float64) {
	for i := range s.overruns.class {
		q := &s.overruns.class[i]
		for q.head < len(q.list) && q.list[q.head].dueAt <= now {
			s.markOverrun(q.list[q.head])
			q.head++
		}
	}
}

func (s *Scheduler) markOverrun(x watch) {
	r := &x.w.runs[x.slot]
	if !r.busy || x.w.runCounts[x.slot] != x.serial {
		return
	}
	r.stuck = true
	s.stuck++
	if !r.long {
		r.long = true
		s.setLong(s.long + 1)
	}
}
