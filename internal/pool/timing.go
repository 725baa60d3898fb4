package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Timing holds the times of a job on the clock of the pool's callers, for logs and metrics.
type Timing struct {
	Priority   int
	Arrived    time.Duration
	FirstStart time.Duration // when the first run of a task was ordered here; 0 if none was
	LastStart  time.Duration // when the last run of a task was ordered here; 0 if none was
	Objective  time.Duration // target response time, by the expected run time when the job was submitted
	MilliCPU   int           // size of the job's largest task, in thousandths of a core
}

// Punctuality tells how the end of a job compares with its objective.
type Punctuality string

// The values. They name metrics and log fields.
const (
	InTime Punctuality = "in_time"
	Late   Punctuality = "late"   // later than the objective, but within lateFactor times it
	NoUse  Punctuality = "no_use" // later than that
)

// Punctuality classifies an end of the job.
func (t Timing) Punctuality(end time.Duration) Punctuality {
	switch response := end - t.Arrived; {
	case response <= t.Objective:
		return InTime
	case response <= lateFactor*t.Objective:
		return Late
	default:
		return NoUse
	}
}

// timing returns the job's times.
func (j *job) timing() Timing {
	return Timing{
		Priority: j.Objective.Priority, Arrived: j.arrived, FirstStart: j.firstStart, LastStart: j.lastStart, Objective: j.objective(),
		MilliCPU: j.largest().MilliCPU,
	}
}

// objective returns the job's target response time.
func (j *job) objective() time.Duration { return j.expected + slack(j.Objective, j.expected) }

// Timing returns the times of a job that has succeeded since the last call of ForgetTimings.
func (p *Pool) Timing(id work.JobID) Timing { return p.timings[id] }

// ForgetTimings deletes the times of the jobs that have succeeded.
func (p *Pool) ForgetTimings() { clear(p.timings) }
