// Package delaycost weighs what it costs callers when some of their jobs are delayed or refused because there is too little room for
// all. Its functions are pure. A unit of work that is not done in time costs the more the higher the priority of its queue; what a job costs
// grows with the work that it needs. Of what use a late result is depends on the job's objective, see pool.Punctuality.
package delaycost

import "math"

const (
	// MaxPriority is the largest number of a priority. 0 is the highest priority.
	MaxPriority = 99
	// priorityFactor is the factor by which a unit of work costs more with the next higher priority. It is low enough that work of the lowest
	// of a few priorities is not given up for the highest one.
	priorityFactor = 1.5
)

// ValidPriority reports whether a priority is in range.
func ValidPriority(priority int) bool { return priority >= 0 && priority <= MaxPriority }

// Weight returns the cost of a unit of work of a priority that is not done in time, relative to that of the highest priority.
func Weight(priority int) float64 { return math.Pow(priorityFactor, -float64(priority)) }

// Loss returns the cost of what is refused of a queue's work, for each unit of the work that it asks for.
func Loss(weight, acceptance float64) float64 { return weight * (1 - acceptance) }
