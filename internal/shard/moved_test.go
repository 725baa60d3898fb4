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

// newAddress is the address of an endpoint that has moved.
const newAddress = "10.0.1.1:80"

// movedDialer reaches an endpoint that has moved at its new address.
type movedDialer struct {
	*fleet.Fleet
	to string // address in the fleet
}

func (d movedDialer) Dial(e work.Endpoint) work.EndpointClient {
	if e.Address == newAddress {
		e.Address = d.to
	}
	return d.Fleet.Dial(e)
}

// Guards against a second run of a task whose endpoint has registered with another address while its process, or one that cannot be told
// from it, goes on, and against tasks that wait for the end of a lease although their process has ended. The clock is virtual.
func TestMovedEndpoint(t *testing.T) {
	const run = 1500 * time.Millisecond
	const leaseOver = 1080 * time.Millisecond // the longest lease on the slowest clock, with its margin
	for _, test := range []struct {
		name    string
		to      string                                              // address in the fleet at which the new address is reached
		move    func(f *fleet.Fleet, e work.Endpoint) work.Endpoint // returns the new registration
		starts  int
		between func(pause time.Duration) bool // accepts the time from the move to the second start
	}{
		{"the same process", "10.0.0.1:80", func(_ *fleet.Fleet, e work.Endpoint) work.Endpoint {
			return e
		}, 1, nil},
		{"an unknown process", "10.0.0.1:80", func(_ *fleet.Fleet, e work.Endpoint) work.Endpoint {
			e.StartedUnixMS = 0
			return e
		}, 1, nil},
		{"an unknown process that does not answer", "nowhere", func(_ *fleet.Fleet, e work.Endpoint) work.Endpoint {
			e.StartedUnixMS = 0
			return e
		}, 2, func(pause time.Duration) bool { return pause > 0 && pause < leaseOver+300*time.Millisecond }},
		{"another process", "10.0.0.1:80", func(f *fleet.Fleet, e work.Endpoint) work.Endpoint {
			f.Restart(e.Address)
			return f.Resize(e.Address, e.Size)
		}, 2, func(pause time.Duration) bool { return pause == 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(2, run)
				smallest(f, all)
				all[1] = f.Resize(all[1].Address, all[1].Size)
				s, c := newShardWith(f, func(o *shard.Options) { o.Dialer = movedDialer{f, test.to} }), newClient()
				s.Begin(shard.Term{Fence: 1, Partitions: 1})
				s.register(all)
				time.Sleep(time.Second)
				s.Submit(c, &relay.Submit{Job: jobOf("a", 1, run)})
				time.Sleep(100 * time.Millisecond)
				first := f.Starts()
				moved := test.move(f, all[1])
				moved.Address = newAddress
				at := time.Now()
				s.follow(moved)
				time.Sleep(4 * time.Second)
				s.End()
				time.Sleep(2 * time.Second)
				is.Equal(len(first), 1)
				is.Equal(first[0].Endpoint, all[1].ID)
				starts := f.Starts()
				is.Equal(f.OverlappingRuns(), "")
				is.Equal(len(starts), test.starts)
				if len(starts) > 1 {
					is.True(test.between(starts[1].StartedAt.Sub(at)))
				}
				is.True(completed(c, "a")())
			})
		})
	}
}

// Guards against a crash of the dispatcher when an endpoint's registration is replaced before its first poll.
func TestEndpointReplacedBeforeItsFirstPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 10*time.Millisecond)
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		before := all[0]
		before.Address, before.StartedUnixMS = newAddress, 1
		now := f.Resize(all[0].Address, all[0].Size)
		s.follow(before, now)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 10*time.Millisecond)})
		time.Sleep(time.Second)
		s.End()
		time.Sleep(time.Second)
		is.True(completed(c, "a")())
	})
}
