package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

func everywhere(work.Endpoint) bool { return true }

// Guards against a takeover that takes its list of endpoints for complete although records between two reads are lost, or
// although the list is older than the term.
func TestDirectoryComplete(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Apply(Registrations{Whole: true, AsOf: 0}, 0)
	is.True(!d.complete(0, minMemory)) // not read since
	d.Apply(Registrations{AsOf: minMemory}, minMemory)
	is.True(d.complete(time.Second, minMemory))
	is.True(!d.complete(time.Second, minMemory-1)) // not followed for long enough
	d.Apply(Registrations{Whole: true, AsOf: 2 * minMemory}, 2*minMemory)
	is.True(!d.complete(time.Second, 2*minMemory)) // the history was lost
}

// Guards against forgetting endpoints that an earlier dispatcher may still use, and against keeping them for ever.
func TestDirectoryRemembers(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	a := work.Endpoint{ID: "a", Zone: "north"}
	removed := d.Apply(Registrations{Changed: []work.Endpoint{a}, Removed: []work.EndpointID{"a"}}, 0)
	is.Equal(removed, []work.EndpointID{"a"})
	is.Equal(len(d.known(everywhere)), 1)
	is.True(!d.known(everywhere)[0].present)
	d.Apply(Registrations{}, listedMemory+1)
	is.Equal(len(d.known(everywhere)), 0)
}

// Guards against partitions of very different sizes.
func TestPartitionOf(t *testing.T) {
	is := is.New(t)
	sizes := map[int]int{}
	for i := range 117 {
		sizes[PartitionOf(fmt.Sprint("e", i), 4)]++
	}
	for part := range 4 {
		is.True(sizes[part] >= 15 && sizes[part] <= 45) // the names spread
	}
}

// Guards against counting endpoints of other zones, and those whose registrations have ended, when a zone is divided.
func TestDirectoryCount(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Apply(Registrations{Changed: []work.Endpoint{{ID: "a", Zone: "north"}, {ID: "b", Zone: "north"}, {ID: "c", Zone: "south"}}}, 0)
	is.Equal(d.Count("north"), 2)
	d.Apply(Registrations{Removed: []work.EndpointID{"a"}}, 0)
	is.Equal(d.Count("north"), 1)
}

// Guards against a zone without endpoints for seconds after each outage of the store, whose end their registrations miss,
// and against using endpoints for longer that have gone for good.
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
	is.Equal(len(d.Apply(Registrations{Changed: []work.Endpoint{a}}, back+2*time.Second)), 0) // a is back
	is.Equal(d.Apply(Registrations{}, back+relistTime), []work.EndpointID{"b"})
	is.Equal(d.Missing(), 0)
	is.Equal(d.Apply(Registrations{Removed: []work.EndpointID{"a"}}, back+relistTime), []work.EndpointID{"a"}) // no outage
}

// Guards against the same after an outage whose end drops the history.
func TestRegistrationsAfterOutageWithoutHistory(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	a, b := work.Endpoint{ID: "a", Zone: "north"}, work.Endpoint{ID: "b", Zone: "north"}
	d.Apply(Registrations{Changed: []work.Endpoint{a, b}, Whole: true}, 0)
	is.Equal(len(d.Apply(Registrations{Changed: []work.Endpoint{a}, Whole: true, Recovered: true}, time.Minute)), 0)
	is.Equal(d.Missing(), 1)
	is.Equal(d.Apply(Registrations{}, time.Minute+relistTime), []work.EndpointID{"b"})
}

// Guards against an instance that takes the registrations for complete although it started during an outage of the store.
func TestDirectoryInformed(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.True(!d.EndpointsKnown(0))
	d.Apply(Registrations{Whole: true}, 0)
	is.True(d.EndpointsKnown(0))
	d.Apply(Registrations{Whole: true, Recovered: true}, time.Minute)
	is.True(d.EndpointsKnown(time.Minute)) // what was known before the outage is still known
	late := NewDirectory()
	late.Apply(Registrations{Whole: true, Recovered: true}, 0)
	is.True(!late.EndpointsKnown(relistTime - 1))
	is.True(late.EndpointsKnown(relistTime))
}
