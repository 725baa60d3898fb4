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
	Slot   int // slot number on the worker
}

// Outcome tells the scheduler how a started task ended.
type Outcome struct {
	Stopped bool // the worker was asked to stop the task: nothing is learnt from its end
	Kind    platform.Outcome
	RunTime time.Duration
	Usage   Size // reported use; zero when unknown
}

// Estimate is the expectation for a job that is not queued yet.
type Estimate struct {
	Wait      time.Duration // until its first task starts
	Run       time.Duration // from then on until its last task ends
	Spread    time.Duration // the part of Run until its last task starts
	Feasible  bool          // some worker is large enough for each task
	Queued    int           // tasks in the queue
	Drain     time.Duration // until all queued work has started
	Slots     int           // usable slots
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
	HeldOff   int `json:"held_off"` // times that a worker was taken out of service so far
}

// Team is a customer's share of the resources. Zero values mean weight 1, no quota and no limit.
type Team struct {
	Name   string
	Weight float64
	Quota  Size // resources that the team gets back with the next free slot; unused quota is lent to others
	Limit  Size // resources that the team never exceeds; a zero dimension has no limit
}

// Expired is a job whose deadline passed while some of its tasks were queued.
type Expired struct {
	Job   JobID
	Tasks []int // the tasks that will never start
}

// Expirer is implemented by schedulers that drop queued tasks whose deadline has passed.
type Expirer interface {
	// Expire returns the jobs whose deadline passed since the last call. Their queued tasks never start, even if
	// Expire is not called.
	Expire(now time.Time) []Expired
	// NextDeadline returns the earliest deadline of a queued job. ok is false if there is none.
	NextDeadline() (at time.Time, ok bool)
}

// WorkerHealth is what a scheduler knows of a worker's failures.
type WorkerHealth struct {
	Failures         int           // in a row
	HoldOffRemaining time.Duration // remaining time out of service, 0 if it is in service
}

// HealthReporter is implemented by schedulers that take failing workers out of service.
type HealthReporter interface {
	// Health returns the zero value for an unknown worker.
	Health(now time.Time, worker string) WorkerHealth
}

// PeerTask describes a peer's task that runs on a slot of this instance.
type PeerTask struct {
	Team    string
	Service string
	Task    Task
}

// Backlog is a summary of the queue that instances exchange to compare the urgency of their work.
type Backlog struct {
	Queued int           // tasks
	Work   time.Duration // expected run time of all queued tasks
	Wait   time.Duration // expected time until all of them have started
	Best   float64       // rank in seconds of the task that a peer should run first, lower is more urgent; relative to now
	Size   Size          // size of that task
}

// PeerState is what the other instances report that share slots with this one.
type PeerState struct {
	Usage       map[string]Size // by team, of the tasks that run on their slots
	Slots       int             // usable slots
	FreeSlots   int             // slots that they would lend
	Queued      int             // tasks that wait there
	WorkerSizes []Size          // sizes of their workers
}

// Sharer is implemented by schedulers that lend slots to and hand tasks to other instances.
type Sharer interface {
	// SetPeerState replaces what is known of the other instances. Teams are charged for their use elsewhere, ranks
	// are scaled by all slots so that instances can compare them, waits count on free slots elsewhere, and jobs are
	// feasible that fit a worker elsewhere.
	SetPeerState(now time.Time, e PeerState)
	// Backlog summarises the queue. Tasks that fit none of the own workers come before all others, since only a peer
	// can run them.
	Backlog(now time.Time) Backlog
	// Reserve takes up to n free slots, each on a worker with room for size, out of use for a peer's tasks. The
	// assignments carry job 0. Each must be ended by Release or Finish.
	Reserve(now time.Time, n int, size Size) []Assignment
	// Attach records the peer's task that is about to run on a reserved slot, so that its team and worker are
	// charged. It returns false, and changes nothing, if the task does not fit the worker.
	Attach(now time.Time, a Assignment, f PeerTask) bool
	// Release returns a reserved slot on which nothing ran.
	Release(now time.Time, a Assignment)
	// TakeQueued removes up to n of the best queued tasks that are no larger than size in order to hand them to a peer. They
	// count as started, on no worker, until Finish or Requeue is called.
	TakeQueued(now time.Time, n int, size Size) []Assignment
}
