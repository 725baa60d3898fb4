package fair

import "math"

const (
	reserveSampleInterval = 0.05 // seconds between samples of the slots in use by short tasks
	reserveWindow         = 5.0  // seconds over which the samples are averaged
	reserveMargin         = 1.1  // ratio of the slots kept for short tasks to the average that they use
	minLongShare          = 0.65 // share of the slots that long tasks may always use
)

// reserve limits the slots that long tasks may use. It keeps at least Options.ShortReserve of the slots free of them,
// and more if short tasks have recently used more: otherwise a batch of long tasks would take the slots that short
// tasks need in the next seconds. Long tasks may always use minLongShare of the slots.
type reserve struct {
	shortUse  float64 // moving average of the slots that short tasks use
	sampledAt float64 // time of the last sample
	open      bool    // one more long task may start
}

// sampleReserve updates the average number of slots that short tasks use.
func (s *Scheduler) sampleReserve(now float64) {
	elapsed := now - s.reserve.sampledAt
	if elapsed < reserveSampleInterval {
		return
	}
	s.reserve.sampledAt = now
	weight := 1 - math.Exp(-elapsed/reserveWindow)
	s.reserve.shortUse += (float64(s.running-s.long) - s.reserve.shortUse) * weight
	s.checkReserve()
}

// setLong sets the number of running long tasks.
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

// longLimit returns the number of slots that long tasks may use.
func (s *Scheduler) longLimit() int {
	have := float64(s.slots)
	if s.opts.ShortReserve <= 0 {
		return math.MaxInt
	}
	limit := min(have*(1-s.opts.ShortReserve), have-s.reserve.shortUse*reserveMargin)
	return max(1, int(max(limit, have*minLongShare)))
}
