package node

import (
	"time"

	"github.com/savorypass/savorypass/internal/relay"
)

const (
	// assumedRun is the time in which the whole capacity of a partition is released once, where its dispatcher does not tell the rate.
	assumedRun = 200 * time.Millisecond
)

// freeShare returns the share of a partition's capacity that is free, less what waits; negative if more waits.
func freeShare(l relay.Load) float64 {
	if l.HasHeadroom() {
		return float64(l.Free) / float64(l.Total)
	}
	return float64(fullPressure-l.Pressure) / fullPressure
}

// startsAtOnce reports whether a partition seems to be able to start a job at once.
func startsAtOnce(l relay.Load, d demand) bool {
	if l.HasHeadroom() {
		return l.Free >= d.milliCPU
	}
	return l.Pressure < fullPressure
}

// expectedWait returns how long a job is expected to wait at a partition, behind all that waits there.
func expectedWait(l relay.Load, d demand) time.Duration {
	if startsAtOnce(l, d) {
		return 0
	}
	if !l.HasHeadroom() {
		return time.Duration(-freeShare(l) * float64(assumedRun))
	}
	rate := float64(max(l.Rate, 1)) / float64(time.Millisecond)
	return time.Duration(float64(d.milliCPU-l.Free) / rate)
}

// hopeless reports whether a job is expected to be late at a partition, so that asking it would only cost the job time.
func hopeless(l relay.Load, d demand) bool { return expectedWait(l, d) > d.slack }
