// Package sched decides which task starts next and on which worker.
//
// It is a deterministic state machine: the time is an argument of every call and no call does I/O, so that the same
// code runs in the daemon, in differential tests and in measurements.
package sched

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// JobID identifies a job within one process.
type JobID uint64

// Size is the amount of resources that a task is charged for.
type Size = platform.Size

// Job is a set of tasks that are answered together.
type Job struct {
	ID       JobID
	Team     string
	Service  string
	Deadline time.Time
	Tasks    []Task
}

// Task is what the scheduler knows of one task.
type Task struct {
	Size     Size
	Declared time.Duration // declared run time; 0 means unknown
}

// WorkerState tells whether a worker may get new tasks.
type WorkerState int

// The states of a worker.
const (
	WorkerReady WorkerState = iota
	WorkerLeaving
	WorkerSuspect
)

// String returns the state's name.
func (s WorkerState) String() string {
	return [...]string{"ready", "leaving", "suspect"}[s]
}

// Worker is a worker whose slots this instance assigns.
type Worker struct {
	Name  string
	Rack  string
	Slots int // slots that this instance may use now
	Size  Size
	State WorkerState
}

// Assignment is the decision to start a task on a worker's slot.
type Assignment struct {
	Job    JobID
	Task   int
	Worker string
	Lane   int // slot number on the worker
}

// Outcome tells the scheduler how a started task ended.
type Outcome struct {
	Kind    platform.Outcome
	RunTime time.Duration
	Usage   Size // reported use; zero when unknown
}

// Estimate is the expectation for a job that is not queued yet.
type Estimate struct {
	Wait      time.Duration // until its first task starts
	Run       time.Duration // from then on until its last task ends
	Feasible  bool          // some worker is large enough for each task
	Queued    int           // tasks ahead in the queue
	FreeSlots int
}

// Scheduler orders tasks and assigns them to workers. Implementations are not safe for concurrent use.
type Scheduler interface {
	// SetWorker adds or updates a worker. Running tasks keep their slots.
	SetWorker(now time.Time, w Worker)
	// RemoveWorker forgets a worker and the slots in use on it.
	RemoveWorker(name string)
	// Estimate tells what to expect for a job of this shape.
	Estimate(now time.Time, j *Job) Estimate
	// Submit queues every task of a job.
	Submit(now time.Time, j *Job)
	// Requeue returns a task that provably did not start to the queue.
	Requeue(now time.Time, a Assignment)
	// Cancel removes the job's queued tasks and returns their indexes; they will never be assigned.
	Cancel(now time.Time, id JobID) []int
	// Next picks the next start. ok is false when nothing queued fits a free slot.
	Next(now time.Time) (a Assignment, ok bool)
	// Finish frees the slot of an assignment and learns from its outcome.
	Finish(now time.Time, a Assignment, o Outcome)
	// Expire returns the jobs whose deadline has passed, each once. The caller cancels them.
	Expire(now time.Time) []JobID
	// Stats returns a summary for dumps and heartbeats.
	Stats() Stats
}

// Stats is a summary of a scheduler's state.
type Stats struct {
	Queued    int `json:"queued"`
	Running   int `json:"running"`
	Slots     int `json:"slots"`
	FreeSlots int `json:"free_slots"`
	Workers   int `json:"workers"`
}
