package worker

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/standin/instances"
)

func start(t *testing.T, change func(*Options)) (*Worker, platform.Endpoint) {
	o := DefaultOptions()
	change(&o)
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	w := s.Workers()[0]
	e := httpx.NewDialer(httpx.Options{}).Dial(w.Address(), 3)
	t.Cleanup(e.Close)
	return w, e
}

func run(task, payload string) *platform.RunRequest {
	return &platform.RunRequest{Task: task, Payload: payload, Lease: time.Minute}
}

// waitUntil waits until state returns true.
func waitUntil(state func() bool) {
	for !state() {
		time.Sleep(time.Millisecond)
	}
}

func running(w *Worker) int {
	n, _ := w.machine.load()
	return n
}

// Guards against start records that omit a repeated start or an arrival while the worker leaves, and against wrong
// outcomes of runs through the httpx client and the stand-in.
func TestRunAndRecords(t *testing.T) {
	is := is.New(t)
	w, e := start(t, func(o *Options) { o.RunTime = time.Millisecond })
	is.Equal(e.Run(0, run("x/0", "echo")).Output, "echo")
	res := e.Run(1, run("x/1", `{"run_ms":1,"output":"why","fail":true}`))
	is.Equal(res.Outcome, platform.Failed)
	is.Equal(res.Output, "why")
	is.Equal(e.Run(0, run("x/0", `{"run_ms":0,"output":"again"}`)).Output, "again")

	is.NoErr(w.SetFault(Fault{FailFast: true}))
	is.Equal(e.Run(0, run("x/2", "echo")).Outcome, platform.Failed)
	is.NoErr(w.SetFault(Fault{Leave: true}))
	res = e.Run(0, run("x/3", "echo"))
	is.Equal(res.Outcome, platform.Refused)
	is.True(res.Leaving)
	is.NoErr(w.SetFault(Fault{Leave: true, LeaveAccepts: true}))
	is.Equal(e.Run(0, run("x/4", "echo")).Outcome, platform.Succeeded)

	s := w.Starts(0)
	is.Equal(s.Total, int64(5))
	is.Equal(s.Refused, int64(1))
	is.Equal(s.Repeated, int64(1))
	is.Equal(s.Tasks["x/0"].Count, 2)
	is.Equal(s.Tasks["x/3"].Count, 0)
	is.True(s.Tasks["x/3"].Arrivals[0].Leaving && s.Tasks["x/4"].Arrivals[0].Leaving)
	is.Equal(len(w.Starts(2).Tasks), 1)
}

// Guards against a silent connection that blocks later calls, and against a result that differs from the task's output.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	w, e := start(t, func(*Options) {})
	ctx := t.Context()
	results := make(chan platform.RunResult, 1)
	go func() { results <- e.Run(0, run("id/7", `{"run_ms":20,"output":"true answer"}`)) }()
	waitUntil(func() bool { return running(w) == 1 })
	_, err := e.Renew(ctx, nil) // opens a connection that is idle and silenced later
	is.NoErr(err)
	is.NoErr(w.SetFault(Fault{Silent: true}))
	waitUntil(func() bool { return running(w) == 0 })

	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	_, err = e.Renew(short, []string{"id/7"})
	cancel()
	is.True(err != nil) // over the silent connection
	status, err := e.Renew(ctx, []string{"id/7"})
	is.NoErr(err) // over a new one
	is.Equal(status.Tasks[0].State, platform.TaskDone)
	got, err := e.Fetch(ctx, "id/7")
	is.NoErr(err)
	is.Equal(got, platform.TaskStatus{Task: "id/7", State: platform.TaskDone, Output: "true answer"})
	is.Equal(len(results), 0) // Run is still waiting
	e.Abandon(0)
	is.Equal((<-results).Outcome, platform.Lost)
	is.Equal(e.Run(0, run("id/8", `{"run_ms":0,"output":"new"}`)).Output, "new")
	is.Equal(w.Starts(2).Tasks, map[string]TaskStarts{}) // no task was started twice
}

// Guards against calls that are answered during a pause.
func TestPause(t *testing.T) {
	is := is.New(t)
	w, e := start(t, func(*Options) {})
	is.NoErr(w.SetFault(Fault{Pause: true}))
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := e.Renew(short, nil)
	is.True(err != nil)
	is.NoErr(w.SetFault(Fault{Clear: true}))
	_, err = e.Renew(t.Context(), nil)
	is.NoErr(err)
}

// Guards against a call above the connection limit that ends with an unknown outcome instead of a refusal, and against
// closed connections that count towards the limit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	w, e := start(t, func(o *Options) { o.Connections = 1 })
	is.Equal(e.Run(0, run("a", `{"run_ms":0}`)).Outcome, platform.Succeeded)
	is.Equal(e.Run(1, run("b", `{"run_ms":0}`)).Outcome, platform.Refused)
	e.Abandon(0)
	waitUntil(func() bool { return w.http.Connections() == 0 })
	is.Equal(e.Run(1, run("b", `{"run_ms":0}`)).Outcome, platform.Succeeded)
	is.Equal(w.Starts(0).Refused, int64(1))
}

// Guards against a planned stop that ends a running task, and against a worker that stays in the instance list after it.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	lo := instances.DefaultOptions()
	lo.Lag = 0
	list, err := instances.Start(lo)
	is.NoErr(err)
	t.Cleanup(list.Close)
	w, e := start(t, func(o *Options) { o.Instances, o.RenewInterval = list.Address(), 5*time.Millisecond })
	listed := func() []platform.Instance { return list.Dump().Seen }
	waitUntil(func() bool { return len(listed()) == 1 })
	is.Equal(listed()[0], w.Instance())

	var res platform.RunResult
	var ended atomic.Bool
	go func() {
		res = e.Run(0, run("a", `{"run_ms":100,"output":"x"}`))
		ended.Store(true)
	}()
	waitUntil(func() bool { return running(w) == 1 })
	is.NoErr(w.SetFault(Fault{Leave: true, Exit: true}))
	waitUntil(func() bool { l := listed(); return len(l) == 0 || l[0].State == platform.StateLeaving })
	waitUntil(func() bool { return len(listed()) == 0 && ended.Load() })
	is.Equal(res.Output, "x")
}

// Guards against an error that lists only the first of several invalid settings.
func TestCheckListsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := Start(Options{})
	is.True(err != nil)
	for _, part := range []string{"listen", "count", "zone", "slots", "cores", "lease"} {
		is.True(contains(err, part))
	}
}

func contains(err error, part string) bool { return strings.Contains(err.Error(), part) }
