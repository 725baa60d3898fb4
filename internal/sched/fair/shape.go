package fair

import (
	"slices"

	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/sched"
)

const (
	maxShapes   = 256 // sizes kept apart; beyond that, sizes are rounded up
	maxList     = 48  // workers with room for a listed shape from which on the index serves it again
	holdAfter   = 1.0 // seconds that a task may be overtaken for lack of a large enough gap
	holdRecheck = 0.1 // seconds
)

// shape is a size of tasks. A shape that fits few of the workers that have free slots is listed: it then has its own
// list of workers, which contains every worker that it fits, so that finding one needs no search of the index.
type shape struct {
	size   sched.Size
	users  int // groups of queued tasks
	listed bool
	list   []*worker
	member bitset // numbers of the workers in list
	queues []*queue
	open   bool // in Scheduler.open
}

// updateOpen brings the list of open shapes up to date with the shape.
func (s *Scheduler) updateOpen(sh *shape) {
	open := len(sh.queues) > 0 && (!sh.listed || len(sh.list) > 0)
	if open == sh.open {
		return
	}
	sh.open = open
	if open {
		s.open = append(s.open, sh)
		return
	}
	for i, x := range s.open {
		if x == sh {
			s.open[i] = s.open[len(s.open)-1]
			s.open = s.open[:len(s.open)-1]
			return
		}
	}
}

// openQueues counts the queues of the open shapes, after closing those whose listed workers have no room left.
func (s *Scheduler) openQueues() int {
	n := 0
	for i := len(s.open) - 1; i >= 0; i-- {
		sh := s.open[i]
		if sh.listed && s.placeListed(sh) == nil {
			continue // it has closed, and one that was counted is in its place
		}
		n += len(sh.queues)
	}
	return n
}

// shape returns the shape of a task: the expected size if some worker can hold it, else the declared one.
func (s *Scheduler) shape(c *estimate.Class, declared sched.Size) *shape {
	size := c.Size(declared)
	if size != declared && !s.possible(size) {
		size = declared
	}
	if sh := s.shapes[size]; sh != nil {
		return sh
	}
	if len(s.shapes) >= maxShapes {
		s.pruneShapes()
	}
	if len(s.shapes) >= maxShapes {
		if up := estimate.RoundUpSize(size); s.possible(up) {
			size = up
		}
		if sh := s.shapes[size]; sh != nil {
			return sh
		}
	}
	sh := &shape{size: size}
	s.shapes[size] = sh
	return sh
}

// possible reports whether some worker, here or elsewhere, is large enough.
func (s *Scheduler) possible(z sched.Size) bool {
	return s.possibleHere(z) || slices.ContainsFunc(s.elsewhere.WorkerSizes, func(kind sched.Size) bool { return sched.Fits(z, kind) })
}

func (s *Scheduler) possibleHere(z sched.Size) bool {
	for kind := range s.kinds {
		if sched.Fits(z, kind) {
			return true
		}
	}
	return false
}

func (s *Scheduler) pruneShapes() {
	for size, sh := range s.shapes {
		if sh.users > 0 {
			continue
		}
		delete(s.shapes, size)
		s.delistShape(sh)
		for _, t := range s.teams {
			t.removeShape(sh)
		}
	}
}

// slotsOf is the number of average slots whose resources a task of this size uses, at least 1.
func (s *Scheduler) slotsOf(z sched.Size) float64 {
	v, share := vectorOf(0, z), 0.0
	for d := dimCores; d < dims; d++ {
		if s.capacity[d] > 0 {
			share = max(share, v[d]/s.capacity[d])
		}
	}
	return max(1, share*s.capacity[dimSlots])
}

// list collects all workers that fit the shape.
func (s *Scheduler) list(sh *shape) {
	sh.listed = true
	sh.list, sh.member = sh.list[:0], sh.member[:0]
	for _, x := range []*index{&s.plain, &s.special} {
		for _, level := range x.level {
			for _, w := range level {
				if w.fits(sh) {
					sh.enlist(w)
				}
			}
		}
	}
	if s.held != nil && s.held.fits(sh) {
		sh.enlist(s.held)
	}
	s.listed = append(s.listed, sh)
	s.epoch++
	s.updateOpen(sh)
}

func (sh *shape) enlist(w *worker) {
	sh.list = append(sh.list, w)
	sh.member.set(w.number)
}

func (sh *shape) unlist(w *worker) {
	if !sh.member.has(w.number) {
		return
	}
	sh.member.clear(w.number)
	for i, x := range sh.list {
		if x == w {
			sh.list[i] = sh.list[len(sh.list)-1]
			sh.list = sh.list[:len(sh.list)-1]
			return
		}
	}
}

// offer adds a worker with room to the lists of the shapes that it fits.
func (s *Scheduler) offer(w *worker) {
	for i := 0; i < len(s.listed); i++ {
		sh := s.listed[i]
		if sh.member.has(w.number) || !w.fits(sh) {
			continue
		}
		sh.enlist(w)
		if len(sh.list) == 1 {
			s.epoch++
			s.updateOpen(sh)
		}
		if len(sh.list) > maxList {
			s.delistShape(sh)
			i--
		}
	}
}

func (s *Scheduler) delistShape(sh *shape) {
	if !sh.listed {
		return
	}
	sh.listed = false
	sh.list = sh.list[:0]
	for i, x := range s.listed {
		if x == sh {
			s.listed[i] = s.listed[len(s.listed)-1]
			s.listed = s.listed[:len(s.listed)-1]
			break
		}
	}
	s.epoch++
	s.updateOpen(sh)
}

// placeListed returns the least loaded of the last few workers in the shape's list.
func (s *Scheduler) placeListed(sh *shape) *worker {
	var best *worker
	seen := 0
	for i := len(sh.list) - 1; i >= 0 && seen < compared; i-- {
		w := sh.list[i]
		if !w.fits(sh) {
			sh.member.clear(w.number)
			sh.list[i] = sh.list[len(sh.list)-1]
			sh.list = sh.list[:len(sh.list)-1]
			continue
		}
		seen++
		if best == nil || w.running < best.running {
			best = w
		}
	}
	if best == nil {
		s.epoch++
		s.updateOpen(sh)
	}
	return best
}

// holdForStarved keeps one worker free for the oldest task that is overtaken because no gap is large enough for it.
// Otherwise small tasks could fill every gap for ever.
func (s *Scheduler) holdForStarved(now float64) {
	if w := s.held; w != nil && (w.hold.users == 0 || w.usable == 0) {
		s.unhold(w)
	}
	if s.held != nil || len(s.listed) == 0 || now < s.nextHold {
		return
	}
	s.nextHold = now + holdRecheck
	sh := s.starved(now)
	if sh == nil {
		return
	}
	var best *worker
	for _, w := range s.workers {
		if w.usable == 0 || !sched.Fits(sh.size, w.Size) {
			continue
		}
		if best == nil || w.running < best.running || (w.running == best.running && w.number < best.number) {
			best = w
		}
	}
	if best != nil {
		s.held = best
		best.hold = sh
		s.reindex(best)
	}
}

// starved returns the shape without room whose most urgent job has waited the longest.
func (s *Scheduler) starved(now float64) *shape {
	var found *shape
	oldest := now - holdAfter
	for _, t := range s.active {
		for _, q := range t.queues {
			if !q.shape.listed || len(q.shape.list) > 0 || !s.allowed(q) {
				continue
			}
			if at := q.heap[0].g.job.arrival; at <= oldest && s.possibleHere(q.shape.size) {
				found, oldest = q.shape, at
			}
		}
	}
	return found
}

func (s *Scheduler) unhold(w *worker) {
	if s.held != w {
		return
	}
	s.held = nil
	w.hold = nil
	if !w.gone {
		s.reindex(w)
	}
}
