package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
)

// Guards against a slow worker and stragglers that shift the estimate for a service.
func TestSlowWorkerDoesNotSkewEstimate(t *testing.T) {
	is := is.New(t)
	e := New()
	c := e.Class("a", "x")
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		run := 0.2 * math.Exp(0.4*r.NormFloat64())
		name := fmt.Sprintf("w%d", i%10)
		if i%10 == 0 {
			run *= 10
		}
		if r.Float64() < 0.01 {
			run *= 20
		}
		e.Observe(float64(i)/100, c, 0, time.Duration(run*float64(time.Second)), e.Slowness(name))
	}
	x := c.Expect(0)
	is.True(x.P50 > 0.17 && x.P50 < 0.23)
	is.True(x.P90 > 0.28 && x.P90 < 0.42) // 0.33 without the slow worker
	is.True(e.Slowness("w0").Factor() > 6)
	is.True(e.Slowness("w1").Factor() < 1.2)
}

// Guards against estimates that stay near declared values which are wrong by a factor of 10, and against estimates that do
// not follow a change of the run times.
func TestEstimateFollowsRunTimes(t *testing.T) {
	is := is.New(t)
	for _, off := range []float64{0.1, 10} {
		c := New().Class("a", "x")
		e := New()
		declared := time.Duration(off * float64(200*time.Millisecond))
		is.Equal(c.Expect(declared).Mean, declared.Seconds())
		for i := range 20 {
			e.Observe(float64(i), c, declared, 200*time.Millisecond, nil)
		}
		is.True(math.Abs(math.Log(c.Expect(declared).Mean/0.2)) < 0.15)
		for i := range 3 * windowSamples {
			e.Observe(float64(i), c, declared, time.Second, nil)
		}
		is.True(math.Abs(c.Expect(declared).Mean-1) < 0.05)
	}
}

// Guards against sizes that stay at declared values which are far from the reported usage.
func TestLearnsSize(t *testing.T) {
	is := is.New(t)
	c := New().Class("a", "x")
	declared := platform.Size{Cores: 10, MemoryMB: 100, Accelerators: 1}
	is.Equal(c.Size(declared), declared)
	for i := range 100 {
		c.ObserveUsage(float64(i), platform.Size{Cores: 1, MemoryMB: 1000})
	}
	z := c.Size(declared)
	// The sketch is accurate to 5%, and the result is rounded up by at most 25%.
	is.True(z.Cores >= 0.95 && z.Cores <= 1.05*1.25)
	is.True(z.MemoryMB >= 950 && z.MemoryMB <= 1313)
	is.Equal(z.Accelerators, 1)
}
