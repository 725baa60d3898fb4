package node

import (
	"cmp"
	"slices"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// extraPartitions is how many partitions of the instance's zone are tried after the two preferred ones. Each try costs a
	// message to another instance.
	extraPartitions = 2
	// fullPressure is the pressure, in percent, at which a partition has no capacity left for a job that must start soon.
	fullPressure = 100
)

// zoneLoad is the known load of a zone's dispatchers.
type zoneLoad struct {
	zone     string
	pressure []int // by partition: capacity that running and waiting tasks request, in percent of the total
}

// targetsOf returns the dispatchers to try for a new job, in order: the job's two preferred partitions of the instance's
// zone, the less loaded one first; up to extraPartitions other partitions of that zone that are not full, the least loaded
// first; and one partition of each other zone. The preferred partitions depend only on the job's ID, so a job that is
// submitted again is sent to the same partitions.
//
// The extra partitions are for jobs with many short tasks that arrive while some partitions are full and others have
// capacity: the two preferred partitions alone would refuse them although the zone could run them at once.
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

// preferred returns the two partitions that the hash of a job's ID selects, the less loaded one first. In a zone with a
// single partition it returns just that.
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

// sort sorts partitions by pressure, lowest first.
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
