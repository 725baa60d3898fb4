package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a job that is refused as not run although it may have run, and against one that is started a second
// time. This could happen if a job whose dispatcher failed went to a dispatcher other than the successor.
func TestLostDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.RouteEnded(f.router, true)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 2)
	is.Equal(f.router.sent()[1].to, north) // only the successor can determine which tasks have run
	is.True(f.router.sent()[1].s.Resumed)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom}) // must not become a 429
	f.Resubmit()
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
}

// Guards against a job that makes its dispatchers hang or crash and is handed on to each successor, until no instance of the zone is
// left.
func TestJobThatItsDispatchersDoNotSurvive(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	for range maxLosses {
		f.RouteEnded(f.router, true)
		f.Resubmit()
	}
	is.Equal(f.receive(a).status, 504) // it may have run
	is.Equal(len(f.router.sent()), maxLosses)
	is.Equal(f.Active(), 0)
}

// Guards against an instance that passes for one that notices when its callers leave while its lock is held, or for one that reads requests
// while its event loop is.
func TestUnattended(t *testing.T) {
	f := start(t, time.Minute)
	f.post("a")
	f.Sweep()
	f.mu.Lock()
	wait.For(t, "the lock counts as held", func() bool { return f.Unattended() >= 50*time.Millisecond })
	f.mu.Unlock()
	release := f.holdLoop()
	wait.For(t, "the event loop counts as held", func() bool { return pause.Elapsed()-f.lag.HandledUntil() >= 200*time.Millisecond })
	wait.For(t, "the callers are attended to without the event loop", func() bool { return f.Unattended() < 50*time.Millisecond })
	release()
	wait.For(t, "the event loop turns", func() bool { return pause.Elapsed()-f.lag.HandledUntil() < 50*time.Millisecond })
}

// knownAttempts returns a crash under task 0 of every job, as if another dispatcher had reported it.
func knownAttempts(id work.JobID) []attempt.Attempt {
	return []attempt.Attempt{{Task: work.TaskID{Job: id}, Run: 1, Process: attempt.Process{Endpoint: "i"}, Outcome: attempt.Crashed}}
}

// Guards against a dispatcher that starts a task anew as often as those before it, because it does not learn of their crashes: a new
// submission and one after the loss of the dispatcher carry them.
func TestSubmissionsCarryAttempts(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.RouteEnded(f.router, true)
	f.Resubmit()
	for _, sent := range f.router.sent() {
		is.Equal(sent.s.Attempts, knownAttempts("a"))
	}
}

// Guards against a job that is refused as not run, or submitted again without end, after its dispatcher has given it up: it may have run.
func TestGivenUpJob(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true, GaveUp: true})
	is.Equal(f.receive(a).status, 504)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 1)
}

// Guards against a job that waits for the successor of a dispatcher which never got the job.
func TestUnsentJobGoesToOtherZone(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.RouteEnded(f.router, false)
	f.eventually("the other zone is tried", func() bool { return len(f.router.sent()) == 2 })
	is.Equal(f.router.sent()[1].to, south)
	is.True(!f.router.sent()[1].s.Resumed)
}

// Guards against callers that are refused because the dispatchers are not known or connected in the first moments after
// a restart, against jobs that wait beyond the placement timeout, and against jobs that are submitted again after they
// were placed.
func TestJobWaitsForDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.router.setDown(north, true)
	f.router.setDown(south, true)
	f.setPlacementTimeout(time.Minute)
	a := f.call(t.Context(), "POST", "/p/a", "job")
	f.eventually("the job waits for a dispatcher", func() bool { return f.Active() == 1 })
	f.Resubmit()
	f.router.setDown(north, false)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 1)
	is.True(!f.router.sent()[0].s.Resumed)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 1)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
	f.router.setDown(north, true)
	b := f.call(t.Context(), "POST", "/p/b", "job")
	f.eventually("the job waits for a dispatcher", func() bool { return f.Active() == 1 })
	f.setPlacementTimeout(0)
	f.Resubmit()
	r := f.receive(b)
	is.Equal(r.status, 503)
	is.Equal(r.retryAfter, "2")
}

// Guards against jobs of a dispatcher whose term has ended that count as not started although they may have started, or
// the other way round.
func TestDispatcherIsNoLongerLeader(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("fresh")
	f.Answer(f.router, &relay.Answer{Job: "fresh", Refused: pool.ReasonNotLeader})
	f.eventually("a job that has not started is placed anew", func() bool { return len(f.router.sent()) == 2 })
	is.True(!f.router.sent()[1].s.Resumed)
	f.post("started")
	f.Answer(f.router, &relay.Answer{Job: "started", Refused: pool.ReasonNotLeader, Started: true})
	f.Resubmit()
	last := f.router.sent()[len(f.router.sent())-1]
	is.Equal(last.s.Job.ID, work.JobID("started"))
	is.True(last.s.Resumed)
}

// Guards against a successor that takes a job's earlier dispatcher for lost for longer than it is, and starts tasks that it still runs:
// each loss counts from its own time, and one that is followed by refusals of dispatchers that have started nothing from the loss itself.
func TestTimeSinceTheLossOfTheDispatcher(t *testing.T) {
	is := is.New(t)
	const pause = 30 * time.Millisecond
	f := start(t, time.Minute)
	f.post("a")
	resubmitted := func() time.Duration {
		time.Sleep(pause)
		f.Resubmit()
		all := f.router.sent()
		last := all[len(all)-1].s
		is.True(last.Resumed)
		return last.Lost
	}
	is.Equal(f.router.sent()[0].s.Lost, time.Duration(0))
	begun := time.Now()
	f.RouteEnded(f.router, true)
	lost := resubmitted()
	is.True(lost >= pause && lost <= time.Since(begun))
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader})
	is.True(resubmitted() >= 2*pause) // no other dispatcher has had the job
	begun = time.Now()
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true})
	lost = resubmitted()
	is.True(lost >= pause && lost <= time.Since(begun))
}

// Guards against a successor that relies on the answer of one dispatcher while another one, whose connection was lost before, still orders
// runs, and against one that waits for what an orderly end rules out.
func TestJobThatWasGivenBack(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	resubmitted := func() *relay.Submit {
		f.Resubmit()
		all := f.router.sent()
		return all[len(all)-1].s
	}
	is.True(!f.router.sent()[0].s.GivenBack)
	giveBack := func() { f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true}) }
	giveBack()
	is.True(resubmitted().GivenBack)
	f.RouteEnded(f.router, true)
	is.True(!resubmitted().GivenBack)
	giveBack()
	is.True(!resubmitted().GivenBack)
}

// Guards against a dispatcher that takes itself for the last one that held a job: submissions that were sent elsewhere count, those that
// could not be sent do not, and another request for the same job is another one.
func TestSubmissionsAreNumbered(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	for range 2 {
		f.RouteEnded(f.router, true)
		f.router.setDown(north, true)
		f.Resubmit()
		f.router.setDown(north, false)
		f.Resubmit()
	}
	f.post("b")
	all := f.router.sent()
	is.Equal(len(all), 4)
	var previous relay.SubmissionNumber
	for _, sent := range all[:3] {
		is.Equal(sent.s.Previous, previous)
		is.Equal(sent.s.Request, all[0].s.Request)
		previous = sent.s.Number
	}
	is.True(previous != 0)
	is.Equal(all[3].s.Previous, relay.SubmissionNumber(0))
	is.True(all[0].s.Request != 0)
	is.True(all[3].s.Request != all[0].s.Request)
}

// Guards against a job whose dispatcher's successor takes it for granted that the two divided the zone alike: it would start tasks again that run
// on endpoints of another partition.
func TestResumedJobsNameTheDivisionOfTheirDispatchers(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	partitions := func() int {
		all := f.router.sent()
		return all[len(all)-1].s.Partitions
	}
	f.router.partitions.Store(4)
	f.post("lost")
	f.RouteEnded(f.router, true)
	f.router.partitions.Store(2)
	f.Resubmit()
	is.Equal(partitions(), 4)
	f.RouteEnded(f.router, true) // the successor divided the zone in another way
	f.Resubmit()
	is.Equal(partitions(), 0)

	f.post("given back")
	f.router.partitions.Store(4)
	f.Answer(f.router, &relay.Answer{Job: "given back", Refused: pool.ReasonNotLeader, Started: true, Partitions: 1})
	f.Resubmit()
	is.Equal(partitions(), 1)
}

// Guards against a number of partitions that a dispatcher told before it took a job and that is never known because its first heartbeat came later.
func TestDivisionThatIsToldAfterTheSubmission(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.router.partitions.Store(4)
	f.Resubmit()
	f.RouteEnded(f.router, true)
	f.Resubmit()
	is.Equal(f.router.sent()[1].s.Partitions, 4)
}
