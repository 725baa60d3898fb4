package estimate

import "math"

const (
	speedStep    = 0.1 // weight of one sample in a worker's speed
	speedClip    = 1.0 // largest pull of one sample, in natural log units; bounds the effect of a straggler
	speedSamples = 8   // samples from which a worker's speed is used
	maxFactor    = 32.0
	centerStep   = 0.02
	centerClip   = 0.1 // a few workers far from the rest hardly move the center; their mean would
)

// Slowness is the learned slowness of one worker.
type Slowness struct {
	log    float64 // log of the run time over the estimate, smoothed
	n      int
	factor float64 // as of the last sample
}

// Slowness returns the speed of a worker. The pointer stays valid until Forget.
func (e *Estimator) Slowness(worker string) *Slowness {
	s := e.speeds[worker]
	if s == nil {
		s = &Slowness{factor: 1}
		e.speeds[worker] = s
	}
	return s
}

// Forget drops what is known of a worker.
func (e *Estimator) Forget(worker string) {
	delete(e.speeds, worker)
}

func (e *Estimator) learnSpeed(w *Slowness, x float64) {
	step := speedStep * math.Max(-speedClip, math.Min(speedClip, x-w.log))
	w.log += step
	w.n++
	e.center += centerStep * math.Max(-centerClip, math.Min(centerClip, w.log-e.center))
	if w.n >= speedSamples {
		f := math.Exp(w.log - e.center)
		w.factor = math.Max(1/maxFactor, math.Min(maxFactor, f))
	}
}

// Factor is how many times longer tasks run on the worker than on the usual one. A change that affects all workers
// leaves it at 1, so that such a change moves the estimates of the services instead.
func (w *Slowness) Factor() float64 { return w.factor }
