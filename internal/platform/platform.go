// Package platform defines the interfaces to the parts that the platform provides: the log service, the instance
// list and the endpoints on workers. Adapters are replaceable without a change to the rest of the system.
package platform

import (
	"context"
	"errors"
	"time"
)

// Kind tells what an instance in the instance list is.
type Kind string

// The kinds of instances.
const (
	KindEntry    Kind = "entry"
	KindEndpoint Kind = "endpoint"
)

// State is the platform's view of an instance. It lags behind the truth.
type State string

// The states of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Size is an amount of the resources that tasks use and workers have.
type Size struct {
	Cores        float64 `json:"cores" msgpack:"c"`
	MemoryMB     int64   `json:"memory_mb" msgpack:"m"`
	Accelerators int     `json:"accelerators" msgpack:"a"`
}

// Plus returns the sum of two amounts.
func (s Size) Plus(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, MemoryMB: s.MemoryMB + o.MemoryMB, Accelerators: s.Accelerators + o.Accelerators}
}

// Instance is one entry of the instance list.
type Instance struct {
	Name        string `json:"name"`
	Kind        Kind   `json:"kind"`
	Zone        string `json:"zone"`
	Rack        string `json:"rack,omitempty"`
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`             // endpoint: HTTP; entry: peer address (UDP)
	Operators   string `json:"operators,omitempty"` // entry: operators' address (TCP)
	Callers     string `json:"callers,omitempty"`   // entry: callers' address (TCP)
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	Size        Size   `json:"size"`
}

// InstanceList reads the platform's list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Errors of the log service.
var (
	// ErrTruncated is returned for an offset whose record the retention has dropped.
	ErrTruncated = errors.New("log: offset is older than the retention")
	// ErrUnavailable is returned when the log service refused the call without taking effect.
	ErrUnavailable = errors.New("log: unavailable")
	// ErrUnknown is returned for an append that may have taken effect although its answer was lost.
	ErrUnknown = errors.New("log: outcome of the append is unknown")
)

// Record is one record of a log stream.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	Records []Record `json:"records"`
	First   int64    `json:"first"` // oldest offset that is kept
	Next    int64    `json:"next"`  // offset that the next append will get
}

// Log is an append-only stream with offsets and limited retention.
type Log interface {
	// Append adds a record and returns its offset. On ErrUnknown the record may or may not be in the stream.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on, at most max. An offset below Batch.First gives ErrTruncated
	// together with a batch whose First and Next are set.
	Read(ctx context.Context, stream string, from int64, max int) (Batch, error)
}

// Outcome tells how an attempt to run a task ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota // the task ran and gave an output
	Failed                   // the task ran and reported a failure
	Refused                  // the endpoint refused before the start; the task did not run
	Unreached                // no byte reached the endpoint; the task did not run
	Lost                     // the connection ended after a byte was written; the task may have run
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "refused", "unreached", "lost"}[o]
}

// RunRequest starts a task at an endpoint.
type RunRequest struct {
	Task    string // identity and index, unique to the start
	Service string
	Size    Size
	Lease   time.Duration
	Payload string
	// Revoked is true once the call is no longer wanted. Run must ask it after Abandon can reach the call and before it
	// writes a byte; a revoked call ends as Unreached. Nil stands for false.
	Revoked func() bool
}

// RunResult is the end of an attempt.
type RunResult struct {
	Outcome Outcome
	Output  string // output on Succeeded, reason otherwise
	Leaving bool   // the endpoint said that it is leaving
	RunTime time.Duration
}

// TaskState is an endpoint's knowledge of a task.
type TaskState string

// The states of a task at an endpoint.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskUnknown TaskState = "unknown"
)

// TaskStatus is the state of one task, with its output when it has ended.
type TaskStatus struct {
	Task   string    `json:"task"`
	State  TaskState `json:"state"`
	Output string    `json:"output,omitempty"`
}

// EndpointStatus is an endpoint's report of itself. Usage lags.
type EndpointStatus struct {
	Leaving     bool         `json:"leaving"`
	Incarnation uint64       `json:"incarnation"`
	Slots       int          `json:"slots"`
	Running     int          `json:"running"`
	Size        Size         `json:"size"`
	Usage       Size         `json:"usage"`
	Tasks       []TaskStatus `json:"tasks,omitempty"`
}

// Endpoint runs tasks on one worker.
type Endpoint interface {
	// Run starts a task and returns when it has ended or its fate is settled. lane is the slot whose
	// connection carries the call; a lane has one call at a time.
	Run(lane int, req *RunRequest) RunResult
	// Abandon closes the connection of a lane, so that a call on it returns Lost.
	Abandon(lane int)
	// Renew extends the leases of tasks and returns the endpoint's status with the states of these tasks.
	Renew(ctx context.Context, tasks []string) (EndpointStatus, error)
	// Fetch returns the state of a task over a new connection.
	Fetch(ctx context.Context, task string) (TaskStatus, error)
	// Stop stops tasks and returns their states.
	Stop(ctx context.Context, tasks []string) (EndpointStatus, error)
	// Close releases all connections.
	Close()
}

// Dialer opens endpoints by address.
type Dialer interface {
	Dial(address string, lanes int) Endpoint
}
