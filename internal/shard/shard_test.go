package shard_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/congestion"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// lease is longer than a poll of an endpoint and a lost call together.
const lease = time.Second

// client records a dispatcher's answers.
type client struct {
	mu      sync.Mutex
	answers map[work.JobID]*relay.Answer
	lostAt  time.Time // when the instance fell silent; zero if it has not
}

func newClient() *client { return &client{answers: map[work.JobID]*relay.Answer{}} }

func (c *client) Name() string { return "test" }

func (c *client) Silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAt.IsZero() {
		return 0
	}
	return time.Since(c.lostAt)
}

// fallSilent makes the instance send no messages from now on.
func (c *client) fallSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt = time.Now()
}

func (c *client) Answer(a *relay.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[a.Job] = a
}

func (c *client) answer(id work.JobID) *relay.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[id]
}

// discardLog returns a logger without output.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// dispatcher is a shard with its own directory and clock.
type dispatcher struct {
	*shard.Shard
	directory *shard.Directory
	history   *attempt.History
	window    *congestion.Window
	replaced  atomic.Int32 // calls of OnReplaced
	started   time.Time
	mu        sync.Mutex
	ahead     time.Duration // how far the clock is ahead of real time
}

func newShard(f *fleet.Fleet, fenced func()) *dispatcher { return newShardOf(f, 0, fenced) }

func newShardOf(f *fleet.Fleet, partition int, fenced func()) *dispatcher {
	return newShardWithLease(f, partition, lease, fenced)
}

func newShardWithLease(f *fleet.Fleet, partition int, lease time.Duration, fenced func()) *dispatcher {
	return newShardWith(f, func(o *shard.Options) { o.Partition, o.Lease, o.OnFenced = partition, lease, fenced })
}

// newShardWith returns a dispatcher with the options that set has changed.
func newShardWith(f *fleet.Fleet, set func(*shard.Options)) *dispatcher {
	d := &dispatcher{directory: shard.NewDirectory(), history: attempt.NewHistory(), window: congestion.New(), started: time.Now()}
	counts := shard.NewCounts()
	o := shard.Options{
		Zone: "north", Directory: d.directory, Lease: lease, Dialer: f, Window: d.window, History: d.history, OnFenced: func() {},
		OnOutdated: func() {}, OnReplaced: func() { d.replaced.Add(1) }, Counts: &counts, Log: discardLog(),
		Now: d.now,
	}
	set(&o)
	d.Shard = shard.New(o)
	return d
}

// now returns the time on the shard's clock.
func (d *dispatcher) now() time.Duration { return time.Since(d.started) + d.skip(0) }

// skip moves the shard's clock forward and returns how far it is ahead of real time.
func (d *dispatcher) skip(by time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ahead += by
	return d.ahead
}

// register replaces all registrations in the directory and passes the changes to the shard.
func (d *dispatcher) register(all []work.Endpoint) {
	r := shard.Registrations{Changed: all, Snapshot: true}
	d.UpdateEndpoints(r, d.directory.Apply(r, d.skip(0)))
}

func endpoints(n int) []work.Endpoint {
	var all []work.Endpoint
	for i := range n {
		all = append(all, work.Endpoint{
			ID: work.EndpointID(fmt.Sprintf("e%d", i)), Service: "survey", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "north",
			Size: work.Size{MilliCPU: 2000, MemoryMB: 1024},
		})
	}
	return all
}

func newFleet(n int, run time.Duration) (*fleet.Fleet, []work.Endpoint) {
	f := fleet.New(run)
	all := endpoints(n)
	for _, e := range all {
		f.Add(e)
	}
	return f, all
}

// newLeadingDispatcher returns a fleet, its registrations, a dispatcher that holds the term for it and a client.
func newLeadingDispatcher(t *testing.T, n int, run time.Duration) (*fleet.Fleet, []work.Endpoint, *dispatcher, *client) {
	f, all := newFleet(n, run)
	return f, all, lead(t, f, all), newClient()
}

// lead returns a dispatcher that holds the term for the endpoints of a fleet, and polls them at once.
func lead(t *testing.T, f *fleet.Fleet, all []work.Endpoint) *dispatcher {
	s := newShard(f, func() {})
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	return s
}

func jobOf(id string, tasks int, estimate time.Duration) work.Job {
	return work.Job{
		ID: work.JobID(id), Queue: "q", Service: "survey", Spec: "text",
		Steps:     []work.Step{{Count: tasks, Size: work.Size{MilliCPU: 1000, MemoryMB: 64}, Estimate: estimate}},
		Objective: work.Objective{Stretch: 3, Extra: time.Second, Attempts: 2},
	}
}

func submitUntilAccepted(t *testing.T, s *dispatcher, c *client, m *relay.Submit) {
	t.Helper()
	wait.For(t, "the job is accepted", func() bool {
		s.Submit(c, m)
		a := c.answer(m.Job.ID)
		if a != nil && a.Refused != pool.ReasonNone {
			c.mu.Lock()
			delete(c.answers, m.Job.ID)
			c.mu.Unlock()
			return false
		}
		return true
	})
}

func completed(c *client, id work.JobID) func() bool {
	return func() bool { a := c.answer(id); return a != nil && a.State == work.Completed }
}

// Guards against a job that is answered before its last task has ended, or whose tasks start twice.
func TestJobCompletes(t *testing.T) {
	is := is.New(t)
	f, _, s, c := newLeadingDispatcher(t, 3, 30*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 9, 30*time.Millisecond)})
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(len(f.Starts()), 9)
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against a second run beside one that is being stopped: the endpoint has carried out a start request without an answer,
// and its stop takes a while. The clock is virtual.
func TestRunThatIsBeingStoppedStillCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(4, 400*time.Millisecond)
		f.StopTime = 50 * time.Millisecond
		n := 0
		f.LoseAnswer = func(call string) (bool, time.Duration) {
			n++
			return call == "start" && n%3 == 0, 0
		}
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		for i := range 6 {
			s.Submit(c, &relay.Submit{Job: jobOf(fmt.Sprint("a", i), 4, 400*time.Millisecond)})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		is.Equal(f.OverlappingRuns(), "")
		is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000, MemoryMB: 64}), "")
		s.End()
		time.Sleep(time.Second)
	})
}

// Guards against start requests that wait in the queue of a thin link until they time out, so that runs are stopped and started
// again and fill the link further. Two jobs of eight tasks with long specifications arrive every 250 ms; their requests take
// 60% of the link, but those of two jobs take 150 ms, more than a request's timeout.
func TestThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs, tasks = 20, 8
		f, all := newFleet(12, 50*time.Millisecond)
		f.LinkBytesPerSecond = 250_000
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		for i := range jobs {
			m := &relay.Submit{Job: jobOf(fmt.Sprint("thin", i), tasks, 50*time.Millisecond)}
			m.Job.Spec = strings.Repeat("x", 2000)
			s.Submit(c, m)
			if i%2 == 1 {
				time.Sleep(250 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		for i := range jobs {
			is.True(completed(c, work.JobID(fmt.Sprint("thin", i)))())
		}
		is.Equal(len(f.Starts()), jobs*tasks) // no run was started again
		s.End()
		time.Sleep(time.Second) // for the last calls to end
	})
}

// Guards against start requests that collapse on longer paths between an instance and its endpoints: nothing is congested, so a job
// takes the time of the path longer, and no run is started again. The clock is virtual.
func TestLongPaths(t *testing.T) {
	for _, oneWay := range []time.Duration{5 * time.Millisecond, 12 * time.Millisecond, 40 * time.Millisecond} {
		t.Run(oneWay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const jobs, tasks, run = 100, 8, 50 * time.Millisecond
				f, all := newFleet(48, run)
				f.PathDelay = oneWay
				s, c := newShard(f, func() {}), newClient()
				s.Begin(shard.Term{Fence: 1, Partitions: 1})
				s.register(all)
				time.Sleep(2 * time.Second)
				for i := range jobs {
					s.Submit(c, &relay.Submit{Job: jobOf(fmt.Sprint("far", i), tasks, run)})
					time.Sleep(40 * time.Millisecond)
				}
				time.Sleep(run + 6*oneWay) // the last job has three round trips: a start, the end of a poll before it, and its report
				for i := range jobs {
					is.True(completed(c, work.JobID(fmt.Sprint("far", i)))())
				}
				is.True(len(f.Starts()) <= jobs*tasks+tasks) // only the first requests may time out, before response times are known
				s.End()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against a second run of a task whose start was confirmed at the very instant at which a report without it was requested, as on
// clocks of low resolution: that report may be older than the run. The clock is virtual, so starts, ends and polls share instants.
func TestReportOfTheSameInstant(t *testing.T) {
	for range 10 {
		inBubble(t, func() (*fleet.Fleet, []work.Endpoint) { return newFleet(8, 100*time.Millisecond) }, func(b *bubble) {
			for i := range 40 {
				for k := range 4 {
					b.s.Submit(b.c, &relay.Submit{Job: patientJob(fmt.Sprint("wave", i, "-", k), 4)})
				}
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Second)
			b.Equal(b.f.OverlappingRuns(), "")
		})
	}
}

// Guards against two simultaneous runs of a task when a start request gets no answer and is carried out later.
func TestLateStartRequest(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(3, 80*time.Millisecond)
	n := 0
	f.LoseAnswer = func(call string) (bool, time.Duration) {
		if call != "start" {
			return false, 0
		}
		n++
		return n%3 == 0, time.Duration(n%4) * 100 * time.Millisecond
	}
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	for i := range 6 {
		submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf(fmt.Sprint("late", i), 4, 80*time.Millisecond)})
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%+v", s.Dump())
		}
	})
	for i := range 6 {
		wait.For(t, "the job completes", completed(c, work.JobID(fmt.Sprint("late", i))))
	}
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against a cancel that belongs to an earlier submission of a job and ends the present one, and against answers that do not tell
// which submission they are about.
func TestCancelOfAnEarlierSubmission(t *testing.T) {
	is := is.New(t)
	f, _, s, c := newLeadingDispatcher(t, 1, 50*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 1, 50*time.Millisecond), Number: 4})
	s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 50*time.Millisecond), Number: 5})
	s.Cancel(c, &relay.Cancel{Job: "a", Number: 4})
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(c.answer("a").Number, relay.SubmissionNumber(5))
	is.Equal(len(f.Starts()), 1)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("b", 1, time.Hour), Number: 6})
	s.Cancel(c, &relay.Cancel{Job: "b"}) // of an instance of an earlier version
	is.Equal(len(s.Dump().Pool.Jobs), 0)
	s.End()
	s.Submit(c, &relay.Submit{Job: jobOf("c", 1, time.Hour), Number: 7})
	is.Equal(c.answer("c"), &relay.Answer{Job: "c", Number: 7, Refused: pool.ReasonNotLeader})
}

// Guards against tasks that run twice when a dispatcher replaces one that has no information about its successor, and
// against the loss of the runs that the earlier dispatcher had started.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(4, 400*time.Millisecond)
	before, c1 := newShard(f, func() {}), newClient()
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 8, 400*time.Millisecond)}
	submitUntilAccepted(t, before, c1, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 8 })
	after, c2 := newShard(f, func() {}), newClient()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	defer after.End()
	after.register(all)
	submitUntilAccepted(t, after, c2, &relay.Submit{Job: m.Job, Resumed: true})
	wait.For(t, "the job completes at the new dispatcher", completed(c2, "a"))
	is.Equal(len(f.Starts()), 8) // nothing was started again
	is.Equal(f.OverlappingRuns(), "")
	before.End()
}

// Guards against a second run of a task at a takeover when the endpoint that runs it is not registered at that moment.
func TestTakeoverUnregistered(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(2, 300*time.Millisecond)
	before, c1 := newShard(f, func() {}), newClient()
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 4, 300*time.Millisecond)}
	submitUntilAccepted(t, before, c1, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	before.End()
	after, c2 := newShard(f, func() {}), newClient()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	defer after.End()
	after.register(all[:1]) // the second endpoint is not registered
	submitUntilAccepted(t, after, c2, &relay.Submit{Job: m.Job, Resumed: true})
	wait.For(t, "the job completes", completed(c2, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against a second run of a task when the new dispatcher does not know the endpoint that runs it, because its last
// read of the registrations was before the term.
func TestTakeoverStaleRegistrations(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(2, 300*time.Millisecond)
	before, c1 := newShard(f, func() {}), newClient()
	after, c2 := newShard(f, func() {}), newClient()
	after.register(all[:1])
	after.skip(time.Minute) // so that it has followed the registrations for long enough
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 4, 300*time.Millisecond)}
	submitUntilAccepted(t, before, c1, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	before.End()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	t.Cleanup(after.End)
	submitUntilAccepted(t, after, c2, &relay.Submit{Job: m.Job, Resumed: true})
	wait.For(t, "the job completes", completed(c2, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against tasks that are lost or run twice when an endpoint falls silent and its lease expires.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 2, 300*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 4, 300*time.Millisecond)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	f.SetSilent(all[0].Address, true)
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against waiting for runs that an endpoint lost when it was restarted under the same name, and for its new registration.
func TestRestartedEndpoint(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 2, 200*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 4, 200*time.Millisecond)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	f.Restart(all[0].Address)
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
	is.Equal(s.replaced.Load(), int32(1)) // the registrations are read again, since the new process may have another one
}

// Guards against tasks that wait forever for runs without progress on an endpoint that still answers.
func TestHungTasks(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(2, 50*time.Millisecond)
	f.HangTasks(all[0].Address)
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 4, 50*time.Millisecond)})
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against runs that continue after their job was cancelled or the connection to its instance ended.
func TestCancelStopsRuns(t *testing.T) {
	is := is.New(t)
	f, _, s, c := newLeadingDispatcher(t, 2, time.Minute)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 2, time.Second)})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("b", 2, time.Second)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 4 })
	s.Cancel(c, &relay.Cancel{Job: "a"})
	wait.For(t, "the cancelled job's runs are stopped", func() bool { return f.Running() == 2 })
	s.ClientGone(c)
	wait.For(t, "no run is left", func() bool { return f.Running() == 0 })
	is.Equal(c.answer("a"), nil)
}

// Guards against a dispatcher that does not detect that endpoints have accepted a higher fence of another dispatcher.
func TestFenced(t *testing.T) {
	f, all := newFleet(1, 10*time.Millisecond)
	fenced := make(chan struct{}, 1000)
	before := newShard(f, func() {
		select {
		case fenced <- struct{}{}:
		default:
		}
	})
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	defer before.End()
	before.register(all)
	after, c := newShard(f, func() {}), newClient()
	after.Begin(shard.Term{Fence: 2, Partitions: 1})
	defer after.End()
	after.register(all)
	submitUntilAccepted(t, after, c, &relay.Submit{Job: jobOf("a", 2, 10*time.Millisecond)})
	wait.For(t, "the job completes", completed(c, "a"))
	select {
	case <-fenced:
	case <-time.After(20 * time.Second):
		t.Fatal("the earlier dispatcher did not notice the higher fence")
	}
}

// Guards against jobs that get no answer, or another answer than ReasonNotLeader, when the term ends while their tasks run.
func TestEndOfTerm(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(1, time.Second)
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	s.register(all)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 2, time.Second)})
	s.End()
	is.Equal(c.answer("a").Refused, pool.ReasonNotLeader)
	s.Submit(c, &relay.Submit{Job: jobOf("b", 1, time.Second)})
	is.Equal(c.answer("b").Refused, pool.ReasonNotLeader)
}

// Guards against overfilling an endpoint that was restarted under its name with less capacity, as long as only its old
// registration is known.
func TestEndpointRestartedWithLessCapacity(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(1, 30*time.Millisecond)
	s, c := newShard(f, func() {}), newClient()
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	all[0] = f.Resize(all[0].Address, all[0].Size) // registered with the start time of its process
	s.register(all)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 2, 30*time.Millisecond)})
	wait.For(t, "the first job completes", completed(c, "a"))
	f.SetSilent(all[0].Address, true)
	wait.For(t, "the endpoint gets no new runs", func() bool { return s.Pressure() > 100 })
	f.Restart(all[0].Address)
	smaller := f.Resize(all[0].Address, work.Size{MilliCPU: 1000, MemoryMB: 1024})
	for i := range 10 {
		s.Submit(c, &relay.Submit{Job: jobOf(fmt.Sprint("b", i), 2, 30*time.Millisecond)})
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000}), "")
	s.register([]work.Endpoint{smaller})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("c", 2, 30*time.Millisecond)})
	wait.For(t, "a job completes on the smaller endpoint", completed(c, "c"))
	is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000}), "")
}

// Guards against overfilling an endpoint when a dispatcher continues with a higher fence and another dispatcher has filled
// the endpoint under a fence in between.
func TestUsedByAnotherBetweenTwoFences(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 1, time.Second)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 1, time.Second)})
	wait.For(t, "the first job has ended", func() bool { return c.answer("a") != nil })
	other := f.Dial(all[0])
	report, refusal, err := other.RenewLease(t.Context(), work.LeaseRequest{Fence: 2})
	is.NoErr(err)
	is.Equal(refusal, work.Done)
	for i := range 2 {
		refusal, _, err = other.Start(t.Context(), work.StartRequest{
			Task: work.TaskID{Job: "other", Index: i}, Run: 1, Spec: "text", LeaseEnd: report.Clock + lease, Fence: 2,
		})
		is.NoErr(err)
		is.Equal(refusal, work.Done)
	}
	s.Begin(shard.Term{Fence: 3, Partitions: 1})
	s.Submit(c, &relay.Submit{Job: jobOf("b", 2, time.Second)})
	wait.For(t, "the job has run", func() bool { return c.answer("b") != nil || len(f.Starts()) > 3 })
	is.Equal(f.OverCapacity(work.Size{MilliCPU: 1000}), "")
}

// Guards against a dispatcher that has not read of its successor in the store, keeps its jobs and continues to poll
// endpoints that refuse it.
func TestTermEndsWhenEndpointsRefuseItsFence(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 3, time.Second)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 6, time.Second)})
	wait.For(t, "all tasks run", func() bool { return f.Running() == 6 })
	pollWithFence := func(e work.Endpoint, fence int64) {
		_, _, err := f.Dial(e).RenewLease(t.Context(), work.LeaseRequest{Fence: fence})
		is.NoErr(err)
	}
	pollWithFence(all[0], 2)
	time.Sleep(300 * time.Millisecond)
	is.True(s.Leading()) // one endpoint of three may have belonged to another partition
	pollWithFence(all[1], 2)
	wait.For(t, "the term ends", func() bool { return !s.Leading() })
	is.Equal(c.answer("a").Refused, pool.ReasonNotLeader)
	is.True(c.answer("a").Started)
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	is.True(!s.Leading()) // no term begins with the fence that was refused
	before := f.Renewals()
	time.Sleep(300 * time.Millisecond)
	is.Equal(f.Renewals(), before)
	s.Begin(shard.Term{Fence: 3, Partitions: 1})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("b", 1, 10*time.Millisecond)})
	wait.For(t, "a job has run under the next fence", completed(c, "b"))
}

// Guards against frequent refused polls and log lines for an endpoint that has seen a higher fence while most have not.
func TestEndpointWithHigherFenceIsPolledRarely(t *testing.T) {
	is := is.New(t)
	f, all := newFleet(3, time.Second)
	fenced := make(chan struct{}, 100)
	s := newShard(f, func() { fenced <- struct{}{} })
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	wait.For(t, "the endpoints are polled", func() bool { return f.Renewals() > 2 })
	_, _, err := f.Dial(all[0]).RenewLease(t.Context(), work.LeaseRequest{Fence: 2})
	is.NoErr(err)
	<-fenced
	begun := time.Now()
	const more = 3
	for range more {
		<-fenced
	}
	is.True(time.Since(begun) > (more-1)*200*time.Millisecond) // a slow machine can only make it longer
	c := newClient()
	s.Begin(shard.Term{Fence: 3, Partitions: 1})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 6, time.Second)})
	wait.For(t, "the job has run under the next fence", func() bool { return c.answer("a") != nil })
}

// Guards against an endpoint that becomes unusable for a poll because the answer to a poll with the earlier fence arrives
// after the report to the current fence.
func TestAnswerToTheEarlierFenceComesLate(t *testing.T) {
	is := is.New(t)
	_, _, s, _ := newLeadingDispatcher(t, 1, time.Second)
	usable := func() bool {
		all := s.Dump().Pool.Endpoints
		return len(all) == 1 && all[0].Usable
	}
	wait.For(t, "the endpoint is usable", usable)
	time.Sleep(20 * time.Millisecond) // by now the next poll waits at the endpoint
	s.Begin(shard.Term{Fence: 2, Partitions: 1})
	wait.For(t, "the endpoint has reported to the current fence", usable)
	for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		is.True(usable())
	}
}

// Guards against a second run of a task that another dispatcher started between two fences of this one. This dispatcher does
// not know of it, because the endpoint that runs the task has not reported to the current fence yet.
func TestResumedBetweenTwoFences(t *testing.T) {
	is := is.New(t)
	f, all, s, c := newLeadingDispatcher(t, 2, 300*time.Millisecond)
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("first", 4, 300*time.Millisecond)})
	wait.For(t, "the first job has ended", func() bool { return c.answer("first") != nil })
	s.skip(time.Minute) // so that the runs from before the term have long been known
	other := f.Dial(all[0])
	report, _, err := other.RenewLease(t.Context(), work.LeaseRequest{Fence: 2})
	is.NoErr(err)
	refusal, _, err := other.Start(t.Context(), work.StartRequest{
		Task: work.TaskID{Job: "a"}, Run: 1, Spec: "text", LeaseEnd: report.Clock + lease, Fence: 2,
	})
	is.NoErr(err)
	is.Equal(refusal, work.Done)
	f.SetSilent(all[0].Address, true) // so that it does not report
	s.Begin(shard.Term{Fence: 4, Partitions: 1})
	submitUntilAccepted(t, s, c, &relay.Submit{Job: jobOf("a", 1, 300*time.Millisecond), Resumed: true})
	time.Sleep(100 * time.Millisecond)
	f.SetSilent(all[0].Address, false)
	wait.For(t, "the job completes", completed(c, "a"))
	is.Equal(f.OverlappingRuns(), "")
}

// Guards against a second run of a task when the number of partitions has changed and the first run is on an endpoint that
// now belongs to another partition, whose dispatcher keeps the run for claimTime.
func TestResumedAfterDivision(t *testing.T) {
	is := is.New(t)
	const run = 1800 * time.Millisecond // longer than the lease and the time to detect the end of a term
	f, all := newFleet(12, run)         // twice the capacity that the job needs
	before, c := newShard(f, func() {}), newClient()
	before.Begin(shard.Term{Fence: 1, Partitions: 1})
	before.register(all)
	m := relay.Submit{Job: jobOf("a", 12, run)}
	submitUntilAccepted(t, before, c, &m)
	wait.For(t, "all tasks run", func() bool { return f.Running() == 12 })
	before.End()
	divided := func(part int) *dispatcher {
		d := newShardOf(f, part, func() {})
		d.register(all)
		d.skip(time.Minute) // so that it has followed the registrations for long enough
		d.Begin(shard.Term{Fence: 2, Partitions: 2, DividedAt: d.skip(0)})
		d.register(all)
		t.Cleanup(d.End)
		return d
	}
	first := divided(0)
	// The other dispatcher reads the division later, before the leases have expired.
	time.AfterFunc(600*time.Millisecond, func() { divided(1) })
	resumed := newClient()
	submitUntilAccepted(t, first, resumed, &relay.Submit{Job: m.Job, Resumed: true})
	wait.For(t, "the job completes", completed(resumed, "a"))
	is.Equal(f.OverlappingRuns(), "")
}
