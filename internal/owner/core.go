package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
)

const (
	// CountInterval is the time between two counts of a worker's running tasks while tasks of a dead instance may run
	// there.
	CountInterval = time.Second
	// ClaimInterval is the time between two claims to a peer that still owns the worker in its own view. The peer's view
	// usually changes within a heartbeat.
	ClaimInterval = 100 * time.Millisecond
	// PollInterval is the time between two claims to a peer that has released the worker but still holds slots. The
	// repetition makes up for lost handover messages.
	PollInterval = time.Second
)

// actions are what the controller must do after a transition, in the order of the fields.
type actions struct {
	limits   []setSlots
	drop     []string
	claims   []claimTo
	handover []handoverTo
	counts   []count
}

// setSlots limits the engine's use of a worker's slots.
type setSlots struct {
	worker platform.Instance
	slots  int
}

// claimTo is a claim message to a peer.
type claimTo struct {
	to    Holder
	claim message.Claim
}

// handoverTo is a handover message to a peer.
type handoverTo struct {
	to       Holder
	handover message.Handover
}

// count requests a count of the tasks of other instances on a worker.
type count struct {
	worker platform.Instance
	number uint64 // compared with slots.count when the result arrives
}

// core is the state machine of ownership. It does no I/O and gets the time as an argument. It is not safe for concurrent
// use.
type core struct {
	incarnation uint64
	view        View
	term        uint64            // number of view changes; numbers the terms that begin with a change
	workers     map[string]*slots // workers of the zone, by name
	out         actions           // actions since the last call of takeActions
}

func newCore(incarnation uint64) *core {
	return &core{incarnation: incarnation, workers: make(map[string]*slots)}
}

// takeActions returns and clears the actions that transitions have added since the last call.
func (c *core) takeActions() actions {
	out := c.out
	c.out = actions{}
	return out
}

// setView applies a new view. A change increments the term number and assigns the workers anew.
func (c *core) setView(now time.Time, v View) {
	if v.equal(c.view) {
		c.view.Addrs = v.Addrs
		return
	}
	returned := v.Returns != c.view.Returns
	c.view = v
	c.term++
	owners := Assign(v.Owners, v.workerNames())
	for i := range v.Workers {
		c.setWorker(&v.Workers[i], owners[v.Workers[i].Name] == v.Self, returned)
	}
	c.removeUnlisted()
	c.tick(now)
}

// setWorker applies a worker's entry in the view. owned reports whether this instance is its owner in that view, and
// returned whether View.Returns has changed.
func (c *core) setWorker(w *platform.Instance, owned, returned bool) {
	s := c.workers[w.Name]
	if s == nil {
		s = &slots{foreign: -1}
		c.workers[w.Name] = s
	}
	replaced := s.worker.Incarnation != w.Incarnation
	changed := s.worker != *w
	wasOwned := s.owned
	if wasOwned && !owned {
		s.endTerm()
	}
	s.worker = *w
	if returned || replaced {
		s.heldAll = false
	}
	switch {
	case owned && (!wasOwned || returned || replaced):
		s.beginTerm(c.term, c.view.Holders)
	case owned:
		s.updatePeers(c.view.Holders)
	}
	c.limit(s, changed && owned)
	c.dropIdle(s)
}

// removeUnlisted removes the workers that are no longer in the view.
func (c *core) removeUnlisted() {
	listed := make(map[string]bool, len(c.view.Workers))
	for i := range c.view.Workers {
		listed[c.view.Workers[i].Name] = true
	}
	for name, s := range c.workers {
		if listed[name] {
			continue
		}
		if s.inEngine {
			c.out.drop = append(c.out.drop, name)
		}
		delete(c.workers, name)
	}
}

// limit sets the engine's limit for a worker to the usable slots, if that changes the limit or force is true.
func (c *core) limit(s *slots, force bool) {
	n := s.usable()
	if !s.inEngine && !s.owned || s.inEngine && n == s.limit && !force {
		return
	}
	s.inEngine = true
	s.limit = n
	s.unconfirmed++
	s.inUseMax = max(s.inUseMax, n)
	c.out.limits = append(c.out.limits, setSlots{s.worker, n})
}

// tick sends the claims and counts that are due.
func (c *core) tick(now time.Time) {
	claims := make(map[claimKey]*message.Claim)
	for _, name := range c.names() {
		s := c.workers[name]
		if !s.owned {
			continue
		}
		c.addDueClaims(now, s, claims)
		c.addDueCount(now, s)
	}
	keys := slices.SortedFunc(maps.Keys(claims), func(a, b claimKey) int {
		return cmp.Or(cmp.Compare(a.to.Instance, b.to.Instance), cmp.Compare(a.term, b.term))
	})
	for _, k := range keys {
		c.out.claims = append(c.out.claims, claimTo{k.to, *claims[k]})
	}
}

// names returns the sorted names of the workers.
func (c *core) names() []string { return slices.Sorted(maps.Keys(c.workers)) }

// claimKey identifies a claim message: one is sent for each peer and term, with all workers concerned.
type claimKey struct {
	to   Holder
	term uint64
}

// addDueClaims adds a worker to the claims to all peers that have not released it or still hold slots.
func (c *core) addDueClaims(now time.Time, s *slots, claims map[claimKey]*message.Claim) {
	if now.Before(s.nextClaimAt) {
		return
	}
	for h, o := range s.others {
		if o.released && o.slots == 0 {
			continue
		}
		k := claimKey{h, s.term}
		if claims[k] == nil {
			claims[k] = &message.Claim{Incarnation: c.incarnation, Term: s.term}
		}
		claims[k].Workers = append(claims[k].Workers, s.worker.Name)
	}
	s.nextClaimAt = now.Add(PollInterval)
	if !s.released() {
		s.nextClaimAt = now.Add(ClaimInterval)
	}
}

// addDueCount requests a count if one is needed. It must come after all peers have released the worker, see usable.
func (c *core) addDueCount(now time.Time, s *slots) {
	if s.accounted || !s.released() || now.Before(s.nextCountAt) {
		return
	}
	s.count++
	s.nextCountAt = now.Add(CountInterval)
	c.out.counts = append(c.out.counts, count{s.worker, s.count})
}

// handleCount records the result of a count: the number of tasks on a worker that this instance did not start.
func (c *core) handleCount(now time.Time, worker string, number uint64, foreign int, err error) {
	s := c.workers[worker]
	if s == nil || !s.owned || s.count != number || err != nil {
		return // after an error the count is repeated
	}
	s.foreign = foreign
	s.accounted = foreign == 0
	c.limit(s, false)
}

// answerClaim returns the answer to a peer's claim.
func (c *core) answerClaim(from Holder, m *message.Claim) message.Handover {
	by := claimant{Holder: from, term: m.Term}
	reply := message.Handover{Incarnation: c.incarnation, ClaimantIncarnation: from.Incarnation}
	for _, name := range m.Workers {
		h := message.HeldSlots{Worker: name, Term: m.Term, Released: true}
		if s := c.workers[name]; s != nil {
			s.fillAnswer(by, &h)
		}
		reply.Workers = append(reply.Workers, h)
	}
	return reply
}

// fillAnswer fills in the answer to a claim for one worker. Only in the answer to one claim does an instance confirm that
// all slots which it does not hold are free, since the sender of that claim may use them from then on. An instance has not
// released a worker while the engine may still start tasks under a limit that it has not confirmed: a count would miss them.
func (s *slots) fillAnswer(by claimant, h *message.HeldSlots) {
	h.Released = !s.owned && s.unconfirmed == 0
	if !h.Released {
		return
	}
	if s.vouched == (claimant{}) {
		s.vouched = by
	}
	s.subscriber = by
	h.Held = s.inUseMax
	h.RemainderFree = s.heldAll && s.vouched == by
}

// handleHandover applies a handover: the answer to a claim, or a notice that slots have become free.
func (c *core) handleHandover(now time.Time, from Holder, m *message.Handover) {
	if m.ClaimantIncarnation != c.incarnation {
		return
	}
	for i := range m.Workers {
		h := &m.Workers[i]
		s := c.workers[h.Worker]
		if s == nil || !s.owned || s.term != h.Term || !h.Released {
			continue
		}
		if o := s.others[from]; o != nil {
			s.recordPeer(o, h)
			c.addDueCount(now, s)
			c.limit(s, false)
		}
	}
}

// recordPeer records the slots that a peer holds. Messages may arrive out of order; the lower number is the newer one, since
// within a term the number only falls.
func (s *slots) recordPeer(o *peerSlots, h *message.HeldSlots) {
	if !o.released || h.Held < o.slots {
		o.slots = h.Held
	}
	if !o.released && h.RemainderFree {
		s.accounted = true
	}
	o.released = true
}

// applied records that the engine has applied one limit and runs busy tasks on the worker.
func (c *core) applied(worker string, busy int) {
	if s := c.workers[worker]; s != nil && s.unconfirmed > 0 {
		s.unconfirmed--
		c.setBusy(s, busy)
	}
}

// ended records that a task of the engine has ended and busy tasks still run on the worker.
func (c *core) ended(worker string, busy int) {
	if s := c.workers[worker]; s != nil {
		c.setBusy(s, busy)
	}
}

// setBusy records the number of the engine's running tasks. If this instance no longer owns the worker, it notifies the new
// owner of slots that have become free.
func (c *core) setBusy(s *slots, busy int) {
	s.busy = busy
	fell := s.updateInUse()
	if s.owned {
		return
	}
	if fell && s.subscriber != (claimant{}) {
		c.notifySubscriber(s)
	}
	c.dropIdle(s)
}

// dropIdle makes the engine drop a worker that this instance does not own and on which it holds no slots.
func (c *core) dropIdle(s *slots) {
	if s.owned || !s.inEngine || s.inUseMax > 0 || s.unconfirmed > 0 {
		return
	}
	s.inEngine = false
	c.out.drop = append(c.out.drop, s.worker.Name)
}

// notifySubscriber sends the number of held slots to the peer that made the last claim.
func (c *core) notifySubscriber(s *slots) {
	by := s.subscriber
	h := message.HeldSlots{Worker: s.worker.Name, Term: by.term, Released: true, Held: s.inUseMax}
	h.RemainderFree = s.heldAll && s.vouched == by
	m := message.Handover{Incarnation: c.incarnation, ClaimantIncarnation: by.Incarnation, Workers: []message.HeldSlots{h}}
	c.out.handover = append(c.out.handover, handoverTo{by.Holder, m})
}
