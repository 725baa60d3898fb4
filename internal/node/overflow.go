package node

import (
	"slices"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/relay"
)

// overflowTargets returns one partition of each other zone for a job that its own zone refuses: first, in random order, the zones that can
// start it at once, each with a probability in proportion to its free capacity; then those where it would wait. Zones where
// the wait is hopeless are left out: each try costs a job's message between zones and a round trip of its slack.
//
// The crests of zones may follow each other within a second. In a fixed order all instances of a full zone would send their overflow to the
// same neighbour, which is about to be full itself.
func overflowTargets(d demand, zones []zoneLoad, random func() float64) []gateway.Target {
	ready, later := candidates(d, zones)
	return targetsOf(append(shuffled(ready, random), later...))
}

// candidates returns the partition of each zone with the shortest expected wait: in ready those that can start a job at once, in later those
// where it would wait but may be in time.
func candidates(d demand, zones []zoneLoad) (ready, later []zonePart) {
	for _, z := range zones {
		at := zonePart{z, z.byWait(d)[0]}
		switch {
		case startsAtOnce(at.load(), d):
			ready = append(ready, at)
		case !hopeless(at.load(), d):
			later = append(later, at)
		}
	}
	return ready, later
}

func targetsOf(parts []zonePart) []gateway.Target {
	var targets []gateway.Target
	for _, at := range parts {
		targets = append(targets, gateway.Target{Zone: at.zone, Partition: at.part})
	}
	return targets
}

// zonePart is a partition of a zone.
type zonePart struct {
	zoneLoad
	part int
}

// shuffled returns partitions in random order. Each next one is drawn with a probability in proportion to the free share of its zone.
func shuffled(parts []zonePart, random func() float64) []zonePart {
	var order []zonePart
	for len(parts) > 0 {
		i := draw(parts, random())
		order = append(order, parts[i])
		parts = slices.Delete(parts, i, i+1)
	}
	return order
}

// draw returns the index of the partition at a position, from 0 to 1, of the sum of the zones' free shares.
func draw(parts []zonePart, position float64) int {
	sum := 0.0
	for _, at := range parts {
		sum += at.zoneFree()
	}
	rest := position * sum
	for i, at := range parts {
		if rest -= at.zoneFree(); rest < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// zoneFree returns the mean free share of a zone's partitions. Partitions that are full count as 0.
func (at zonePart) zoneFree() float64 {
	sum := 0.0
	for _, l := range at.loads {
		sum += max(freeShare(l), 0)
	}
	return sum / float64(len(at.loads))
}

func (at zonePart) load() relay.Load { return at.loads[at.part] }
