// Package fleet is a stand-in for the platform's endpoints as savorypass's dispatchers see them: leases, fences, run
// numbers, lists of ends, and orders that are lost or carried out late. Time is the real one, so tests keep it short.
package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Start is one start of a task that an endpoint has made.
type Start struct {
	Task      work.TaskID
	Run       int
	Endpoint  work.EndpointID
	StartedAt time.Time
	EndedAt   time.Time // zero while it runs
	Reason    work.EndReason
}

// Fleet is a set of endpoints with a common record of all starts.
type Fleet struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint // by address
	starts    []*Start
	looks     int
	// RunTime returns the run time of a task. It is set before use.
	RunTime func(work.TaskID) time.Duration
	// LoseAnswer decides whether an order gets no answer, and after which delay it is carried out; below 0 it never is.
	LoseAnswer func(call string) (lost bool, later time.Duration)
}

// New returns a fleet without endpoints whose tasks take a fixed time.
func New(run time.Duration) *Fleet {
	return &Fleet{endpoints: map[string]*endpoint{}, RunTime: func(work.TaskID) time.Duration { return run }}
}

type endpoint struct {
	fleet   *Fleet
	reg     work.Endpoint
	born    time.Time
	fence   int64
	until   time.Duration
	runs    map[work.TaskID]*Start
	stopped map[work.TaskID]int
	ends    []work.End
	ended   int64
	most    int // runs at the same time
	silent  bool
	hung    bool
	changed chan struct{}
}

// Add adds an endpoint.
func (f *Fleet) Add(reg work.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[reg.Address] = f.fresh(reg)
}

func (f *Fleet) fresh(reg work.Endpoint) *endpoint {
	return &endpoint{
		fleet: f, reg: reg, born: time.Now(), runs: map[work.TaskID]*Start{}, stopped: map[work.TaskID]int{},
		changed: make(chan struct{}),
	}
}

// Restart ends all that runs on an endpoint and starts its process again under the same name.
func (f *Fleet) Restart(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.endpoints[address]
	for task := range old.runs {
		old.finish(task, work.EndGangBroken)
	}
	f.endpoints[address] = f.fresh(old.reg)
}

// Resize changes the room of an endpoint, as a new process on another machine does, and returns its registration.
func (f *Fleet) Resize(address string, size work.Size) work.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[address]
	e.reg.Size, e.reg.StartedUnixMS = size, e.born.UnixMilli()
	return e.reg
}

// OverCapacity returns a description of the first endpoint that has held more than its room, with each task taking a size,
// or "".
func (f *Fleet) OverCapacity(task work.Size) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, e := range f.endpoints {
		if e.most*task.MilliCPU > e.reg.Size.MilliCPU {
			return fmt.Sprintf("%s held %d tasks of %+v in %+v", address, e.most, task, e.reg.Size)
		}
	}
	return ""
}

// SetSilent makes an endpoint leave all calls without an answer, or answer again.
func (f *Fleet) SetSilent(address string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[address].silent = silent
}

// HangTasks makes the tasks that an endpoint starts from now on stand still.
func (f *Fleet) HangTasks(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[address].hung = true
}

// Starts returns a copy of the record of starts.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Start, len(f.starts))
	for i, s := range f.starts {
		all[i] = *s
	}
	return all
}

// Renewals returns the number of looks that endpoints have answered, refused ones included.
func (f *Fleet) Renewals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.looks
}

// Running returns the number of runs on all endpoints.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.endpoints {
		n += len(e.runs)
	}
	return n
}

// OverlappingRuns returns a description of the first task that ran twice at the same time, or "".
func (f *Fleet) OverlappingRuns() string {
	starts := f.Starts()
	for i, a := range starts {
		for _, b := range starts[i+1:] {
			if a.Task == b.Task && (a.EndedAt.IsZero() || b.StartedAt.Before(a.EndedAt)) {
				return fmt.Sprintf("%v: run %d on %s from %v to %v, run %d on %s from %v", a.Task, a.Run, a.Endpoint, a.StartedAt, a.EndedAt, b.Run, b.Endpoint, b.StartedAt)
			}
		}
	}
	return ""
}

// Dial implements work.Dialer.
func (f *Fleet) Dial(e work.Endpoint) work.EndpointClient { return &orders{f, e.Address} }

type orders struct {
	fleet   *Fleet
	address string
}

// Close implements work.EndpointClient.
func (o *orders) Close() {}

const callTimeout = 60 * time.Millisecond

// deliver runs a call on the endpoint and returns its answer, or loses it.
func deliver[T any](ctx context.Context, o *orders, call string, do func(e *endpoint) T) (answer T, err error) {
	f := o.fleet
	f.mu.Lock()
	e := f.endpoints[o.address]
	silent := e == nil || e.silent
	lost, later := false, time.Duration(0)
	if !silent && f.LoseAnswer != nil {
		lost, later = f.LoseAnswer(call)
	}
	if !silent && !lost {
		defer f.mu.Unlock()
		return do(e), nil
	}
	f.mu.Unlock()
	if lost && later >= 0 {
		time.AfterFunc(later, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.endpoints[o.address] == e {
				do(e)
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-time.After(callTimeout):
	}
	return answer, fmt.Errorf("%w: %w: %s", work.ErrNoResponse, work.ErrTimeout, call)
}

func (e *endpoint) clock() time.Duration { return time.Since(e.born) }

// Start implements work.EndpointClient.
func (o *orders) Start(ctx context.Context, s work.StartRequest) (work.Refusal, time.Duration, error) {
	type answer struct {
		refusal work.Refusal
		clock   time.Duration
	}
	a, err := deliver(ctx, o, "start", func(e *endpoint) answer { return answer{e.start(s), e.clock()} })
	return a.refusal, a.clock, err
}

func (e *endpoint) start(s work.StartRequest) work.Refusal {
	if s.Fence < e.fence {
		return work.Fenced
	}
	e.fence = s.Fence
	if r := e.runs[s.Task]; r != nil && r.Run == s.Run {
		return work.Done
	}
	if s.Run <= e.stopped[s.Task] {
		return work.OldRun
	}
	if s.LeaseEnd <= e.clock() {
		return work.TooLate
	}
	e.extend(s.LeaseEnd)
	run := &Start{Task: s.Task, Run: s.Run, Endpoint: e.reg.ID, StartedAt: time.Now()}
	e.runs[s.Task] = run
	e.most = max(e.most, len(e.runs))
	e.fleet.starts = append(e.fleet.starts, run)
	if !e.hung {
		time.AfterFunc(e.fleet.RunTime(s.Task), func() { e.end(run, work.EndSucceeded) })
	}
	return work.Done
}

func (e *endpoint) end(run *Start, reason work.EndReason) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.runs[run.Task] == run {
		e.finish(run.Task, reason)
	}
}

func (e *endpoint) finish(task work.TaskID, reason work.EndReason) {
	run := e.runs[task]
	run.EndedAt, run.Reason = time.Now(), reason
	delete(e.runs, task)
	e.stopped[task] = max(e.stopped[task], run.Run)
	e.ended++
	e.ends = append(e.ends, work.End{Sequence: e.ended, Task: task, Run: run.Run, Reason: reason})
	close(e.changed)
	e.changed = make(chan struct{})
}

// extend lengthens the lease and arranges its end.
func (e *endpoint) extend(until time.Duration) {
	if until <= e.until {
		return
	}
	e.until = until
	time.AfterFunc(until-e.clock(), func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if e.clock() < e.until {
			return
		}
		for task := range e.runs {
			e.finish(task, work.EndLeaseExpired)
		}
	})
}

// Stop implements work.EndpointClient.
func (o *orders) Stop(ctx context.Context, task work.TaskID, run int, fence int64) (work.Refusal, error) {
	return deliver(ctx, o, "stop", func(e *endpoint) work.Refusal {
		if fence < e.fence {
			return work.Fenced
		}
		e.fence = fence
		e.stopped[task] = max(e.stopped[task], run)
		if r := e.runs[task]; r != nil && r.Run <= run {
			e.finish(task, work.EndStopped)
		}
		return work.Done
	})
}

// held is the answer to a look at an endpoint.
type held struct {
	report  work.Report
	refusal work.Refusal
	changed chan struct{} // closed by the next end; nil if ends are listed already
}

// RenewLease implements work.EndpointClient.
func (o *orders) RenewLease(ctx context.Context, h work.LeaseRequest) (work.Report, work.Refusal, error) {
	first, err := deliver(ctx, o, "hold", func(e *endpoint) held { return e.hold(h) })
	if err != nil || first.refusal != work.Done || first.changed == nil || h.Wait == 0 {
		return first.report, first.refusal, err
	}
	select {
	case <-ctx.Done():
	case <-first.changed:
	case <-time.After(h.Wait):
	}
	report, err := deliver(ctx, o, "report", (*endpoint).report)
	return report, work.Done, err
}

func (e *endpoint) hold(h work.LeaseRequest) held {
	e.fleet.looks++
	if h.Fence < e.fence {
		return held{refusal: work.Fenced}
	}
	e.fence = h.Fence
	e.extend(h.LeaseEnd)
	for len(e.ends) > 0 && e.ends[0].Sequence <= h.Acknowledged {
		e.ends = e.ends[1:]
	}
	answer := held{report: e.report()}
	if len(e.ends) == 0 {
		answer.changed = e.changed
	}
	return answer
}

func (e *endpoint) report() work.Report {
	r := work.Report{Clock: e.clock(), StartedUnixMS: e.born.UnixMilli(), Ended: append([]work.End(nil), e.ends...)}
	for task, run := range e.runs {
		percent := 0
		if !e.hung {
			percent = int(100 * time.Since(run.StartedAt) / e.fleet.RunTime(task))
		}
		r.Running = append(r.Running, work.Run{Task: task, Run: run.Run, Percent: percent})
	}
	return r
}
