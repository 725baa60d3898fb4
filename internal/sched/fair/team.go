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

// vector holds an amount of each resource. Slots count as a resource, so that tasks of unknown size are charged too.
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
	name       string
	weight     float64
	quota      vector
	limit      vector
	hasQuota   bool
	hasLimit   bool
	usage      vector   // resources used by the team's tasks, including tasks handed over to peers
	elsewhere  vector   // resources that the team uses on the other instances' slots, as they report
	share      float64  // dominant share of the capacity, 0 to 1
	running    int      // number of tasks that the team is charged for
	queued     int      // number of queued tasks
	activePos  int      // index in Scheduler.active, -1 without queued tasks
	queues     []*queue // non-empty queues
	byKey      map[queueKey]*queue
	workByRank workByRank
	inflow     inflow
	best       *queue // cached result of refresh: the most urgent queue that may start a task, or nil
	epoch      uint64 // Scheduler.epoch at the last refresh
	dirty      bool   // best may be out of date
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

// SetTeams replaces the weights, quotas and limits of all teams. Teams that are not in the list get weight 1, no quota
// and no limit.
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

// openQueue adds a queue that is no longer empty to the lists of non-empty queues.
func (s *Scheduler) openQueue(q *queue) {
	t, sh := q.team, q.shape
	q.pos = len(t.queues)
	t.queues = append(t.queues, q)
	q.shapeIndex = len(sh.queues)
	sh.queues = append(sh.queues, q)
	s.queues++
	s.updateOpen(sh)
}

// closeQueue removes an empty queue from the lists of non-empty queues.
func (s *Scheduler) closeQueue(q *queue) {
	t, sh := q.team, q.shape
	last := t.queues[len(t.queues)-1]
	t.queues[q.pos] = last
	last.pos = q.pos
	t.queues = t.queues[:len(t.queues)-1]
	q.pos = -1
	last = sh.queues[len(sh.queues)-1]
	sh.queues[q.shapeIndex] = last
	last.shapeIndex = q.shapeIndex
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
		t.usage = vector{} // removes accumulated rounding errors
	}
	s.updateShare(t)
	t.dirty = t.dirty || t.hasLimit
}

const (
	// sharePenalty is added to a team's urgency, in seconds, per multiple of its weighted share that the team uses.
	// With a strict order by shares, a large team waited for every small job of the others, and the p99 of its jobs'
	// response times doubled at 95% load; with half the penalty, a flood by one team slowed the others twice as much.
	sharePenalty = 2.0
	// maxUrgencyGain and maxUrgencyLoss bound, in seconds, by how much a job's rank before or after the present time
	// moves its team in the order of teams. Without the first, the old jobs of a flood would go before everything
	// else; without the second, a team with large jobs would lose its share.
	maxUrgencyGain = 1.0
	maxUrgencyLoss = 2.0
)

// precedence is the sort key in the order of teams; the lowest goes first.
type precedence struct {
	beyondQuota bool // the team has no quota, or the task would exceed it
	value       float64
	tie         float64
}

func (a precedence) less(b precedence) bool {
	if a.beyondQuota != b.beyondQuota {
		return b.beyondQuota
	}
	if a.value != b.value {
		return a.value < b.value
	}
	return a.tie < b.tie
}

// choose returns the queue whose first task starts next, or nil if no queued task may start.
func (s *Scheduler) choose() *queue {
	if s.epoch != s.refreshedEpoch && s.openQueues()*2 < s.queues {
		return s.chooseOpen()
	}
	s.refreshedEpoch = s.epoch
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

// chooseOpen does the same as choose, but looks through the queues of the open shapes instead of the teams. Where
// resources run out before slots, shapes open and close with almost every start, but few are open at a time; refreshing
// all teams each time would cost more.
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

// refresh recomputes the team's most urgent queue among those that may start a task, and caches it in t.best.
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

// allowed reports whether the short reserve and the team's limit permit a task of the queue to start.
func (s *Scheduler) allowed(q *queue) bool {
	if q.long && !s.reserve.open {
		return false
	}
	if t := q.team; t.hasLimit && !t.staysWithin(&t.limit, q.shape.size) {
		return false
	}
	return true
}

// staysWithin reports whether the team's use plus more is at most the bound. Dimensions that are 0 in the bound are not
// compared.
func (t *team) staysWithin(bound *vector, more sched.Size) bool {
	v := vectorOf(0, more)
	for d := dimCores; d < dims; d++ {
		if bound[d] > 0 && t.usage[d]+t.elsewhere[d]+v[d] > bound[d]+1e-9 {
			return false
		}
	}
	return true
}

// precedence returns the precedence of a team whose next task would come from the given queue. Teams within their quota
// go before all others. The others go later the more of their weighted dominant share they use; the rank of the next
// job shifts this by at most maxUrgencyGain and maxUrgencyLoss.
func (s *Scheduler) precedence(t *team, q *queue) precedence {
	rank := q.heap[0].rank
	if t.hasQuota && t.staysWithin(&t.quota, q.shape.size) {
		return precedence{false, rank, rank}
	}
	weightedShare := t.share * s.activeWeight / t.weight
	urgency := max(-maxUrgencyGain, min(maxUrgencyLoss, rank-s.now))
	return precedence{true, urgency + sharePenalty*weightedShare, rank}
}

// updateShare recomputes the team's dominant share: the largest share of the capacity that it uses of any resource.
func (s *Scheduler) updateShare(t *team) {
	t.share = 0
	for d, have := range s.capacity {
		if have > 0 {
			t.share = max(t.share, (t.usage[d]+t.elsewhere[d])/have)
		}
	}
}

// removeShape removes the team's queues of a shape, which must be empty.
func (t *team) removeShape(sh *shape) {
	delete(t.byKey, queueKey{sh, false})
	delete(t.byKey, queueKey{sh, true})
}
