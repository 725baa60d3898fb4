package fair

import (
	"math/bits"
	"time"

	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/sched"
)

// run is what occupies a lane.
type run struct {
	busy     bool
	job      *job // nil for a peer's task
	team     *team
	service  *service
	task     int
	size     sched.Size
	declared time.Duration
	long     bool // counts as long
	stuck    bool // far beyond its estimate
}

func (r *run) id() sched.JobID {
	if r.job == nil {
		return 0
	}
	return r.job.id
}

type worker struct {
	sched.Worker
	number  int
	rack    *rack
	speed   *estimate.Slowness
	lanes   []run
	serials []uint32 // number of runs that each lane has had
	idle    bitset   // free lanes
	used    sched.Size
	running int
	usable  int // slots that may be used, as entered in the sums
	room    int // free usable slots, as entered in the sums
	level   int // in the index, -1 if absent
	pos     int
	hold    *shape // only tasks of this shape may start
	health  health
	gone    bool
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

// take puts a run on the lowest free lane, which is below Slots whenever the worker has room.
func (w *worker) take(r run) int {
	lane := w.idle.lowest()
	w.idle.clear(lane)
	r.busy = true
	w.lanes[lane] = r
	w.serials[lane]++
	w.running++
	w.rack.running++
	w.used = sum(w.used, r.size, 1)
	return lane
}

func (w *worker) vacate(lane int) {
	w.used = sum(w.used, w.lanes[lane].size, -1)
	w.lanes[lane] = run{}
	w.idle.set(lane)
	w.running--
	w.rack.running--
	if w.running == 0 {
		w.used = sched.Size{} // drops the rounding errors of the sums
	}
}

func sum(a, b sched.Size, sign int) sched.Size {
	return sched.Size{
		Cores:        a.Cores + float64(sign)*b.Cores,
		MemoryMB:     a.MemoryMB + int64(sign)*b.MemoryMB,
		Accelerators: a.Accelerators + sign*b.Accelerators,
	}
}

// fits reports whether a task of the shape may start on the worker now.
func (w *worker) fits(sh *shape) bool {
	return w.room > 0 && (w.hold == nil || w.hold == sh) && w.holds(sh.size)
}

// holds reports whether the worker has enough free resources.
func (w *worker) holds(z sched.Size) bool {
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
		w = &worker{number: s.number(), level: -1, speed: s.estimates.Slowness(c.Name)}
		w.health.limit = c.Slots
		s.workers[c.Name] = w
	} else {
		s.leave(w)
	}
	if w.health.limit >= w.Slots {
		w.health.limit = max(w.health.limit, c.Slots)
	}
	w.Worker = c
	for len(w.lanes) < c.Slots {
		w.idle.set(len(w.lanes))
		w.lanes = append(w.lanes, run{})
		w.serials = append(w.serials, 0)
	}
	s.join(w)
	s.reindex(w)
	s.refreshSlots()
}

// join adds the worker to its rack and to the capacity.
func (s *Scheduler) join(w *worker) {
	w.rack = s.racks[w.Rack]
	if w.rack == nil {
		w.rack = &rack{}
		s.racks[w.Rack] = w.rack
	}
	w.rack.workers++
	w.rack.slots += w.Slots
	w.rack.running += w.running
	s.kinds[w.Size]++
	if w.State == sched.WorkerReady {
		s.count(w, 1)
	}
}

// leave is the opposite of join.
func (s *Scheduler) leave(w *worker) {
	s.unindex(w)
	if w.State == sched.WorkerReady {
		s.count(w, -1)
	}
	if s.kinds[w.Size]--; s.kinds[w.Size] == 0 {
		delete(s.kinds, w.Size)
	}
	w.rack.workers--
	w.rack.slots -= w.Slots
	w.rack.running -= w.running
	if w.rack.workers == 0 {
		delete(s.racks, w.Rack)
	}
}

func (s *Scheduler) count(w *worker, sign float64) {
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
	for lane, r := range w.lanes {
		if r.busy {
			w.vacate(lane)
			s.ended(r)
		}
	}
	s.leave(w)
	w.gone = true
	s.slots -= w.usable
	s.free -= w.room
	w.usable, w.room = 0, 0
	for _, sh := range s.listed {
		sh.unlist(w)
		s.updateOpen(sh)
	}
	s.unhold(w)
	s.quarantine.remove(w)
	s.ids = append(s.ids, w.number)
	s.estimates.Forget(name)
	delete(s.workers, name)
	s.refreshSlots()
	s.epoch++
}

func (s *Scheduler) number() int {
	if n := len(s.ids); n > 0 {
		id := s.ids[n-1]
		s.ids = s.ids[:n-1]
		return id
	}
	s.lastID++
	return s.lastID
}

// refreshSlots recomputes all keys when the number of slots has changed so much that ageing is out of scale.
func (s *Scheduler) refreshSlots() {
	have := float64(s.slots + s.elsewhere.Slots)
	if have < 1 || (have <= s.ageSlots*1.25 && have >= s.ageSlots*0.8) {
		return
	}
	s.ageSlots = have
	for _, v := range s.serviceList {
		for _, j := range v.jobs {
			s.rekey(j)
		}
	}
}

// reindex brings the sums and the index up to date after a change to the worker.
func (s *Scheduler) reindex(w *worker) {
	usable := w.allowed()
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
	if room > 0 && w.hold == nil {
		level = w.rank()
	}
	if level != w.level {
		s.unindex(w)
		if level >= 0 {
			s.index(w).add(w, level)
		}
	}
	if grown {
		s.offer(w)
	}
}

func (s *Scheduler) index(w *worker) *index {
	if w.Size.Accelerators > 0 {
		return &s.special
	}
	return &s.plain
}

func (s *Scheduler) unindex(w *worker) {
	if w.level >= 0 {
		s.index(w).remove(w)
	}
}

// allowed is the number of slots that may be used.
func (w *worker) allowed() int {
	if w.State != sched.WorkerReady || w.health.away || w.gone {
		return 0
	}
	return max(0, min(w.Slots, w.health.limit))
}
