// Package delaycost weighs what it costs callers when some of their jobs are delayed or refused because there is too little room for
// all. Its functions are pure. What a job costs depends on its queue's priority, on the work that it needs and, through the class of
// its delay, on its objective.
package delaycost

import "math"

const (
	// MaxPriority is the largest number of a priority. 0 is the highest priority.
	MaxPriority = 99
	// priorityFactor is the factor by which a unit of work costs more with the next higher priority. With 2 the replayed loads earn
	// the same; with an order by priority alone the work of the lowest priority is late.
	priorityFactor = 1.5
)

// ValidPriority reports whether a priority is in range.
func ValidPriority(priority int) bool { return priority >= 0 && priority <= MaxPriority }

// Weight returns the cost of a unit of work of a priority that is not done in time, relative to that of the highest priority.
func Weight(priority int) float64 { return math.Pow(priorityFactor, -float64(priority)) }

// Loss returns the cost of what is refused of a queue's work, for each unit of the work that it asks for.
func Loss(weight, acceptance float64) float64 { return weight * (1 - acceptance) }

// Class tells of what use the result of a job still can be.
type Class int

// The classes, the most useful first.
const (
	InTime Class = iota // the job can meet its objective
	Late                // it cannot, but its result will be of some use
	NoUse               // its result would be of no use
)
