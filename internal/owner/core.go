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
	// CountInterval is the time between two questions for a worker's running count while tasks of a dead instance run.
	CountInterval = time.Second
	// ClaimInterval is the time between two claims to a peer that still owns the worker in its own view, whose
	// view usually follows within a heartbeat.
	ClaimInterval = 100 * time.Millisecond
	// PollInterval is the time between two claims to a peer that still holds slots. It is only needed where a
	// handover message was lost.
	PollInterval = time.Second
)

// actions are what the outside must do after a step, in this order.
type actions struct {
	set      []setSlots
	drop     []string
	claims   []claimTo
	handover []handoverTo
	asks     []ask
}

type setSlots struct {
	worker platform.Instance
	slots  int
}

type claimTo struct {
	to    Holder
	claim message.Claim
}

type handoverTo struct {
	to       Holder
	handover message.Handover
}

type ask struct {
	worker platform.Instance
	number uint64
}

// core is the state machine of ownership. The time is an argument and it does no I/O; it is not safe for
// concurrent use.
type core struct {
	incarnation uint64
	view        View
	term        uint64
	workers     map[string]*slots
	out         actions
}

func newCore(incarnation uint64) *core {
	return &core{incarnation: incarnation, workers: make(map[string]*slots)}
}

// take returns what is to be done since the last call.
func (c *core) take() actions {
	out := c.out
	c.out = actions{}
	return out
}

// setView follows a change of the membership or of the workers.
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
		c.place(&v.Workers[i], owners[v.Workers[i].Name] == v.Self, returned)
	}
	c.removeGone()
	c.tick(now)
}

func (c *core) place(w *platform.Instance, mine, returned bool) {
	s := c.workers[w.Name]
	if s == nil {
		s = &slots{foreign: -1}
		c.workers[w.Name] = s
	}
	replaced := s.worker.Incarnation != w.Incarnation
	changed := s.worker != *w
	was := s.mine
	if was && !mine {
		s.lose()
	}
	s.worker = *w
	if returned || replaced {
		s.full = false
	}
	switch {
	case mine && (!was || returned || replaced):
		s.begin(c.term, c.view.Holders)
	case mine:
		s.follow(c.view.Holders)
	}
	c.limit(s, changed && mine)
	c.dropIdle(s)
}

func (c *core) removeGone() {
	listed := make(map[string]bool, len(c.view.Workers))
	for i := range c.view.Workers {
		listed[c.view.Workers[i].Name] = true
	}
	for name, s := range c.workers {
		if listed[name] {
			continue
		}
		if s.known {
			c.out.drop = append(c.out.drop, name)
		}
		delete(c.workers, name)
	}
}

// limit tells the engine what it may use now, if that has changed.
func (c *core) limit(s *slots, force bool) {
	n := s.usable()
	if !s.known && !s.mine || s.known && n == s.limit && !force {
		return
	}
	s.known = true
	s.limit = n
	s.unconfirmed++
	s.granted = max(s.granted, n)
	c.out.set = append(c.out.set, setSlots{s.worker, n})
}

// tick repeats claims and questions that are due.
func (c *core) tick(now time.Time) {
	claims := make(map[claimKey]*message.Claim)
	for _, name := range c.names() {
		s := c.workers[name]
		if !s.mine {
			continue
		}
		c.claimDue(now, s, claims)
		c.askDue(now, s)
	}
	keys := slices.SortedFunc(maps.Keys(claims), func(a, b claimKey) int {
		return cmp.Or(cmp.Compare(a.to.Instance, b.to.Instance), cmp.Compare(a.term, b.term))
	})
	for _, k := range keys {
		c.out.claims = append(c.out.claims, claimTo{k.to, *claims[k]})
	}
}

func (c *core) names() []string { return slices.Sorted(maps.Keys(c.workers)) }

type claimKey struct {
	to   Holder
	term uint64
}

func (c *core) claimDue(now time.Time, s *slots, claims map[claimKey]*message.Claim) {
	if now.Before(s.claimAt) {
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
	s.claimAt = now.Add(PollInterval)
	if !s.released() {
		s.claimAt = now.Add(ClaimInterval)
	}
}

func (c *core) askDue(now time.Time, s *slots) {
	if s.clean || !s.released() || now.Before(s.askAt) {
		return
	}
	s.ask++
	s.askAt = now.Add(CountInterval)
	c.out.asks = append(c.out.asks, ask{s.worker, s.ask})
}

// asked takes the answer to a question for the number of tasks on a worker that are not this instance's.
func (c *core) asked(now time.Time, worker string, number uint64, foreign int, err error) {
	s := c.workers[worker]
	if s == nil || !s.mine || s.ask != number || err != nil {
		return // after an error the question is asked again
	}
	s.foreign = foreign
	s.clean = foreign == 0
	c.limit(s, false)
}

// claimed answers a peer's claim.
func (c *core) claimed(from Holder, m *message.Claim) message.Handover {
	by := claimant{Holder: from, term: m.Term}
	reply := message.Handover{Incarnation: c.incarnation, Claimant: from.Incarnation}
	for _, name := range m.Workers {
		h := message.HeldSlots{Worker: name, Term: m.Term, Released: true}
		if s := c.workers[name]; s != nil {
			s.release(by, &h)
		}
		reply.Workers = append(reply.Workers, h)
	}
	return reply
}

// release fills in the answer to a claim. An instance vouches for the free slots to one claim only: whoever made it
// may have filled them since.
func (s *slots) release(by claimant, h *message.HeldSlots) {
	h.Released = !s.mine
	if s.mine {
		return
	}
	if s.vouched == (claimant{}) {
		s.vouched = by
	}
	s.notified = by
	h.Held = s.granted
	h.Vouched = s.full && s.vouched == by
}

// handedOver takes the answer to a claim or word of a slot that has become free.
func (c *core) handedOver(now time.Time, from Holder, m *message.Handover) {
	if m.Claimant != c.incarnation {
		return
	}
	for i := range m.Workers {
		h := &m.Workers[i]
		s := c.workers[h.Worker]
		if s == nil || !s.mine || s.term != h.Term || !h.Released {
			continue
		}
		if o := s.others[from]; o != nil {
			s.take(o, h)
			c.askDue(now, s)
			c.limit(s, false)
		}
	}
}

// take counts what a peer holds. Messages may overtake each other; within a term the count only falls.
func (s *slots) take(o *held, h *message.HeldSlots) {
	if !o.released || h.Held < o.slots {
		o.slots = h.Held
	}
	if !o.released && h.Vouched {
		s.clean = true
	}
	o.released = true
}

// applied is the engine's confirmation of one limit, with the tasks that it runs on the worker.
func (c *core) applied(worker string, busy int) {
	if s := c.workers[worker]; s != nil && s.unconfirmed > 0 {
		s.unconfirmed--
		c.report(s, busy)
	}
}

// ended is the engine's report of a task's end, with those that still run on the worker.
func (c *core) ended(worker string, busy int) {
	if s := c.workers[worker]; s != nil {
		c.report(s, busy)
	}
}

func (c *core) report(s *slots, busy int) {
	s.busy = busy
	fell := s.settle()
	if s.mine {
		return
	}
	if fell && s.notified != (claimant{}) {
		c.tell(s)
	}
	c.dropIdle(s)
}

// dropIdle lets the engine forget a worker that is not this instance's and on which it holds nothing.
func (c *core) dropIdle(s *slots) {
	if s.mine || !s.known || s.granted > 0 || s.unconfirmed > 0 {
		return
	}
	s.known = false
	c.out.drop = append(c.out.drop, s.worker.Name)
}

func (c *core) tell(s *slots) {
	by := s.notified
	h := message.HeldSlots{Worker: s.worker.Name, Term: by.term, Released: true, Held: s.granted}
	h.Vouched = s.full && s.vouched == by
	m := message.Handover{Incarnation: c.incarnation, Claimant: by.Incarnation, Workers: []message.HeldSlots{h}}
	c.out.handover = append(c.out.handover, handoverTo{by.Holder, m})
}
