// Package estimate learns the run time and the size of tasks for each team and service.
//
// Estimates start at the declared values and move to the learned ones within a few samples. Samples are kept in quantile
// sketches over two rotating windows. Run times are divided by the slowness of the worker, so that a slow worker does not
// change the estimate for a service. The package is not safe for concurrent use.
package estimate

import (
	"math"
	"math/bits"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/savorypass/savorypass/internal/platform"
)

const (
	// DefaultRunTime is the expected run time of tasks that declare none, until samples of their service exist.
	DefaultRunTime = 200 * time.Millisecond

	priorWeight      = 1.0  // number of samples that a declared value weighs as much as
	minBucketSamples = 16   // samples after which a range of declared run times has a separate estimate
	buckets          = 12   // number of ranges of declared run times; the first ends at 2 ms, the others span a factor of 4 each
	minSizeSamples   = 8    // usage reports after which the learned size replaces the declared one
	maxClasses       = 1024 // classes with separate estimates; all further ones share one class, which bounds memory
	priorP90Ratio    = 2.0  // assumed ratio p90 / p50 of a service without samples
)

// Expectation is the expected distribution of a task's run time on a worker of typical speed, in seconds.
type Expectation struct {
	P50  float64
	P90  float64
	Mean float64
}

type key struct{ team, service string }

// Estimator holds the estimates of all services and the slowness of all workers.
type Estimator struct {
	classes    map[key]*Class
	overflow   *Class
	workers    map[string]*Slowness
	scratch    *ddsketch.DDSketch
	typicalLog float64 // Slowness.logFactor of a typical worker: close to the median over all samples
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{classes: map[key]*Class{}, workers: map[string]*Slowness{}, scratch: newSketch()}
}

// Class holds the estimates of one service of one team.
type Class struct {
	all         *series          // run times of all tasks
	declared    [buckets]*series // run times by range of the declared run time, see bucket
	cores       *series
	memory      *series
	size        platform.Size // 90th percentile of the reported usage, rounded up
	scratch     *ddsketch.DDSketch
	failureRate float64 // moving average of the share of tasks that fail, 0 to 1
}

// Class returns the estimates of a service of a team. The pointer stays valid for the life of the estimator.
func (e *Estimator) Class(team, service string) *Class {
	k := key{team, service}
	c := e.classes[k]
	if c != nil {
		return c
	}
	if len(e.classes) >= maxClasses {
		if e.overflow == nil {
			e.overflow = &Class{scratch: e.scratch}
		}
		return e.overflow
	}
	c = &Class{scratch: e.scratch}
	e.classes[k] = c
	return c
}

// FailureRate returns the recent share of the class's tasks that failed, 0 to 1.
func (c *Class) FailureRate() float64 { return c.failureRate }

// ObserveFailure records whether a task failed.
func (c *Class) ObserveFailure(failed bool) {
	const step = 1.0 / 32
	x := 0.0
	if failed {
		x = 1
	}
	c.failureRate += (x - c.failureRate) * step
}

// Observe records the run time of a task that succeeded on a worker. now is in seconds on any monotonic clock. declared is
// the declared run time, 0 if none. w may be nil if the worker is unknown.
func (e *Estimator) Observe(now float64, c *Class, declared, run time.Duration, w *Slowness) {
	if run <= 0 {
		return
	}
	seconds := run.Seconds()
	if w != nil {
		if c.all != nil && c.all.n >= minBucketSamples {
			e.learnSlowness(w, math.Log(seconds/c.Expect(declared).P50))
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

// ObserveUsage records the resource usage reported for a task. now is in seconds, as for Observe.
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

// bucket returns the index of the range that a declared run time is in.
func bucket(declared time.Duration) int {
	return min(buckets-1, bits.Len64(uint64(declared/time.Millisecond))/2)
}

// Expect returns the expected run time of a task with the given declared run time, 0 if none. Tasks with similar declared
// values share an estimate once enough of them have run: even if the declared values are wrong in scale, they may
// distinguish short tasks from long ones.
func (c *Class) Expect(declared time.Duration) Expectation {
	prior := declared
	if prior <= 0 {
		prior = DefaultRunTime
	}
	learned := c.all
	if declared > 0 {
		if s := c.declared[bucket(declared)]; s != nil && s.n >= minBucketSamples {
			learned = s
		}
	}
	p := prior.Seconds()
	if learned == nil || learned.n == 0 {
		return Expectation{P50: p, P90: p * priorP90Ratio, Mean: p}
	}
	if learned.n >= 64*priorWeight { // a declared value that is wrong by a factor of 10 would shift the result by less than 4%
		return Expectation{P50: learned.p50, P90: learned.p90, Mean: learned.mean}
	}
	return Expectation{
		P50:  blend(p, learned.p50, learned.n),
		P90:  blend(p*priorP90Ratio, learned.p90, learned.n),
		Mean: blend(p, learned.mean, learned.n),
	}
}

// blend returns the weighted geometric mean of the declared and the learned value after n samples. After 20 samples a
// declared value that is wrong by a factor of 10 shifts the estimate by less than 15%.
func blend(declared, learned, n float64) float64 {
	if learned <= 0 {
		return learned
	}
	weight := priorWeight / (priorWeight + n)
	return learned * math.Pow(declared/learned, weight)
}

// Size returns the size that a task is expected to need: the declared size until enough usage reports exist, then the 90th
// percentile of the usage. Accelerators always count as declared because they cannot be shared.
func (c *Class) Size(declared platform.Size) platform.Size {
	if c.cores == nil || c.cores.n < minSizeSamples {
		return declared
	}
	learned := c.size
	learned.Accelerators = declared.Accelerators
	return learned
}

// ceilStep rounds up to one of four values per power of two. Few distinct sizes keep the number of scheduler queues small.
func ceilStep(v float64) float64 {
	if v <= 0 {
		return 0
	}
	octave := math.Exp2(math.Floor(math.Log2(v)))
	return octave * math.Ceil(v/octave*4-1e-9) / 4
}

// RoundUpSize returns the size with cores and memory rounded up to one of four values per power of two.
func RoundUpSize(z platform.Size) platform.Size {
	return platform.Size{
		Cores:        ceilStep(z.Cores),
		MemoryMB:     int64(math.Ceil(ceilStep(float64(z.MemoryMB)))),
		Accelerators: z.Accelerators,
	}
}
