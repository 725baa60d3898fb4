package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// A second request resumes a job at the successor of the dispatcher that the job's home has named: its instance has lost nothing itself, and
// its request is younger than the runs of the first one.

// resumedBySecondRequest is the submission of a second request that has just arrived, as gateway.follow causes it. The first request has arrived earlier.
func resumedBySecondRequest(job work.Job, earlier time.Duration) *relay.Submit {
	return &relay.Submit{Job: job, Number: 1, Request: 2, Knowledge: 1, Shared: true, Earlier: earlier, Waited: 10 * time.Millisecond}
}

// Guards against a second run of a task whose first run goes on at an endpoint that the successor does not know, because the endpoint's
// registration ended long ago: the time that counts is that of the first request. The clock is virtual.
func TestSecondRequestResumesALongRunOnAnEndpointWithoutRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = time.Minute
		f, all := newFleet(2, run)
		smallest(f, all)
		before, c := newShard(f, func() {}), newClient()
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		before.register(all)
		time.Sleep(time.Second)
		before.Submit(c, &relay.Submit{Job: jobOf("a", 1, run), Request: 1})
		time.Sleep(100 * time.Millisecond)
		after := newShard(f, func() {})
		after.register(all)
		time.Sleep(time.Second)
		after.leave(all[1])
		before.leave(all[1])
		for left := time.Now(); time.Since(left) < 35*time.Second; time.Sleep(500 * time.Millisecond) {
			before.follow()
			after.follow()
		}
		running := f.Running()
		after.takeOver(shard.Term{Fence: 2, Partitions: 1})
		time.Sleep(100 * time.Millisecond)
		before.End()
		time.Sleep(10 * time.Millisecond)
		after.follow()
		after.Submit(newClient(), resumedBySecondRequest(jobOf("a", 1, run), 37*time.Second))
		time.Sleep(300 * time.Millisecond)
		after.follow()
		time.Sleep(10 * time.Second)
		after.End()
		time.Sleep(2 * run)
		is.Equal(running, 1)
		is.Equal(f.OverlappingRuns(), "")
	})
}

// farDialer does not reach one endpoint.
type farDialer struct {
	*fleet.Fleet
	far string // address
}

func (d farDialer) Dial(e work.Endpoint) work.EndpointClient {
	if e.Address == d.far {
		e.Address = "nowhere"
	}
	return d.Fleet.Dial(e)
}

// Guards against a second run of a task whose first run goes on at an endpoint that the successor does not reach. The earlier dispatcher has
// not noticed the end of its term and goes on for the first request, whose instance has not lost it. The clock is virtual.
func TestSecondRequestWhileTheFirstOnesDispatcherGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 5 * time.Second
		f, all := newFleet(2, run)
		smallest(f, all)
		before, c := newShard(f, func() {}), newClient()
		before.followed(all)
		before.Begin(shard.Term{Fence: 1, Partitions: 1})
		time.Sleep(time.Second)
		before.Submit(c, &relay.Submit{Job: jobOf("a", 1, run), Request: 1})
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.Starts()[0].Endpoint, all[1].ID)
		after := newShardWith(f, func(o *shard.Options) { o.Dialer = farDialer{f, all[1].Address} })
		after.followed(all)
		after.takeOver(shard.Term{Fence: 2, Partitions: 1})
		time.Sleep(50 * time.Millisecond)
		after.Submit(newClient(), resumedBySecondRequest(jobOf("a", 1, run), 150*time.Millisecond))
		time.Sleep(2 * run)
		before.End()
		after.End()
		is.Equal(f.OverlappingRuns(), "")
	})
}
