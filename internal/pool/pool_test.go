package pool

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorypass/savorypass/internal/work"
)

const ms = time.Millisecond

func endpointOf(id string, milliCPU int, labels ...string) work.Endpoint {
	return work.Endpoint{ID: work.EndpointID(id), Service: "survey", Size: work.Size{MilliCPU: milliCPU, MemoryMB: 1000}, Labels: labels}
}

func poolOf(endpoints ...work.Endpoint) *Pool {
	p := New()
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

// patient returns a job of one task that may wait long.
func patient(id string, milliCPU int) *work.Job {
	j := jobOf(id, 1, milliCPU, 100*ms)
	j.Objective.Extra = time.Hour
	return j
}

func take(t *testing.T, p *Pool, j *work.Job, now time.Duration) {
	t.Helper()
	if v, _ := p.Submit(j, now, now, 0); !v.Taken() {
		t.Fatalf("job %s was not taken: %+v", j.ID, v)
	}
}

// Guards against starts beside runs of an earlier dispatcher whose size is not known.
func TestFoundRunsBlockTheirEndpoint(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	for _, id := range []work.JobID{"x", "y"} {
		p.RunFound("a", work.Run{Task: work.TaskID{Job: id}, Run: 1}, 0)
	}
	take(t, p, patient("x", 6000), 0) // the size of one is known now
	take(t, p, patient("new", 1000), 0)
	is.Equal(len(p.Next(0)), 0)
	take(t, p, patient("y", 6000), 0)
	starts := p.Next(0)
	is.Equal(len(starts), 1) // 6000 + 6000 + 1000 fit
	is.Equal(starts[0].Task.Job, work.JobID("new"))
}

// Guards against starts beside a run that was given up and still takes room.
func TestStraysBlockTheirEndpoint(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	p.SetSupersededRuns("a", 1)
	take(t, p, patient("x", 1000), 0)
	is.Equal(len(p.Next(0)), 0)
	p.SetSupersededRuns("a", 0)
	is.Equal(len(p.Next(0)), 1)
}

// Guards against counting a success of an earlier dispatcher twice, or not at all.
func TestSuccessBeforeSubmission(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	p.RunEnded("a", work.End{Task: work.TaskID{Job: "x", Index: 1}, Run: 1, Reason: work.EndSucceeded}, 0)
	take(t, p, jobOf("x", 2, 1000, 100*ms), 0)
	starts := p.Next(0)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Index, 0)
	out := p.RunEnded("a", work.End{Task: starts[0].Task, Run: starts[0].Number, Reason: work.EndSucceeded}, 0)
	is.Equal(out, []Outcome{{Job: "x", State: work.Completed, Task: starts[0].Task}})
}

// Guards against runs of a resumed job that are stopped and done again, and block their endpoint meanwhile, because the
// endpoint reports them after the job has come.
func TestRunFoundAfterSubmission(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
	j := jobOf("x", 2, 6000, 100*ms)
	v, _ := p.Submit(j, 0, 0, time.Second)
	is.True(v.Taken())
	task := work.TaskID{Job: "x", Index: 1}
	r := p.RunFound("a", work.Run{Task: task, Run: 1}, 0)
	is.True(r.Wanted())
	is.Equal(len(p.Unwanted(time.Hour)), 0)
	take(t, p, patient("new", 10000), 0)
	is.Equal(p.Next(0)[0].Endpoint, work.EndpointID("a")) // beside the found run, whose size is known
	p.ReleaseResumed()
	starts := p.Next(time.Second)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Index, 0) // the other one runs
	p.RunStarted(starts[0])
	is.Equal(len(p.RunEnded("a", work.End{Task: task, Run: 1, Reason: work.EndSucceeded}, time.Second)), 0)
	last := p.RunEnded(starts[0].Endpoint, work.End{Task: starts[0].Task, Run: 1, Reason: work.EndSucceeded}, time.Second)
	is.Equal(last, []Outcome{{Job: "x", State: work.Completed, Task: starts[0].Task}})
}

// Guards against a task that runs a second time although the endpoint reports its success after the job has come.
func TestSuccessAfterSubmission(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	v, _ := p.Submit(jobOf("x", 2, 6000, 100*ms), 0, 0, time.Second)
	is.True(v.Taken())
	done := work.End{Task: work.TaskID{Job: "x"}, Run: 1, Reason: work.EndSucceeded}
	is.Equal(len(p.RunEnded("a", done, 0)), 0)
	is.Equal(len(p.RunEnded("a", done, 0)), 0) // listed again
	p.ReleaseResumed()
	starts := p.Next(time.Second)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Index, 1)
}

// Guards against starting a resumed job while its tasks may run on endpoints that have not reported.
func TestResumedJobWaits(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	v, _ := p.Submit(jobOf("x", 1, 1000, 100*ms), 0, 0, time.Second)
	is.True(v.Taken())
	is.Equal(len(p.Next(999*ms)), 0)
	is.Equal(len(p.Next(time.Second)), 1)
}

// Guards against a resumed job that is refused as not started, and handed in again by its instance, every few milliseconds.
func TestResumedJobIsNotRefusedAsLate(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	v, _ := p.Submit(jobOf("x", 1, 1000, 100*ms), 0, 0, time.Second)
	is.True(v.Taken())
	take(t, p, patient("other", 1000), 0)
	is.Equal(len(p.Overdue(time.Minute)), 0)
	p.ReleaseResumed()
	is.Equal(len(p.Overdue(time.Minute)), 0)
}

// Guards against short work that waits behind long work.
func TestShortOvertakesLong(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	take(t, p, jobOf("busy", 1, 1000, 100*ms), 0)
	first := p.Next(0)
	is.Equal(len(first), 1)
	take(t, p, jobOf("long", 1, 1000, 900*ms), 0)
	take(t, p, jobOf("short", 1, 1000, 50*ms), 60*ms)
	p.RunEnded("a", work.End{Task: first[0].Task, Run: 1, Reason: work.EndSucceeded}, 100*ms)
	next := p.Next(100 * ms)
	is.Equal(len(next), 1)
	is.Equal(next[0].Task.Job, work.JobID("short"))
}

// Guards against long work that starves behind short work that keeps coming.
func TestLongDoesNotStarve(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	take(t, p, jobOf("busy", 1, 1000, 100*ms), 0)
	first := p.Next(0)[0]
	take(t, p, jobOf("long", 1, 1000, 500*ms), 0)
	now := 100 * ms
	p.RunEnded("a", work.End{Task: first.Task, Run: 1, Reason: work.EndSucceeded}, now)
	for i := 0; i < 100; i++ {
		p.Submit(jobOf(fmt.Sprint("short", i), 1, 1000, 50*ms), now, now, 0)
		for _, r := range p.Next(now) {
			if r.Task.Job == "long" {
				is.True(now < time.Second)
				return
			}
			now += 50 * ms
			p.RunEnded("a", work.End{Task: r.Task, Run: r.Number, Reason: work.EndSucceeded}, now)
		}
	}
	t.Fatal("the long job did not start")
}

// Guards against keeping jobs that will miss their objective, which makes all jobs of a burst late.
func TestBurstIsRefused(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	taken := 0
	for i := range 50 {
		v, _ := p.Submit(jobOf(fmt.Sprint("j", i), 4, 1000, 100*ms), 0, 0, 0)
		if v.Taken() {
			taken++
			continue
		}
		is.Equal(v.Reason, ReasonNoRoom)
		is.True(v.RetryAfter >= time.Second)
	}
	is.True(taken >= 1 && taken <= 3) // 160 ms of objective hold one job at a time and little more
}

// Guards against a forecast that forgets the time that a job has spent on its way, and against refusing a late one that
// need not wait.
func TestTimeOnTheWayCounts(t *testing.T) {
	is := is.New(t)
	busy := poolOf(endpointOf("a", 1000))
	take(t, busy, jobOf("first", 1, 1000, 50*ms), 1000*ms)
	busy.Next(1000 * ms)
	v, _ := busy.Submit(jobOf("late", 1, 1000, 50*ms), 1000*ms, 950*ms, 0) // 90 ms of slack, 50 are gone, it waits for 50
	is.Equal(v.Reason, ReasonNoRoom)
	v, _ = busy.Submit(jobOf("fresh", 1, 1000, 50*ms), 1000*ms, 1000*ms, 0)
	is.True(v.Taken())
	idle := poolOf(endpointOf("a", 1000))
	v, _ = idle.Submit(jobOf("late", 1, 1000, 50*ms), 1000*ms, 800*ms, 0)
	is.True(v.Taken())
	v, _ = idle.Submit(jobOf("useless", 1, 1000, 50*ms), 1000*ms, 500*ms, 0) // three times its objective are 420 ms
	is.Equal(v.Reason, ReasonNoRoom)
}

// inSteps returns a job of steps that follow one another.
func inSteps(id string, steps, tasks int, estimate time.Duration) *work.Job {
	j := jobOf(id, tasks, 1000, estimate)
	for i := 1; i < steps; i++ {
		next := j.Steps[0]
		next.DependsOn = []int{i - 1}
		j.Steps = append(j.Steps, next)
	}
	return j
}

// Guards against refusing jobs although there is room, because steps whose turn has not come count as waiting work.
func TestLaterStepsTakeNoRoom(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	take(t, p, inSteps("steps", 3, 2, 50*ms), 0)
	p.Next(0)
	v, _ := p.Submit(jobOf("other", 2, 1000, 200*ms), 0, 0, 0) // 180 ms of slack, behind the first one's 150 ms
	is.True(v.Taken())
	is.Equal(v.ExpectedWait, time.Duration(0))
	is.Equal(p.Pressure(), 100) // of 4 pieces 2 are taken and 2 are wanted now
}

// Guards against promising room that the next step of the job that leaves it will take.
func TestRoomOfLaterStepsIsNotPromised(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 2000))
	take(t, p, inSteps("steps", 2, 2, 100*ms), 0)
	p.Next(0)
	v, _ := p.Submit(jobOf("other", 2, 1000, 200*ms), 0, 0, 0) // 180 ms of slack; the room is free after 200 ms
	is.Equal(v.Reason, ReasonNoRoom)
	is.Equal(v.ExpectedWait, 200*ms)
}

// Guards against promising the room that tasks of a step leave early to a new job, although the next step of their own job
// will need it.
func TestRoomOfEarlyTasksIsKeptForTheNextStep(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000))
	take(t, p, inSteps("x", 2, 4, 100*ms), 0)
	starts := p.Next(0)
	is.Equal(len(starts), 4)
	for _, r := range starts {
		p.RunStarted(r)
	}
	for _, r := range starts[:3] { // one task is left and takes until 100 ms
		p.RunEnded("a", work.End{Task: r.Task, Run: 1, Reason: work.EndSucceeded}, 50*ms)
	}
	v, _ := p.Submit(jobOf("long", 3, 1000, 100*ms), 50*ms, 50*ms, 0) // would run until 150 ms
	is.Equal(v.Reason, ReasonNoRoom)
	v, _ = p.Submit(jobOf("short", 3, 1000, 20*ms), 50*ms, 50*ms, 0) // ends before the next step begins
	is.True(v.Taken())
}

// Guards against taking a job for room that the jobs before it leave only later.
func TestForecastKeepsTheOrderOfTime(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 3000))
	take(t, p, jobOf("running", 1, 2000, 200*ms), 0)
	take(t, p, jobOf("running too", 1, 1000, 300*ms), 0)
	p.Next(0)
	take(t, p, jobOf("first", 1, 1000, 200*ms), 100*ms) // starts after 100 ms and leaves half of the room
	v, _ := p.Submit(jobOf("second", 1, 1000, 300*ms), 100*ms, 100*ms, 0)
	is.Equal(v.ExpectedWait, 100*ms)
}

// Guards against a task that no endpoint can ever hold and that waits for ever.
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

// Guards against work for endpoints that fail all that they start.
func TestFailingEndpointIsHeldOff(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("bad", 1000))
	now := time.Duration(0)
	for i := 0; i < 2; i++ {
		take(t, p, patient(fmt.Sprint("j", i), 1000), now)
		for _, r := range p.Next(now) {
			p.RunEnded("bad", work.End{Task: r.Task, Run: r.Number, Reason: work.EndFailed}, now)
			p.Cancel(r.Task.Job)
		}
	}
	take(t, p, patient("next", 1000), now)
	is.Equal(len(p.Next(now+minHoldOff/2)), 0)
	is.Equal(len(p.Next(now+minHoldOff)), 1) // one at a time, to see whether it works again
}

// Guards against jobs that can never be done and hold room for ever.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000), endpointOf("b", 1000))
	take(t, p, jobOf("x", 1, 1000, 100*ms), 0)
	var out []Outcome
	for i := range 2 {
		starts := p.Next(0)
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Number, i+1)
		out = p.RunEnded(starts[0].Endpoint, work.End{Task: starts[0].Task, Run: i + 1, Reason: work.EndFailed}, 0)
	}
	is.Equal(out[0].State, work.Failed)
}

// Guards against starting a step before the steps that it depends on have ended.
func TestSteps(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 10000))
	j := jobOf("x", 2, 1000, 100*ms)
	j.Steps = append(j.Steps, work.Step{Count: 1, Size: work.Size{MilliCPU: 1000}, DependsOn: []int{0}})
	take(t, p, j, 0)
	first := p.Next(0)
	is.Equal(len(first), 2)
	for i, r := range first {
		p.RunEnded("a", work.End{Task: r.Task, Run: 1, Reason: work.EndSucceeded}, 0)
		is.Equal(len(p.Next(0)), i) // only after the second end
	}
}

// Guards against more tasks of a step on one endpoint than the job allows.
func TestSpread(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 10000), endpointOf("b", 10000))
	j := jobOf("x", 4, 1000, 100*ms)
	j.Steps[0].MaxPerEndpoint = 1
	take(t, p, j, 0)
	starts := p.Next(0)
	is.Equal(len(starts), 2)
	is.True(starts[0].Endpoint != starts[1].Endpoint)
}

// Guards against a task that starts again while its stopped run may still be there.
func TestStoppedRunKeepsItsRoom(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 1000))
	take(t, p, patient("x", 1000), 0)
	r := p.Next(0)[0]
	is.Equal(len(p.Cancel("x")), 1)
	take(t, p, patient("x", 1000), 0) // the caller came back
	is.Equal(len(p.Next(0)), 0)
	p.RunEnded("a", work.End{Task: r.Task, Run: r.Number, Reason: work.EndStopped}, 0)
	again := p.Next(0)
	is.Equal(len(again), 1)
	is.Equal(again[0].Number, 2)
}

// Guards against any sequence of events that overfills an endpoint, runs a task twice at a time, loses a job or answers
// it twice.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := poolOf(endpointOf("a", 3000), endpointOf("b", 2000), endpointOf("c", 5000))
		m := model{p: p, running: map[work.TaskID]*Run{}, ended: map[work.JobID]bool{}}
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
	ended   map[work.JobID]bool
}

func (m *model) event(t *rapid.T, i int, now time.Duration) {
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		id := work.JobID(fmt.Sprint("j", i))
		j := jobOf(string(id), rapid.IntRange(1, 5).Draw(t, "tasks"), 100*rapid.IntRange(1, 30).Draw(t, "size"), 100*ms)
		j.Objective.Extra = time.Hour
		if v, _ := m.p.Submit(j, now, now, 0); v.Taken() {
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
	default:
		m.endOne(t, now)
	}
	m.start(t, now)
}

func (m *model) start(t *rapid.T, now time.Duration) {
	for _, r := range m.p.Next(now) {
		if m.running[r.Task] != nil {
			t.Fatalf("task %v starts while it runs", r.Task)
		}
		m.running[r.Task] = r
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
	for _, o := range m.p.RunEnded(r.Endpoint, work.End{Task: r.Task, Run: r.Number, Reason: reason}, now) {
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
			t.Fatalf("endpoint %s holds %+v of %+v", e.ID, used, e.Size)
		}
		if used != e.used {
			t.Fatalf("endpoint %s holds %+v, the pool believes %+v", e.ID, used, e.used)
		}
	}
}

// drain lets all that is left run without faults; every job must end.
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
			t.Fatalf("job %v did not end", id)
		}
	}
	if len(m.p.numbers) > 0 || len(m.p.runs) > 0 {
		t.Fatalf("state is left: %v %v", m.p.numbers, m.p.runs)
	}
}
