package fair

import "math"

const (
	inflowMemory  = 1.0 // seconds over which the admitted work is averaged; a burst shows within a second
	inflowClasses = 14  // ranges of offsets, each twice as wide as the one before
	inflowFirst   = 1.0 / 32
)

// inflow is the rate at which a team's work was submitted lately, by how far the ranks lie after the arrival. Work that
// arrives later but with a smaller offset overtakes.
//
// Amounts are kept multiplied by a weight that grows with time instead of being decayed one by one.
type inflow struct {
	total float64
	class [inflowClasses]float64
}

// inflowWeight is the growth of the weight since the sums were rebased.
func (s *Scheduler) inflowWeight(now float64) float64 {
	return math.Exp((now - s.inflowOrigin) / inflowMemory)
}

func inflowClass(offset float64) int {
	if offset <= inflowFirst {
		return 0
	}
	return min(inflowClasses-1, 1+int(math.Log2(offset/inflowFirst)))
}

// enterInflow records the submission of a job.
func (s *Scheduler) enterInflow(now float64, j *job) {
	w := j.work * s.inflowWeight(now) / inflowMemory
	j.team.inflow.total += w
	j.team.inflow.class[inflowClass(j.key-j.arrival)] += w
}

// rebaseInflow keeps the weights within range.
func (s *Scheduler) rebaseInflow(now float64) {
	scale := 1 / s.inflowWeight(now)
	for _, t := range s.teams {
		t.inflow.total *= scale
		for i := range t.inflow.class {
			t.inflow.class[i] *= scale
		}
	}
	s.inflowOrigin = now
}

// overtaking returns the work that arrives within the given time and goes ahead of a job with the given offset.
func (f *inflow) overtaking(offset, within, weight float64) float64 {
	sum, middle := 0.0, inflowFirst/2
	for _, rate := range f.class {
		if middle >= offset {
			break
		}
		sum += rate * min(within, offset-middle)
		middle = max(inflowFirst*1.5, middle*2)
	}
	return sum / weight
}
