package work

import (
	"context"
	"errors"
	"time"
)

// EndpointID names one life of an endpoint's process, except that a restarted process may keep it.
type EndpointID string

// Endpoint is an endpoint's registration.
type Endpoint struct {
	ID            EndpointID
	Service       string
	Address       string // host:port
	Zone          string
	Draining      bool
	Size          Size
	Labels        []string // kind and rack among others
	StartedUnixMS int64    // start of the process, Unix milliseconds
}

// HasLabel reports whether the endpoint carries a label. Every endpoint carries the empty one.
func (e *Endpoint) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// EndReason tells how a run of a task ended.
type EndReason string

// The reasons.
const (
	EndSucceeded      EndReason = "succeeded"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"  // the endpoint's lease had expired
	EndGangBroken     EndReason = "broken"  // another task of the gang had ended
	EndGangIncomplete EndReason = "alone"   // the gang did not assemble in time
	EndUnknown        EndReason = "unknown" // the endpoint named a reason that is not known here
)

// Run is one run of a task that an endpoint lists.
type Run struct {
	Task    TaskID
	Run     int
	Percent int // progress, 0 to 100
}

// End is the end of a run that an endpoint lists.
type End struct {
	Sequence int64 // counts the ends of this life of the endpoint, from 1
	Task     TaskID
	Run      int
	Reason   EndReason
}

// Report is an endpoint's list of what runs and of the ends that are not acknowledged.
type Report struct {
	Clock         time.Duration // the endpoint's own steady clock
	StartedUnixMS int64         // start of the process, Unix milliseconds; 0 if the endpoint does not say
	Running       []Run
	Ended         []End
}

// StartRequest orders an endpoint to run a task.
type StartRequest struct {
	Task     TaskID
	Run      int
	Spec     string
	LeaseEnd time.Duration // lease of all that runs there, on the endpoint's clock
	Fence    int64
}

// Refusal is an endpoint's reason for not doing what it was told. The zero value means that it was done.
type Refusal int

// The refusals.
const (
	Done           Refusal = iota
	Fenced                 // a higher fence has been seen
	OldRun                 // this or a later run was stopped or has ended there
	TooLate                // the lease of the order had expired when it arrived
	NoRoom                 // the task does not fit
	InvalidRequest         // the order cannot be carried out anywhere
	OtherProcess           // another process answers at the address
	Overloaded             // the endpoint is unhealthy and has done nothing
)

var refusalNames = [...]string{"done", "fenced", "old_run", "too_late", "no_room", "bad_order", "other_life", "overloaded"}

// String returns the refusal's name.
func (r Refusal) String() string { return refusalNames[r] }

// ErrNoResponse is wrapped by errors of orders that may have been carried out, or may be later.
var ErrNoResponse = errors.New("no response from the endpoint")

// ErrTimeout is wrapped, besides ErrNoResponse, by errors of orders on a connection that was not seen to end.
var ErrTimeout = errors.New("time-out")

// EndpointClient gives orders to one endpoint. Errors wrap ErrNoResponse. Calls may be made concurrently.
type EndpointClient interface {
	// Start orders a run and returns the endpoint's clock if it said so.
	Start(ctx context.Context, o StartRequest) (Refusal, time.Duration, error)
	// Stop ends a run; it also prevents one that has not arrived yet.
	Stop(ctx context.Context, task TaskID, run int, fence int64) (Refusal, error)
	// RenewLease extends the lease of all that runs there, acknowledges ends up to a number and reports. It waits for an
	// end at most wait.
	RenewLease(ctx context.Context, h LeaseRequest) (Report, Refusal, error)
	// Close releases all connections.
	Close()
}

// LeaseRequest is the request of Orders.RenewLease.
type LeaseRequest struct {
	LeaseEnd     time.Duration // on the endpoint's clock; 0 leaves the lease as it is
	Fence        int64
	Acknowledged int64 // ends up to this number are forgotten
	Wait         time.Duration
}

// Dialer makes the orders of endpoints.
type Dialer interface {
	Dial(e Endpoint) EndpointClient
}
