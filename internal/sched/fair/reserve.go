package fair

import "math"

const (
	reserveSample = 0.05 // seconds between two samples of the slots that short tasks use
	reserveMemory = 5.0  // seconds over which the samples are averaged
	reserveMargin = 1.1  // slots kept for short tasks over the average that they use
	longFloor     = 0.65 // share of the slots that long tasks may always use
)

// reserve limits the slots that long tasks may use. It keeps at least the configured share free of them, and more where
// short tasks have lately used more: a batch of long work would otherwise take the slots that short tasks need in the
// next seconds.
type reserve struct {
	shortUse float64 // moving average of the slots that short tasks use
	sampled  float64 // time of the last sample
	open     bool    // another long task may start
}

// sampleReserve updates the average use by short tasks.
func (s *Scheduler) sampleReserve(now float64) {
	passed := now - s.reserve.sampled
	if passed < reserveSample {
		return
	}
	s.reserve.sampled = now
	weight := 1 - math.Exp(-passed/reserveMemory)
	s.reserve.shortUse += (float64(s.running-s.long) - s.reserve.shortUse) * weight
	s.checkReserve()
}

// setLong records the number of running long tasks.
func (s *Scheduler) setLong(n int) {
	s.long = n
	s.checkReserve()
}

func (s *Scheduler) checkReserve() {
	open := s.long < s.longLimit()
	if open != s.reserve.open {
		s.reserve.open = open
		s.epoch++
	}
}

// longLimit is the number of slots that long tasks may use.
func (s *Scheduler) longLimit() int {
	have := float64(s.slots)
	if s.opts.ShortReserve <= 0 {
		return math.MaxInt
	}
	limit := min(have*(1-s.opts.ShortReserve), have-s.reserve.shortUse*reserveMargin)
	return max(1, int(max(limit, have*longFloor)))
}
