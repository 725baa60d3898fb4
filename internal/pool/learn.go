package pool

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// estimateWeight is the weight of one run in a queue's moving averages, which cover about the last 50 runs. The first runs have equal
	// weights: with this weight from the start, a long first run would distort the estimates of a new dispatcher for long.
	estimateWeight = 0.04
	// defaultEstimate is the run time assumed for a task without a caller's estimate in a queue without earlier runs.
	defaultEstimate = 200 * time.Millisecond
)

// estimates holds the run times learned from earlier runs, by queue.
type estimates map[string]*estimate

type estimate struct {
	runs  float64
	mean  float64 // natural logarithm of the geometric mean of the run times in nanoseconds
	ratio float64 // natural logarithm of the geometric mean of run time to caller's estimate
}

// of returns the expected run time of a task of a queue. declared is the caller's estimate, 0 if there is none. The result
// is the geometric mean of the caller's corrected estimate and the queue's mean run time: a single estimate can be far off,
// and the mean ignores differences between jobs.
func (s estimates) of(queue string, declared time.Duration) time.Duration {
	e := s[queue]
	switch {
	case e == nil && declared <= 0:
		return defaultEstimate
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
	e.runs++
	weight := max(estimateWeight, 1/(e.runs+1))
	e.mean += weight * (math.Log(float64(took)) - e.mean)
	if declared > 0 {
		e.ratio += weight * (math.Log(float64(took)/float64(declared)) - e.ratio)
	}
}

const (
	// holdOffFailures is the number of consecutive failures, of different jobs, after which an endpoint is held off. A
	// single failure may be the task's fault.
	holdOffFailures = 2
	minHoldOff      = time.Second
	maxHoldOff      = 8 * time.Second
)

// health is the state of an endpoint as judged by the results of its runs.
type health struct {
	failures     int // consecutive failures, of different jobs
	lastJob      work.JobID
	holdOff      time.Duration // length of the last hold-off; 0 after a success
	heldOffUntil time.Duration // the endpoint gets no new runs before then
	probing      bool          // no run has succeeded since the last hold-off
}

// available reports whether the endpoint, which has a number of runs now, may get another one. After a hold-off it gets one
// run at a time until one succeeds.
func (h *health) available(now time.Duration, runs int) bool {
	if now < h.heldOffUntil {
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
	if h.failures >= holdOffFailures || h.probing {
		h.startHoldOff(now)
	}
}

// startHoldOff holds the endpoint off, for twice as long as the last time, between minHoldOff and maxHoldOff.
func (h *health) startHoldOff(now time.Duration) {
	h.holdOff = min(max(2*h.holdOff, minHoldOff), maxHoldOff)
	h.heldOffUntil = now + h.holdOff
	h.probing = true
}

func (h *health) succeeded() {
	h.failures = 0
	h.probing = false
	h.holdOff = 0
}
