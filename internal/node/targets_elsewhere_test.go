package node

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against the jobs of an evacuated zone all going to the least loaded neighbour, whose load they overtake before it is known, and
// against ones that go to a full neighbour while another has room.
func TestEvacuatedLoadIsSpread(t *testing.T) {
	is := is.New(t)
	others := []zoneLoad{pressures("south", 40, 40), pressures("west", 70, 100)}
	first := map[string]int{}
	const jobs = 10000
	for n := range jobs {
		targets := targetsElsewhere(work.JobID(fmt.Sprintf("%016x", n)), others)
		is.Equal(len(targets), 4)
		first[targets[0].Zone]++
	}
	room := 0.6 + 0.6 + 0.3 + minRoom
	is.True(math.Abs(float64(first["south"])/jobs-1.2/room) < 0.02)
	is.True(math.Abs(float64(first["west"])/jobs-(0.3+minRoom)/room) < 0.02)
}

// Guards against trying more dispatchers than intended, which costs messages between zones.
func TestTargetsElsewhereAreBounded(t *testing.T) {
	is := is.New(t)
	idle := make([]int, division.MaxPartitions)
	is.Equal(len(targetsElsewhere("j", []zoneLoad{pressures("south", idle...), pressures("west", idle...)})), maxElsewhere)
	is.Equal(len(targetsElsewhere("j", nil)), 0)
}

// Guards against jobs that go to an evacuated zone: the instance's own one, another one, or all.
func TestEvacuatedZonesAreNoTargets(t *testing.T) {
	is := is.New(t)
	r := routerOf(lead.New(lead.Options{Log: silentLog()}))
	r.others = []string{"south", "west"}
	r.evacuations = evacuation.New(evacuation.Options{Zones: []string{"north", "south", "west"}, Now: func() time.Duration { return 0 }})
	zones := func() map[string]bool {
		found := map[string]bool{}
		for _, target := range r.Targets(&work.Job{ID: "j"}) {
			found[target.Zone] = true
		}
		return found
	}
	is.Equal(zones(), map[string]bool{"north": true, "south": true, "west": true})
	evacuate := func(zone string) {
		r.evacuations.Apply(evacuation.Read{Records: []evacuation.Record{{Zone: zone, Present: true}}})
	}
	evacuate("south")
	is.Equal(zones(), map[string]bool{"north": true, "west": true})
	evacuate("north")
	is.Equal(zones(), map[string]bool{"west": true})
	evacuate("west")
	is.Equal(len(zones()), 0)
}
