package node

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/relay"
)

// Guards against sending a job to a partition of another zone by its hash, while another partition there has capacity.
func TestOverflowGoesToTheFreestPartition(t *testing.T) {
	is := is.New(t)
	for part := range 4 {
		free := []int{0, 0, 0, 0}
		free[part] = 50
		got := overflowTargets(requests(10), []zoneLoad{headrooms("south", free...)}, rand.Float64)
		is.Equal(got, []gateway.Target{{Zone: "south", Partition: part}})
	}
}

// Guards against all instances of a full zone that send their overflow to the same neighbour.
func TestOverflowIsSpread(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	zones := []zoneLoad{headrooms("south", 60, 60), headrooms("west", 20, 20), headrooms("east", -500, -500)}
	first := map[string]int{}
	for range 1000 {
		got := overflowTargets(requests(10), zones, random.Float64)
		is.Equal(len(got), 2) // none goes to the zone that is full for long
		first[got[0].Zone]++
	}
	is.True(first["south"] > 700 && first["south"] < 800) // three times the capacity that is free in the west
}

// Guards against an instance that no longer sends overflow to zones whose dispatchers are of an earlier version or not known yet.
func TestOverflowToZonesWithoutHeadroom(t *testing.T) {
	is := is.New(t)
	zones := []zoneLoad{pressures("south", 30, 30), {"west", []relay.Load{{Pressure: unknownPressure}}}, pressures("east", 1000)}
	got := overflowTargets(requests(10), zones, func() float64 { return 0 })
	is.Equal(len(got), 2) // a dispatcher without endpoints, as after a restart, is not asked
	is.Equal(got[0].Zone, "south")
	is.Equal(got[1].Zone, "west")
}
