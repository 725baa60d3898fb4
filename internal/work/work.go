// Package work defines jobs, tasks and endpoints, and the requests to endpoints, independently of the platform's wire
// format.
package work

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// Size is an amount of the resources that a task uses or an endpoint has.
type Size struct {
	MilliCPU     int `msgpack:"c" json:"milli_cpu"` // thousandths of a core
	MemoryMB     int `msgpack:"m" json:"memory_mb"`
	Accelerators int `msgpack:"a" json:"accelerators"`
}

// Plus returns the sum of two amounts.
func (s Size) Plus(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of two amounts.
func (s Size) Minus(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Fits reports whether s is at most o in every resource.
func (s Size) Fits(o Size) bool {
	return s.MilliCPU <= o.MilliCPU && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count          int           `msgpack:"n"`
	Size           Size          `msgpack:"s"`           // resources that each task requests
	Estimate       time.Duration `msgpack:"e"`           // run time of one task as estimated by the caller
	DependsOn      []int         `msgpack:"d,omitempty"` // indexes of the steps whose tasks must all have succeeded before
	Label          string        `msgpack:"l,omitempty"` // label that the endpoint must have; empty for any endpoint
	DataRack       string        `msgpack:"r,omitempty"` // rack near the task's data; empty for any
	MaxPerEndpoint int           `msgpack:"p,omitempty"` // maximum number of the step's tasks on one endpoint; 0 for no limit
}

// Objective is the target response time of a queue's jobs: Stretch × run time + Extra, where the run time is
// that of the longest chain of dependent tasks.
type Objective struct {
	Stretch  float64       `msgpack:"s"` // factor on the run time
	Extra    time.Duration `msgpack:"e"` // time added to the product
	Priority int           `msgpack:"p"` // 0 is the highest
	Attempts int           `msgpack:"a"` // number of failed runs of a task after which its job fails
}

// Job is a submitted job with everything that is needed to run it.
type Job struct {
	ID        JobID     `msgpack:"i"`
	Queue     string    `msgpack:"q"`
	Service   string    `msgpack:"v"`
	Spec      string    `msgpack:"x"`
	Steps     []Step    `msgpack:"t"`
	Objective Objective `msgpack:"o"`
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// TaskID identifies one task of a job. Its text form is JOB.OCCURRENCE.STEP.INDEX, with decimal numbers.
type TaskID struct {
	Job JobID `msgpack:"j"`
	// Occurrence is the number, from 0, of the repetition of a job that repeats on a schedule. It is 0 for all other jobs.
	// Repeating jobs are not supported yet.
	Occurrence int `msgpack:"o,omitempty"`
	Step       int `msgpack:"s,omitempty"`
	Index      int `msgpack:"i,omitempty"`
}

// String returns the text form.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Compare orders task IDs by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// ParseTaskID parses the text form. ok is false for any other text.
func ParseTaskID(s string) (id TaskID, ok bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{JobID(parts[0]), n[0], n[1], n[2]}, true
}

// State is the state of a job as callers see it.
type State string

// The states of jobs.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in the state has ended.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
