package work

import (
	"context"
	"errors"
	"time"
)

// EndpointID identifies an endpoint's process. A restarted process may keep the ID of the one before.
type EndpointID string

// Endpoint is an endpoint's registration.
type Endpoint struct {
	ID            EndpointID
	Service       string
	Address       string // host:port
	Zone          string
	Draining      bool
	Size          Size
	Labels        []string // include the kind and the rack
	StartedUnixMS int64    // start of the process, Unix milliseconds
	// ColdLeft is for how much longer the endpoint is slow after its start, as of the registration. ColdUntil is the end of that time on
	// the dispatcher's monotonic clock.
	ColdLeft, ColdUntil time.Duration
}

// HasLabel reports whether the endpoint has a label. It returns true for the empty label.
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

// Fits reports whether the endpoint, when it is idle, can run a task of a step of a service's job.
func (e *Endpoint) Fits(service string, s *Step) bool {
	return e.Service == service && s.Size.Fits(e.Size) && e.HasLabel(s.Label)
}

// EndReason is the reason why a run of a task ended.
type EndReason string

// The reasons for the end of a run.
const (
	EndSucceeded      EndReason = "succeeded"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"  // the endpoint's lease expired
	EndGangBroken     EndReason = "broken"  // another task of the gang, the tasks that must run together, ended
	EndGangIncomplete EndReason = "alone"   // the gang was not complete in time
	EndUnknown        EndReason = "unknown" // the endpoint gave a reason that this version does not know
)

// Run is a run in progress that an endpoint reports.
type Run struct {
	Task    TaskID
	Run     int // number of the run of the task
	Percent int // progress, 0 to 100
}

// End is the end of a run that an endpoint reports.
type End struct {
	Sequence int64 // number of the end, counted from 1 by each process of the endpoint
	Task     TaskID
	Run      int
	Reason   EndReason
}

// Report is an endpoint's list of the runs in progress and of the ended runs that have not been acknowledged.
type Report struct {
	Clock         time.Duration // monotonic clock of the endpoint
	StartedUnixMS int64         // start of the process, Unix milliseconds; 0 if the endpoint does not report it
	Running       []Run
	Ended         []End
}

// StartRequest is the request to start a run of a task at an endpoint.
type StartRequest struct {
	Task     TaskID
	Run      int
	Spec     string
	LeaseEnd time.Duration // end of the lease of all runs on the endpoint, on the endpoint's clock
	// Fence rises when the partitions or their dispatchers change. The endpoint refuses requests with a lower fence than the
	// highest one that it has seen, so that a dispatcher that was replaced cannot start runs.
	Fence int64
}

// Refusal is an endpoint's reason for refusing a request. The zero value means that it was carried out.
type Refusal int

// The refusals.
const (
	Done           Refusal = iota
	Fenced                 // the endpoint has seen a higher fence
	OldRun                 // this or a later run of the task was stopped or has ended at the endpoint
	TooLate                // the lease in the request had expired when the request arrived
	NoRoom                 // the endpoint has too few free resources for the task
	InvalidRequest         // no endpoint can carry out the request
	OtherProcess           // another process than the addressed one answered at the address
	Overloaded             // the endpoint is unhealthy and has not carried out the request
)

var refusalNames = [...]string{"done", "fenced", "old_run", "too_late", "no_room", "bad_order", "other_life", "overloaded"}

// String returns the refusal's name.
func (r Refusal) String() string { return refusalNames[r] }

// ErrNoResponse is wrapped by errors of requests that got no valid response. The endpoint may have carried out the
// request, or may do so later.
var ErrNoResponse = errors.New("no response from the endpoint")

// ErrTimeout is wrapped, besides ErrNoResponse, by errors of requests that timed out on a connection that was not seen
// to close.
var ErrTimeout = errors.New("time-out")

// ErrRefused is wrapped, besides ErrNoResponse, by errors of requests whose connection was refused: the machine is
// reachable and no process listens at the address. A firewall on the way can cause it as well.
var ErrRefused = errors.New("connection refused")

// EndpointClient sends requests to one endpoint. Errors wrap ErrNoResponse. Its methods may be called concurrently.
type EndpointClient interface {
	// Start starts a run. It returns the endpoint's clock, or 0 if the response does not hold it.
	Start(ctx context.Context, r StartRequest) (Refusal, time.Duration, error)
	// Stop stops a run. A request to start this run that arrives later is refused.
	Stop(ctx context.Context, task TaskID, run int, fence int64) (Refusal, error)
	// RenewLease extends the lease of all runs on the endpoint, acknowledges ended runs and returns a report. If there
	// are no unacknowledged ends, the endpoint waits for one at most lease.Wait before it responds.
	RenewLease(ctx context.Context, lease LeaseRequest) (Report, Refusal, error)
	// Reach returns an error if no connection to the endpoint can be opened. The endpoint is asked for nothing.
	Reach(ctx context.Context) error
	// Close releases all connections.
	Close()
}

// LeaseRequest is the request of EndpointClient.RenewLease. An endpoint ends its runs when their lease expires.
type LeaseRequest struct {
	LeaseEnd     time.Duration // end of the lease on the endpoint's clock; 0 leaves the lease unchanged
	Fence        int64         // like StartRequest.Fence
	Acknowledged int64         // the endpoint drops the ends up to this sequence number
	Wait         time.Duration
}

// Dialer creates clients of endpoints.
type Dialer interface {
	Dial(e Endpoint) EndpointClient
}
