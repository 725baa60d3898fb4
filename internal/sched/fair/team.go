package fair

import (
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// Dimensions of a vector.
const (
	dimSlots = iota
	dimCores
	dimMemory
	dimAccelerators
	dims
)

// vector is an amount of each resource. Slots count as a resource, so that tasks of unknown size are charged too.
type vector [dims]float64

func vectorOf(slots float64, z sched.Size) vector {
	return vector{slots, z.Cores, float64(z.MemoryMB), float64(z.Accelerators)}
}

func (v *vector) add(z sched.Size, sign float64) {
	v[dimSlots] += sign
	v[dimCores] += sign * z.Cores
	v[dimMemory] += sign * float64(z.MemoryMB)
	v[dimAccelerators] += sign * float64(z.Accelerators)
}

type team struct {
	name      string
	weight    float64
	quota     vector
	limit     vector
	hasQuota  bool
	hasLimit  bool
	usage     vector
	elsewhere vector // use on other instances' slots
	share     float64
	running   int
	queued    int
	activePos int // in Scheduler.active, -1 without queued tasks
	queues    []*queue
	byKey     map[queueKey]*queue
	ahead     ahead
	inflow    inflow
	best      *queue // cached choice
	epoch     uint64
	dirty     bool
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1, activePos: -1, byKey: map[queueKey]*queue{}}
		s.teams[name] = t
		s.teamList = append(s.teamList, t)
	}
	return t
}

// SetTeams replaces the weights, quotas and limits of all teams. Teams that are not named get weight 1, no quota and no
// limit.
func (s *Scheduler) SetTeams(list []sched.Team) {
	for _, t := range s.teams {
		s.configure(t, sched.Team{})
	}
	for _, c := range list {
		s.configure(s.team(c.Name), c)
	}
	s.epoch++
}

func (s *Scheduler) configure(t *team, c sched.Team) {
	weight := c.Weight
	if weight <= 0 {
		weight = 1
	}
	if t.activePos >= 0 {
		s.activeWeight += weight - t.weight
	}
	t.weight = weight
	t.quota = vectorOf(0, c.Quota)
	t.limit = vectorOf(0, c.Limit)
	t.hasQuota = c.Quota != sched.Size{}
	t.hasLimit = c.Limit != sched.Size{}
}

// SetPeerState implements sched.Sharer.
func (s *Scheduler) SetPeerState(now time.Time, e sched.PeerState) {
	s.clock(now)
	s.elsewhere = e
	for _, t := range s.teamList {
		t.elsewhere = vectorOf(0, e.Usage[t.name])
		s.updateShare(t)
		t.dirty = true
	}
	s.refreshSlots()
}

type queueKey struct {
	shape *shape
	long  bool
}

func (t *team) queue(k queueKey) *queue {
	q := t.byKey[k]
	if q == nil {
		q = &queue{team: t, shape: k.shape, long: k.long, pos: -1}
		t.byKey[k] = q
	}
	return q
}

// openQueue enters a queue that has become non-empty.
func (s *Scheduler) openQueue(q *queue) {
	t, sh := q.team, q.shape
	q.pos = len(t.queues)
	t.queues = append(t.queues, q)
	q.place = len(sh.queues)
	sh.queues = append(sh.queues, q)
	s.queues++
	s.updateOpen(sh)
}

// closeQueue is the opposite of openQueue.
func (s *Scheduler) closeQueue(q *queue) {
	t, sh := q.team, q.shape
	last := t.queues[len(t.queues)-1]
	t.queues[q.pos] = last
	last.pos = q.pos
	t.queues = t.queues[:len(t.queues)-1]
	q.pos = -1
	last = sh.queues[len(sh.queues)-1]
	sh.queues[q.place] = last
	last.place = q.place
	sh.queues = sh.queues[:len(sh.queues)-1]
	s.queues--
	s.updateOpen(sh)
}

func (s *Scheduler) addQueued(t *team, n int) {
	s.queued += n
	t.queued += n
	if t.queued > 0 && t.activePos < 0 {
		t.activePos = len(s.active)
		s.active = append(s.active, t)
		s.activeWeight += t.weight
	}
	if t.queued == 0 && t.activePos >= 0 {
		last := s.active[len(s.active)-1]
		s.active[t.activePos] = last
		last.activePos = t.activePos
		s.active = s.active[:len(s.active)-1]
		s.activeWeight -= t.weight
		t.activePos = -1
	}
}

func (s *Scheduler) charge(t *team, z sched.Size) {
	t.running++
	t.usage.add(z, 1)
	s.updateShare(t)
	t.dirty = t.dirty || t.hasLimit
}

func (s *Scheduler) uncharge(t *team, z sched.Size) {
	t.running--
	t.usage.add(z, -1)
	if t.running == 0 {
		t.usage = vector{} // drops the rounding errors of the sums
	}
	s.updateShare(t)
	t.dirty = t.dirty || t.hasLimit
}

const (
	// shareDelay is by how many seconds a team's ranks fall back for each time that it uses its weighted share. With a
	// hard order by shares, a large team waited for every small job of the others, and the p99 of its jobs' response
	// doubled at 95% load; with half the delay, a flood by one team was felt twice as much by the others.
	shareDelay = 2.0
	// urgencyOld and urgencyNew bound what ranks contribute to the order of teams, in seconds. Without the first, the
	// old jobs of a flood would outrank everything; without the second, a team with large jobs would lose its share.
	urgencyOld = 1.0
	urgencyNew = 2.0
)

// precedence is a team's place in the order of teams; the lowest goes first.
type precedence struct {
	lent  bool // the team has no quota, or none left
	value float64
	tie   float64
}

func (a precedence) less(b precedence) bool {
	if a.lent != b.lent {
		return b.lent
	}
	if a.value != b.value {
		return a.value < b.value
	}
	return a.tie < b.tie
}

// choose returns the queue whose first task is next, or nil if no queued task may start.
func (s *Scheduler) choose() *queue {
	if s.epoch != s.refreshed && s.openQueues()*2 < s.queues {
		return s.chooseOpen()
	}
	s.refreshed = s.epoch
	var best *team
	var first precedence
	for _, t := range s.active {
		if t.dirty || t.epoch != s.epoch {
			s.refresh(t)
		}
		if t.best == nil {
			continue
		}
		p := s.precedence(t, t.best)
		if best == nil || p.less(first) || (!first.less(p) && t.name < best.name) {
			best, first = t, p
		}
	}
	if best == nil {
		return nil
	}
	return best.best
}

// chooseOpen is choose by way of the open shapes. Where resources run out before slots, shapes open and close with
// almost every start, but few are open at a time; refreshing all teams each time would cost more.
func (s *Scheduler) chooseOpen() *queue {
	var best *queue
	var first precedence
	for _, sh := range s.open {
		for _, q := range sh.queues {
			if !s.allowed(q) {
				continue
			}
			p := s.precedence(q.team, q)
			if best == nil || p.less(first) || (!first.less(p) && q.heap[0].less(best.heap[0])) {
				best, first = q, p
			}
		}
	}
	return best
}

// refresh recomputes the team's most urgent queue among those that may start a task.
func (s *Scheduler) refresh(t *team) {
	t.dirty, t.epoch, t.best = false, s.epoch, nil
	for _, q := range t.queues {
		if !s.eligible(q) {
			continue
		}
		if t.best == nil || q.heap[0].less(t.best.heap[0]) {
			t.best = q
		}
	}
}

func (s *Scheduler) eligible(q *queue) bool {
	if q.shape.listed && len(q.shape.list) == 0 {
		return false
	}
	return s.allowed(q)
}

// allowed reports whether the short reserve and the team's limit let a task of the queue start.
func (s *Scheduler) allowed(q *queue) bool {
	if q.long && !s.reserve.open {
		return false
	}
	if t := q.team; t.hasLimit && !t.under(&t.limit, q.shape.size) {
		return false
	}
	return true
}

// under reports whether the team's use plus more stays within the set dimensions of a bound.
func (t *team) under(bound *vector, more sched.Size) bool {
	v := vectorOf(0, more)
	for d := dimCores; d < dims; d++ {
		if bound[d] > 0 && t.usage[d]+t.elsewhere[d]+v[d] > bound[d]+1e-9 {
			return false
		}
	}
	return true
}

// precedence is the place of a team whose next task would come from the given queue. Teams within their quota go before
// all others. Beyond that, the more of its weighted dominant share a team uses, the later it goes; urgent jobs shift the
// order by little.
func (s *Scheduler) precedence(t *team, q *queue) precedence {
	key := q.heap[0].key
	if t.hasQuota && t.under(&t.quota, q.shape.size) {
		return precedence{false, key, key}
	}
	uses := t.share * s.activeWeight / t.weight
	urgency := max(-urgencyOld, min(urgencyNew, key-s.now))
	return precedence{true, urgency + shareDelay*uses, key}
}

// updateShare recomputes the team's dominant share: the largest share of any resource that it uses.
func (s *Scheduler) updateShare(t *team) {
	t.share = 0
	for d, have := range s.capacity {
		if have > 0 {
			t.share = max(t.share, (t.usage[d]+t.elsewhere[d])/have)
		}
	}
}

// removeShape forgets the team's queue of a shape, which must be empty.
func (t *team) removeShape(sh *shape) {
	delete(t.byKey, queueKey{sh, false})
	delete(t.byKey, queueKey{sh, true})
}
