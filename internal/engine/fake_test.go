package engine

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/naive"
)

// fakeEndpoint is a worker whose calls stay open until the test ends them.
type fakeEndpoint struct {
	mu      sync.Mutex
	starts  map[string]int
	calls   map[int]chan platform.RunResult // open calls, by number of the lane
	task    map[int]string
	lanes   int // number of lanes of all dialled endpoints
	status  platform.EndpointStatus
	renew   error
	fetch   map[string]platform.TaskStatus
	stopped []string
	started chan string
}

func newFakeEndpoint() *fakeEndpoint {
	return &fakeEndpoint{
		starts: map[string]int{}, calls: map[int]chan platform.RunResult{}, task: map[int]string{},
		fetch: map[string]platform.TaskStatus{}, started: make(chan string, 1000),
		status: platform.EndpointStatus{Incarnation: 1},
	}
}

func (f *fakeEndpoint) Run(lane int, req *platform.RunRequest) platform.RunResult {
	ch := make(chan platform.RunResult, 1)
	f.mu.Lock()
	f.starts[req.Task]++
	f.calls[lane], f.task[lane] = ch, req.Task
	f.mu.Unlock()
	f.started <- req.Task
	return <-ch
}

// end ends the call for a task with the given result.
func (f *fakeEndpoint) end(task string, r platform.RunResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for lane, t := range f.task {
		if t == task {
			delete(f.task, lane)
			f.calls[lane] <- r
		}
	}
}

func (f *fakeEndpoint) Abandon(lane int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.task[lane]; ok {
		delete(f.task, lane)
		f.calls[lane] <- platform.RunResult{Outcome: platform.Lost}
	}
}

func (f *fakeEndpoint) Renew(_ context.Context, tasks []string) (platform.EndpointStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	for _, t := range tasks {
		if st, ok := f.fetch[t]; ok {
			s.Tasks = append(s.Tasks, st)
		} else {
			s.Tasks = append(s.Tasks, platform.TaskStatus{Task: t, State: platform.TaskRunning})
		}
	}
	return s, f.renew
}

func (f *fakeEndpoint) Fetch(_ context.Context, task string) (platform.TaskStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if st, ok := f.fetch[task]; ok {
		return st, nil
	}
	return platform.TaskStatus{Task: task, State: platform.TaskUnknown}, f.renew
}

func (f *fakeEndpoint) Stop(_ context.Context, tasks []string) (platform.EndpointStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = append(f.stopped, tasks...)
	return f.status, nil
}

func (f *fakeEndpoint) Close() {}

func (f *fakeEndpoint) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

type fakeDialer map[string]*fakeEndpoint

func (d fakeDialer) Dial(address string, lanes int) platform.Endpoint {
	f := d[address]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lanes += lanes
	return dialedEndpoint{f, f.lanes - lanes}
}

// dialedEndpoint is one dialled endpoint. Its lanes follow those of the endpoints dialled before it.
type dialedEndpoint struct {
	*fakeEndpoint
	first int
}

func (d dialedEndpoint) Run(lane int, req *platform.RunRequest) platform.RunResult {
	return d.fakeEndpoint.Run(d.first+lane, req)
}
func (d dialedEndpoint) Abandon(lane int) { d.fakeEndpoint.Abandon(d.first + lane) }

// harness is an engine on a fake clock with workers of two slots each.
type harness struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	engine  *Engine
	workers fakeDialer
	answers chan *api.Answer
	spawned sync.WaitGroup
	counts  counts
}

// counts is an Observer that counts the calls of Replaced.
type counts struct {
	nopObserver
	replaced atomic.Int64
}

func (c *counts) Replaced() { c.replaced.Add(1) }

func newHarness(t *testing.T, names ...string) *harness {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &harness{t: t, clock: clockwork.NewFakeClock(), workers: fakeDialer{}, answers: make(chan *api.Answer, 100)}
	for _, n := range names {
		h.workers[n] = newFakeEndpoint()
	}
	h.engine = New(Options{Scheduler: naive.New(), Dialer: h.workers, Clock: h.clock, Log: log, Spawn: h.spawned.Go, Observe: &h.counts})
	ctx, cancel := context.WithCancel(context.Background())
	go h.engine.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-h.engine.stopped
	})
	if err := h.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		h.engine.SetWorker(platform.Instance{Name: n, Address: n, Slots: 2, State: platform.StateLive, Size: platform.Size{Cores: 16}}, 2)
	}
	return h
}

func (h *harness) submit(identity string, tasks int, deadline time.Duration) {
	now := h.clock.Now()
	j := &Job{Identity: identity, Team: "survey", Service: "washout", Arrived: now, Deadline: now.Add(deadline), Payloads: make([]string, tasks)}
	j.Shape = sched.Job{Team: j.Team, Service: j.Service, Deadline: j.Deadline, Tasks: make([]sched.Task, tasks)}
	h.engine.Submit(j, func(a *api.Answer) { h.answers <- a })
}

// advance moves the clock in steps of 50 ms. After each step it runs a tick and waits for the spawned functions.
func (h *harness) advance(d time.Duration) {
	for step := 50 * time.Millisecond; d > 0; d -= step {
		h.clock.Advance(step)
		h.engine.call(func(now time.Time) { h.engine.tick(now) })
		h.spawned.Wait()
	}
}

// waitForAnswer advances the clock until a job is answered.
func (h *harness) waitForAnswer() *api.Answer {
	for range 400 {
		select {
		case a := <-h.answers:
			return a
		case <-time.After(time.Millisecond): // gives the lanes time to post their results
			h.advance(50 * time.Millisecond)
		}
	}
	h.t.Fatal("no answer after 20 s of the fake clock")
	return nil
}
