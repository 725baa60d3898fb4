package estimate

import "math"

const (
	slownessWeight     = 0.1  // weight of one sample in a worker's slowness
	slownessClip       = 1.0  // largest deviation counted for one sample, in natural log units; bounds the effect of a straggler
	minSlownessSamples = 8    // samples after which a worker's slowness is used
	maxSlowness        = 32.0 // limit of Factor, which is at least 1/maxSlowness
	typicalWeight      = 0.02 // weight of one sample in Estimator.typicalLog
	typicalClip        = 0.1  // largest deviation counted for one sample; a mean would follow a few very slow workers
)

// Slowness is the learned slowness of one worker.
type Slowness struct {
	logFactor float64 // smoothed natural log of run time / estimate
	n         int     // samples
	factor    float64 // result of Factor, updated with each sample
}

// Slowness returns the learned slowness of a worker. The pointer stays valid until Forget.
func (e *Estimator) Slowness(worker string) *Slowness {
	s := e.workers[worker]
	if s == nil {
		s = &Slowness{factor: 1}
		e.workers[worker] = s
	}
	return s
}

// Forget removes what was learned about a worker.
func (e *Estimator) Forget(worker string) {
	delete(e.workers, worker)
}

// learnSlowness records a sample for a worker. x is the natural log of the run time over the estimate.
func (e *Estimator) learnSlowness(w *Slowness, x float64) {
	step := slownessWeight * math.Max(-slownessClip, math.Min(slownessClip, x-w.logFactor))
	w.logFactor += step
	w.n++
	e.typicalLog += typicalWeight * math.Max(-typicalClip, math.Min(typicalClip, w.logFactor-e.typicalLog))
	if w.n >= minSlownessSamples {
		f := math.Exp(w.logFactor - e.typicalLog)
		w.factor = math.Max(1/maxSlowness, math.Min(maxSlowness, f))
	}
}

// Factor returns how many times longer tasks run on the worker than on a typical one. A change that affects all workers
// leaves it at 1 and changes the estimates of the services instead.
func (w *Slowness) Factor() float64 { return w.factor }
