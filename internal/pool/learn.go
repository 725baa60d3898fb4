package pool

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// estimateWeight is the weight of one run in a queue's learned figures: about the last 50 runs count.
	estimateWeight = 0.04
	// unknownEstimate stands in for a run time that neither the caller nor earlier runs tell.
	unknownEstimate = 200 * time.Millisecond
)

// estimates holds the learned run times of queues.
type estimates map[string]*estimate

type estimate struct {
	mean  float64 // of the run times, geometric, as a logarithm of nanoseconds
	ratio float64 // of the run time to the caller's estimate, as a logarithm
}

// of returns the expected run time of a task with a caller's estimate: halfway, on a logarithmic scale, between the
// caller's corrected estimate and the queue's mean, because a single estimate is far off and the mean hides the job.
func (s estimates) of(queue string, declared time.Duration) time.Duration {
	e := s[queue]
	switch {
	case e == nil && declared <= 0:
		return unknownEstimate
	case e == nil:
		return declared
	case declared <= 0:
		return time.Duration(math.Exp(e.mean))
	}
	corrected := math.Log(float64(declared)) + e.ratio
	return time.Duration(math.Exp((corrected + e.mean) / 2))
}

func (s estimates) add(queue string, declared, took time.Duration) {
	if took <= 0 {
		return
	}
	e := s[queue]
	if e == nil {
		e = &estimate{mean: math.Log(float64(took))}
		s[queue] = e
	}
	e.mean += estimateWeight * (math.Log(float64(took)) - e.mean)
	if declared > 0 {
		e.ratio += estimateWeight * (math.Log(float64(took)/float64(declared)) - e.ratio)
	}
}

const (
	// healthWeight is the weight of one run in an endpoint's slowness: about the last 8 runs count.
	healthWeight = 0.12
	// suspicious is the number of failures in a row, of different jobs, after which an endpoint is held off. One failure
	// may be the task's own.
	suspicious  = 2
	minHoldOff  = time.Second
	maxHoldOff  = 8 * time.Second
	maxRatio    = 8.0
	slownessBin = 0.5 // of the logarithm; smaller differences are luck
)

// health is what an endpoint's results tell about it.
type health struct {
	ratio    float64 // run time to expected run time, geometric mean
	failures int     // in a row, of different jobs
	lastJob  work.JobID
	holdOff  time.Duration
	until    time.Duration // no new runs until then
	probing  bool          // it has been held off and has not succeeded since
}

// trusted reports whether the endpoint may get another run. After a hold-off it gets one at a time until one succeeds.
func (h *health) trusted(now time.Duration, runs int) bool {
	if now < h.until {
		return false
	}
	return !h.probing || runs == 0
}

func (h *health) failed(now time.Duration, job work.JobID) {
	if h.lastJob == job && h.failures > 0 {
		return
	}
	h.lastJob = job
	h.failures++
	if h.failures >= suspicious || h.probing {
		h.suspend(now)
	}
}

// suspend holds the endpoint off, each time for longer.
func (h *health) suspend(now time.Duration) {
	h.holdOff = min(max(2*h.holdOff, minHoldOff), maxHoldOff)
	h.until = now + h.holdOff
	h.probing = true
}

func (h *health) succeeded(ratio float64) {
	h.failures = 0
	h.probing = false
	h.holdOff = 0
	ratio = min(max(ratio, 1/maxRatio), maxRatio)
	h.ratio = math.Exp(math.Log(h.ratio) + healthWeight*(math.Log(ratio)-math.Log(h.ratio)))
}

// slowness returns a coarse factor of the endpoint's run times; 1 for sound endpoints.
func (h *health) slowness() float64 {
	bins := math.Round(math.Log(max(h.ratio, 1)) / slownessBin)
	return math.Exp(bins * slownessBin)
}
