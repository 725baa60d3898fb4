package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

const testJob = work.JobID("5c0e7a21d94b36f8")

// pressures returns the load of a zone whose dispatchers are of an earlier version: they tell only their pressure.
func pressures(zone string, pressure ...int) zoneLoad {
	z := zoneLoad{zone: zone}
	for _, p := range pressure {
		z.loads = append(z.loads, relay.Load{Pressure: p})
	}
	return z
}

// headrooms returns the load of a zone whose partitions have 100 cores each, of which some are free, and release 1 core in a millisecond.
func headrooms(zone string, freeCores ...int) zoneLoad {
	z := zoneLoad{zone: zone}
	for _, free := range freeCores {
		z.loads = append(z.loads, relay.Load{Total: 100_000, Free: 1000 * free, Rate: 1000, Pressure: 100 - free})
	}
	return z
}

func requests(cores int) demand { return demand{testJob, 1000 * cores, 100 * time.Millisecond} }

// Guards against refusing a job because its two preferred partitions are full, while another partition of the instance's
// zone has capacity.
func TestFurtherPartitionsAreTried(t *testing.T) {
	is := is.New(t)
	first := shard.PartitionOf(string(testJob), 8)
	second := (first + 4) % 8
	pressure := []int{100, 100, 100, 100, 100, 100, 100, 100}
	idle, busy := (first+1)%8, (first+2)%8
	pressure[first], pressure[second], pressure[idle], pressure[busy] = 140, 120, 10, 60
	got := waitingTargets(requests(8), pressures("north", pressure...), []zoneLoad{pressures("south", 50), pressures("west", 30, 90)},
		func() float64 { return 0 })
	is.Equal(got[:2], []gateway.Target{{Zone: "north", Partition: idle}, {Zone: "north", Partition: busy}})
	is.Equal(got[4:], []gateway.Target{{Zone: "south"}, {Zone: "west"}})
}

// Guards against trying more partitions than intended, which costs messages, and against trying a partition twice.
func TestTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= division.MaxPartitions; n *= 2 {
		own := pressures("north", make([]int, n)...)
		waiting := waitingTargets(requests(8), own, []zoneLoad{pressures("south", make([]int, n)...)}, rand.Float64)
		is.Equal(len(waiting), min(n, maxWaitingTries)+1)
		immediate := immediateTargets(requests(8), own)
		if n == 1 {
			is.Equal(len(immediate), 0) // there is no choice
		} else {
			is.Equal(len(immediate), min(n, maxImmediate))
		}
		for _, got := range [][]gateway.Target{waiting, immediate} {
			seen := map[gateway.Target]bool{}
			for _, target := range got {
				is.True(!seen[target])
				seen[target] = true
			}
		}
	}
}

// Guards against a job that waits at its preferred partition while another one of its zone can start it, and against offers to partitions that
// are known to be full.
func TestImmediateTargetsHaveCapacity(t *testing.T) {
	is := is.New(t)
	first := shard.PartitionOf(string(testJob), 4)
	free := []int{2, 2, 2, 2}
	other, third := (first+1)%4, (first+3)%4
	free[other], free[third] = 30, 20
	is.Equal(immediateTargets(requests(10), headrooms("north", free...)),
		[]gateway.Target{{Zone: "north", Partition: other}, {Zone: "north", Partition: third}})
	is.Equal(len(immediateTargets(requests(10), headrooms("north", 2, 2, 2, 2))), 0)
}

// Guards against a change of the first choice below the crest: of the two preferred partitions the one with the larger free share.
func TestPreferredPartitionComesFirst(t *testing.T) {
	is := is.New(t)
	first := shard.PartitionOf(string(testJob), 4)
	free := []int{90, 90, 90, 90}
	free[first], free[(first+2)%4] = 60, 70
	is.Equal(immediateTargets(requests(10), headrooms("north", free...))[0], gateway.Target{Zone: "north", Partition: (first + 2) % 4})
}

// Guards against placing a job in the longest queue of its zone, and against trying partitions where it cannot be in time.
func TestWaitsWhereTheWaitIsShortest(t *testing.T) {
	is := is.New(t)
	got := waitingTargets(requests(10), headrooms("north", -90, -10, -400, -30), nil, rand.Float64)
	is.Equal(got, []gateway.Target{{Zone: "north", Partition: 1}, {Zone: "north", Partition: 3}, {Zone: "north", Partition: 0}})
}

// Guards against a job that nobody can start in time and that no dispatcher refuses: its caller would learn no time to come back.
func TestOneDispatcherIsAlwaysTried(t *testing.T) {
	is := is.New(t)
	got := waitingTargets(requests(10), headrooms("north", -500, -900), []zoneLoad{headrooms("south", -500)}, rand.Float64)
	is.Equal(got, []gateway.Target{{Zone: "north", Partition: 0}})
}

// Guards against a job that leaves its zone although it can be in time there, and against one that waits there to be late while another zone can
// start it. The slack is 100 ms, and a partition releases 1 core in a millisecond.
func TestLeavesItsZoneOnlyWhenLikelyLate(t *testing.T) {
	is := is.New(t)
	south := []zoneLoad{headrooms("south", 5, 40)}
	soon, late := headrooms("north", -90, -30), headrooms("north", -90, -50)
	is.True(!likelyLate(requests(10), soon))
	is.True(likelyLate(requests(10), late))
	is.Equal(nearbyTargets(requests(10), south, rand.Float64), []gateway.Target{{Zone: "south", Partition: 1}})
	is.Equal(len(nearbyTargets(requests(10), []zoneLoad{headrooms("south", 5, 8)}, rand.Float64)), 0)
}
