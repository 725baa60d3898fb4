package shard

import "github.com/savorypass/savorypass/internal/metric"

// Counts are the shard's counters.
type Counts struct {
	Starts     metric.Counter // runs ordered
	Refused    metric.Counter // jobs not taken
	Unanswered metric.Counter // orders to start that got no answer
	Stalled    metric.Counter // runs stopped because they made no progress
	BadEnds    metric.Counter // runs that ended without success
}
