package fair

import "math/bits"

const (
	loadLevels     = 16
	failurePenalty = 4 // levels; a worker with a recent failure ranks like one with a quarter more load
	slowPenalty    = 4
	slowFactor     = 2.0 // run time over the average from which a worker counts as slow
	levels         = loadLevels + failurePenalty + slowPenalty
	specialPenalty = 4  // levels by which tasks without accelerators avoid workers that have some
	compared       = 4  // workers of the best level that are compared for their rack
	maxProbes      = 64 // workers looked at before the fitting ones are listed with the shape
)

// index orders workers with room by level, the least loaded first.
type index struct {
	level  [levels][]*worker
	mask   uint32 // levels that are not empty
	cursor int
}

// rank is the worker's level.
func (w *worker) rank() int {
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
	if w.speed.Factor() > slowFactor {
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
		return levels + specialPenalty
	}
	return bits.TrailingZeros32(x.mask)
}

// pick returns the best worker that fits the shape, and how many workers it looked at, at most limit.
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
				return spread(list, at, len(list)-i, sh), probes
			}
			if at++; at == len(list) {
				at = 0
			}
		}
	}
	return nil, probes
}

// spread compares a few workers from position at on and returns the fitting one whose rack is the least loaded.
func spread(list []*worker, at, left int, sh *shape) *worker {
	best := list[at]
	for range min(compared, left) - 1 {
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

// place returns the worker for a task of the shape, or nil if no worker has room. After a nil, the shape's queues are
// not eligible until a worker has gained room for it.
func (s *Scheduler) place(sh *shape) *worker {
	if sh.listed {
		return s.placeListed(sh)
	}
	first, second := &s.plain, &s.special
	if sh.size.Accelerators > 0 || second.lowest()+specialPenalty < first.lowest() {
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
