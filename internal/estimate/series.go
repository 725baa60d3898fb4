package estimate

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	sketchAccuracy = 0.05 // relative; estimates need to be right within a few tens of percent
	sketchBins     = 128  // at 5% this spans a range of 3e5, below which the lowest values collapse
	windowSamples  = 512  // samples after which the older window is dropped
	windowSeconds  = 120  // a window is also dropped after this time, so that a quiet service forgets
	refreshEvery   = 32   // samples between two evaluations of the quantiles once a series is warm
)

// series is a quantile sketch over the current and the previous window of samples, with cached results.
type series struct {
	current  window
	previous window
	merged   *ddsketch.DDSketch // scratch, shared by all series of an estimator
	pending  int                // samples since the quantiles were evaluated
	n        float64
	p50      float64
	p90      float64
	mean     float64
}

type window struct {
	sketch *ddsketch.DDSketch
	sum    float64
	n      float64
	since  float64
}

func newSeries(now float64, scratch *ddsketch.DDSketch) *series {
	return &series{
		current:  window{sketch: newSketch(), since: now},
		previous: window{sketch: newSketch(), since: now},
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

// add records a sample. Values that a sketch cannot hold are dropped.
func (s *series) add(now, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	if s.current.n >= windowSamples || (s.current.n > 0 && now-s.current.since > windowSeconds) {
		s.rotate(now)
	}
	if s.current.sketch.Add(value) != nil {
		return
	}
	s.current.sum += value
	s.current.n++
	s.pending++
	if s.pending >= refreshEvery || float64(s.pending) >= s.n/4 {
		s.refresh()
	}
}

func (s *series) rotate(now float64) {
	s.previous, s.current = s.current, s.previous
	s.current.sketch.Clear()
	s.current.sum, s.current.n, s.current.since = 0, 0, now
}

func (s *series) refresh() {
	s.pending = 0
	s.merged.Clear()
	// The sketches share one mapping, so a merge cannot fail.
	_ = s.merged.MergeWith(s.current.sketch)
	_ = s.merged.MergeWith(s.previous.sketch)
	s.n = s.current.n + s.previous.n
	s.mean = (s.current.sum + s.previous.sum) / s.n
	s.p50, _ = s.merged.GetValueAtQuantile(0.5)
	s.p90, _ = s.merged.GetValueAtQuantile(0.9)
}
