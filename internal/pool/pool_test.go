package pool

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

const ms = time.Millisecond

func endpointOf(id string, milliCPU int, labels ...string) work.Endpoint {
	return work.Endpoint{ID: work.EndpointID(id), Service: "survey", Size: work.Size{MilliCPU: milliCPU, MemoryMB: 1000}, Labels: labels}
}

func poolOf(endpoints ...work.Endpoint) *Pool {
	p := New(attempt.NewHistory())
	for _, e := range endpoints {
		p.Update(e)
		p.SetUsable(e.ID, true)
	}
	return p
}

func jobOf(id string, tasks, milliCPU int, estimate time.Duration) *work.Job {
	return &work.Job{
		ID: work.JobID(id), Queue: "q" + estimate.String(), Service: "survey",
		Steps:     []work.Step{{Count: tasks, Size: work.Size{MilliCPU: milliCPU}, Estimate: estimate}},
		Objective: work.Objective{Stretch: 1.6, Extra: 60 * ms, Attempts: 2},
	}
}

// jobAllowingLongWait returns a job of one task whose objective allows a wait of an hour.
func jobAllowingLongWait(id string, milliCPU int) *work.Job {
	j := jobOf(id, 1, milliCPU, 100*ms)
	j.Objective.Extra = time.Hour
	return j
}

// mustSubmit submits a job and fails the test if the job is refused.
func mustSubmit(t *testing.T, p *Pool, j *work.Job, now time.Duration) {
	t.Helper()
	if v, _ := p.Submit(j, now, now, 0); !v.Accepted() {
		t.Fatalf("job %s was refused: %+v", j.ID, v)
	}
}

// Guards against overfilling an endpoint that has runs of an earlier dispatcher, whose sizes are not known until their jobs
// are submitted.
func TestFoundRunsBlockTheirEndpoint(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	for _, id := range []work.JobID{"x", "y"} {
		p.RunFound("a", work.Run{Task: work.TaskID{Job: id}, Run: 1}, 0)
	}
	mustSubmit(t, p, jobAllowingLongWait("x", 6000), 0) // the size of this job's run is known now
	mustSubmit(t, p, jobAllowingLongWait("new", 1000), 0)
	is.Equal(len(p.Next(0)), 0)
	mustSubmit(t, p, jobAllowingLongWait("y", 6000), 0)
	starts := p.Next(0)
	is.Equal(len(starts), 1) // 6000 + 6000 + 1000 fit
	is.Equal(starts[0].Task.Job, work.JobID("new"))
}

// Guards against overfilling an endpoint on which a superseded run still occupies capacity.
func TestSupersededRunsBlockTheirEndpoint(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	p.SetSupersededRuns("a", 1)
	mustSubmit(t, p, jobAllowingLongWait("x", 1000), 0)
	is.Equal(len(p.Next(0)), 0)
	p.SetSupersededRuns("a", 0)
	is.Equal(len(p.Next(0)), 1)
}

// Guards against counting a success of an earlier dispatcher twice, or not at all.
func TestSuccessBeforeSubmission(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: work.TaskID{Job: "x", Index: 1}, Run: 1, Reason: work.EndSucceeded}, 0)
	mustSubmit(t, p, jobOf("x", 2, 1000, 100*ms), 0)
	starts := p.Next(0)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Index, 0)
	out := p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: starts[0].Task, Run: starts[0].Number, Reason: work.EndSucceeded}, 0)
	is.Equal(out, []Outcome{{Job: "x", State: work.Completed, Task: starts[0].Task}})
}

// Guards against stopping and repeating the runs of a resumed job when the endpoint reports them only after the job was
// submitted. Until then such a run would also keep its endpoint from new runs.
func TestRunFoundAfterSubmission(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
	j := jobOf("x", 2, 6000, 100*ms)
	v, _ := p.Submit(j, 0, 0, time.Second)
	is.True(v.Accepted())
	task := work.TaskID{Job: "x", Index: 1}
	r := p.RunFound("a", work.Run{Task: task, Run: 1}, 0)
	is.True(r.Wanted())
	is.Equal(len(p.Unwanted(time.Hour)), 0)
	mustSubmit(t, p, jobAllowingLongWait("new", 10000), 0)
	is.Equal(p.Next(0)[0].Endpoint, work.EndpointID("a")) // the endpoint of the found run, whose size is known
	p.ReleaseResumed("x")
	starts := p.Next(time.Second)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Index, 0) // the task with index 1 runs already
	p.RunStarted(starts[0])
	is.Equal(len(p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: task, Run: 1, Reason: work.EndSucceeded}, time.Second)), 0)
	last := p.RunEnded(attempt.Process{Endpoint: starts[0].Endpoint}, work.End{Task: starts[0].Task, Run: 1, Reason: work.EndSucceeded}, time.Second)
	is.Equal(last, []Outcome{{Job: "x", State: work.Completed, Task: starts[0].Task}})
}

// Guards against a second run of a task whose success the endpoint reports only after its job was submitted.
func TestSuccessAfterSubmission(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	v, _ := p.Submit(jobOf("x", 2, 6000, 100*ms), 0, 0, time.Second)
	is.True(v.Accepted())
	done := work.End{Task: work.TaskID{Job: "x"}, Run: 1, Reason: work.EndSucceeded}
	is.Equal(len(p.RunEnded(attempt.Process{Endpoint: "a"}, done, 0)), 0)
	is.Equal(len(p.RunEnded(attempt.Process{Endpoint: "a"}, done, 0)), 0) // reported again
	p.ReleaseResumed("x")
	starts := p.Next(time.Second)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Index, 1)
}

// Guards against starting a resumed job while its tasks may run on endpoints that have not reported.
func TestResumedJobWaits(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	v, _ := p.Submit(jobOf("x", 1, 1000, 100*ms), 0, 0, time.Second)
	is.True(v.Accepted())
	is.Equal(len(p.Next(999*ms)), 0)
	is.Equal(len(p.Next(time.Second)), 1)
}

// Guards against the release of a resumed job that starts jobs whose runs are not known.
func TestResumedJobsAreReleasedOneByOne(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	for _, id := range []string{"x", "y"} {
		v, _ := p.Submit(jobOf(id, 1, 1000, 100*ms), 0, 0, time.Second)
		is.True(v.Accepted())
	}
	p.ReleaseResumed("x")
	starts := p.Next(999 * ms)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, work.JobID("x"))
}

// Guards against a resumed job that is refused as overdue every few milliseconds and submitted again by its instance.
func TestResumedJobIsNotRefusedAsLate(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	v, _ := p.Submit(jobOf("x", 1, 1000, 100*ms), 0, 0, time.Second)
	is.True(v.Accepted())
	mustSubmit(t, p, jobAllowingLongWait("other", 1000), 0)
	is.Equal(len(p.Overdue(time.Minute)), 0)
	p.ReleaseResumed("x")
	is.Equal(len(p.Overdue(time.Minute)), 0)
}

// Guards against a short job that waits behind a long one.
func TestShortOvertakesLong(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	mustSubmit(t, p, jobOf("busy", 1, 1000, 100*ms), 0)
	first := p.Next(0)
	is.Equal(len(first), 1)
	mustSubmit(t, p, jobOf("long", 1, 1000, 900*ms), 0)
	mustSubmit(t, p, jobOf("short", 1, 1000, 50*ms), 60*ms)
	p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: first[0].Task, Run: 1, Reason: work.EndSucceeded}, 100*ms)
	next := p.Next(100 * ms)
	is.Equal(len(next), 1)
	is.Equal(next[0].Task.Job, work.JobID("short"))
}

// Guards against a long job that starves behind a steady stream of short jobs.
func TestLongDoesNotStarve(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	mustSubmit(t, p, jobOf("busy", 1, 1000, 100*ms), 0)
	first := p.Next(0)[0]
	mustSubmit(t, p, jobOf("long", 1, 1000, 500*ms), 0)
	now := 100 * ms
	p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: first.Task, Run: 1, Reason: work.EndSucceeded}, now)
	for i := 0; i < 100; i++ {
		p.Submit(jobOf(fmt.Sprint("short", i), 1, 1000, 50*ms), now, now, 0)
		for _, r := range p.Next(now) {
			if r.Task.Job == "long" {
				is.True(now < time.Second)
				return
			}
			now += 50 * ms
			p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: r.Task, Run: r.Number, Reason: work.EndSucceeded}, now)
		}
	}
	t.Fatal("the long job did not start")
}

// Guards against accepting jobs that will miss their objective, which makes all jobs of a burst late.
func TestBurstIsRefused(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	accepted := 0
	for i := range 50 {
		v, _ := p.Submit(jobOf(fmt.Sprint("j", i), 4, 1000, 100*ms), 0, 0, 0)
		if v.Accepted() {
			accepted++
			continue
		}
		is.Equal(v.Reason, ReasonNoRoom)
		is.True(v.RetryAfter >= time.Second)
	}
	is.True(accepted >= 1 && accepted <= 3) // an objective of 160 ms allows one job at a time and little more
}

// Guards against a forecast that ignores the time between a job's arrival and its submission, and against refusing a late
// job that starts without waiting.
func TestForecastCountsTimeBeforeSubmission(t *testing.T) {
	is := is.New(t)
	busy := poolOf(endpointOf("a", 1000))
	mustSubmit(t, busy, jobOf("first", 1, 1000, 50*ms), 1000*ms)
	busy.Next(1000 * ms)
	v, _ := busy.Submit(jobOf("late", 1, 1000, 50*ms), 1000*ms, 950*ms, 0) // of 90 ms of slack 50 ms are used; the wait is 50 ms
	is.Equal(v.Reason, ReasonNoRoom)
	v, _ = busy.Submit(jobOf("fresh", 1, 1000, 50*ms), 1000*ms, 1000*ms, 0)
	is.True(v.Accepted())
	idle := poolOf(endpointOf("a", 1000))
	v, _ = idle.Submit(jobOf("late", 1, 1000, 50*ms), 1000*ms, 800*ms, 0)
	is.True(v.Accepted())
	v, _ = idle.Submit(jobOf("useless", 1, 1000, 50*ms), 1000*ms, 500*ms, 0) // three times its objective are 420 ms
	is.Equal(v.Reason, ReasonNoRoom)
}

// inSteps returns a job whose steps run one after the other.
func inSteps(id string, steps, tasks int, estimate time.Duration) *work.Job {
	j := jobOf(id, tasks, 1000, estimate)
	for i := 1; i < steps; i++ {
		next := j.Steps[0]
		next.DependsOn = []int{i - 1}
		j.Steps = append(j.Steps, next)
	}
	return j
}

// Guards against refusing jobs although there is capacity, because steps that are not ready count as waiting work.
func TestLaterStepsTakeNoRoom(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	mustSubmit(t, p, inSteps("steps", 3, 2, 50*ms), 0)
	p.Next(0)
	v, _ := p.Submit(jobOf("other", 2, 1000, 200*ms), 0, 0, 0) // 180 ms of slack; the first job takes 150 ms
	is.True(v.Accepted())
	is.Equal(v.ExpectedWait, time.Duration(0))
	is.Equal(p.Pressure(), 100) // of 4 cores, 2 are in use and 2 are waited for
}

// Guards against promising capacity to a new job that the next step of a running job will take.
func TestRoomOfLaterStepsIsNotPromised(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 2000))
	mustSubmit(t, p, inSteps("steps", 2, 2, 100*ms), 0)
	p.Next(0)
	v, _ := p.Submit(jobOf("other", 2, 1000, 200*ms), 0, 0, 0) // 180 ms of slack; the capacity is free after 200 ms
	is.Equal(v.Reason, ReasonNoRoom)
	is.Equal(v.ExpectedWait, 200*ms)
}

// Guards against promising the capacity of tasks that end early to a new job, although the next step of their own job will
// need it.
func TestRoomOfEarlyTasksIsKeptForTheNextStep(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	mustSubmit(t, p, inSteps("x", 2, 4, 100*ms), 0)
	starts := p.Next(0)
	is.Equal(len(starts), 4)
	for _, r := range starts {
		p.RunStarted(r)
	}
	for _, r := range starts[:3] { // the remaining task ends at 100 ms
		p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: r.Task, Run: 1, Reason: work.EndSucceeded}, 50*ms)
	}
	v, _ := p.Submit(jobOf("long", 3, 1000, 100*ms), 50*ms, 50*ms, 0) // would end at 150 ms
	is.Equal(v.Reason, ReasonNoRoom)
	v, _ = p.Submit(jobOf("short", 3, 1000, 20*ms), 50*ms, 50*ms, 0) // ends before the next step begins
	is.True(v.Accepted())
}

// Guards against a forecast in which a job starts before a job that goes first, on capacity that becomes free only later.
func TestForecastKeepsTheOrderOfJobs(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 3000))
	mustSubmit(t, p, jobOf("running", 1, 2000, 200*ms), 0)
	mustSubmit(t, p, jobOf("running too", 1, 1000, 300*ms), 0)
	p.Next(0)
	mustSubmit(t, p, jobOf("first", 1, 1000, 200*ms), 100*ms) // starts after 100 ms on half of the capacity
	v, _ := p.Submit(jobOf("second", 1, 1000, 300*ms), 100*ms, 100*ms, 0)
	is.Equal(v.ExpectedWait, 100*ms)
}

// Guards against a task that waits forever because no endpoint is large enough or has the label that it needs.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	v, _ := p.Submit(jobOf("x", 1, 5000, 100*ms), 0, 0, 0)
	is.Equal(v.Reason, ReasonTooLarge)
	other := jobOf("y", 1, 1000, 100*ms)
	other.Steps[0].Label = "gpu"
	v, _ = p.Submit(other, 0, 0, 0)
	is.Equal(v.Reason, ReasonTooLarge)
}

// Guards against new runs on an endpoint where every run fails.
func TestFailingEndpointIsHeldOff(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("bad", 1000))
	now := time.Duration(0)
	for i := 0; i < 2; i++ {
		mustSubmit(t, p, jobAllowingLongWait(fmt.Sprint("j", i), 1000), now)
		for _, r := range p.Next(now) {
			p.RunEnded(attempt.Process{Endpoint: "bad"}, work.End{Task: r.Task, Run: r.Number, Reason: work.EndFailed}, now)
			p.Cancel(r.Task.Job)
		}
	}
	mustSubmit(t, p, jobAllowingLongWait("next", 1000), now)
	is.Equal(len(p.Next(now+minHoldOff/2)), 0)
	is.Equal(len(p.Next(now+minHoldOff)), 1) // one run at a time until one succeeds
}

// Guards against jobs that always fail and occupy capacity forever.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000), endpointOf("b", 1000))
	mustSubmit(t, p, jobOf("x", 1, 1000, 100*ms), 0)
	var out []Outcome
	for i := range 2 {
		starts := p.Next(0)
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Number, i+1)
		out = p.RunEnded(attempt.Process{Endpoint: starts[0].Endpoint}, work.End{Task: starts[0].Task, Run: i + 1, Reason: work.EndFailed}, 0)
	}
	is.Equal(out[0].State, work.Failed)
}

// Guards against starting a step before all tasks of the steps that it depends on have succeeded.
func TestSteps(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 10000))
	j := jobOf("x", 2, 1000, 100*ms)
	j.Steps = append(j.Steps, work.Step{Count: 1, Size: work.Size{MilliCPU: 1000}, DependsOn: []int{0}})
	mustSubmit(t, p, j, 0)
	first := p.Next(0)
	is.Equal(len(first), 2)
	for i, r := range first {
		p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: r.Task, Run: 1, Reason: work.EndSucceeded}, 0)
		is.Equal(len(p.Next(0)), i) // only after the second end
	}
}

// Guards against more tasks of a step on one endpoint than the job allows.
func TestMaxPerEndpoint(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 10000), endpointOf("b", 10000))
	j := jobOf("x", 4, 1000, 100*ms)
	j.Steps[0].MaxPerEndpoint = 1
	mustSubmit(t, p, j, 0)
	starts := p.Next(0)
	is.Equal(len(starts), 2)
	is.True(starts[0].Endpoint != starts[1].Endpoint)
}

// Guards against a second run of a task while an earlier one that is being stopped may still run.
func TestStoppedRunKeepsItsRoom(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	mustSubmit(t, p, jobAllowingLongWait("x", 1000), 0)
	r := p.Next(0)[0]
	is.Equal(len(p.Cancel("x")), 1)
	mustSubmit(t, p, jobAllowingLongWait("x", 1000), 0) // the caller submits it again
	is.Equal(len(p.Next(0)), 0)
	p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: r.Task, Run: r.Number, Reason: work.EndStopped}, 0)
	again := p.Next(0)
	is.Equal(len(again), 1)
	is.Equal(again[0].Number, 2)
}

// Guards against sequences of events that overfill an endpoint, run a task twice at the same time, lose a job or answer it
// twice, and against a job that is given back although a task of it has started. The events are random.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := poolOf(endpointOf("a", 3000), endpointOf("b", 2000), endpointOf("c", 5000))
		weighed := rapid.Bool().Draw(t, "weighed")
		p.WeighBy(func(string) bool { return weighed })
		m := model{p: p, running: map[work.TaskID]*Run{}, begun: map[work.JobID]bool{}, ended: map[work.JobID]bool{}}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * ms
			m.event(t, i, now)
			m.check(t)
		}
		m.drain(t, now)
	})
}

type model struct {
	p       *Pool
	running map[work.TaskID]*Run
	jobs    []work.JobID
	begun   map[work.JobID]bool // a task of the job has started
	ended   map[work.JobID]bool
}

func (m *model) event(t *rapid.T, i int, now time.Duration) {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		id := work.JobID(fmt.Sprint("j", i))
		j := jobOf(string(id), rapid.IntRange(1, 5).Draw(t, "tasks"), 100*rapid.IntRange(1, 30).Draw(t, "size"), 100*ms)
		j.Objective.Extra = rapid.SampledFrom([]time.Duration{time.Hour, 300 * ms}).Draw(t, "extra")
		j.Objective.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
		if v, _ := m.p.Submit(j, now, now, 0); v.Accepted() {
			m.jobs = append(m.jobs, id)
		}
	case 1:
		if len(m.jobs) > 0 {
			id := rapid.SampledFrom(m.jobs).Draw(t, "cancelled")
			m.p.Cancel(id)
			m.ended[id] = true
		}
	case 2:
		id := rapid.SampledFrom([]work.EndpointID{"a", "b", "c"}).Draw(t, "cleared")
		m.p.EndRunsOn(id, now)
		for task, r := range m.running {
			if r.Endpoint == id {
				delete(m.running, task)
			}
		}
	case 3:
		m.giveBack(t, now)
	default:
		m.endOne(t, now)
	}
	m.start(t, now)
}

func (m *model) giveBack(t *rapid.T, now time.Duration) {
	for _, id := range m.p.GiveBack(now) {
		if m.begun[id] {
			t.Fatalf("job %v is given back although it has started", id)
		}
		m.p.Cancel(id)
		m.ended[id] = true
	}
}

func (m *model) start(t *rapid.T, now time.Duration) {
	for _, r := range m.p.Next(now) {
		if m.running[r.Task] != nil {
			t.Fatalf("task %v starts while an earlier run of it is still running", r.Task)
		}
		m.running[r.Task] = r
		m.begun[r.Task.Job] = true
	}
}

func (m *model) endOne(t *rapid.T, now time.Duration) {
	if len(m.running) == 0 {
		return
	}
	var names []string
	byName := map[string]*Run{}
	for task, r := range m.running {
		names = append(names, task.String())
		byName[task.String()] = r
	}
	sort.Strings(names)
	r := byName[rapid.SampledFrom(names).Draw(t, "ended")]
	reason := rapid.SampledFrom([]work.EndReason{work.EndSucceeded, work.EndSucceeded, work.EndFailed, work.EndLeaseExpired, work.EndStopped}).Draw(t, "reason")
	m.end(t, r, reason, now)
}

func (m *model) end(t *rapid.T, r *Run, reason work.EndReason, now time.Duration) {
	delete(m.running, r.Task)
	for _, o := range m.p.RunEnded(attempt.Process{Endpoint: r.Endpoint}, work.End{Task: r.Task, Run: r.Number, Reason: reason}, now) {
		if m.ended[o.Job] {
			t.Fatalf("job %v is answered twice", o.Job)
		}
		m.ended[o.Job] = true
		m.p.Cancel(o.Job)
	}
}

func (m *model) check(t *rapid.T) {
	for _, e := range m.p.order {
		var used work.Size
		for _, r := range m.running {
			if r.Endpoint == e.ID {
				used = used.Plus(r.Size)
			}
		}
		if !used.Fits(e.Size) {
			t.Fatalf("endpoint %s is overfilled: runs of %+v in a capacity of %+v", e.ID, used, e.Size)
		}
		if used != e.used {
			t.Fatalf("endpoint %s has runs of %+v, but the pool counts %+v", e.ID, used, e.used)
		}
	}
}

// drain runs the remaining tasks without faults and checks that every job ends and no state is left.
func (m *model) drain(t *rapid.T, now time.Duration) {
	for range 1000 {
		now += maxHoldOff
		m.start(t, now)
		if len(m.running) == 0 {
			break
		}
		for _, r := range m.running {
			m.end(t, r, work.EndSucceeded, now)
			break
		}
	}
	for _, id := range m.jobs {
		if !m.ended[id] {
			t.Fatalf("job %v did not end within 1000 steps", id)
		}
	}
	if len(m.p.numbers) > 0 || len(m.p.runs) > 0 {
		t.Fatalf("state remains after the end of all jobs: run numbers %v, runs %v", m.p.numbers, m.p.runs)
	}
}

// Guards against a job that is answered as failed after one of its two attempts: the dispatcher has seen the failure, and another instance
// that knows less of the endpoint's process passes it on, or the other way round.
func TestFailureKnownInTwoWaysCountsOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		started int64 // start of the process as seen, 0 if not known
		learned attempt.Process
	}{
		{"learned without the start", 7, attempt.Process{Endpoint: "a"}},
		{"seen without the start", 0, attempt.Process{Endpoint: "a", StartedUnixMS: 7}},
		{"learned without the endpoint", 7, attempt.Process{}},
	} {
		for _, learnedFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", first ", learnedFirst), func(t *testing.T) {
				is := is.New(t)
				p := poolOf(endpointOf("a", 16000))
				seenAt := attempt.Process{Endpoint: "a", StartedUnixMS: c.started}
				j := jobAllowingLongWait("x", 6000)
				j.Objective.Attempts = 2
				mustSubmit(t, p, j, 0)
				r := p.Next(0)[0]
				confirm(p, []*Run{r}, 0)
				learn := func() {
					p.history.Merge([]attempt.Attempt{{Task: r.Task, Run: r.Number, Process: c.learned, Outcome: attempt.Failed}}, 0)
				}
				if learnedFirst {
					learn()
				}
				failed := work.End{Sequence: 1, Task: r.Task, Run: r.Number, Reason: work.EndFailed}
				is.Equal(len(p.RunEnded(seenAt, failed, 10*ms)), 0)
				if !learnedFirst {
					learn()
				}
				again := p.Next(20 * ms)
				is.Equal(len(again), 1) // the second attempt
				confirm(p, again, 20*ms)
				is.Equal(len(p.RunLost(again[0], 30*ms)), 0) // a lost run is no attempt
				_, out := p.Submit(j, 40*ms, 40*ms, 50*ms)   // as after the loss of the dispatcher
				is.Equal(len(out), 0)
				last := p.Next(50 * ms)
				is.Equal(len(last), 1)
				failed.Sequence, failed.Run = 2, last[0].Number
				out = p.RunEnded(seenAt, failed, 60*ms)
				is.Equal(len(out), 1)
				is.Equal(out[0].State, work.Failed)
			})
		}
	}
}
