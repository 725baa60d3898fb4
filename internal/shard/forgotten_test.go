package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// leave applies a read of the registrations after which an endpoint has none.
func (d *dispatcher) leave(e work.Endpoint) {
	r := shard.Registrations{Removed: []work.EndpointID{e.ID}, AsOf: d.now()}
	d.UpdateEndpoints(r, d.directory.Apply(r, d.now()))
}

// Guards against a second run of a task whose first run goes on at an endpoint that the successor does not know, because the endpoint's
// registration ended long ago and the run is long. The clock is virtual.
func TestResumedAfterALongRunOnAnEndpointWithoutRegistration(t *testing.T) {
	for _, test := range []struct {
		name    string
		follows time.Duration // from the end of the registration to when the successor's process starts; negative if it has started before
		pause   time.Duration // from the end of the registration to the takeover
	}{
		{"forgotten", -time.Second, 35 * time.Second},
		{"ended before the successor's process started", time.Second, 12 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const run = time.Minute
				f, all := newFleet(2, run)
				smallest(f, all)
				before, c := newShard(f, func() {}), newClient()
				before.Begin(shard.Term{Fence: 1, Partitions: 1})
				before.register(all)
				time.Sleep(time.Second)
				began := time.Now()
				before.Submit(c, &relay.Submit{Job: jobOf("a", 1, run)})
				time.Sleep(100 * time.Millisecond)
				after := newShard(f, func() {})
				if test.follows < 0 {
					after.register(all)
					time.Sleep(-test.follows)
					after.leave(all[1])
				}
				before.leave(all[1])
				left := time.Now()
				if test.follows >= 0 {
					time.Sleep(test.follows)
					after = newShard(f, func() {})
					after.register(all[:1])
				}
				for time.Since(left) < test.pause {
					time.Sleep(500 * time.Millisecond)
					before.follow()
					after.follow()
				}
				running := f.Running()
				after.takeOver(shard.Term{Fence: 2, Partitions: 1})
				time.Sleep(100 * time.Millisecond)
				before.End()
				time.Sleep(10 * time.Millisecond)
				after.follow()
				after.Submit(c, &relay.Submit{
					Job: jobOf("a", 1, run), Resumed: true, Partitions: 1, GivenBack: true, Lost: 10 * time.Millisecond, Waited: time.Since(began),
				})
				time.Sleep(10 * time.Second)
				after.End()
				time.Sleep(2 * run)
				is.Equal(running, 1)
				is.Equal(len(f.Starts()), 2)
				is.Equal(f.OverlappingRuns(), "")
			})
		})
	}
}
