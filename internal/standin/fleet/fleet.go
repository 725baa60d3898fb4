// Package fleet is an in-memory stand-in for the platform's endpoints for tests of dispatchers. Its endpoints can lose
// requests or carry them out late. They follow the protocol of package work:
//
//   - Each run of a task has a run number. An endpoint refuses a run unless its number is higher than those of the task's
//     runs that have ended or were stopped there.
//   - All runs on an endpoint have a common lease. They end if the dispatcher does not renew it in time.
//   - Each request carries the fence of its dispatcher, a number that is higher for each later dispatcher. An endpoint
//     refuses requests with a lower fence than the highest one that it has seen.
//   - An endpoint lists ended runs until the dispatcher has acknowledged them.
//
// The package uses the real clock, so tests use short run times and leases.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Start describes one run of a task that an endpoint has started.
type Start struct {
	Task      work.TaskID
	Run       int // run number
	Endpoint  work.EndpointID
	StartedAt time.Time
	EndedAt   time.Time // zero while the run is in progress
	Reason    work.EndReason
	Noted     bool // a dispatcher has acknowledged the end, and the lease had not lapsed since
}

// Fleet is a set of endpoints with a common record of all starts. It implements work.Dialer. Its methods may be called
// concurrently.
type Fleet struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint // by address
	starts    []*Start
	renewals  int // lease renewals received
	// RunTime returns the run time of a task. It must not be changed after the first start.
	RunTime func(work.TaskID) time.Duration
	// LoseAnswer, if not nil, decides whether a call gets no response. A call without a response is carried out after the
	// delay, or never if the delay is negative. The calls are "start", "stop", "reach", "hold" (a lease renewal) and "report" (the
	// second part of a renewal that waits for an ended run).
	LoseAnswer func(call string) (lost bool, delay time.Duration)
	// StopTime is how long the stop of a run takes. Until it has ended, reports contain the run.
	StopTime time.Duration
	// CrashTime, if not nil, returns after which run time a task crashes the process of its endpoint; 0 for a task that does not.
	CrashTime func(work.TaskID) time.Duration
	// DownTime is how long no process runs at an endpoint's address after a crash; connections are refused meanwhile. Another
	// process with the same registration then starts.
	DownTime time.Duration
	// SilentCrashes makes calls to an endpoint without a process get no response, as if its machine were off.
	SilentCrashes bool
	crashes       map[work.TaskID]int // crashes by the task that caused them
	// Fails, if not nil, tells whether the runs of a task end as failed.
	Fails func(work.TaskID) bool
	// LinkBytesPerSecond is the speed of the link between the dispatchers and the endpoints, over which requests pass one
	// after the other; 0 for an unlimited one. A request whose sender stops waiting is still delivered.
	LinkBytesPerSecond int
	// MaxLease is the longest lease that an endpoint grants; it shortens a longer one. 0 means no limit.
	MaxLease time.Duration
	// PathDelay is the time that a request and an answer take one way, besides the link.
	PathDelay  time.Duration
	linkFreeAt time.Time // when the link has delivered all requests so far
}

// New returns a fleet without endpoints. All tasks have the run time run.
func New(run time.Duration) *Fleet {
	return &Fleet{
		endpoints: map[string]*endpoint{}, crashes: map[work.TaskID]int{}, RunTime: func(work.TaskID) time.Duration { return run },
	}
}

type endpoint struct {
	fleet          *Fleet
	registration   work.Endpoint
	startedAt      time.Time              // start of the process, from which the endpoint's clock counts
	fence          int64                  // highest fence seen
	leaseEnd       time.Duration          // end of the lease on the endpoint's clock
	runs           map[work.TaskID]*Start // runs in progress
	lastEndedRun   map[work.TaskID]int    // highest number of a run that has ended or was stopped
	unacknowledged []work.End             // ends in the order of their sequence numbers
	lastSequence   int64                  // sequence number of the latest end
	ended          map[int64]*Start       // runs whose ends are not acknowledged, by sequence number
	lapsedAt       time.Time              // when the lease last lapsed, as noticed by a later request
	maxRunning     int                    // highest number of runs at the same time
	silent         bool                   // answers no calls
	down           bool                   // no process runs
	refusing       bool                   // a firewall refuses connections
	hangTasks      bool                   // new runs make no progress and never end
	changed        chan struct{}          // closed and replaced when a run ends
}

// Add adds an endpoint. The address of its registration identifies it in other methods.
func (f *Fleet) Add(registration work.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[registration.Address] = f.newEndpoint(registration)
}

func (f *Fleet) newEndpoint(registration work.Endpoint) *endpoint {
	return &endpoint{
		fleet: f, registration: registration, startedAt: time.Now(), runs: map[work.TaskID]*Start{}, lastEndedRun: map[work.TaskID]int{},
		ended: map[int64]*Start{}, changed: make(chan struct{}),
	}
}

// Dial implements work.Dialer.
func (f *Fleet) Dial(e work.Endpoint) work.EndpointClient { return &client{f, e.Address} }

// client implements work.EndpointClient.
type client struct {
	fleet   *Fleet
	address string
}

// Close implements work.EndpointClient.
func (c *client) Close() {}

// clock returns the endpoint's clock, the time since the start of its process.
func (e *endpoint) clock() time.Duration { return time.Since(e.startedAt) }

// Start implements work.EndpointClient.
func (c *client) Start(ctx context.Context, s work.StartRequest) (work.Refusal, time.Duration, error) {
	type answer struct {
		refusal work.Refusal
		clock   time.Duration
	}
	a, err := transmit(ctx, c, "start", requestBytes+len(s.Spec), func(e *endpoint) answer { return answer{e.start(s), e.clock()} })
	return a.refusal, a.clock, err
}

// start carries out a request to start a run. The caller holds the fleet's mu, as for renewLease and report.
func (e *endpoint) start(s work.StartRequest) work.Refusal {
	if s.Fence < e.fence {
		return work.Fenced
	}
	e.fence = s.Fence
	if r := e.runs[s.Task]; r != nil && r.Run == s.Run {
		return work.Done
	}
	if s.Run <= e.lastEndedRun[s.Task] {
		return work.OldRun
	}
	if s.LeaseEnd <= e.clock() {
		return work.TooLate
	}
	e.extendLease(s.LeaseEnd)
	run := &Start{Task: s.Task, Run: s.Run, Endpoint: e.registration.ID, StartedAt: time.Now()}
	e.runs[s.Task] = run
	e.maxRunning = max(e.maxRunning, len(e.runs))
	e.fleet.starts = append(e.fleet.starts, run)
	if after := e.fleet.crashTime(s.Task); after > 0 {
		time.AfterFunc(after, func() {
			e.fleet.mu.Lock()
			defer e.fleet.mu.Unlock()
			e.fleet.crash(e, run)
		})
		return work.Done
	}
	if !e.hangTasks {
		reason := work.EndSucceeded
		if e.fleet.Fails != nil && e.fleet.Fails(s.Task) {
			reason = work.EndFailed
		}
		e.endAfter(e.fleet.RunTime(s.Task), run, reason)
	}
	return work.Done
}

// stopRun ends a run after the fleet's StopTime. The caller holds the fleet's mu.
func (e *endpoint) stopRun(run *Start) {
	if e.fleet.StopTime == 0 {
		e.finish(run.Task, work.EndStopped, time.Now())
		return
	}
	e.endAfter(e.fleet.StopTime, run, work.EndStopped)
}

// endAfter ends a run after a time if it is still in progress. The record holds the time at which the run was due to end, since
// a timer of a busy process fires late.
func (e *endpoint) endAfter(after time.Duration, run *Start, reason work.EndReason) {
	due := time.Now().Add(after)
	time.AfterFunc(after, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if due.After(e.startedAt.Add(e.leaseEnd)) {
			e.expire()
		}
		if e.runs[run.Task] == run {
			e.finish(run.Task, reason, due)
		}
	})
}

// finish ends a run in progress, which ended at a time. The caller holds the fleet's mu.
func (e *endpoint) finish(task work.TaskID, reason work.EndReason, at time.Time) {
	run := e.runs[task]
	run.EndedAt, run.Reason = at, reason
	delete(e.runs, task)
	e.lastEndedRun[task] = max(e.lastEndedRun[task], run.Run)
	e.lastSequence++
	e.unacknowledged = append(e.unacknowledged, work.End{Sequence: e.lastSequence, Task: task, Run: run.Run, Reason: reason})
	e.ended[e.lastSequence] = run
	close(e.changed)
	e.changed = make(chan struct{})
}

// acknowledge forgets ends. It notes those whose lease has not lapsed since.
func (e *endpoint) acknowledge(upTo int64) {
	for len(e.unacknowledged) > 0 && e.unacknowledged[0].Sequence <= upTo {
		sequence := e.unacknowledged[0].Sequence
		run := e.ended[sequence]
		run.Noted = e.lapsedAt.Before(run.EndedAt)
		delete(e.ended, sequence)
		e.unacknowledged = e.unacknowledged[1:]
	}
}

// extendLease extends the lease and schedules the end of all runs at the lease's end. A lease is never shortened.
func (e *endpoint) extendLease(leaseEnd time.Duration) {
	if longest := e.fleet.MaxLease; longest > 0 {
		leaseEnd = min(leaseEnd, e.clock()+longest)
	}
	if leaseEnd <= e.leaseEnd {
		return
	}
	e.leaseEnd = leaseEnd
	time.AfterFunc(leaseEnd-e.clock(), func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		e.expire()
	})
}

// expire ends all runs if the lease has ended. Requests call it first, since a timer of a busy process fires late and a later
// lease must not keep runs whose lease has ended. The caller holds the fleet's mu.
func (e *endpoint) expire() {
	if e.clock() < e.leaseEnd {
		return
	}
	for task := range e.runs {
		e.finish(task, work.EndLeaseExpired, e.startedAt.Add(e.leaseEnd))
	}
}

// Stop implements work.EndpointClient.
func (c *client) Stop(ctx context.Context, task work.TaskID, run int, fence int64) (work.Refusal, error) {
	return transmit(ctx, c, "stop", requestBytes, func(e *endpoint) work.Refusal {
		if fence < e.fence {
			return work.Fenced
		}
		e.fence = fence
		e.lastEndedRun[task] = max(e.lastEndedRun[task], run)
		if r := e.runs[task]; r != nil && r.Run <= run {
			e.stopRun(r)
		}
		return work.Done
	})
}

// renewal is the answer to a lease renewal.
type renewal struct {
	report  work.Report
	refusal work.Refusal
	changed chan struct{} // closed when the next run ends; nil if the report already lists ended runs
}

// Reach implements work.EndpointClient.
func (c *client) Reach(ctx context.Context) error {
	_, err := send(ctx, c, "reach", func(*endpoint) bool { return true })
	return err
}

// RenewLease implements work.EndpointClient.
func (c *client) RenewLease(ctx context.Context, lease work.LeaseRequest) (work.Report, work.Refusal, error) {
	first, err := transmit(ctx, c, "hold", requestBytes, func(e *endpoint) renewal { return e.renewLease(lease) })
	if err != nil || first.refusal != work.Done || first.changed == nil || lease.Wait == 0 {
		return first.report, first.refusal, err
	}
	select {
	case <-ctx.Done():
	case <-first.changed:
	case <-time.After(lease.Wait):
	}
	report, err := send(ctx, c, "report", (*endpoint).report)
	return report, work.Done, err
}

func (e *endpoint) renewLease(lease work.LeaseRequest) renewal {
	e.fleet.renewals++
	if lease.Fence < e.fence {
		return renewal{refusal: work.Fenced}
	}
	e.fence = lease.Fence
	if e.clock() >= e.leaseEnd {
		e.lapsedAt = time.Now()
	}
	e.acknowledge(lease.Acknowledged)
	e.extendLease(lease.LeaseEnd)
	answer := renewal{report: e.report()}
	if len(e.unacknowledged) == 0 {
		answer.changed = e.changed
	}
	return answer
}

func (e *endpoint) report() work.Report {
	r := work.Report{Clock: e.clock(), StartedUnixMS: e.startedAt.UnixMilli(), Ended: append([]work.End(nil), e.unacknowledged...)}
	for task, run := range e.runs {
		percent := 0
		if !e.hangTasks {
			percent = int(100 * time.Since(run.StartedAt) / e.fleet.RunTime(task))
		}
		r.Running = append(r.Running, work.Run{Task: task, Run: run.Run, Percent: percent})
	}
	return r
}
