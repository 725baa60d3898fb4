package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// crash ends an endpoint's process and registers the next one at once.
func crash(p *Pool, id work.EndpointID, now time.Duration) ([]CrashedRun, []Outcome) {
	runs, outcomes := p.EndpointCrashed(id, attempt.Process{Endpoint: id, StartedUnixMS: int64(now) + 1}, now)
	return runs, outcomes
}

// confirm marks runs as started.
func confirm(p *Pool, runs []*Run, now time.Duration) {
	for _, r := range runs {
		p.RunSent(r, now)
		p.RunStarted(r)
	}
}

// Guards against a crash that takes other runs with it a second time: a task under which a process has crashed gets an endpoint of
// its own, and no run joins it there.
func TestSuspectsRunAlone(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
	mustSubmit(t, p, jobAllowingLongWait("x", 6000), 0)
	mustSubmit(t, p, jobAllowingLongWait("y", 6000), 0)
	first := p.Next(0)
	is.Equal(first[0].Endpoint, first[1].Endpoint)
	confirm(p, first, 0)
	crashed, outcomes := crash(p, first[0].Endpoint, 10*ms)
	is.Equal(len(crashed), 2)
	is.Equal(len(outcomes), 0)
	starts := p.Next(20 * ms)
	is.Equal(len(starts), 1) // only one of the two endpoints is isolated
	mustSubmit(t, p, jobAllowingLongWait("z", 1000), 20*ms)
	others := p.Next(30 * ms)
	is.Equal(len(others), 1)
	is.True(others[0].Endpoint != starts[0].Endpoint)
}

// Guards against a suspect that never starts because its endpoints are never without runs at a crest: one of them gets no new runs
// until the suspect has it.
func TestSuspectGetsAnEndpointUnderLoad(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
	mustSubmit(t, p, jobAllowingLongWait("x", 16000), 0)
	suspect := p.Next(0)
	confirm(p, suspect, 0)
	for i := range 20 {
		mustSubmit(t, p, jobAllowingLongWait(fmt.Sprint("load", i), 8000), 0)
	}
	running := p.Next(0)
	confirm(p, running, 0)
	crash(p, suspect[0].Endpoint, 10*ms)
	for now := 20 * ms; now < time.Second; now += 10 * ms {
		mustSubmit(t, p, jobAllowingLongWait(fmt.Sprint("more", now), 8000), now)
		for _, r := range p.Next(now) {
			if r.Task.Job == "x" {
				return
			}
			running = append(running, r)
		}
		r := running[0]
		running = running[1:]
		p.RunEnded(attempt.Process{Endpoint: r.Endpoint}, work.End{Task: r.Task, Run: r.Number, Reason: work.EndSucceeded}, now)
	}
	is.Fail() // the suspect has not started
}

// Guards against endpoints that are crashed for results that nobody can use any more, and against giving up a task whose result is still
// of use.
func TestLateSuspectsAreGivenUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		runTime time.Duration
		want    GiveUp
	}{{"short task", 50 * ms, GiveUpTooLate}, {"long task", 900 * ms, ""}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
			mustSubmit(t, p, jobOf("x", 1, 16000, c.runTime), 0)
			suspect := p.Next(0)
			confirm(p, suspect, 0)
			crashed, outcomes := crash(p, suspect[0].Endpoint, 1200*ms)
			is.Equal(crashed[0].GivenUp, c.want)
			is.True(crashed[0].Wanted)
			is.Equal(len(outcomes) == 1, c.want != "")
			is.True(len(outcomes) == 0 || outcomes[0].State == "") // one crash is no reason to show the job as failed
		})
	}
}

// Guards against a run that counts as crashed although its start request was never sent.
func TestRunThatWasNotSentIsNoSuspect(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	mustSubmit(t, p, jobAllowingLongWait("x", 6000), 0)
	p.Next(0)
	crashed, _ := crash(p, "a", 10*ms)
	is.Equal(len(crashed), 0)
	is.Equal(len(p.Next(20*ms)), 1) // the run was ended, and its task starts again
}

// Guards against a partition that refuses short jobs although it is free, because resumed jobs wait for a takeover to settle.
func TestResumedJobsKeepNoCapacityBeforeTheyMayStart(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	v, _ := p.Submit(jobOf("resumed", 2, 8000, 700*ms), 0, -600*ms, time.Second) // it goes first: its slack is used up
	is.True(v.Accepted())
	v, _ = p.Submit(jobOf("short", 2, 8000, 50*ms), 0, 0, 0)
	is.True(v.Accepted())
	v, _ = p.Submit(jobOf("long", 2, 8000, 900*ms), 0, 0, 0)
	is.True(!v.Accepted())
}

// Guards against capacity below zero in the forecast when an endpoint has shrunk below what its runs use.
func TestForecastOfAnEndpointThatHasShrunk(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
	mustSubmit(t, p, jobAllowingLongWait("x", 16000), 0)
	r := p.Next(0)[0]
	small := endpointOf(string(r.Endpoint), 2000)
	p.Update(small)
	is.True(!p.Fits(r))
	v, _ := p.Submit(jobOf("new", 2, 8000, 50*ms), 0, 0, 0)
	is.Equal(v.ExpectedWait, time.Duration(0)) // the other endpoint is free
}

// Guards against a pool that refuses jobs because suspects wait: each of them gets an endpoint of its own, one after the other, and uses
// no capacity of the others.
func TestWaitingSuspectsTakeNoCapacityOfOthers(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000), endpointOf("c", 16000))
	for i := range 4 {
		j := jobOf(fmt.Sprint("suspect", i), 1, 8000, 100*ms)
		p.history.Merge([]attempt.Attempt{{Task: work.TaskID{Job: j.ID}, Run: 1, Outcome: attempt.Crashed}}, 0)
		v, _ := p.Submit(j, 0, -200*ms, 1)
		is.True(v.Accepted())
	}
	confirm(p, p.Next(1), 1)
	v, _ := p.Submit(jobOf("new", 4, 8000, 50*ms), 1, 1, 0)
	is.True(v.Accepted()) // two endpoints are free
}

// Guards against a suspect that waits for good for an endpoint that has become too small for it.
func TestReservedEndpointShrinks(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
	mustSubmit(t, p, jobAllowingLongWait("x", 16000), 0)
	suspect := p.Next(0)[0]
	confirm(p, []*Run{suspect}, 0)
	mustSubmit(t, p, jobAllowingLongWait("load", 10000), 0)
	load := p.Next(0)[0]
	confirm(p, []*Run{load}, 0)
	crash(p, suspect.Endpoint, 10*ms)
	p.SetUsable(suspect.Endpoint, false)
	is.Equal(len(p.Next(20*ms)), 0) // the suspect reserves the other endpoint
	p.Update(endpointOf(string(load.Endpoint), 2000))
	p.SetUsable(suspect.Endpoint, true)
	starts := p.Next(40 * ms)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Endpoint, suspect.Endpoint)
}

// runOfAGivenUpTask returns a run on the endpoint "a" of a task of the job "x" that is to be given up, since its crashes have
// become known from other instances.
func runOfAGivenUpTask(t *testing.T) (*Pool, *Run) {
	p := poolOf(endpointOf("a", 16000))
	mustSubmit(t, p, jobAllowingLongWait("x", 6000), 0)
	r := p.Next(0)[0]
	for run := range attempt.MaxCrashes {
		p.history.Merge([]attempt.Attempt{{Task: r.Task, Run: run + 2, Outcome: attempt.Crashed}}, 0)
	}
	return p, r
}

// Guards against a job without an end: a run that was not sent when its endpoint crashed belongs to a task that must not start again.
func TestUnsentRunOfAGivenUpTask(t *testing.T) {
	is := is.New(t)
	p, _ := runOfAGivenUpTask(t)
	_, outcomes := crash(p, "a", 10*ms)
	is.Equal(len(outcomes), 1)
	is.Equal(outcomes[0].State, work.Failed)
}

// Guards against a task that starts again when its run is lost after two crashes have become known from other instances.
func TestLostRunOfAGivenUpTask(t *testing.T) {
	is := is.New(t)
	p, r := runOfAGivenUpTask(t)
	is.Equal(p.RunLost(r, 10*ms), []Outcome{{Job: "x", State: work.Failed, Task: r.Task, Why: GiveUpCrashes}})
}

// Guards against a job that is answered as failed although only one process has ended under its task: the other one had not confirmed
// that it started the run.
func TestUnconfirmedRunsAreNoCrashes(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000), endpointOf("c", 16000))
	mustSubmit(t, p, jobAllowingLongWait("x", 6000), 0)
	first := p.Next(0)
	confirm(p, first, 0)
	_, outcomes := crash(p, first[0].Endpoint, 10*ms)
	is.Equal(len(outcomes), 0)
	for run := 2; run < 5; run++ {
		now := time.Duration(run) * 10 * ms
		again := p.Next(now)
		is.Equal(len(again), 1)
		p.RunSent(again[0], now) // gets no answer
		p.Withdraw(again[0])
		crashed, outcomes := crash(p, again[0].Endpoint, now)
		is.Equal(len(outcomes), 0)
		is.Equal(crashed[0].Crashes, 1)
	}
	last := p.Next(100 * ms)
	confirm(p, last, 100*ms)
	_, outcomes = crash(p, last[0].Endpoint, 110*ms)
	is.Equal(len(outcomes), 1) // the second crash that counts
	is.Equal(outcomes[0].State, work.Failed)
}
