package fair

import (
	"math/bits"
	"time"

	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/sched"
)

// run is a task on a slot, or a slot reserved for a peer's task. The zero value is a free slot.
type run struct {
	busy     bool
	job      *job // nil for a peer's task
	team     *team
	service  *service
	task     int
	size     sched.Size
	declared time.Duration
	long     bool // counts as long: may not use the short reserve
	stuck    bool // runs far longer than expected, see overruns
}

func (r *run) id() sched.JobID {
	if r.job == nil {
		return 0
	}
	return r.job.id
}

type worker struct {
	sched.Worker
	number    int // small and unique, for bitsets
	rack      *rack
	slowness  *estimate.Slowness
	runs      []run
	runCounts []uint32 // number of runs so far on each slot
	idleSlots bitset   // slots without a run
	used      sched.Size
	running   int
	usable    int    // last result of usableSlots, included in Scheduler.slots
	room      int    // number of free usable slots, included in Scheduler.free
	level     int    // level in the index, -1 if the worker is not in the index
	pos       int    // position within the level
	heldFor   *shape // only tasks of this shape may start; nil for no restriction
	health    health
	removed   bool
}

type rack struct {
	running int
	slots   int
	workers int
}

// bitset is a set of small integers.
type bitset []uint64

func (b *bitset) set(i int) {
	for len(*b) <= i/64 {
		*b = append(*b, 0)
	}
	(*b)[i/64] |= 1 << (i % 64)
}

func (b bitset) clear(i int) {
	if i/64 < len(b) {
		b[i/64] &^= 1 << (i % 64)
	}
}

func (b bitset) has(i int) bool { return i/64 < len(b) && b[i/64]&(1<<(i%64)) != 0 }

func (b bitset) lowest() int {
	for i, word := range b {
		if word != 0 {
			return i*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// occupy puts a run on the lowest free slot and returns its number, which is below Slots whenever the worker has room.
func (w *worker) occupy(r run) int {
	slot := w.idleSlots.lowest()
	w.idleSlots.clear(slot)
	r.busy = true
	w.runs[slot] = r
	w.runCounts[slot]++
	w.running++
	w.rack.running++
	w.used = addSize(w.used, r.size, 1)
	return slot
}

func (w *worker) vacate(slot int) {
	w.used = addSize(w.used, w.runs[slot].size, -1)
	w.runs[slot] = run{}
	w.idleSlots.set(slot)
	w.running--
	w.rack.running--
	if w.running == 0 {
		w.used = sched.Size{} // removes accumulated rounding errors
	}
}

func addSize(a, b sched.Size, sign int) sched.Size {
	return sched.Size{
		Cores:        a.Cores + float64(sign)*b.Cores,
		MemoryMB:     a.MemoryMB + int64(sign)*b.MemoryMB,
		Accelerators: a.Accelerators + sign*b.Accelerators,
	}
}

// fits reports whether a task of the shape may start on the worker now.
func (w *worker) fits(sh *shape) bool {
	return w.room > 0 && (w.heldFor == nil || w.heldFor == sh) && w.hasResources(sh.size)
}

// hasResources reports whether the worker has enough free resources for the size.
func (w *worker) hasResources(z sched.Size) bool {
	const rounding = 1e-9
	return w.used.Cores+z.Cores <= w.Size.Cores+rounding &&
		w.used.MemoryMB+z.MemoryMB <= w.Size.MemoryMB &&
		w.used.Accelerators+z.Accelerators <= w.Size.Accelerators
}

// SetWorker implements sched.Scheduler.
func (s *Scheduler) SetWorker(now time.Time, c sched.Worker) {
	s.clock(now)
	w := s.workers[c.Name]
	if w == nil {
		w = &worker{number: s.number(), level: -1, slowness: s.estimates.Slowness(c.Name)}
		w.health.slotLimit = c.Slots
		s.workers[c.Name] = w
	} else {
		s.leave(w)
	}
	if w.health.slotLimit >= w.Slots {
		w.health.slotLimit = max(w.health.slotLimit, c.Slots)
	}
	w.Worker = c
	for len(w.runs) < c.Slots {
		w.idleSlots.set(len(w.runs))
		w.runs = append(w.runs, run{})
		w.runCounts = append(w.runCounts, 0)
	}
	s.join(w)
	s.reindex(w)
	s.refreshSlots()
}

// join adds the worker to the totals of its rack and to the capacity.
func (s *Scheduler) join(w *worker) {
	w.rack = s.racks[w.Rack]
	if w.rack == nil {
		w.rack = &rack{}
		s.racks[w.Rack] = w.rack
	}
	w.rack.workers++
	w.rack.slots += w.Slots
	w.rack.running += w.running
	s.sizeCounts[w.Size]++
	if w.State == sched.WorkerReady {
		s.addCapacity(w, 1)
	}
}

// leave removes the worker from the index, the totals of its rack and the capacity.
func (s *Scheduler) leave(w *worker) {
	s.unindex(w)
	if w.State == sched.WorkerReady {
		s.addCapacity(w, -1)
	}
	if s.sizeCounts[w.Size]--; s.sizeCounts[w.Size] == 0 {
		delete(s.sizeCounts, w.Size)
	}
	w.rack.workers--
	w.rack.slots -= w.Slots
	w.rack.running -= w.running
	if w.rack.workers == 0 {
		delete(s.racks, w.Rack)
	}
}

func (s *Scheduler) addCapacity(w *worker, sign float64) {
	v := vectorOf(float64(w.Slots), w.Size)
	for d := range v {
		s.capacity[d] += sign * v[d]
	}
	for _, t := range s.teams {
		s.updateShare(t)
	}
}

// RemoveWorker implements sched.Scheduler.
func (s *Scheduler) RemoveWorker(name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	for slot, r := range w.runs {
		if r.busy {
			w.vacate(slot)
			s.recordEnd(r)
		}
	}
	s.leave(w)
	w.removed = true
	s.slots -= w.usable
	s.free -= w.room
	w.usable, w.room = 0, 0
	for _, sh := range s.listed {
		sh.unlist(w)
		s.updateOpen(sh)
	}
	s.unhold(w)
	s.quarantine.remove(w)
	s.freeNumbers = append(s.freeNumbers, w.number)
	s.estimates.Forget(name)
	delete(s.workers, name)
	s.refreshSlots()
	s.epoch++
}

func (s *Scheduler) number() int {
	if n := len(s.freeNumbers); n > 0 {
		id := s.freeNumbers[n-1]
		s.freeNumbers = s.freeNumbers[:n-1]
		return id
	}
	s.lastNumber++
	return s.lastNumber
}

// refreshSlots recomputes all ranks if the number of slots has risen by more than 25% or fallen by more than 20% since
// the last time, since the ageing of the ranks depends on it.
func (s *Scheduler) refreshSlots() {
	have := float64(s.slots + s.elsewhere.Slots)
	if have < 1 || (have <= s.rankSlots*1.25 && have >= s.rankSlots*0.8) {
		return
	}
	s.rankSlots = have
	for _, v := range s.serviceList {
		for _, j := range v.jobs {
			s.updateRank(j)
		}
	}
}

// reindex updates the totals, the index and the shapes' lists after a change to the worker.
func (s *Scheduler) reindex(w *worker) {
	usable := w.usableSlots()
	room := max(0, usable-w.running)
	if usable != w.usable {
		s.slots += usable - w.usable
		w.usable = usable
		s.checkReserve()
	}
	grown := room > 0 && len(s.listed) > 0
	s.free += room - w.room
	w.room = room
	level := -1
	if room > 0 && w.heldFor == nil {
		level = w.loadLevel()
	}
	if level != w.level {
		s.unindex(w)
		if level >= 0 {
			s.index(w).add(w, level)
		}
	}
	if grown {
		s.addToLists(w)
	}
}

func (s *Scheduler) index(w *worker) *index {
	if w.Size.Accelerators > 0 {
		return &s.acceleratorIndex
	}
	return &s.cpuIndex
}

func (s *Scheduler) unindex(w *worker) {
	if w.level >= 0 {
		s.index(w).remove(w)
	}
}

// usableSlots returns the number of slots that may be used, given the worker's state and health.
func (w *worker) usableSlots() int {
	if w.State != sched.WorkerReady || w.health.quarantined || w.removed {
		return 0
	}
	return max(0, min(w.Slots, w.health.slotLimit))
}
