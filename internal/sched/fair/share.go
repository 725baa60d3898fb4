package fair

import (
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// Backlog implements sched.Sharer.
func (s *Scheduler) Backlog(now time.Time) sched.Backlog {
	t := s.clock(now)
	s.tick(t)
	b := sched.Backlog{Queued: s.queued}
	if s.queued == 0 {
		return b
	}
	work := 0.0
	var first *item
	firstPeerOnly := false // first fits none of this instance's workers
	for _, o := range s.active {
		work += o.workByRank.total
		for _, q := range o.queues {
			it, peerOnly := &q.heap[0], !s.fitsOwnWorker(q.shape.size)
			if first == nil || (peerOnly && !firstPeerOnly) || (peerOnly == firstPeerOnly && it.less(*first)) {
				first, firstPeerOnly = it, peerOnly
			}
		}
	}
	b.Work = seconds(work)
	// The slots of the other instances don't count, since the wait decides whether tasks are handed over to them.
	b.Wait = seconds(work / max(1, float64(s.slots-s.stuck)))
	b.BestRank = first.rank - t
	b.Size = first.g.queue.shape.size
	return b
}

// Reserve implements sched.Sharer.
func (s *Scheduler) Reserve(now time.Time, n int, size sched.Size) []sched.Assignment {
	t := s.clock(now)
	s.tick(t)
	var out []sched.Assignment
	sh := &shape{size: size}
	for len(out) < n && s.free > 0 {
		w := s.pickForPeer(sh)
		if w == nil {
			break
		}
		s.seq++
		slot := w.occupy(run{task: int(s.seq), size: size})
		s.running++
		s.reindex(w)
		out = append(out, sched.Assignment{Task: int(s.seq), Worker: w.Name, Slot: slot})
	}
	return out
}

func (s *Scheduler) pickForPeer(sh *shape) *worker {
	if sh.size.Accelerators == 0 {
		if w, _ := s.cpuIndex.pick(sh, len(s.workers)); w != nil {
			return w
		}
	}
	w, _ := s.acceleratorIndex.pick(sh, len(s.workers))
	return w
}

// reserved returns the worker and the run of a reserved slot, nil if the assignment is not that of a reserved slot.
func (s *Scheduler) reserved(a sched.Assignment) (*worker, *run) {
	w := s.workers[a.Worker]
	if w == nil || a.Job != 0 || a.Slot >= len(w.runs) {
		return nil, nil
	}
	r := &w.runs[a.Slot]
	if !r.busy || r.job != nil || r.task != a.Task {
		return nil, nil
	}
	return w, r
}

// Attach implements sched.Sharer.
func (s *Scheduler) Attach(now time.Time, a sched.Assignment, f sched.PeerTask) bool {
	t := s.clock(now)
	w, r := s.reserved(a)
	if r == nil || r.team != nil {
		return false
	}
	v := s.service(f.Team, f.Service)
	size := s.shape(v.class, f.Task.Size).size
	w.used = addSize(w.used, r.size, -1)
	if !w.hasResources(size) {
		w.used = addSize(w.used, r.size, 1)
		return false
	}
	w.used = addSize(w.used, size, 1)
	expect := v.class.Expect(f.Task.Declared)
	r.size = size
	r.team = s.team(f.Team)
	r.service = v
	r.declared = f.Task.Declared
	r.long = expect.Mean >= s.longThreshold
	s.charge(r.team, size)
	if r.long {
		s.setLong(s.long + 1)
	}
	s.overruns.watch(t, w, a.Slot, expect.P90)
	s.reindex(w)
	return true
}

// Release implements sched.Sharer.
func (s *Scheduler) Release(_ time.Time, a sched.Assignment) {
	if _, r := s.reserved(a); r != nil {
		s.vacate(a)
	}
}

// TakeQueued implements sched.Sharer.
func (s *Scheduler) TakeQueued(now time.Time, n int, size sched.Size) []sched.Assignment {
	t := s.clock(now)
	s.tick(t)
	var out []sched.Assignment
	for len(out) < n && s.queued > 0 {
		q := s.mostUrgent(size)
		if q == nil {
			break
		}
		g := q.heap[0].g
		j := g.job
		task := s.pop(g)
		s.charge(j.team, q.shape.size)
		s.taken[taskKey{j.id, task}] = q.shape.size
		out = append(out, sched.Assignment{Job: j.id, Task: task})
	}
	return out
}

// mostUrgent returns the queue whose first task would start next on a worker with room for size, without regard to free
// slots and the short reserve. Tasks that fit none of this instance's workers come first.
func (s *Scheduler) mostUrgent(size sched.Size) *queue {
	var best *queue
	var first precedence
	bestPeerOnly := false
	for _, t := range s.active {
		for _, q := range t.queues {
			if !sched.Fits(q.shape.size, size) || t.hasLimit && !t.staysWithin(&t.limit, q.shape.size) {
				continue
			}
			p := s.precedence(t, q)
			peerOnly := !s.fitsOwnWorker(q.shape.size)
			if best == nil || (peerOnly && !bestPeerOnly) || (peerOnly == bestPeerOnly && p.less(first)) {
				best, first, bestPeerOnly = q, p, peerOnly
			}
		}
	}
	return best
}
