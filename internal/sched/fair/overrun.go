package fair

import "math"

const (
	overrunFactor  = 3.0 // times the 90th percentile after which a run counts as far beyond its estimate
	overrunShorten = 0.5 // seconds, the shortest such time
	overrunClasses = 10  // each twice as long as the one before
)

// overruns finds runs far beyond their estimate. Times are rounded to a few classes, so that each class is a queue in
// order of time and needs no heap.
type overruns struct {
	class [overrunClasses]watchQueue
}

type watch struct {
	w      *worker
	lane   int
	serial uint32
	due    float64
}

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

func (o *overruns) watch(now float64, w *worker, lane int, p90 float64) {
	i, after := 0, overrunShorten
	for after < p90*overrunFactor/math.Sqrt2 && i < overrunClasses-1 {
		i, after = i+1, after*2
	}
	o.class[i].push(watch{w, lane, w.serials[lane], now + after})
}

// overdue counts the runs whose time has passed as long and stuck.
func (s *Scheduler) overdue(now float64) {
	for i := range s.overruns.class {
		q := &s.overruns.class[i]
		for q.head < len(q.list) && q.list[q.head].due <= now {
			s.overran(q.list[q.head])
			q.head++
		}
	}
}

func (s *Scheduler) overran(x watch) {
	r := &x.w.lanes[x.lane]
	if !r.busy || x.w.serials[x.lane] != x.serial {
		return
	}
	r.stuck = true
	s.stuck++
	if !r.long {
		r.long = true
		s.setLong(s.long + 1)
	}
}
