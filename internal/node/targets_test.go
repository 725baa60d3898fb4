package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against refusing a job because its two preferred partitions are full, while another partition of the instance's
// zone has capacity.
func TestFurtherPartitionsAreTried(t *testing.T) {
	is := is.New(t)
	id := work.JobID("5c0e7a21d94b36f8")
	first := shard.PartitionOf(string(id), 8)
	second := (first + 4) % 8
	pressure := []int{100, 100, 100, 100, 100, 100, 100, 100}
	idle, busy := (first+1)%8, (first+2)%8
	pressure[first], pressure[second], pressure[idle], pressure[busy] = 140, 120, 10, 60
	got := targetsOf(id, zoneLoad{"north", pressure}, []zoneLoad{{"south", []int{50}}, {"west", []int{30, 90}}})
	is.Equal(got, []gateway.Target{
		{Zone: "north", Partition: second}, {Zone: "north", Partition: first},
		{Zone: "north", Partition: idle}, {Zone: "north", Partition: busy},
		{Zone: "south", Partition: 0}, {Zone: "west", Partition: 0},
	})
}

// Guards against trying more partitions than intended, which costs messages, and against trying a partition twice.
func TestTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= division.MaxPartitions; n *= 2 {
		got := targetsOf("5c0e7a21d94b36f8", zoneLoad{"north", make([]int, n)}, []zoneLoad{{"south", make([]int, n)}})
		seen := map[gateway.Target]bool{}
		for _, target := range got {
			is.True(!seen[target])
			seen[target] = true
		}
		is.Equal(len(got), min(n, 2+extraPartitions)+1)
	}
}
