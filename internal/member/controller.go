package member

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
)

var errOwnName = errors.New("heartbeat under this instance's own name")

type key struct{ zone, instance string }

// record is a member with what the rules need to know about it.
type record struct {
	Member
	heard       time.Time // zero: never
	seen        uint64    // highest heartbeat round of the member's that was heard
	acked       uint64    // highest own heartbeat round that the member has heard
	listed      bool      // contained in the last list
	leaving     uint64    // incarnation that the list calls leaving
	absentSince time.Time // since when lists have lacked it; zero: listed or no list read
}

// Controller keeps the view. Its methods are safe for concurrent use.
type Controller struct {
	opts  Options
	start time.Time
	gate  gate

	mu       sync.Mutex
	members  map[key]*record
	list     []platform.Instance
	listed   listReads
	draining bool
	settled  bool
	newer    bool // superseded
	returns  uint64
	seq      uint64
	nextZone time.Time
	nextFar  time.Time
	pending  []Event

	deliverMu sync.Mutex
	observers []func(Event)
	reading   atomic.Bool
}

// listReads is the history of reads of the instance list.
type listReads struct {
	last        time.Time // of the last success; zero: none
	since       time.Time // start of the unbroken run of successes
	next        time.Time // when to read again
	lastErr     error
	lastStarted time.Time // start of the read that last succeeded
}

// New returns a controller. Run must be called for it to work.
func New(opts Options) *Controller {
	c := &Controller{opts: opts.withDefaults(), members: make(map[key]*record)}
	c.start = c.opts.Clock.Now()
	c.gate.start(c.start)
	for _, s := range opts.Seeds {
		if k := (key{s.Zone, s.Instance}); !c.isSelf(k) {
			c.record(k).Addr = s.Addr
		}
	}
	return c
}

func (c *Controller) isSelf(k key) bool {
	return k == key{c.opts.Self.Zone, c.opts.Self.Instance}
}

func (c *Controller) record(k key) *record {
	r := c.members[k]
	if r == nil {
		r = &record{Member: Member{Zone: k.zone, Instance: k.instance, Status: Unheard}}
		c.members[k] = r
	}
	return r
}

// Subscribe adds an observer of events. It is called before Run. Observers are called one at a time in the order of
// the events; they may read the controller but not change it, and must not block.
func (c *Controller) Subscribe(f func(Event)) {
	c.observers = append(c.observers, f)
}

// Run sends heartbeats, reads the instance list and applies time-outs until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		c.tick(ctx, c.opts.Clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (c *Controller) tick(ctx context.Context, now time.Time) {
	paused := c.gate.tick(now)
	c.mu.Lock()
	if paused {
		c.pauseLocked(now)
	}
	c.expireLocked(now)
	c.settleLocked(now)
	c.resumeLocked(now)
	read := c.listDueLocked(now)
	body, addrs := c.beatLocked(now)
	c.mu.Unlock()
	for _, addr := range addrs {
		c.opts.Transport.Notify(addr, peer.Heartbeat, body) // best effort; silence is what counts
	}
	if read {
		c.reading.Store(true)
		go c.readList(ctx, now)
	}
	c.deliver()
}

// beatLocked returns the heartbeat and the addresses that are due for it.
func (c *Controller) beatLocked(now time.Time) (body []byte, addrs []string) {
	zoneDue, farDue := !now.Before(c.nextZone), !now.Before(c.nextFar)
	if !zoneDue && !farDue {
		return nil, nil
	}
	for k, r := range c.members {
		inZone := k.zone == c.opts.Self.Zone
		if due := inZone && zoneDue || !inZone && farDue; due && r.Addr != "" && c.worthCalling(r, now) {
			addrs = append(addrs, r.Addr)
		}
	}
	if zoneDue {
		c.nextZone = now.Add(ZoneHeartbeatInterval)
	}
	if farDue {
		c.nextFar = now.Add(OtherZoneHeartbeatInterval)
	}
	c.seq++
	c.gate.round(c.seq)
	return message.Encode(c.heartbeatLocked()), addrs
}

// worthCalling leaves out members that the list no longer contains and that are silent, so that replaced instances
// are not dialed until they are forgotten. Without a readable list everybody is called, and seeds are always called.
func (c *Controller) worthCalling(r *record, now time.Time) bool {
	if r.Live() || r.listed || r.absentSince.IsZero() || now.Sub(c.listed.last) > MaxListGap {
		return true
	}
	return now.Sub(r.absentSince) < AbsentAfter || c.isSeed(key{r.Zone, r.Instance})
}

func (c *Controller) heartbeatLocked() *message.Heartbeat {
	l := c.opts.LocalState()
	return &message.Heartbeat{
		Incarnation:  c.opts.Self.Incarnation,
		Seq:          c.seq,
		Version:      l.Version,
		Schema:       l.Schema,
		FreeSlots:    l.FreeSlots,
		Slots:        l.Slots,
		Backlog:      l.Backlog,
		ExpectedWait: l.ExpectedWait,
		Draining:     c.draining,
		Settled:      c.settled,
		Acks:         c.acksLocked(),
	}
}

func (c *Controller) acksLocked() []message.Ack {
	var acks []message.Ack
	for k, r := range c.members {
		if k.zone == c.opts.Self.Zone && r.Live() {
			acks = append(acks, message.Ack{Instance: k.instance, Incarnation: r.Incarnation, Seq: r.seen})
		}
	}
	return acks
}

// HandleHeartbeat is the handler of peer.Heartbeat. It does not block.
func (c *Controller) HandleHeartbeat(_ context.Context, from peer.From, body []byte) ([]byte, error) {
	var h message.Heartbeat
	if err := message.Decode(body, &h); err != nil {
		return nil, err
	}
	k := key{from.Zone, from.Instance}
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.deliver()
	defer c.mu.Unlock()
	if c.isSelf(k) {
		c.supersedeLocked(h.Incarnation)
		return nil, errOwnName
	}
	c.heardLocked(k, from.Addr, &h, now)
	return nil, nil
}

func (c *Controller) heardLocked(k key, addr string, h *message.Heartbeat, now time.Time) {
	r := c.record(k)
	if h.Incarnation < r.Incarnation {
		return // an earlier life of the instance; its messages count for nothing
	}
	kind := heardKind(r, h)
	before := r.Member
	r.heard = now
	r.Addr = addr
	r.Status = Alive
	if h.Incarnation != r.Incarnation {
		r.acked, r.seen = 0, 0
	}
	r.fill(h)
	r.seen = max(r.seen, h.Seq)
	r.ack(c, h)
	r.Draining = h.Draining || r.leaving == r.Incarnation && r.leaving != 0
	if kind == Returned && k.zone == c.opts.Self.Zone {
		c.returns++
	}
	if kind == Changed && before.Draining == r.Draining && before.Settled == r.Settled && before.Version == r.Version {
		return
	}
	c.emitLocked(kind, r)
}

func heardKind(r *record, h *message.Heartbeat) EventKind {
	switch {
	case r.heard.IsZero():
		return Joined
	case h.Incarnation > r.Incarnation:
		return Restarted
	case r.Status == Dead:
		return Returned
	case r.Status == Suspect:
		return Recovered
	}
	return Changed
}

func (r *record) fill(h *message.Heartbeat) {
	r.Incarnation = h.Incarnation
	r.Version, r.Schema = h.Version, h.Schema
	r.FreeSlots, r.Slots = h.FreeSlots, h.Slots
	r.Backlog, r.Wait = h.Backlog, h.ExpectedWait
	r.Settled = h.Settled
}

func (r *record) ack(c *Controller, h *message.Heartbeat) {
	for _, a := range h.Acks {
		if a.Instance == c.opts.Self.Instance && a.Incarnation == c.opts.Self.Incarnation {
			r.acked = max(r.acked, a.Seq)
		}
	}
}

// expireLocked applies the time-outs to silent members and forgets those that are long gone.
func (c *Controller) expireLocked(now time.Time) {
	for k, r := range c.members {
		if r.heard.IsZero() {
			continue
		}
		silent := now.Sub(r.heard)
		suspectAfter, deadAfter := OtherZoneSuspectAfter, OtherZoneDeadAfter
		if k.zone == c.opts.Self.Zone {
			suspectAfter, deadAfter = ZoneSuspectAfter, ZoneDeadAfter
		}
		switch {
		case silent >= deadAfter && r.Live():
			r.Status = Dead
			c.emitLocked(Died, r)
		case silent >= suspectAfter && r.Status == Alive:
			r.Status = Suspect
			c.emitLocked(Suspected, r)
		case silent >= ForgetAfter && !r.listed && !c.isSeed(k):
			delete(c.members, k)
		}
	}
}

func (c *Controller) isSeed(k key) bool {
	for _, s := range c.opts.Seeds {
		if k == (key{s.Zone, s.Instance}) {
			return true
		}
	}
	return false
}

// settleLocked lets this instance own workers once it has had the time to hear its peers.
func (c *Controller) settleLocked(now time.Time) {
	age := now.Sub(c.start)
	if c.settled || age < SettleTime || c.listed.last.IsZero() && age < MaxSettleWait {
		return
	}
	c.settled = true
	c.nextZone = now // tell the zone at once
	c.pending = append(c.pending, Event{Kind: Settled})
}

// SetDraining announces that the instance takes no new work, or takes it again.
func (c *Controller) SetDraining(draining bool) {
	c.mu.Lock()
	c.draining = draining
	c.nextZone, c.nextFar = time.Time{}, time.Time{}
	c.pending = append(c.pending, Event{Kind: Changed})
	c.mu.Unlock()
	c.deliver()
}

func (c *Controller) supersedeLocked(incarnation uint64) {
	if incarnation <= c.opts.Self.Incarnation || c.newer {
		return
	}
	c.newer = true
	c.gate.stop()
	c.opts.Log.WithField("event", "dispatch_stopped").WithField("incarnation", incarnation).Error("a newer incarnation of this instance exists; dispatching stops")
	c.pending = append(c.pending, Event{Kind: Superseded})
}

func (c *Controller) emitLocked(kind EventKind, r *record) {
	c.pending = append(c.pending, Event{Kind: kind, Member: r.Member})
}

// deliver passes pending events on in their order, without the lock on the state.
func (c *Controller) deliver() {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	for {
		c.mu.Lock()
		events := c.pending
		c.pending = nil
		c.mu.Unlock()
		if len(events) == 0 {
			return
		}
		for _, e := range events {
			c.notify(e)
		}
	}
}

func (c *Controller) notify(e Event) {
	fields := map[string]any{"event": string(e.Kind)}
	if e.Member.Instance != "" {
		fields["zone"], fields["instance"], fields["incarnation"] = e.Member.Zone, e.Member.Instance, e.Member.Incarnation
	}
	c.opts.Log.WithFields(fields).Info("membership")
	for _, f := range c.observers {
		f(e)
	}
}
