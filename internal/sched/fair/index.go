package fair

import "math/bits"

const (
	loadLevels         = 16
	failurePenalty     = 4   // levels; a worker with recent failures ranks like one with a quarter more load
	slowPenalty        = 4   // levels, for workers that count as slow
	slowFactor         = 2.0 // ratio of a worker's run times to the average above which it counts as slow
	levels             = loadLevels + failurePenalty + slowPenalty
	acceleratorPenalty = 4  // levels by which tasks without accelerators avoid workers with accelerators
	maxCandidates      = 4  // workers with room that are compared for the least load
	maxProbes          = 64 // workers examined before the shape gets a list of those with room
)

// index holds the workers with free slots by level, the least loaded first.
type index struct {
	level  [levels][]*worker
	mask   uint32 // bit i is set if level i is not empty
	cursor int    // incremented by every search, so that searches begin at different workers
}

// loadLevel returns the worker's level in the index: its load in sixteenths, plus penalties for recent failures and for
// slowness.
func (w *worker) loadLevel() int {
	load := float64(w.running) / float64(w.Slots)
	if w.Size.Cores > 0 {
		load = max(load, w.used.Cores/w.Size.Cores)
	}
	if w.Size.MemoryMB > 0 {
		load = max(load, float64(w.used.MemoryMB)/float64(w.Size.MemoryMB))
	}
	level := min(loadLevels-1, int(load*loadLevels))
	if w.health.suspicious() {
		level += failurePenalty
	}
	if w.slowness.Factor() > slowFactor {
		level += slowPenalty
	}
	return level
}

func (x *index) add(w *worker, level int) {
	w.level, w.pos = level, len(x.level[level])
	x.level[level] = append(x.level[level], w)
	x.mask |= 1 << level
}

func (x *index) remove(w *worker) {
	list := x.level[w.level]
	last := list[len(list)-1]
	list[w.pos] = last
	last.pos = w.pos
	list[len(list)-1] = nil
	x.level[w.level] = list[:len(list)-1]
	if len(list) == 1 {
		x.mask &^= 1 << w.level
	}
	w.level = -1
}

func (x *index) lowest() int {
	if x.mask == 0 {
		return levels + acceleratorPenalty
	}
	return bits.TrailingZeros32(x.mask)
}

// pick returns a worker of the lowest level that has room for the shape, and how many workers it examined. It returns
// nil if there is none among the first limit workers. Successive calls start at different workers of a level.
func (x *index) pick(sh *shape, limit int) (*worker, int) {
	probes := 0
	for m := x.mask; m != 0; m &= m - 1 {
		list := x.level[bits.TrailingZeros32(m)]
		x.cursor++
		at := x.cursor % len(list)
		for i := range list {
			if probes++; probes > limit {
				return nil, probes
			}
			if list[at].fits(sh) {
				return leastLoadedRack(list, at, len(list)-i, sh), probes
			}
			if at++; at == len(list) {
				at = 0
			}
		}
	}
	return nil, probes
}

// leastLoadedRack compares up to maxCandidates of the remaining workers of the list, from position at on, and returns
// the one with room whose rack is the least loaded. The worker at that position must have room.
func leastLoadedRack(list []*worker, at, remaining int, sh *shape) *worker {
	best := list[at]
	for range min(maxCandidates, remaining) - 1 {
		if at++; at == len(list) {
			at = 0
		}
		if w := list[at]; w.rack.load() < best.rack.load() && w.fits(sh) {
			best = w
		}
	}
	return best
}

func (r *rack) load() float64 {
	if r.slots == 0 {
		return 1
	}
	return float64(r.running) / float64(r.slots)
}

// place returns the worker for a task of the shape, or nil if no worker has room. In that case the shape's queues are
// not eligible until a worker has room for it again.
func (s *Scheduler) place(sh *shape) *worker {
	if sh.listed {
		return s.placeListed(sh)
	}
	first, second := &s.cpuIndex, &s.acceleratorIndex
	if sh.size.Accelerators > 0 || second.lowest()+acceleratorPenalty < first.lowest() {
		first, second = second, first
	}
	w, probes := first.pick(sh, maxProbes)
	if w == nil && probes <= maxProbes && sh.size.Accelerators == 0 {
		w, _ = second.pick(sh, maxProbes)
	}
	if w != nil {
		return w
	}
	s.list(sh)
	return s.placeListed(sh)
}
