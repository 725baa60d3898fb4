package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windowParts       = 6
	partLength        = 10 * time.Second // 6 parts cover a window of one minute
	significantDigits = 2                // decimal digits: an error of 1%; 3 digits would take eight times the memory
)

// Quantiles collects values over the last minute and publishes their quantiles. It is safe for concurrent use.
type Quantiles struct {
	scale float64 // stored integers per published unit
	now   func() time.Time

	mu    sync.Mutex
	parts [windowParts]*hdrhistogram.Histogram
	part  int64  // number of the current part since the Unix epoch
	total uint64 // values recorded since the process started
}

// newQuantiles returns a collector for values from 0 to max, in the published unit, with a resolution of 1/scale.
func newQuantiles(now func() time.Time, scale, max float64) *Quantiles {
	q := &Quantiles{scale: scale, now: now}
	for i := range q.parts {
		q.parts[i] = hdrhistogram.New(1, int64(max*scale), significantDigits)
	}
	q.part = partNumber(now())
	return q
}

func partNumber(t time.Time) int64 { return t.UnixNano() / int64(partLength) }

// Add records a value in the published unit. A value outside the range is recorded as the nearest bound of the range.
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

// rotate empties the parts that have left the window. It does nothing while the clock is set back.
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

// Summary is the published form of Quantiles. Total counts all values since the process started; the other fields cover
// the last minute.
type Summary struct {
	Count int64   `json:"count"`
	Total uint64  `json:"total"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Mean  float64 `json:"mean"`
}

// Summary returns the count, quantiles, maximum and mean of the last minute, and the total count.
func (q *Quantiles) Summary() Summary {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rotate()
	all := hdrhistogram.New(1, q.parts[0].HighestTrackableValue(), significantDigits)
	for _, h := range q.parts {
		all.Merge(h)
	}
	s := Summary{Count: all.TotalCount(), Total: q.total}
	if s.Count == 0 {
		return s
	}
	s.P50 = q.inPublishedUnit(all.ValueAtQuantile(50))
	s.P90 = q.inPublishedUnit(all.ValueAtQuantile(90))
	s.P99 = q.inPublishedUnit(all.ValueAtQuantile(99))
	s.Max = q.inPublishedUnit(all.Max())
	s.Mean = all.Mean() / q.scale
	return s
}

func (q *Quantiles) inPublishedUnit(n int64) float64 { return float64(n) / q.scale }

// String returns the summary as JSON, as expvar requires.
func (q *Quantiles) String() string {
	text, _ := json.Marshal(q.Summary()) // finite numbers only, so it cannot fail
	return string(text)
}
