// Package platform defines the interfaces to the services that the platform provides: the log service, the instance
// list and the endpoints on workers. Their adapters can be replaced without a change to the rest of the system.
package platform

import (
	"context"
	"errors"
	"time"
)

// Kind is the kind of an instance in the instance list.
type Kind string

// The kinds of instances.
const (
	KindEntry    Kind = "entry"
	KindEndpoint Kind = "endpoint"
)

// State is the state of an instance as the platform reports it. It may be out of date.
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
	Incarnation uint64 `json:"incarnation"`           // number of the instance's process; a later process has a higher one
	Address     string `json:"address"`               // endpoint: HTTP; entry: peer address (UDP)
	Operators   string `json:"operators,omitempty"`   // entry: operators' address (TCP)
	Callers     string `json:"callers,omitempty"`     // entry: callers' address (TCP)
	Slots       int    `json:"slots,omitempty"`       // endpoint: number of tasks that it runs at a time
	Connections int    `json:"connections,omitempty"` // endpoint: maximum number of connections
	Size        Size   `json:"size"`                  // endpoint: total resources
}

// InstanceList reads the platform's list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Errors of the log service.
var (
	// ErrTruncated is returned for an offset whose record is no longer retained.
	ErrTruncated = errors.New("log: records at this offset are no longer retained")
	// ErrUnavailable is returned when the log service refused the call without taking effect.
	ErrUnavailable = errors.New("log: unavailable")
	// ErrUnknown is returned for an append that got no valid response and may have taken effect.
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
	First   int64    `json:"first"` // oldest retained offset
	Next    int64    `json:"next"`  // offset of the next append
}

// Log is a service of append-only streams with offsets and limited retention.
type Log interface {
	// Append adds a record and returns its offset. On ErrUnknown the record may or may not be in the stream.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on, at most max. An offset below Batch.First gives ErrTruncated
	// together with a batch whose First and Next are set.
	Read(ctx context.Context, stream string, from int64, max int) (Batch, error)
}

// Outcome is the outcome of an attempt to run a task.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota // the task ran and gave an output
	Failed                   // the task ran and reported a failure
	Refused                  // the endpoint refused the task before its start; the task did not run
	Unreached                // no byte reached the endpoint; the task did not run
	Lost                     // the connection ended after a byte was written; the task may have run
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "refused", "unreached", "lost"}[o]
}

// RunRequest is the request to run a task at an endpoint.
type RunRequest struct {
	Task    string // identity and index; unique for each start
	Service string
	Size    Size
	Lease   time.Duration // the endpoint stops the task if this time passes without a renewal
	Payload string
	// Revoked reports whether the call must not be made any more. Run must call it after the point from which Abandon
	// affects the call, and before it writes a byte; a revoked call ends as Unreached. Nil means never revoked.
	Revoked func() bool
}

// RunResult is the result of an attempt to run a task.
type RunResult struct {
	Outcome Outcome
	Output  string // output of the task on Succeeded, the reason otherwise
	Leaving bool   // the endpoint reported that it is leaving
	RunTime time.Duration
}

// TaskState is the state of a task as an endpoint reports it.
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

// EndpointStatus is the status that an endpoint reports. Usage may be out of date.
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
	// Run runs a task on the connection of a slot. It returns when the attempt has one of the outcomes above. Slots are
	// numbered from 0; each carries one call at a time.
	Run(slot int, req *RunRequest) RunResult
	// Abandon closes the connection of a slot. A call on it returns Lost if it has written a byte, otherwise Unreached.
	Abandon(slot int)
	// Renew extends the leases of tasks. It returns the endpoint's status with the states of these tasks.
	Renew(ctx context.Context, tasks []string) (EndpointStatus, error)
	// Fetch returns the state of a task over a new connection.
	Fetch(ctx context.Context, task string) (TaskStatus, error)
	// Stop stops tasks. It returns the endpoint's status with the states of these tasks.
	Stop(ctx context.Context, tasks []string) (EndpointStatus, error)
	// Close releases all connections.
	Close()
}

// Dialer returns endpoints by address, each with the given number of slots.
type Dialer interface {
	Dial(address string, slots int) Endpoint
}
