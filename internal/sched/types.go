// Package sched defines the interface of the schedulers, which decide which task starts next and on which worker, and
// the admission control in front of them.
//
// A scheduler is a deterministic state machine: the time is an argument of the calls that depend on it, and no call
// does I/O. The same code therefore runs in the daemon, in differential tests and in offline measurements.
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

// Task is the scheduler's view of one task.
type Task struct {
	Size     Size
	Declared time.Duration // declared run time; 0 means unknown
}

// WorkerState determines whether a worker may be assigned new tasks.
type WorkerState int

// The states of a worker.
const (
	WorkerReady   WorkerState = iota // may be assigned tasks
	WorkerLeaving                    // finishes its running tasks and gets no new ones
	WorkerSuspect                    // may have failed; gets no new tasks until it is ready again
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

// Outcome describes how a started task ended.
type Outcome struct {
	Stopped bool // the worker was asked to stop the task, so its outcome is no evidence about the worker or the service
	Kind    platform.Outcome
	RunTime time.Duration
	Usage   Size // resources that the task used as reported by the worker; zero when unknown
}

// Estimate is the expected service of a job that is not queued yet, and the load that it is based on.
type Estimate struct {
	Wait      time.Duration // from now until its first task starts
	Run       time.Duration // from the start of its first task until the end of its last one
	Spread    time.Duration // from the start of its first task until the start of its last one; part of Run
	Feasible  bool          // for each task there is a worker that is large enough
	Queued    int           // number of tasks in the queue
	Drain     time.Duration // from now until all queued tasks have started
	Slots     int           // number of usable slots
	FreeSlots int           // number of usable slots without a task
}

// Scheduler orders tasks and assigns them to workers. Implementations are not safe for concurrent use.
type Scheduler interface {
	// SetWorker adds or updates a worker. Running tasks keep their slots.
	SetWorker(now time.Time, w Worker)
	// RemoveWorker removes a worker and frees the slots in use on it.
	RemoveWorker(name string)
	// Estimate predicts the wait and the run time of a job like j. It does not queue the job.
	Estimate(now time.Time, j *Job) Estimate
	// Submit queues every task of a job.
	Submit(now time.Time, j *Job)
	// Requeue frees the slot of an assignment and returns its task to the queue. The task must not have started.
	Requeue(now time.Time, a Assignment)
	// Cancel removes the job's queued tasks and returns their indexes; they will never be assigned.
	Cancel(now time.Time, id JobID) []int
	// Next assigns the next task to a worker. ok is false when no queued task may start now.
	Next(now time.Time) (a Assignment, ok bool)
	// Finish frees the slot of an assignment and updates estimates and worker health from the outcome.
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
	HoldOffs  int `json:"held_off"` // times that a worker was taken out of service since the scheduler was created
}

// Team configures a team's share of the resources. Zero values mean weight 1, no quota and no limit.
type Team struct {
	Name   string
	Weight float64
	Quota  Size // while the team uses less, its tasks start before other teams'; unused quota is lent to other teams
	Limit  Size // upper bound of the resources that the team uses; a zero dimension has no limit
}

// Expired is a job whose deadline passed while some of its tasks were queued.
type Expired struct {
	Job   JobID
	Tasks []int // the tasks that will never start
}

// Expirer is implemented by schedulers that drop queued tasks whose deadline has passed.
type Expirer interface {
	// Expire returns the jobs whose deadline passed since the last call. Their queued tasks are never assigned,
	// whether or not Expire is called.
	Expire(now time.Time) []Expired
	// NextDeadline returns the earliest deadline of a queued job. ok is false if there is none.
	NextDeadline() (at time.Time, ok bool)
}

// WorkerHealth summarises a worker's failures.
type WorkerHealth struct {
	ConsecutiveFailures int           // number of consecutive failures until now
	HoldOffRemaining    time.Duration // remaining time out of service; 0 if the worker is in service
}

// HealthReporter is implemented by schedulers that take failing workers out of service.
type HealthReporter interface {
	// Health returns the health of a worker, the zero value if the worker is unknown.
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
	Queued   int           // number of queued tasks
	Work     time.Duration // expected run time of all queued tasks, summed
	Wait     time.Duration // expected time until all queued tasks have started
	BestRank float64       // rank of the most urgent task for a peer (see fair.Rank), seconds relative to now; lower is more urgent
	Size     Size          // size of that task
}

// PeerState sums up the reports of the other instances that share slots with this one.
type PeerState struct {
	Usage       map[string]Size // by team: resources used by the tasks that run on the other instances' slots
	Slots       int             // usable slots
	FreeSlots   int             // slots that the other instances would lend
	Queued      int             // tasks queued on the other instances
	WorkerSizes []Size          // sizes of the other instances' workers
}

// Sharer is implemented by schedulers that lend slots to other instances and hand queued tasks over to them.
type Sharer interface {
	// SetPeerState replaces what is known of the other instances. Teams are charged for the resources that they use
	// there. Ranks are scaled by the slots of all instances, so that instances can compare them. Estimates count the
	// other instances' slots, and a job is feasible if its tasks fit workers of any instance.
	SetPeerState(now time.Time, e PeerState)
	// Backlog summarises the queue. For BestRank and Size, tasks that fit none of this instance's workers come before
	// all others, since only a peer can run them.
	Backlog(now time.Time) Backlog
	// Reserve reserves up to n free slots for a peer's tasks, each on a worker with room for size. The assignments
	// carry job 0. Each must be ended by Release or Finish.
	Reserve(now time.Time, n int, size Size) []Assignment
	// Attach records the peer's task that is about to run on a reserved slot, so that the team and the worker
	// are charged for it. It returns false, and changes nothing, if the task does not fit the worker.
	Attach(now time.Time, a Assignment, f PeerTask) bool
	// Release returns a reserved slot on which nothing ran.
	Release(now time.Time, a Assignment)
	// TakeQueued removes up to n of the most urgent queued tasks that are no larger than size, to hand them over to a
	// peer. They count as started, on no worker, until Finish or Requeue is called.
	TakeQueued(now time.Time, n int, size Size) []Assignment
}
