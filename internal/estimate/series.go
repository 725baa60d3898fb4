package estimate

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	sketchAccuracy  = 0.05 // relative; estimates need to be right within a few tens of percent
	sketchBins      = 128  // at 5% accuracy these span a factor of 3e5; values below that range share the lowest bin
	windowSamples   = 512  // samples in the current window after which the windows rotate
	windowSeconds   = 120  // age after which the windows rotate, which drops old samples of services with few tasks
	refreshInterval = 32   // most samples between two evaluations of the quantiles; series with few samples have more
)

// series holds the samples of the current and the previous window in quantile sketches, with cached results.
type series struct {
	current  window
	previous window
	merged   *ddsketch.DDSketch // scratch space, shared by all series of an estimator
	pending  int                // samples since the quantiles were evaluated
	n        float64            // samples in the cached results
	p50      float64
	p90      float64
	mean     float64
}

type window struct {
	sketch    *ddsketch.DDSketch
	sum       float64 // sum of the samples
	n         float64 // number of samples
	startedAt float64 // seconds, see Estimator.Observe
}

func newSeries(now float64, scratch *ddsketch.DDSketch) *series {
	return &series{
		current:  window{sketch: newSketch(), startedAt: now},
		previous: window{sketch: newSketch(), startedAt: now},
		merged:   scratch,
	}
}

func newSketch() *ddsketch.DDSketch {
	s, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		panic(err) // the accuracy is a valid constant
	}
	return s
}

// add records a sample. Values that a sketch cannot hold are ignored.
func (s *series) add(now, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if s.current.n >= windowSamples || (s.current.n > 0 && now-s.current.startedAt > windowSeconds) {
		s.rotate(now)
	}
	if s.current.sketch.Add(value) != nil {
		return
	}
	s.current.sum += value
	s.current.n++
	s.pending++
	if s.pending >= refreshInterval || float64(s.pending) >= s.n/4 {
		s.refresh()
	}
}

// rotate makes the current window the previous one and starts a new one.
func (s *series) rotate(now float64) {
	s.previous, s.current = s.current, s.previous
	s.current.sketch.Clear()
	s.current.sum, s.current.n, s.current.startedAt = 0, 0, now
}

// refresh computes the cached results from both windows.
func (s *series) refresh() {
	s.pending = 0
	s.merged.Clear()
	// All sketches have the same mapping, so a merge cannot fail.
	_ = s.merged.MergeWith(s.current.sketch)
	_ = s.merged.MergeWith(s.previous.sketch)
	s.n = s.current.n + s.previous.n
	s.mean = (s.current.sum + s.previous.sum) / s.n
	s.p50, _ = s.merged.GetValueAtQuantile(0.5)
	s.p90, _ = s.merged.GetValueAtQuantile(0.9)
}
