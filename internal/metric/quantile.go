package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowParts     = 6
	partLength      = 10 * time.Second // 6 parts make a window of one minute
	significantDigs = 2                // 1% error; 3 digits would take eight times the memory
)

// Quantiles collects values over the last minute and publishes their quantiles. It is safe for concurrent use.
type Quantiles struct {
	scale float64 // stored integers per published unit
	now   func() time.Time

	mu    sync.Mutex
	parts [windowParts]*hdrhistogram.Histogram
	part  int64 // number of the current part since the epoch
	total uint64
}

// newQuantiles returns a collector for values from 1/scale to max in published units.
func newQuantiles(now func() time.Time, scale, max float64) *Quantiles {
	q := &Quantiles{scale: scale, now: now}
	for i := range q.parts {
		q.parts[i] = hdrhistogram.New(1, int64(max*scale), significantDigs)
	}
	q.part = partNumber(now())
	return q
}

func partNumber(t time.Time) int64 { return t.UnixNano() / int64(partLength) }

// Add records a value in the published unit. Values beyond the range count as its end.
func (q *Quantiles) Add(v float64) {
	n := int64(v * q.scale)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rotate()
	h := q.parts[q.part%windowParts]
	n = min(max(n, 0), h.HighestTrackableValue())
	h.RecordValue(n) // within the range, so it cannot fail
	q.total++
}

// AddDuration records a duration in milliseconds.
func (q *Quantiles) AddDuration(d time.Duration) {
	q.Add(float64(d) / float64(time.Millisecond))
}

// rotate empties the parts that have left the window. A clock that goes back changes nothing.
func (q *Quantiles) rotate() {
	next := partNumber(q.now())
	if next-q.part > windowParts {
		q.part = next - windowParts
	}
	for q.part < next {
		q.part++
		q.parts[q.part%windowParts].Reset()
	}
}

// Summary is what Quantiles publishes. Count and the quantiles cover the last minute; Total covers the process's life.
type Summary struct {
	Count int64   `json:"count"`
	Total uint64  `json:"total"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Mean  float64 `json:"mean"`
}

// Summary returns the quantiles of the last minute.
func (q *Quantiles) Summary() Summary {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rotate()
	all := hdrhistogram.New(1, q.parts[0].HighestTrackableValue(), significantDigs)
	for _, h := range q.parts {
		all.Merge(h)
	}
	s := Summary{Count: all.TotalCount(), Total: q.total}
	if s.Count == 0 {
		return s
	}
	s.P50 = q.published(all.ValueAtQuantile(50))
	s.P90 = q.published(all.ValueAtQuantile(90))
	s.P99 = q.published(all.ValueAtQuantile(99))
	s.Max = q.published(all.Max())
	s.Mean = all.Mean() / q.scale
	return s
}

func (q *Quantiles) published(n int64) float64 { return float64(n) / q.scale }

// String returns the summary as JSON, as expvar requires.
func (q *Quantiles) String() string {
	text, _ := json.Marshal(q.Summary()) // finite numbers only, so it cannot fail
	return string(text)
}
