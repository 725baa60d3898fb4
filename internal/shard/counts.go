package shard

import "github.com/savorypass/savorypass/internal/metric"

// Counts are the counters and times of an instance's shards.
type Counts struct {
	Starts           metric.Counter    // runs ordered
	Refused          metric.Counter    // jobs not taken
	UnansweredStarts metric.Counter    // orders to start that got no answer
	Stalled          metric.Counter    // runs stopped because they made no progress
	UnsuccessfulRuns metric.Counter    // runs that ended without success
	RunMS            *metric.Quantiles // from the order to the end of a run with success
	WaitMS           *metric.Quantiles // from the submission of a job to the order of a run
}

// NewCounts returns counters at zero.
func NewCounts() Counts {
	return Counts{RunMS: metric.NewMilliseconds(), WaitMS: metric.NewMilliseconds()}
}
