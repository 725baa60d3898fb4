package node

import (
	"strconv"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/spread"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// maxElsewhere is the number of dispatchers of other zones that are tried for a job whose own zone is evacuated, as many as for a job in
	// three zones otherwise. Each try costs a message to another zone.
	maxElsewhere = 6
	// minRoom is the free share that is assumed for a dispatcher that is full or more: its load may have fallen since its report.
	minRoom = 0.05
)

// targetsElsewhere returns the dispatchers to try for a new job of an evacuated zone, in order. The jobs are divided among the partitions of
// the other zones in proportion to their free capacity: if all went to the least loaded one, the load of a zone would swing between its
// neighbours with each report.
func targetsElsewhere(id work.JobID, others []zoneLoad) []gateway.Target {
	var all []gateway.Target
	var weighted []spread.Target
	for _, other := range others {
		for part, load := range other.loads {
			all = append(all, gateway.Target{Zone: other.zone, Partition: part})
			weighted = append(weighted, spread.Target{
				Name: other.zone + "/" + strconv.Itoa(part), Weight: max(freeShare(load), minRoom),
			})
		}
	}
	var targets []gateway.Target
	for _, at := range spread.Order(string(id), weighted) {
		targets = append(targets, all[at])
	}
	return targets[:min(len(targets), maxElsewhere)]
}
