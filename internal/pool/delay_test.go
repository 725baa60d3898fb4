package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

func always(string) bool { return true }

// fullPool returns a pool with weighed costs and one endpoint, which is occupied for a time.
func fullPool(t *testing.T, run time.Duration) *Pool {
	t.Helper()
	p := poolOf(endpointOf("a", 16000))
	p.WeighBy(always)
	mustSubmit(t, p, jobOf("occupies", 1, 16000, run), 0)
	for _, r := range p.Next(0) {
		p.RunSent(r, 0)
	}
	return p
}

// end ends a run with success.
func end(p *Pool, task work.TaskID, now time.Duration) {
	p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: task, Run: 1, Reason: work.EndSucceeded}, now)
}

// Guards against the domino effect of an order by latest start: a job that can only be late starts before one that is in time if it starts
// now, and both are late. Without weighed costs the order is by latest start.
func TestLateJobYields(t *testing.T) {
	for _, weighed := range []bool{true, false} {
		is := is.New(t)
		p := poolOf(endpointOf("a", 16000))
		p.WeighBy(func(string) bool { return weighed })
		mustSubmit(t, p, jobOf("first", 1, 16000, 100*ms), 0)
		is.Equal(len(p.Next(0)), 1)
		p.RunSent(p.Run(work.TaskID{Job: "first"}), 0)
		mustSubmit(t, p, jobOf("late", 1, 16000, 100*ms), 20*ms) // starts by 140 ms
		mustSubmit(t, p, jobOf("timely", 1, 16000, 300*ms), 30*ms)
		end(p, work.TaskID{Job: "first"}, 150*ms)
		starts := p.Next(150 * ms)
		is.Equal(len(starts), 1)
		want := map[bool]work.JobID{true: "timely", false: "late"}[weighed]
		is.Equal(starts[0].Task.Job, want)
	}
}

// Guards against a late job that is never started although there is room, and against one that holds a place for which it may have started.
func TestYieldingJobStartsInRemainingRoom(t *testing.T) {
	is := is.New(t)
	p := fullPool(t, 100*ms)
	mustSubmit(t, p, jobOf("late", 1, 16000, 100*ms), 20*ms)
	end(p, work.TaskID{Job: "occupies"}, 150*ms)
	starts := p.Next(150 * ms)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, work.JobID("late"))
}

// Guards against a started job whose last tasks wait behind other jobs once it is late: its finished tasks would be worth nothing.
func TestStartedJobDoesNotYield(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	p.WeighBy(always)
	wide := jobOf("wide", 2, 16000, 100*ms)
	wide.Objective.Extra = 200 * ms
	mustSubmit(t, p, wide, 0)
	is.Equal(len(p.Next(0)), 1)
	p.RunSent(p.Run(work.TaskID{Job: "wide"}), 0)
	mustSubmit(t, p, jobOf("timely", 1, 16000, 600*ms), 20*ms)
	end(p, work.TaskID{Job: "wide"}, 300*ms)
	starts := p.Next(300 * ms)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, work.JobID("wide"))
}

// Guards against a job that waits until it is late although its dispatcher can tell before, and another one could run it in time.
func TestGiveBack(t *testing.T) {
	is := is.New(t)
	p := fullPool(t, 100*ms)
	mustSubmit(t, p, jobOf("waits", 1, 16000, 100*ms), 10*ms) // starts by 130 ms
	is.Equal(len(p.GiveBack(20*ms)), 0)
	for _, r := range p.RunsOn("a") {
		p.RunProgressed(r.Task, r.Number, 10, 40*ms) // it takes 400 ms
	}
	is.Equal(p.GiveBack(40*ms), []work.JobID{"waits"})
	p.KeepHere("waits") // no other dispatcher is left
	is.Equal(len(p.GiveBack(40*ms)), 0)
}

// Guards against jobs that are given back although costs are not weighed for their service.
func TestGiveBackWithoutWeights(t *testing.T) {
	is := is.New(t)
	p := fullPool(t, 100*ms)
	p.WeighBy(func(string) bool { return false })
	mustSubmit(t, p, jobOf("waits", 1, 16000, 100*ms), 10*ms)
	for _, r := range p.RunsOn("a") {
		p.RunProgressed(r.Task, r.Number, 10, 40*ms)
	}
	is.Equal(len(p.GiveBack(40*ms)), 0)
}

// Guards against a job that is given back once it is late: it is of the same use here and elsewhere, and was promised a place here.
func TestLateJobIsNotGivenBack(t *testing.T) {
	is := is.New(t)
	p := fullPool(t, 100*ms)
	mustSubmit(t, p, jobOf("late", 1, 16000, 100*ms), 10*ms)
	is.Equal(len(p.GiveBack(140*ms)), 0)
}

// Guards against "not run" of a job of which a task may run: its start is in flight, it may have run at another dispatcher, or it is stored
// and must not be refused any more.
func TestJobsThatAreNeverGivenBack(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	p.WeighBy(always)
	inFlight := jobOf("in-flight", 2, 16000, 100*ms)
	inFlight.Objective.Extra = 200 * ms
	mustSubmit(t, p, inFlight, 0)
	is.Equal(len(p.Next(0)), 1) // ordered, not sent; the second task waits
	p.Submit(jobOf("resumed", 1, 16000, 100*ms), 0, 0, ms)
	is.True(p.OfferStored(jobOf("stored", 1, 16000, 600*ms), 0, 0).Accepted())
	p.Hold("stored", false)
	for now := time.Duration(0); now < time.Second; now += 10 * ms {
		is.Equal(len(p.GiveBack(now)), 0)
	}
}

// Guards against a forecast that adds up the free capacity of several endpoints, on none of which a large task fits.
func TestForecastKeepsEndpointsApart(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000), endpointOf("b", 16000))
	p.WeighBy(always)
	mustSubmit(t, p, jobOf("occupies", 2, 9000, 500*ms), 0)
	is.Equal(len(p.Next(0)), 2)
	f := p.forecast("survey", work.Size{MilliCPU: 9000}, 0)
	f.start(1, 9000, 100*ms)
	is.Equal(f.at, 500*ms)
	small := p.forecast("survey", work.Size{MilliCPU: 7000}, 0)
	small.start(2, 7000, 100*ms)
	is.Equal(small.at, time.Duration(0))
}

// Guards against a simulation that does not go back to the state before a job that is left out.
func TestForecastRestoresSnapshot(t *testing.T) {
	is := is.New(t)
	p := fullPool(t, 100*ms)
	f := p.forecast("survey", work.Size{MilliCPU: 16000}, 0)
	var s snapshot
	f.save(&s)
	f.start(3, 16000, 200*ms)
	is.Equal(f.at, 500*ms)
	f.restore(&s)
	f.start(1, 16000, 200*ms)
	is.Equal(f.at, 100*ms)
}

// Guards against capacity that a queue of high priority leaves to one of low priority of which as much is refused, and against none that is
// left the other way round.
func TestReservationByPriority(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 100000))
	p.WeighBy(always)
	high, low := jobOf("h", 4, 10000, 50*ms), jobOf("l", 4, 10000, 100*ms)
	low.Objective.Priority = 2
	h, l := p.newJob(high, 0, 0), p.newJob(low, 0, 0)
	for i := range 20 {
		p.recordDemand(h, i%2 == 0, 0)
		p.recordDemand(l, i%2 == 0, 0)
	}
	is.Equal(p.reservedForOthers(h, 100000, 0), 0)
	is.True(p.reservedForOthers(l, 100000, 0) > 0)
}

// Guards against ends that count as in time or late at the wrong bound.
func TestPunctuality(t *testing.T) {
	is := is.New(t)
	timing := Timing{Arrived: 100 * ms, Objective: 200 * ms}
	for end, want := range map[time.Duration]Punctuality{300 * ms: InTime, 301 * ms: Late, 700 * ms: Late, 701 * ms: NoUse} {
		is.Equal(timing.Punctuality(end), want)
	}
}

// Guards against times that are kept forever, and against none for a job that has succeeded.
func TestTimings(t *testing.T) {
	is := is.New(t)
	p := fullPool(t, 100*ms)
	end(p, work.TaskID{Job: "occupies"}, 100*ms)
	is.Equal(p.Timing("occupies").Objective, 220*ms)
	p.ForgetTimings()
	is.Equal(p.Timing("occupies"), Timing{})
}
