package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// busyFast returns a pool with a fast endpoint, e0, that is full until about free, and a slow one, e1, that is idle.
func busyFast(t *testing.T, free time.Duration) (p *Pool, now time.Duration) {
	t.Helper()
	p, now = learnedPool(t, 20, 1.6, 0.6, 1.6, 0.6)
	p.SetUsable("e2", false)
	p.SetUsable("e3", false)
	p.SetUsable("e1", false)
	filler := jobAllowingLongWait("filler", 16000)
	mustSubmit(t, p, filler, now)
	r := p.Next(now)[0]
	p.RunSent(r, now)
	r.Expected = free
	p.SetUsable("e1", true)
	return p, now
}

// Guards against the last task of a job going to an endpoint on which it misses the objective, while a faster one would be free in time.
func TestTaskWaitsForAFasterEndpoint(t *testing.T) {
	is := is.New(t)
	p, now := busyFast(t, 20*ms)
	j := jobOf("x", 1, 8000, 100*ms)
	j.Objective = work.Objective{Stretch: 1.2, Extra: 30 * ms, Attempts: 2} // 150 ms; about 170 on e1, 63 on e0
	mustSubmit(t, p, j, now)
	is.Equal(len(p.Next(now)), 0)
	is.Equal(p.Delayed(), 1)

	other := jobAllowingLongWait("other", 8000) // the same placement, and its objective allows the slow endpoint
	mustSubmit(t, p, other, now)
	starts := p.Next(now)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, work.JobID("other"))

	now += 20 * ms
	p.RunEnded(attempt.Process{Endpoint: "e0"}, work.End{Task: work.TaskID{Job: "filler"}, Run: 1, Reason: work.EndSucceeded}, now)
	starts = p.Next(now)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Endpoint, work.EndpointID("e0"))
}

// Guards against a task that waits although no faster endpoint will be free in time, or that waits on when the expected time has passed.
func TestTaskDoesNotWaitInVain(t *testing.T) {
	is := is.New(t)
	p, now := busyFast(t, time.Second)
	j := jobOf("x", 1, 8000, 100*ms)
	j.Objective = work.Objective{Stretch: 1.2, Extra: 30 * ms, Attempts: 2}
	mustSubmit(t, p, j, now)
	is.Equal(len(p.Next(now)), 1)

	p, now = busyFast(t, 20*ms)
	mustSubmit(t, p, j, now)
	is.Equal(len(p.Next(now)), 0)
	starts := p.Next(now + 130*ms) // the run on e0 takes longer than expected
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Endpoint, work.EndpointID("e1"))
}

// Guards against tasks that wait for an endpoint that gets no new runs.
func TestTaskDoesNotWaitForAnEndpointThatLeaves(t *testing.T) {
	is := is.New(t)
	p, now := busyFast(t, 20*ms)
	p.endpoints["e0"].Draining = true
	j := jobOf("x", 1, 8000, 100*ms)
	j.Objective = work.Objective{Stretch: 1.2, Extra: 30 * ms, Attempts: 2}
	mustSubmit(t, p, j, now)
	is.Equal(len(p.Next(now)), 1)
}

// Guards against a fixed far factor: where tasks away from their data take three times as long, they wait for its rack, where they take hardly
// longer they do not.
func TestFarFactor(t *testing.T) {
	for _, c := range []struct {
		factor float64
		starts int
	}{{3, 0}, {1.1, 1}} {
		is := is.New(t)
		p := poolOf(endpointOf("near", 8000, "r1"), endpointOf("far", 8000, "r2"))
		p.SetFarFactor(c.factor)
		p.SetUsable("far", false)
		mustSubmit(t, p, jobAllowingLongWait("filler", 8000), 0)
		r := p.Next(0)[0]
		p.RunSent(r, 0)
		r.Expected = 20 * ms
		p.SetUsable("far", true)
		j := jobOf("x", 1, 8000, 100*ms)
		j.Steps[0].DataRack = "r1"
		mustSubmit(t, p, j, 0)
		is.Equal(len(p.Next(0)), c.starts)
	}
}

// Guards against jobs of long tasks that are late at a crest because their tasks start on slow endpoints while fast ones serve jobs whose
// objectives would allow slow ones. Before speeds were learned and tasks waited, 0.69 of them were in time at this load.
func TestUnevenEndpointsAtACrest(t *testing.T) {
	inTime, jobs := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		s := playUneven(seed, []float64{0.6, 1, 1.6}, 1.3/12, nil).stats["long"]
		inTime, jobs = inTime+s.onTime, jobs+s.jobs
	}
	if share := float64(inTime) / float64(jobs); share < 0.75 {
		t.Errorf("%.3f of the long jobs were in time, want at least 0.75", share)
	}
}
