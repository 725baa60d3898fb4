package shard_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// follow applies a read of the registrations that begins and ends now and has the changes since the read before.
func (d *dispatcher) follow(changed ...work.Endpoint) {
	r := shard.Registrations{Changed: changed, AsOf: d.now()}
	d.UpdateEndpoints(r, d.directory.Apply(r, d.now()))
}

// followed lets a dispatcher that knows some endpoints have followed the registrations for a long time.
func (d *dispatcher) followed(all []work.Endpoint) {
	d.register(all)
	d.skip(time.Minute)
}

// takeOver begins a term with a read of the registrations that begins during it.
func (d *dispatcher) takeOver(t shard.Term) {
	d.Begin(t)
	time.Sleep(time.Millisecond)
	d.follow()
}

// settled reports whether a dispatcher shows its fence as settled.
func (d *dispatcher) settled() bool { return d.Dump().Settled }

// smallest makes the last endpoint the smallest, so that a dispatcher prefers it for a task that fits.
func smallest(f *fleet.Fleet, all []work.Endpoint) {
	last := &all[len(all)-1]
	*last = f.SetCapacity(last.Address, work.Size{MilliCPU: 1000, MemoryMB: 1024})
}

// Guards against a second run of a task whose first run goes on at an endpoint that registered after the successor had settled. The earlier
// dispatcher has not noticed yet that it has lost its partition, since its polls wait at the endpoints that would refuse it. The clock is
// virtual.
func TestResumedWhileTheEarlierDispatcherUsesANewEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(3, 400*time.Millisecond)
		smallest(f, all)
		before, c1 := newShard(f, func() {}), newClient()
		var after *dispatcher
		after = newShardWith(f, func(o *shard.Options) { o.OnOutdated = func() { go after.follow(all...) } })
		c2 := newClient()
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		before.register(all[:2])
		after.followed(all[:2])
		time.Sleep(910 * time.Millisecond) // the polls of the earlier dispatcher have just begun to wait
		after.takeOver(shard.Term{Fence: 2, Partitions: 1})
		time.Sleep(100 * time.Millisecond)
		settled := after.settled()
		before.follow(all[2])
		time.Sleep(20 * time.Millisecond)
		m := relay.Submit{Job: jobOf("a", 1, 400*time.Millisecond)}
		before.Submit(c1, &m)
		time.Sleep(20 * time.Millisecond)
		first := f.Starts()
		c1.fallSilent()
		time.Sleep(50 * time.Millisecond)
		after.Submit(c2, &relay.Submit{Job: m.Job, Resumed: true, Partitions: 1, Lost: 50 * time.Millisecond})
		time.Sleep(300 * time.Millisecond)
		after.follow(all...)
		time.Sleep(time.Second)
		after.End()
		before.End()
		time.Sleep(2 * time.Second)
		is.True(settled)
		is.Equal(len(first), 1)
		is.Equal(first[0].Endpoint, all[2].ID)
		is.Equal(f.OverlappingRuns(), "")
		is.True(completed(c2, "a")())
	})
}

// partialDialer reaches all endpoints of a fleet but those of some addresses.
type partialDialer struct {
	*fleet.Fleet
	unreachable map[string]bool
}

func (d partialDialer) Dial(e work.Endpoint) work.EndpointClient {
	if d.unreachable[e.Address] {
		e.Address = "nowhere"
	}
	return d.Fleet.Dial(e)
}

// Guards against a second run of a task whose first run goes on at an endpoint that the successor does not reach and the earlier
// dispatcher does. Fewer than half of its endpoints refuse that one, and its jobs have callers, so it extends the leases. The clock is
// virtual.
func TestResumedWhileTheEarlierDispatcherExtendsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 20 * time.Second
		f, all := newFleet(2, run)
		smallest(f, all)
		before, c1 := newShard(f, func() {}), newClient()
		after := newShardWith(f, func(o *shard.Options) { o.Dialer = partialDialer{f, map[string]bool{all[1].Address: true}} })
		c2 := newClient()
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		before.register(all)
		time.Sleep(time.Second)
		m := relay.Submit{Job: jobOf("a", 1, run)}
		before.Submit(c1, &m)
		after.followed(all)
		after.takeOver(shard.Term{Fence: 2, Partitions: 1})
		time.Sleep(4 * time.Second)
		first, leads := f.Running(), before.Leading()
		c1.fallSilent()
		const lost = 300 * time.Millisecond
		time.Sleep(lost)
		after.follow(all...)
		after.Submit(c2, &relay.Submit{Job: m.Job, Resumed: true, Partitions: 1, Lost: lost})
		time.Sleep(2 * time.Second)
		second := f.Running()
		after.End()
		before.End()
		time.Sleep(2 * run)
		is.Equal(first, 1)
		is.True(leads)
		is.Equal(second, 1) // the task has started again when the lease was over
		is.Equal(f.OverlappingRuns(), "")
	})
}

// Guards against a second run of a task whose first run goes on at an endpoint of another partition: the zone was divided, and the earlier
// dispatcher, which has not read of it, still uses the endpoints of a partition that nobody has taken over. The clock is virtual.
func TestResumedWhileTheEarlierDispatcherDividesOtherwise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 20 * time.Second
		f, all := newFleet(12, run)
		var mine, others []work.Endpoint
		for _, e := range all {
			if shard.PartitionOf(string(e.ID), 2) == 0 {
				mine = append(mine, e)
			} else {
				others = append(others, e)
			}
		}
		n := min(len(mine), len(others))
		all = append(mine[:n:n], others[:n]...) // half of the endpoints refuse the earlier dispatcher, which is not enough to end its term
		smallest(f, all)
		before, c1 := newShard(f, func() {}), newClient()
		after, c2 := newShard(f, func() {}), newClient()
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		before.register(all)
		time.Sleep(time.Second)
		m := relay.Submit{Job: jobOf("a", 1, run)}
		before.Submit(c1, &m)
		after.followed(all)
		after.takeOver(shard.Term{Fence: 2, Partitions: 2, DividedAt: after.now()})
		time.Sleep(4 * time.Second)
		first, leads := f.Running(), before.Leading()
		c1.fallSilent()
		const lost = 300 * time.Millisecond
		time.Sleep(lost)
		after.follow(all...)
		after.Submit(c2, &relay.Submit{Job: m.Job, Resumed: true, Partitions: 2, Lost: lost})
		time.Sleep(2 * time.Second)
		second := f.Running()
		after.End()
		before.End()
		time.Sleep(2 * run)
		is.Equal(first, 1)
		is.True(leads)
		is.Equal(second, 1) // the task has started again when the lease was over
		is.Equal(f.OverlappingRuns(), "")
	})
}

// successor is a dispatcher that has just taken over the endpoints of a fleet and has followed the registrations for a long time. It reads
// them when it requests it.
type successor struct {
	*dispatcher
	reads atomic.Int32 // reads that it has requested
}

func newSuccessor(f *fleet.Fleet, all []work.Endpoint) *successor {
	s := &successor{}
	s.dispatcher = newShardWith(f, func(o *shard.Options) {
		o.OnOutdated = func() {
			s.reads.Add(1)
			go s.follow()
		}
	})
	s.followed(all)
	s.takeOver(shard.Term{Fence: 2, Partitions: 1})
	return s
}

// Guards against resumed jobs that wait although the runs of their earlier dispatcher are known. What a job has to wait at least is
// the rest of the time in which that dispatcher may still order runs. The clock is virtual.
func TestResumedJobWaitsNoLongerThanNecessary(t *testing.T) {
	const abandonTime, round = 200 * time.Millisecond, 60 * time.Millisecond // a round of periodic checks and a read
	for _, test := range []struct {
		name        string
		lost        time.Duration // when the job is submitted
		givenBack   bool
		read        time.Duration // time between the last read and the submission
		least, most time.Duration
		reads       int32
	}{
		{"lost before the last read", 500 * time.Millisecond, false, 100 * time.Millisecond, 0, time.Millisecond, 0},
		{"given back before the last read", 200 * time.Millisecond, true, 100 * time.Millisecond, 0, time.Millisecond, 0},
		{"lost since the last read", 300 * time.Millisecond, false, 200 * time.Millisecond, 0, round, 1},
		{"just given back", 0, true, 100 * time.Millisecond, 0, round, 1},
		{"just lost", 0, false, 100 * time.Millisecond, abandonTime, abandonTime + round, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(3, 10*time.Millisecond)
				s, c := newSuccessor(f, all), newClient()
				time.Sleep(time.Second)
				s.follow()
				time.Sleep(test.read)
				began := time.Now()
				for _, id := range []string{"a", "b", "c"} {
					s.Submit(c, &relay.Submit{Job: jobOf(id, 1, 10*time.Millisecond), Resumed: true, Partitions: 1, Lost: test.lost, GivenBack: test.givenBack})
				}
				time.Sleep(3 * time.Second)
				s.End()
				time.Sleep(time.Second)
				is.Equal(len(f.Starts()), 3)
				for _, start := range f.Starts() {
					waited := start.StartedAt.Sub(began)
					is.True(waited >= test.least)
					is.True(waited <= test.most)
				}
				is.Equal(s.reads.Load(), test.reads)
			})
		})
	}
}

// Guards against reads of the registrations that help nobody: a resumed job waits for an endpoint that does not answer. It starts when the
// leases of its earlier dispatcher are over. The clock is virtual.
func TestResumedJobWaitsForASilentEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(3, 10*time.Millisecond)
		f.SetSilent(all[2].Address, true)
		s, c := newSuccessor(f, all), newClient()
		time.Sleep(time.Second)
		s.follow()
		const lost = 300 * time.Millisecond
		began := time.Now()
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 10*time.Millisecond), Resumed: true, Partitions: 1, Lost: lost})
		time.Sleep(3 * time.Second)
		s.End()
		time.Sleep(time.Second)
		is.Equal(len(f.Starts()), 1)
		waited := f.Starts()[0].StartedAt.Sub(began)
		is.True(waited >= 200*time.Millisecond+lease-lost)
		is.True(waited <= 1350*time.Millisecond-lost)
		is.Equal(s.reads.Load(), int32(0))
	})
}

// Guards against a second run of a task whose first run is on an endpoint that the dispatcher has dropped as silent and unregistered, when
// another dispatcher has used the endpoint between two fences of this one. The clock is virtual.
func TestResumedAfterUseOfADroppedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 900*time.Millisecond)
		c := newClient()
		var s *dispatcher
		s = newShardWith(f, func(o *shard.Options) { o.OnOutdated = func() { go s.follow() } })
		s.followed(all)
		s.takeOver(shard.Term{Fence: 1, Partitions: 1})
		time.Sleep(time.Second)
		f.SetSilent(all[1].Address, true)
		r := shard.Registrations{Removed: []work.EndpointID{all[1].ID}, AsOf: s.now()}
		s.UpdateEndpoints(r, s.directory.Apply(r, s.now()))
		time.Sleep(5 * time.Second)
		left := len(s.Dump().Pool.Endpoints)
		f.SetSilent(all[1].Address, false)
		startElsewhere(t, f, all[1], 2, work.TaskID{Job: "a"})
		s.takeOver(shard.Term{Fence: 3, Partitions: 1})
		time.Sleep(200 * time.Millisecond)
		s.follow()
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 900*time.Millisecond), Resumed: true, Partitions: 1, Lost: 200 * time.Millisecond})
		time.Sleep(4 * time.Second)
		s.End()
		time.Sleep(2 * time.Second)
		is.Equal(left, 1)
		is.Equal(f.OverlappingRuns(), "")
		is.True(completed(c, "a")())
	})
}

// startElsewhere starts a run as another dispatcher does that holds a fence.
func startElsewhere(t *testing.T, f *fleet.Fleet, e work.Endpoint, fence int64, task work.TaskID) {
	t.Helper()
	other := f.Dial(e)
	report, _, err := other.RenewLease(context.Background(), work.LeaseRequest{Fence: fence})
	if err != nil {
		t.Fatal(err)
	}
	refusal, _, err := other.Start(context.Background(), work.StartRequest{Task: task, Run: 1, Spec: "text", LeaseEnd: report.Clock + lease, Fence: fence})
	if err != nil || refusal != work.Done {
		t.Fatal(refusal, err)
	}
}

// Guards against a second run of a task whose first run was started by another dispatcher in the new process of an endpoint, which does
// not know the fence that the process before has reported to. The clock is virtual.
func TestResumedAfterUseOfARestartedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 400 * time.Millisecond
		f, all := newFleet(2, run)
		for i, e := range all {
			all[i] = f.Resize(e.Address, e.Size) // registered with the start time of its process
		}
		s, c := newSuccessor(f, all), newClient()
		time.Sleep(910 * time.Millisecond) // the polls have just begun to wait
		known := s.settled()
		f.Restart(all[1].Address)
		all[1] = f.Resize(all[1].Address, all[1].Size)
		startElsewhere(t, f, all[1], 1, work.TaskID{Job: "a"})
		time.Sleep(50 * time.Millisecond)
		s.follow(all[1])
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, run), Resumed: true, Partitions: 1, Lost: 220 * time.Millisecond})
		time.Sleep(3 * time.Second)
		s.End()
		time.Sleep(2 * time.Second)
		is.True(known)
		is.Equal(f.OverlappingRuns(), "")
		is.True(completed(c, "a")())
	})
}

// Guards against resumed jobs that wait for an endpoint that has left after its report to the present fence. The clock is virtual.
func TestResumedJobDoesNotWaitForAnEndpointThatHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 10*time.Millisecond)
		s, c := newSuccessor(f, all), newClient()
		time.Sleep(time.Second)
		f.SetSilent(all[1].Address, true)
		r := shard.Registrations{Removed: []work.EndpointID{all[1].ID}, AsOf: s.now()}
		s.UpdateEndpoints(r, s.directory.Apply(r, s.now()))
		for range 2 {
			time.Sleep(5 * time.Second)
			s.follow()
			began := time.Now()
			s.Submit(c, &relay.Submit{Job: jobOf(began.String(), 1, 10*time.Millisecond), Resumed: true, Partitions: 1, Lost: 300 * time.Millisecond})
			time.Sleep(100 * time.Millisecond)
			starts := f.Starts()
			is.Equal(starts[len(starts)-1].StartedAt, began)
		}
		left := len(s.Dump().Pool.Endpoints)
		s.End()
		time.Sleep(time.Second)
		is.Equal(left, 1)
	})
}

// Guards against jobs that wait for the end of leases when their dispatcher is the one that held them before, after a reset of the
// connection: it knows its own runs, also if the store cannot be read or an endpoint has never answered. The clock is virtual.
func TestResumedAtTheSameDispatcher(t *testing.T) {
	const at = 300 * time.Millisecond // after the loss
	for _, test := range []struct {
		name     string
		first    relay.Submit
		again    relay.Submit
		starts   time.Duration // after the second submission
		starting time.Duration // tolerance
	}{
		{"the same", relay.Submit{Request: 7, Number: 1}, relay.Submit{Request: 7, Number: 2, Previous: 1, Resumed: true, Partitions: 1, Lost: at}, 0, 50 * time.Millisecond},
		{
			"another one between", relay.Submit{Request: 7, Number: 1}, relay.Submit{Request: 7, Number: 3, Previous: 2, Resumed: true, Partitions: 1, Lost: at},
			1280*time.Millisecond - at, 50 * time.Millisecond,
		},
		{
			"another request", relay.Submit{Request: 7, Number: 1}, relay.Submit{Request: 8, Number: 2, Previous: 1, Resumed: true, Partitions: 1, Lost: at},
			1280*time.Millisecond - at, 50 * time.Millisecond,
		},
		{
			"an instance without numbers", relay.Submit{}, relay.Submit{Resumed: true, Partitions: 1, Lost: at},
			1280*time.Millisecond - at, 50 * time.Millisecond,
		},
		{
			// The job was lost by a third dispatcher just before the first submission, and still waits for that one's leases.
			"the same, which has waited itself", relay.Submit{Request: 7, Number: 2, Resumed: true, Partitions: 1}, relay.Submit{Request: 7, Number: 3, Previous: 2, Resumed: true, Partitions: 1, Lost: at},
			1280*time.Millisecond - at - 100*time.Millisecond, 50 * time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(2, time.Second)
				f.SetSilent(all[1].Address, true)
				s, c1, c2 := newSuccessor(f, all), newClient(), newClient()
				time.Sleep(1010 * time.Millisecond)
				job := jobOf("a", 1, time.Second)
				test.first.Job, test.again.Job = job, job
				s.Submit(c1, &test.first)
				time.Sleep(100 * time.Millisecond)
				s.ClientGone(c1)
				time.Sleep(at)
				began, before := time.Now(), len(f.Starts())
				s.Submit(c2, &test.again)
				time.Sleep(4 * time.Second)
				s.End()
				time.Sleep(2 * time.Second)
				is.Equal(f.OverlappingRuns(), "")
				starts := f.Starts()
				is.Equal(len(starts), before+1)
				waited := starts[before].StartedAt.Sub(began)
				is.True(waited >= test.starts)
				is.True(waited <= test.starts+test.starting)
			})
		})
	}
}
