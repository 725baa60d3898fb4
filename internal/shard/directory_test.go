package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

func everywhere(work.Endpoint) bool { return true }

// Guards against a takeover that treats its list of endpoints as complete although changes between two reads were lost, or
// although the list was read before the term began.
func TestDirectoryComplete(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Apply(Registrations{Snapshot: true, AsOf: 0}, 0)
	is.Equal(d.view(everywhere, minFollowTime).asOf, time.Duration(0)) // not read since
	d.Apply(Registrations{AsOf: minFollowTime}, minFollowTime)
	is.True(d.view(everywhere, minFollowTime).complete)
	is.Equal(d.view(everywhere, minFollowTime).asOf, minFollowTime)
	is.True(!d.view(everywhere, minFollowTime-1).complete) // not followed for long enough
	d.Apply(Registrations{Snapshot: true, AsOf: 2 * minFollowTime}, 2*minFollowTime)
	is.True(!d.view(everywhere, 2*minFollowTime).complete) // changes since the read before are not known
}

// Guards against forgetting ended registrations of endpoints that an earlier dispatcher may still use, and against keeping
// them forever.
func TestDirectoryKeepsEndedRegistrations(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	a := work.Endpoint{ID: "a", Zone: "north"}
	removed := d.Apply(Registrations{Changed: []work.Endpoint{a}, Removed: []work.EndpointID{"a"}}, 0)
	is.Equal(removed, []work.EndpointID{"a"})
	is.Equal(len(d.matching(everywhere)), 1)
	is.True(!d.matching(everywhere)[0].present)
	d.Apply(Registrations{}, endedRetention+1)
	is.Equal(len(d.matching(everywhere)), 0)
}

// Guards against partitions of very different sizes.
func TestPartitionOf(t *testing.T) {
	is := is.New(t)
	sizes := map[int]int{}
	for i := range 117 {
		sizes[PartitionOf(fmt.Sprint("e", i), 4)]++
	}
	for part := range 4 {
		is.True(sizes[part] >= 15 && sizes[part] <= 45) // the names are spread about evenly
	}
}

// Guards against counting endpoints of other zones, or endpoints whose registrations have ended, when the number of a zone's
// partitions is determined.
func TestDirectoryCount(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Apply(Registrations{Changed: []work.Endpoint{{ID: "a", Zone: "north"}, {ID: "b", Zone: "north"}, {ID: "c", Zone: "south"}}}, 0)
	is.Equal(d.Count("north"), 2)
	d.Apply(Registrations{Removed: []work.EndpointID{"a"}}, 0)
	is.Equal(d.Count("north"), 1)
}

// Guards against a zone that has no endpoints for seconds after each outage of the store because their registrations ended
// during the outage, and against using endpoints that have really gone for longer than reregisterTime.
func TestRegistrationsAfterOutage(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	a, b := work.Endpoint{ID: "a", Zone: "north"}, work.Endpoint{ID: "b", Zone: "north"}
	d.Apply(Registrations{Changed: []work.Endpoint{a, b}}, 0)
	back := time.Minute
	is.Equal(len(d.Apply(Registrations{Removed: []work.EndpointID{"a"}, Recovered: true}, back)), 0)
	is.Equal(len(d.Apply(Registrations{Removed: []work.EndpointID{"b"}}, back+time.Second)), 0)
	is.Equal(d.Missing(), 2)
	is.Equal(d.Count("north"), 2)
	is.Equal(len(d.Apply(Registrations{Changed: []work.Endpoint{a}}, back+2*time.Second)), 0) // a has registered again
	is.Equal(d.Apply(Registrations{}, back+reregisterTime), []work.EndpointID{"b"})
	is.Equal(d.Missing(), 0)
	is.Equal(d.Apply(Registrations{Removed: []work.EndpointID{"a"}}, back+reregisterTime), []work.EndpointID{"a"}) // no outage
}

// Guards against a zone without endpoints after an outage of the store, as above, when the first read after the outage is a
// complete one because the changes in between are not known.
func TestRegistrationsAfterOutageWithoutHistory(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	a, b := work.Endpoint{ID: "a", Zone: "north"}, work.Endpoint{ID: "b", Zone: "north"}
	d.Apply(Registrations{Changed: []work.Endpoint{a, b}, Snapshot: true}, 0)
	is.Equal(len(d.Apply(Registrations{Changed: []work.Endpoint{a}, Snapshot: true, Recovered: true}, time.Minute)), 0)
	is.Equal(d.Missing(), 1)
	is.Equal(d.Apply(Registrations{}, time.Minute+reregisterTime), []work.EndpointID{"b"})
}

// Guards against an instance that treats the registrations as complete although it started during an outage of the store.
func TestDirectoryEndpointsKnown(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.True(!d.EndpointsKnown(0))
	d.Apply(Registrations{Snapshot: true}, 0)
	is.True(d.EndpointsKnown(0))
	d.Apply(Registrations{Snapshot: true, Recovered: true}, time.Minute)
	is.True(d.EndpointsKnown(time.Minute)) // the endpoints from before the outage are still known
	late := NewDirectory()
	late.Apply(Registrations{Snapshot: true, Recovered: true}, 0)
	is.True(!late.EndpointsKnown(reregisterTime - 1))
	is.True(late.EndpointsKnown(reregisterTime))
}
