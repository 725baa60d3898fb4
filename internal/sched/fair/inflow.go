package fair

import "math"

const (
	inflowWindow     = 1.0      // seconds over which submitted work is averaged; shows a burst within a second
	inflowClasses    = 14       // ranges of offsets; the upper bound of each is twice that of the one before
	inflowFirstBound = 1.0 / 32 // seconds; upper bound of the first range
)

// inflow is a moving average of the rate at which a team submits work, in work per second, by the offset of the jobs'
// ranks from their arrival. It predicts the work that will overtake a job: work that arrives later, but with an offset
// so much smaller that its rank is lower.
//
// Amounts are multiplied by a weight that grows exponentially with time when they are added, and divided by the current
// weight when they are read. So old amounts decay without being updated.
type inflow struct {
	total float64
	class [inflowClasses]float64
}

// inflowWeight returns the current weight. It is 1 at inflowOrigin.
func (s *Scheduler) inflowWeight(now float64) float64 {
	return math.Exp((now - s.inflowOrigin) / inflowWindow)
}

// inflowClass returns the index of the range that contains the offset, in seconds.
func inflowClass(offset float64) int {
	if offset <= inflowFirstBound {
		return 0
	}
	return min(inflowClasses-1, 1+int(math.Log2(offset/inflowFirstBound)))
}

// enterInflow records the submission of a job.
func (s *Scheduler) enterInflow(now float64, j *job) {
	w := j.work * s.inflowWeight(now) / inflowWindow
	j.team.inflow.total += w
	j.team.inflow.class[inflowClass(j.rank-j.arrival)] += w
}

// rebaseInflow rescales all amounts so that the weight starts at 1 again and doesn't overflow.
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

// overtaking returns the work that is expected to arrive within the given number of seconds and to overtake a job with
// the given offset.
func (f *inflow) overtaking(offset, within, weight float64) float64 {
	sum, midpoint := 0.0, inflowFirstBound/2
	for _, rate := range f.class {
		if midpoint >= offset {
			break
		}
		sum += rate * min(within, offset-midpoint)
		midpoint = max(inflowFirstBound*1.5, midpoint*2)
	}
	return sum / weight
}
