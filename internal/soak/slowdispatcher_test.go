package soak

import (
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

const (
	catchUpTime      = 500 * time.Millisecond  // after the second start, for which the first dispatcher stays slow at most
	claimDelay       = 1500 * time.Millisecond // longer than an instance waits for the answer of a job's home, and than catchUpTime
	fillTime         = 10 * time.Second        // of tasks that make dispatchers look busy; their callers leave before
	firstFill        = 2                       // tasks at the first dispatcher
	secondFill       = 8                       // tasks at the second one, a larger share of its endpoints than firstFill of the first one's
	largeJobs        = 100                     // ahead of the job
	largeJobsBetween = 20                      // between the job and its cancellation
	largeJobSteps    = 500
	awaitInterval    = 10 * time.Millisecond // at which a test looks whether something has happened
)

// Guards against a submission that a dispatcher handles late because it gets little of the processor, and that starts a task whose caller has
// left and has submitted the job again at another dispatcher. The dispatcher is never stopped for long, so that no heartbeat is missing. It is
// the job's home. With claims delayed, only the age of the submission and of the news of callers tells it that the caller may have left.
func TestSubmissionToSlowDispatcher(t *testing.T) {
	c := newCast(t)
	c.playSlow(t, true)
	c.playSlow(t, false)
}

// playSlow submits jobs to a slow dispatcher until enough of them have met both dispatchers. With claims delayed, a job counts only if the
// first dispatcher has decided on it while the second one's run was in progress.
func (c *cast) playSlow(t *testing.T, delayClaims bool) {
	made := 0
	for n := 0; made < wantedCases && n < maxCases; n++ {
		c.awaitDispatchers(t)
		c.number++
		c.job = jobIn(1-c.part, "c", c.number)
		c.submitToSlow(t, delayClaims)
		v := c.run.view()
		c.logRuns(t, v)
		if found := overlappingRuns(v); len(found) > 0 {
			t.Fatal(strings.Join(found, "\n"))
		}
		if !c.leftFirst(t) || !c.startedBy(v)[c.second.spec.Name] {
			continue
		}
		if !delayClaims || c.decidedDuringRun(t, v) {
			made++
		}
	}
	if made < wantedCases {
		t.Errorf("%d of %d jobs met both dispatchers, claims delayed: %v; %d wanted", made, maxCases, delayClaims, wantedCases)
	}
}

// submitToSlow does as submitLate, with a first dispatcher that gets little of the processor in place of a choked connection. Large jobs that
// it cannot run are ahead of the job, and between the job and its cancellation. The first dispatcher stays slow until the second
// one has started the job and catches up while that run is in progress, whatever the speed of the machine.
func (c *cast) submitToSlow(t *testing.T, delayClaims bool) {
	if delayClaims {
		defer c.delayClaims()()
	}
	fillers := c.fillSecond(t)
	defer abort(fillers.first)
	slow := c.first.slowDown()
	defer slow.end()
	c.submitLarge(t, "b", largeJobs)
	time.Sleep(resetAfter)
	conn, _ := c.submit(t, c.job, c.entry)
	time.Sleep(resetAfter)
	c.submitLarge(t, "d", largeJobsBetween)
	time.Sleep(resetAfter)
	abort(conn)
	abort(fillers.second)
	time.Sleep(retransmitTime)
	_, answered := c.submit(t, c.job, c.second)
	c.awaitStart(t, c.job)
	slow.catchUp()
	c.awaitDecision(t, catchUpTime)
	slow.end()
	if got := <-answered; got.State != work.Completed {
		t.Logf("second submission: %+v", got)
	}
}

// delayClaims delays what the second dispatcher's instance sends to the first one, so that the home of the job does not answer in time. No
// heartbeat is missing. It returns a function that ends the delay.
func (c *cast) delayClaims() (end func()) {
	f := &linkFault{delay: claimDelay, ramp: 2 * claimDelay, ways: [2]bool{toTarget: true}}
	links := c.run.network.between(func(from, to string) bool { return from == c.second.spec.IP && c.isRelay(c.first, to) })
	for _, l := range links {
		l.begin(f)
	}
	time.Sleep(f.ramp)
	return func() {
		for _, l := range links {
			l.end(f)
		}
	}
}

// fillers are the connections of callers whose jobs make the dispatchers look busy until the callers leave.
type fillers struct{ first, second net.Conn }

// fillSecond makes both partitions look busy, the second one more so, so that the next job is submitted to the first one. Each partition is
// filled by one job, which is not submitted before the dispatcher's instance knows that the other partition is busier.
func (c *cast) fillSecond(t *testing.T) (f fillers) {
	first, second := jobIn(1-c.part, "e", c.number), c.jobID("e", c.number)
	f.first, _ = c.submitBody(t, first, c.first, wideJob(firstFill))
	c.awaitStart(t, first)
	time.Sleep(fillerLead)
	f.second, _ = c.submitBody(t, second, c.second, wideJob(secondFill))
	c.awaitStart(t, second)
	time.Sleep(fillerLead)
	return f
}

// wideJob returns the body of a job of several tasks.
func wideJob(tasks int) []byte {
	return standin.Job(standin.Step{Tasks: tasks, Size: taskSize, Estimate: 100 * time.Millisecond})
}

// awaitStart waits until a task of a job has been started, at most until the job's deadline.
func (c *cast) awaitStart(t *testing.T, id work.JobID) {
	started := func(o standin.Order) bool { return o.Start && o.Task.Job == id }
	for begun := time.Now(); time.Since(begun) < longDeadline; time.Sleep(awaitInterval) {
		if slices.ContainsFunc(c.run.view().orders, started) {
			return
		}
	}
	t.Logf("no task of job %s has started within %v", id, longDeadline)
}

// awaitDecision waits until the first dispatcher has decided on the job, at most for a time.
func (c *cast) awaitDecision(t *testing.T, limit time.Duration) {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(awaitInterval) {
		if !c.firstDecision(t).IsZero() {
			return
		}
	}
}

// firstDecision returns the time at which the first dispatcher has decided on the submission of the job by the entry, according to its log.
func (c *cast) firstDecision(t *testing.T) time.Time {
	for line := range strings.Lines(c.first.readLog(t)) {
		if !strings.Contains(line, "event=submit ") || !strings.Contains(line, "job="+string(c.job)+" ") {
			continue
		}
		if !strings.Contains(line, `from="`+c.entry.spec.IP+":") {
			continue
		}
		text, _, _ := strings.Cut(strings.TrimPrefix(line, `time="`), `"`)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			t.Fatalf("log of %s: %v", c.first.spec.Name, err)
		}
		return at
	}
	return time.Time{}
}

// decidedDuringRun reports whether the first dispatcher has decided on the job while a run of it by the second one was in progress.
func (c *cast) decidedDuringRun(t *testing.T, v *view) bool {
	at := c.firstDecision(t)
	return slices.ContainsFunc(v.starts, func(s fleet.Start) bool {
		return s.Task.Job == c.job && s.StartedAt.Before(at) && at.Before(s.EndedAt)
	})
}

// submitLarge submits large jobs at the entry. Their home is the first dispatcher, so that the entry sends them without asking.
func (c *cast) submitLarge(t *testing.T, prefix string, jobs int) {
	for n := range jobs {
		c.submitBody(t, jobIn(1-c.part, prefix, c.number*largeJobs+n), c.entry, largeJob())
	}
}

// largeJob returns the body of a job of many steps, none of which fits the memory of an endpoint. They request next to no processor, since an
// instance adds what it has sent to a dispatcher to the load that it knows: the jobs after it would go to the other dispatcher.
func largeJob() []byte {
	size := work.Size{MilliCPU: 1, MemoryMB: 2 * endpointMemoryMB}
	return standin.Job(slices.Repeat([]standin.Step{{Tasks: 1, Size: size, Estimate: taskTime}}, largeJobSteps)...)
}
