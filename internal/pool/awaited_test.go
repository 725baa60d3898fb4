package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// awaitedPool returns a pool of endpoints of four cores each that have not reported yet.
func awaitedPool(endpoints int) *Pool {
	p := New(attempt.NewHistory())
	for i := range endpoints {
		e := endpointOf(fmt.Sprint("e", i), 4000)
		p.Update(e)
		p.SetUsable(e.ID, false)
		p.SetAwaited(e.ID, true)
	}
	return p
}

// Guards against refusals by a dispatcher whose endpoints will have reported some milliseconds later, and against starts on an endpoint
// whose runs are not known.
func TestJobsWaitForAwaitedEndpoints(t *testing.T) {
	is := is.New(t)
	p := awaitedPool(1)
	mustSubmit(t, p, jobOf("a", 4, 1000, 100*ms), 0)
	is.Equal(len(p.Next(0)), 0)
	p.SetUsable("e0", true)
	is.Equal(len(p.Next(5*ms)), 4)
}

// Guards against jobs that are accepted for an endpoint that has not answered.
func TestEndpointThatDoesNotAnswerIsNotAwaited(t *testing.T) {
	is := is.New(t)
	p := awaitedPool(1)
	p.SetUsable("e0", false)
	v, _ := p.Submit(jobOf("a", 1, 1000, 100*ms), 0, 0, 0)
	is.Equal(v.Reason, ReasonNoEndpoint)
	p.SetAwaited("e0", true)
	p.endpoints["e0"].Draining = true
	v, _ = p.Submit(jobOf("b", 1, 1000, 100*ms), 0, 0, 0)
	is.Equal(v.Reason, ReasonNoEndpoint)
}

// Guards against a pressure that sends all jobs to other zones while the endpoints report.
func TestPressureWithAwaitedEndpoints(t *testing.T) {
	is := is.New(t)
	p := awaitedPool(2)
	is.Equal(p.Pressure(), 0)
	mustSubmit(t, p, jobOf("a", 4, 1000, 100*ms), 0)
	is.Equal(p.Pressure(), 50)
}

// Guards against a dispatcher that knows nothing and accepts more than its endpoints can serve in time, or refuses what they can: it gets
// the demand of a gap at once, before any endpoint has reported. The accepted jobs end within their objective, and the capacity of
// the endpoints is used.
func TestDemandOfAGap(t *testing.T) {
	is := is.New(t)
	p := awaitedPool(4) // 16 tasks of one core at a time
	const run = 100 * ms
	accepted := map[string]bool{}
	for i := range 60 {
		job := jobOf(fmt.Sprintf("j%02d", i), 1, 1000, run)
		job.Objective.Extra = 100 * ms // may wait for 0.8 x (0.6 x run + 100 ms), longer than a run and shorter than two
		if v, _ := p.Submit(job, 0, 0, 0); v.Accepted() {
			accepted[string(job.ID)] = true
		}
	}
	t.Log(len(accepted), "of 60 jobs accepted; 32 can be in time")
	is.Equal(len(accepted), 32) // 16 that start at once, and 16 that start when these have ended
	for i := range 4 {
		p.SetUsable(p.order[i].ID, true)
	}
	const reportedAt = 10 * ms
	is.Equal(len(p.Next(reportedAt)), 16)
	last := playUntilEmpty(t, p, reportedAt, run)
	is.True(last <= 260*ms) // 1.6 x run + 100 ms
}

// playUntilEmpty ends each run a run time after its order and starts further ones, and returns when the last one has ended.
func playUntilEmpty(t *testing.T, p *Pool, now, run time.Duration) time.Duration {
	t.Helper()
	for len(p.runs) > 0 {
		now += run
		for _, r := range p.runs {
			p.RunEnded(processOf(r), endOf(r), now)
		}
		p.Next(now)
	}
	return now
}

// processOf returns the endpoint's process of a run, and endOf the report of its success.
func processOf(r *Run) attempt.Process { return attempt.Process{Endpoint: r.Endpoint} }

func endOf(r *Run) work.End {
	return work.End{Task: r.Task, Run: r.Number, Reason: work.EndSucceeded}
}

// Guards against a task that starts far from its data because the endpoint near it has not reported yet.
func TestTaskWaitsForAwaitedEndpointNearItsData(t *testing.T) {
	is := is.New(t)
	near, far := endpointOf("near", 2000), endpointOf("far", 2000)
	near.Labels = []string{"r0"}
	p := poolOf(near, far)
	p.SetFarFactor(50)
	p.SetUsable("near", false)
	p.SetAwaited("near", true)
	j := jobOf("x", 1, 1000, 100*ms)
	j.Steps[0].DataRack = "r0"
	j.Objective.Extra = 50 * ms
	mustSubmit(t, p, j, 0)
	is.Equal(len(p.Next(0)), 0)
	p.SetUsable("near", true)
	is.Equal(p.Next(ms)[0].Endpoint, near.ID)
}
