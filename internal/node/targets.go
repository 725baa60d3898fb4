package node

import (
	"cmp"
	"slices"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// extraPartitions is how many partitions of the own zone are tried beyond the two that the job's name gives. Each costs a
	// message to a neighbour.
	extraPartitions = 2
	// fullPressure is the pressure from which a partition has no room for a job that must start soon.
	fullPressure = 100
)

// zoneLoad is what is known of a zone's dispatchers.
type zoneLoad struct {
	zone     string
	pressure []int // room that is taken or waited for in each partition, in percent
}

// targetsOf returns the dispatchers to try for a new job, in order. Of two partitions of the own zone, which the job's
// name gives, the less busy one comes first; a job that comes again therefore finds the same ones. Up to two others of
// the own zone follow, least busy first, and one of each other zone.
//
// It answers wide jobs of short tasks that come while some partitions are full and others have room: the two given
// partitions alone refuse them although the zone could run them at once.
func targetsOf(id work.JobID, own zoneLoad, others []zoneLoad) []gateway.Target {
	preferred := own.preferred(id)
	targets := own.targets(preferred)
	var extra []int
	for part, pressure := range own.pressure {
		if pressure < fullPressure && !slices.Contains(preferred, part) {
			extra = append(extra, part)
		}
	}
	own.sort(extra)
	targets = append(targets, own.targets(extra[:min(len(extra), extraPartitions)])...)
	for _, other := range others {
		targets = append(targets, other.targets(other.preferred(id)[:1])...)
	}
	return targets
}

// preferred returns the partitions that a job's name gives, the less busy one first.
func (z zoneLoad) preferred(id work.JobID) []int {
	n := len(z.pressure)
	first := shard.PartitionOf(string(id), n)
	if n == 1 {
		return []int{first}
	}
	parts := []int{first, (first + n/2) % n}
	if z.pressure[parts[1]] < z.pressure[parts[0]] {
		slices.Reverse(parts)
	}
	return parts
}

// sort orders partitions by their pressure.
func (z zoneLoad) sort(parts []int) {
	slices.SortStableFunc(parts, func(a, b int) int { return cmp.Compare(z.pressure[a], z.pressure[b]) })
}

func (z zoneLoad) targets(parts []int) []gateway.Target {
	var targets []gateway.Target
	for _, part := range parts {
		targets = append(targets, gateway.Target{Zone: z.zone, Partition: part})
	}
	return targets
}
