// Package estimate learns the run time and the size of tasks for each team and service.
//
// Estimates start from the declared values and move to the learned ones within a few samples. Samples are kept in
// quantile sketches over two rotating windows. Run times are normalised by the speed of the worker, so that a slow
// worker does not change what is expected of a service.
package estimate

import (
	"math"
	"math/bits"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/savorypass/savorypass/internal/platform"
)

const (
	// DefaultRunTime stands in for tasks that declare none and of whose service nothing is known.
	DefaultRunTime = 200 * time.Millisecond

	priorWeight    = 1.0  // samples that a declared value counts for
	bucketSamples  = 16   // samples from which a range of declared values has its own estimate
	buckets        = 12   // ranges of declared values, a factor of 4 each, from 1 ms
	sizeSamples    = 8    // usage reports from which the learned size replaces the declared one
	maxClasses     = 1024 // estimates kept; beyond that, the rest share one, which bounds memory
	priorTailRatio = 2.0  // assumed p90 / p50 of a service of which nothing is known
)

// Expectation is what is known of a task's run time, in seconds.
type Expectation struct {
	P50  float64
	P90  float64
	Mean float64
}

type key struct{ team, service string }

// Estimator holds the estimates of all services and the speeds of all workers.
type Estimator struct {
	classes map[key]*Class
	rest    *Class
	speeds  map[string]*Slowness
	scratch *ddsketch.DDSketch
	center  float64 // log factor of the usual worker, close to the median over all samples
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{classes: map[key]*Class{}, speeds: map[string]*Slowness{}, scratch: newSketch()}
}

// Class holds the estimates of one service of one team.
type Class struct {
	all      *series
	declared [buckets]*series
	cores    *series
	memory   *series
	size     platform.Size // 90th percentile of the use, rounded up
	scratch  *ddsketch.DDSketch
	failures float64 // moving share of tasks that fail
}

// Class returns the estimates of a service of a team. The pointer stays valid.
func (e *Estimator) Class(team, service string) *Class {
	k := key{team, service}
	c := e.classes[k]
	if c != nil {
		return c
	}
	if len(e.classes) >= maxClasses {
		if e.rest == nil {
			e.rest = &Class{scratch: e.scratch}
		}
		return e.rest
	}
	c = &Class{scratch: e.scratch}
	e.classes[k] = c
	return c
}

// FailureRate is the recent share of failures among the class's tasks, 0 to 1.
func (c *Class) FailureRate() float64 { return c.failures }

// ObserveFailure records whether a task failed.
func (c *Class) ObserveFailure(failed bool) {
	const step = 1.0 / 32
	x := 0.0
	if failed {
		x = 1
	}
	c.failures += (x - c.failures) * step
}

// Observe records the run time of a task that succeeded on a worker. now is in seconds on any steady clock.
func (e *Estimator) Observe(now float64, c *Class, declared, run time.Duration, w *Slowness) {
	if run <= 0 {
		return
	}
	seconds := run.Seconds()
	if w != nil {
		if c.all != nil && c.all.n >= bucketSamples {
			e.learnSpeed(w, math.Log(seconds/c.Expect(declared).P50))
		}
		seconds /= w.Factor()
	}
	if c.all == nil {
		c.all = newSeries(now, c.scratch)
	}
	c.all.add(now, seconds)
	if declared > 0 {
		b := bucket(declared)
		if c.declared[b] == nil {
			c.declared[b] = newSeries(now, c.scratch)
		}
		c.declared[b].add(now, seconds)
	}
}

// ObserveUsage records the reported use of resources of a task.
func (c *Class) ObserveUsage(now float64, used platform.Size) {
	if used.Cores <= 0 && used.MemoryMB <= 0 {
		return
	}
	if c.cores == nil {
		c.cores, c.memory = newSeries(now, c.scratch), newSeries(now, c.scratch)
	}
	c.cores.add(now, used.Cores)
	c.memory.add(now, float64(used.MemoryMB))
	if c.cores.pending == 0 || c.memory.pending == 0 {
		c.size = RoundUpSize(platform.Size{Cores: c.cores.p90, MemoryMB: int64(math.Ceil(c.memory.p90))})
	}
}

func bucket(declared time.Duration) int {
	return min(buckets-1, bits.Len64(uint64(declared/time.Millisecond))/2)
}

// Expect returns the expected run time of a task. Tasks with similar declared values share an estimate once enough
// of them have run, since a declared value that is wrong in scale may still tell short tasks from long ones.
func (c *Class) Expect(declared time.Duration) Expectation {
	prior := declared
	if prior <= 0 {
		prior = DefaultRunTime
	}
	known := c.all
	if declared > 0 {
		if s := c.declared[bucket(declared)]; s != nil && s.n >= bucketSamples {
			known = s
		}
	}
	p := prior.Seconds()
	if known == nil || known.n == 0 {
		return Expectation{P50: p, P90: p * priorTailRatio, Mean: p}
	}
	if known.n >= 64*priorWeight {
		return Expectation{P50: known.p50, P90: known.p90, Mean: known.mean}
	}
	return Expectation{
		P50:  blend(p, known.p50, known.n),
		P90:  blend(p*priorTailRatio, known.p90, known.n),
		Mean: blend(p, known.mean, known.n),
	}
}

// blend moves from the declared to the learned value in the logarithm, so that a declared value that is off by a
// factor of 10 shifts the estimate by less than 15% after 20 samples.
func blend(declared, learned, n float64) float64 {
	if learned <= 0 {
		return learned
	}
	weight := priorWeight / (priorWeight + n)
	return learned * math.Pow(declared/learned, weight)
}

// Size returns the size that a task is expected to need: the declared one until enough use has been reported, then
// the 90th percentile of the use. Accelerators are always taken as declared because they cannot be shared.
func (c *Class) Size(declared platform.Size) platform.Size {
	if c.cores == nil || c.cores.n < sizeSamples {
		return declared
	}
	learned := c.size
	learned.Accelerators = declared.Accelerators
	return learned
}

// ceilStep rounds up to one of four steps per octave. Few distinct sizes keep the number of queues small.
func ceilStep(v float64) float64 {
	if v <= 0 {
		return 0
	}
	octave := math.Exp2(math.Floor(math.Log2(v)))
	return octave * math.Ceil(v/octave*4-1e-9) / 4
}

// RoundUpSize returns the size with each amount rounded up to one of four steps per octave.
func RoundUpSize(z platform.Size) platform.Size {
	return platform.Size{
		Cores:        ceilStep(z.Cores),
		MemoryMB:     int64(math.Ceil(ceilStep(float64(z.MemoryMB)))),
		Accelerators: z.Accelerators,
	}
}
