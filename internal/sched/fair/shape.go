package fair

import (
	"slices"

	"github.com/savorypass/savorypass/internal/estimate"
	"github.com/savorypass/savorypass/internal/sched"
)

const (
	maxShapes         = 256 // number of distinct task sizes above which sizes are rounded up
	maxListedWorkers  = 48  // number of workers; a listed shape for which more have room is served by the index again
	starvedAfter      = 1.0 // seconds after which a task that no worker has room for counts as starved
	holdCheckInterval = 0.1 // seconds between two searches for a starved task
)

// shape is a size of tasks. A shape for which few of the workers with free slots have room is listed: it has its own
// list, which contains every worker with room for it, so that finding a worker needs no search of the index.
type shape struct {
	size        sched.Size
	groupCount  int // number of groups of queued tasks
	listed      bool
	list        []*worker
	listMembers bitset // numbers of the workers in list
	queues      []*queue
	open        bool // the shape is in Scheduler.open, see updateOpen
}

// updateOpen adds the shape to or removes it from the list of open shapes. A shape is open if it has queued tasks and
// some worker may have room for them.
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
			continue // placeListed has closed it and moved an already counted shape to index i
		}
		n += len(sh.queues)
	}
	return n
}

// shape returns the shape of a task: its expected size if some worker is large enough for that, else its declared size.
func (s *Scheduler) shape(c *estimate.Class, declared sched.Size) *shape {
	size := c.Size(declared)
	if size != declared && !s.fitsSomeWorker(size) {
		size = declared
	}
	if sh := s.shapes[size]; sh != nil {
		return sh
	}
	if len(s.shapes) >= maxShapes {
		s.pruneShapes()
	}
	if len(s.shapes) >= maxShapes {
		if up := estimate.RoundUpSize(size); s.fitsSomeWorker(up) {
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

// fitsSomeWorker reports whether some worker, of this or another instance, is large enough.
func (s *Scheduler) fitsSomeWorker(z sched.Size) bool {
	return s.fitsOwnWorker(z) ||
		slices.ContainsFunc(s.elsewhere.WorkerSizes, func(workerSize sched.Size) bool { return sched.Fits(z, workerSize) })
}

func (s *Scheduler) fitsOwnWorker(z sched.Size) bool {
	for workerSize := range s.sizeCounts {
		if sched.Fits(z, workerSize) {
			return true
		}
	}
	return false
}

func (s *Scheduler) pruneShapes() {
	for size, sh := range s.shapes {
		if sh.groupCount > 0 {
			continue
		}
		delete(s.shapes, size)
		s.delistShape(sh)
		for _, t := range s.teams {
			t.removeShape(sh)
		}
	}
}

// slotsOf returns the number of average slots whose resources a task of this size uses, at least 1.
func (s *Scheduler) slotsOf(z sched.Size) float64 {
	v, share := vectorOf(0, z), 0.0
	for d := dimCores; d < dims; d++ {
		if s.capacity[d] > 0 {
			share = max(share, v[d]/s.capacity[d])
		}
	}
	return max(1, share*s.capacity[dimSlots])
}

// list makes the shape listed and collects all workers with room for it.
func (s *Scheduler) list(sh *shape) {
	sh.listed = true
	sh.list, sh.listMembers = sh.list[:0], sh.listMembers[:0]
	for _, x := range []*index{&s.cpuIndex, &s.acceleratorIndex} {
		for _, level := range x.level {
			for _, w := range level {
				if w.fits(sh) {
					sh.enlist(w)
				}
			}
		}
	}
	if s.heldWorker != nil && s.heldWorker.fits(sh) {
		sh.enlist(s.heldWorker)
	}
	s.listed = append(s.listed, sh)
	s.epoch++
	s.updateOpen(sh)
}

func (sh *shape) enlist(w *worker) {
	sh.list = append(sh.list, w)
	sh.listMembers.set(w.number)
}

func (sh *shape) unlist(w *worker) {
	if !sh.listMembers.has(w.number) {
		return
	}
	sh.listMembers.clear(w.number)
	for i, x := range sh.list {
		if x == w {
			sh.list[i] = sh.list[len(sh.list)-1]
			sh.list = sh.list[:len(sh.list)-1]
			return
		}
	}
}

// addToLists adds a worker to the lists of the shapes that it has room for. A shape whose list grows beyond
// maxListedWorkers is no longer listed.
func (s *Scheduler) addToLists(w *worker) {
	for i := 0; i < len(s.listed); i++ {
		sh := s.listed[i]
		if sh.listMembers.has(w.number) || !w.fits(sh) {
			continue
		}
		sh.enlist(w)
		if len(sh.list) == 1 {
			s.epoch++
			s.updateOpen(sh)
		}
		if len(sh.list) > maxListedWorkers {
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

// placeListed returns the worker with the fewest running tasks among the last few of the shape's list, or nil if no
// worker has room. It removes workers without room from the list.
func (s *Scheduler) placeListed(sh *shape) *worker {
	var best *worker
	seen := 0
	for i := len(sh.list) - 1; i >= 0 && seen < maxCandidates; i-- {
		w := sh.list[i]
		if !w.fits(sh) {
			sh.listMembers.clear(w.number)
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

// holdForStarved reserves one worker for the starved shape that has waited the longest. Otherwise small tasks could
// take the freed resources forever, so that a large task never finds enough of them on one worker.
func (s *Scheduler) holdForStarved(now float64) {
	if w := s.heldWorker; w != nil && (w.heldFor.groupCount == 0 || w.usable == 0) {
		s.unhold(w)
	}
	if s.heldWorker != nil || len(s.listed) == 0 || now < s.nextHoldCheck {
		return
	}
	s.nextHoldCheck = now + holdCheckInterval
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
		s.heldWorker = best
		best.heldFor = sh
		s.reindex(best)
	}
}

// starved returns the shape whose most urgent job has waited the longest, for at least starvedAfter, while no worker
// had room for it. It returns nil if there is none.
func (s *Scheduler) starved(now float64) *shape {
	var found *shape
	oldest := now - starvedAfter
	for _, t := range s.active {
		for _, q := range t.queues {
			if !q.shape.listed || len(q.shape.list) > 0 || !s.allowed(q) {
				continue
			}
			if at := q.heap[0].g.job.arrival; at <= oldest && s.fitsOwnWorker(q.shape.size) {
				found, oldest = q.shape, at
			}
		}
	}
	return found
}

func (s *Scheduler) unhold(w *worker) {
	if s.heldWorker != w {
		return
	}
	s.heldWorker = nil
	w.heldFor = nil
	if !w.removed {
		s.reindex(w)
	}
}
