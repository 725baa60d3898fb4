package shard_test

import (
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

// drainTime is the time after which an endpoint that has announced that it leaves must get no new runs.
const drainTime = 2 * time.Second

// newShardThatFollows returns a dispatcher with a limit for the age of its registrations, and its number of requests for a read.
func newShardThatFollows(f *fleet.Fleet) (*dispatcher, *atomic.Int32) {
	requests := &atomic.Int32{}
	d := newShardWith(f, func(o *shard.Options) {
		o.RegistrationAge = shard.RegistrationAgeWithin(drainTime)
		o.OnOutdated = func() { requests.Add(1) }
	})
	return d, requests
}

// read applies a read of the registrations that begins and ends now.
func (d *dispatcher) read(now time.Duration, changed ...work.Endpoint) {
	r := shard.Registrations{Changed: changed, Snapshot: true, AsOf: now}
	d.UpdateEndpoints(r, d.directory.Apply(r, now))
}

// Guards against starts on an endpoint that has announced for longer than the drain time that it leaves, by a dispatcher that has
// not read it yet, in whatever way it has come to dispatch on registrations of three seconds ago.
func TestNoStartOnOutdatedRegistrations(t *testing.T) {
	for name, becomeOutdated := range map[string]func(d *dispatcher){
		"a term begins":       func(d *dispatcher) { time.Sleep(3 * time.Second); d.Begin(shard.Term{Fence: 1, Partitions: 1}) },
		"a term goes on":      func(d *dispatcher) { d.Begin(shard.Term{Fence: 1, Partitions: 1}); time.Sleep(3 * time.Second) },
		"the fence is raised": func(d *dispatcher) { beginTwice(d, shard.Term{Fence: 2, Partitions: 1}) },
		"a partition comes back": func(d *dispatcher) {
			d.Begin(shard.Term{Fence: 1, Partitions: 1})
			d.End()
			beginTwice(d, shard.Term{Fence: 3, Partitions: 1})
		},
		"the zone is divided": func(d *dispatcher) { beginTwice(d, shard.Term{Fence: 2, Partitions: 2}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, all := newFleet(8, 100*time.Millisecond)
				d, requests := newShardThatFollows(f)
				began := time.Now()
				d.read(0, all...)
				becomeOutdated(d)
				defer d.End()
				time.Sleep(500 * time.Millisecond) // the endpoints report
				d.Submit(newClient(), &relay.Submit{Job: jobOf("x", 2, 100*time.Millisecond)})
				time.Sleep(500 * time.Millisecond)
				is.Equal(len(f.Starts()), 0)
				is.True(requests.Load() > 0)
				stays := leaveOne(all)
				d.read(time.Since(began), all...)
				time.Sleep(500 * time.Millisecond)
				is.Equal(len(f.Starts()), 2)
				for _, s := range f.Starts() {
					is.Equal(s.Endpoint, stays)
				}
			})
		})
	}
}

// leaveOne makes all endpoints but one leave, and returns that one. It belongs to partition 0 also if there are two.
func leaveOne(all []work.Endpoint) work.EndpointID {
	var stays work.EndpointID
	for i, e := range all {
		all[i].Draining = stays != "" || shard.PartitionOf(string(e.ID), 2) != 0
		if !all[i].Draining {
			stays = e.ID
		}
	}
	return stays
}

// beginTwice begins a term, and another one three seconds later.
func beginTwice(d *dispatcher, second shard.Term) {
	d.Begin(shard.Term{Fence: 1, Partitions: 1})
	time.Sleep(3 * time.Second)
	d.Begin(second)
}

// Guards against callers that wait while the store cannot be read: no endpoint can announce then that it leaves.
func TestStartsWhileRegistrationsCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(2, 100*time.Millisecond)
		d, _ := newShardThatFollows(f)
		d.read(0, all...)
		time.Sleep(3 * time.Second)
		d.directory.ReadFailed()
		d.Begin(shard.Term{Fence: 1, Partitions: 1})
		defer d.End()
		time.Sleep(500 * time.Millisecond)
		c := newClient()
		d.Submit(c, &relay.Submit{Job: jobOf("x", 2, 100*time.Millisecond)})
		time.Sleep(500 * time.Millisecond)
		is.True(completed(c, "x")())
	})
}

// Guards against an age with which a run starts later than the drain time after the announcement of its endpoint, and against reads
// so far apart that a dispatcher waits for them in normal operation, also if one of them is late.
func TestRegistrationAge(t *testing.T) {
	is := is.New(t)
	const longestStart = 500 * time.Millisecond
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		age := shard.RegistrationAgeWithin(drain)
		is.True(age > 0)
		is.True(age+longestStart <= drain)
		is.True(2*shard.ReadInterval(age) <= age)
	}
	is.True(shard.RegistrationAgeWithin(0) > 0)
	is.True(shard.RegistrationAgeWithin(100*time.Millisecond) < 100*time.Millisecond)
}
