package shard

import "github.com/savorypass/savorypass/internal/metric"

// Counts holds the counters and time distributions of an instance's shards.
type Counts struct {
	Starts           metric.Counter    // runs ordered
	Refused          metric.Counter    // jobs that were refused
	GivenBack        metric.Counter    // accepted jobs that were given back before they started
	WouldWait        metric.Counter    // jobs that could not start at once and were not to wait here
	RepeatedInVain   metric.Counter    // of these, jobs that their callers had sent before, too long ago
	UnansweredStarts metric.Counter    // start requests that got no answer
	Stalled          metric.Counter    // runs stopped for lack of progress
	UnsuccessfulRuns metric.Counter    // runs that ended without success
	Crashes          metric.Counter    // endpoints whose process ended without notice
	CrashedRuns      metric.Counter    // runs on them
	FoundRuns        metric.Counter    // runs of other dispatchers that endpoints reported
	StoppedRuns      metric.Counter    // runs whose stop was requested
	GivenUp          metric.Counter    // jobs that failed because a task is not started again
	DelayedJobs      metric.Counter    // jobs of which a task has waited for a faster endpoint
	Disturbed        metric.Counter    // times that an endpoint became much slower than before
	HeldStarts       metric.Counter    // runs not ordered, because nothing was heard lately of the job's caller
	Evacuated        metric.Counter    // jobs of which nothing had run and that an evacuation has sent to other zones
	HandedOver       metric.Counter    // jobs in progress that an evacuation has sent to other zones
	Punctuality      metric.Counters   // completed jobs by priority and punctuality, see pool.Timing
	RunMS            *metric.Quantiles // time from the order to the end of a successful run
	WaitMS           *metric.Quantiles // time from the arrival of a job to the order of a run
	AgeMS            *metric.Quantiles // age of submissions when they are decided on
	SilenceMS        *metric.Quantiles // age of the news that a job's caller waits when a run is ordered
}

// NewCounts returns empty counters and distributions.
func NewCounts() Counts {
	return Counts{
		RunMS: metric.NewMillisecondQuantiles(), WaitMS: metric.NewMillisecondQuantiles(),
		AgeMS: metric.NewMillisecondQuantiles(), SilenceMS: metric.NewMillisecondQuantiles(),
	}
}
