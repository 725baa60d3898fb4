package worker

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// sample is the usage from a point in time until the next sample.
type sample struct {
	since time.Time
	used  platform.Size
}

// history holds the usage from the time lag before now until now.
type history struct {
	lag     time.Duration
	samples []sample // oldest first
}

func (h *history) add(now time.Time, used platform.Size) {
	h.prune(now)
	h.samples = append(h.samples, sample{since: now, used: used})
}

// at returns the usage at the time lag before now.
func (h *history) at(now time.Time) platform.Size {
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].since.After(now.Add(-h.lag)) {
		return platform.Size{}
	}
	return h.samples[0].used
}

// prune drops the samples that ended before the time lag before now.
func (h *history) prune(now time.Time) {
	cutoff := now.Add(-h.lag)
	n := 0
	for n+1 < len(h.samples) && !h.samples[n+1].since.After(cutoff) {
		n++
	}
	h.samples = h.samples[n:]
}
