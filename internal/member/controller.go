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

var errOwnName = errors.New("received a heartbeat that carries this instance's own name")

type key struct{ zone, instance string }

// record is a member with the state that decides on its status.
type record struct {
	Member
	lastHeard          time.Time // arrival of the last heartbeat; zero: none yet
	lastSeq            uint64    // highest sequence number among the heartbeats received from the member
	lastAcked          uint64    // highest sequence number among this instance's heartbeats that the member has acknowledged
	listed             bool      // the last list contains the member
	leavingIncarnation uint64    // incarnation that the list shows as leaving; 0: none
	absentSince        time.Time // since when the lists have not contained the member; zero: listed, or no list read yet
}

// Controller tracks the members and this process's own pauses. Its methods are safe for concurrent use, except that
// Subscribe must be called before Run.
type Controller struct {
	opts  Options
	start time.Time
	gate  gate

	mu                     sync.Mutex
	members                map[key]*record
	list                   []platform.Instance
	listed                 listReads // reads of the instance list
	draining               bool
	settled                bool
	superseded             bool      // a newer incarnation of this instance exists, or this one is fenced
	returnCount            uint64    // see View.Returns
	seq                    uint64    // sequence number of the last heartbeat sent
	nextZoneHeartbeat      time.Time // when heartbeats to peers of the zone are due next
	nextOtherZoneHeartbeat time.Time // when heartbeats to peers of other zones are due next
	pending                []Event   // events that have not been delivered yet

	deliverMu sync.Mutex
	observers []func(Event)
	reading   atomic.Bool // a read of the instance list is in progress
}

// listReads is the history of reads of the instance list.
type listReads struct {
	last        time.Time // end of the last successful read; zero: none
	since       time.Time // end of the first of the successful reads that have followed each other without a gap above MaxListGap
	next        time.Time // when the next read is due
	lastErr     error     // error of the last read; nil if it succeeded
	lastStarted time.Time // start of the last successful read
}

// New returns a controller whose only members are the seeds. It works while Run is running.
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

// record returns the record of a member and creates it if there is none.
func (c *Controller) record(k key) *record {
	r := c.members[k]
	if r == nil {
		r = &record{Member: Member{Zone: k.zone, Instance: k.instance, Status: Unheard}}
		c.members[k] = r
	}
	return r
}

// Subscribe adds an observer of events. It must be called before Run. Observers are called one at a time in the order
// of the events. They may read the controller but must not change it, and must not block.
func (c *Controller) Subscribe(f func(Event)) {
	c.observers = append(c.observers, f)
}

// Run sends heartbeats, reads the instance list and applies timeouts until the context ends.
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
	body, addrs := c.dueHeartbeatLocked(now)
	c.mu.Unlock()
	for _, addr := range addrs {
		c.opts.Transport.Notify(addr, peer.Heartbeat, body) // best effort: a lost heartbeat shows as silence at the peer
	}
	if read {
		c.reading.Store(true)
		go c.readList(ctx, now)
	}
	c.deliver()
}

// dueHeartbeatLocked returns the encoded heartbeat and the addresses that it is due to be sent to, or nothing if no
// heartbeat is due.
func (c *Controller) dueHeartbeatLocked(now time.Time) (body []byte, addrs []string) {
	zoneDue, otherZoneDue := !now.Before(c.nextZoneHeartbeat), !now.Before(c.nextOtherZoneHeartbeat)
	if !zoneDue && !otherZoneDue {
		return nil, nil
	}
	for k, r := range c.members {
		inZone := k.zone == c.opts.Self.Zone
		if due := inZone && zoneDue || !inZone && otherZoneDue; due && r.Addr != "" && c.shouldCall(r, now) {
			addrs = append(addrs, r.Addr)
		}
	}
	if zoneDue {
		c.nextZoneHeartbeat = now.Add(ZoneHeartbeatInterval)
	}
	if otherZoneDue {
		c.nextOtherZoneHeartbeat = now.Add(OtherZoneHeartbeatInterval)
	}
	c.seq++
	c.gate.recordRound(c.seq)
	return message.Encode(c.heartbeatLocked()), addrs
}

// shouldCall reports whether heartbeats are sent to a member. Silent members that the list has not contained for
// AbsentAfter are left out, so that replaced instances are not dialed until ForgetAfter has passed. Heartbeats are always
// sent to seeds, and to all members while the list cannot be read.
func (c *Controller) shouldCall(r *record, now time.Time) bool {
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
			acks = append(acks, message.Ack{Instance: k.instance, Incarnation: r.Incarnation, Seq: r.lastSeq})
		}
	}
	return acks
}

// HandleHeartbeat is the handler of peer.Heartbeat. It does not block. A heartbeat under this instance's own name is an
// error, and stops dispatching if its incarnation is newer.
func (c *Controller) HandleHeartbeat(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
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
	c.applyHeartbeatLocked(k, from.Addr, &h, now)
	return nil, nil
}

// applyHeartbeatLocked updates the sender's record from a heartbeat and emits the event that follows from it.
func (c *Controller) applyHeartbeatLocked(k key, addr string, h *message.Heartbeat, now time.Time) {
	r := c.record(k)
	if h.Incarnation < r.Incarnation {
		return // sent by an earlier incarnation, which no longer counts
	}
	kind := heartbeatEventKind(r, h)
	before := r.Member
	r.lastHeard = now
	r.Addr = addr
	r.Status = Alive
	if h.Incarnation != r.Incarnation {
		r.lastAcked, r.lastSeq = 0, 0
	}
	r.update(h)
	r.lastSeq = max(r.lastSeq, h.Seq)
	r.recordAcks(c, h)
	r.Draining = h.Draining || r.leavingIncarnation == r.Incarnation && r.leavingIncarnation != 0
	if kind == Returned && k.zone == c.opts.Self.Zone {
		c.returnCount++
	}
	if kind == Changed && before.Draining == r.Draining && before.Settled == r.Settled && before.Version == r.Version {
		return
	}
	c.emitLocked(kind, r)
}

// heartbeatEventKind returns the kind of event for a heartbeat that arrives at a record.
func heartbeatEventKind(r *record, h *message.Heartbeat) EventKind {
	switch {
	case r.lastHeard.IsZero():
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

func (r *record) update(h *message.Heartbeat) {
	r.Incarnation = h.Incarnation
	r.Version, r.Schema = h.Version, h.Schema
	r.FreeSlots, r.Slots = h.FreeSlots, h.Slots
	r.Backlog, r.Wait = h.Backlog, h.ExpectedWait
	r.Settled = h.Settled
}

// recordAcks records which of this instance's heartbeats the sender has acknowledged.
func (r *record) recordAcks(c *Controller, h *message.Heartbeat) {
	for _, a := range h.Acks {
		if a.Instance == c.opts.Self.Instance && a.Incarnation == c.opts.Self.Incarnation {
			r.lastAcked = max(r.lastAcked, a.Seq)
		}
	}
}

// expireLocked marks silent members as suspect or dead, and removes those that have been silent for ForgetAfter and are
// neither listed nor seeds.
func (c *Controller) expireLocked(now time.Time) {
	for k, r := range c.members {
		if r.lastHeard.IsZero() {
			continue
		}
		silent := now.Sub(r.lastHeard)
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

// settleLocked marks this instance as settled, so that it may own workers, once it has listened for SettleTime and has
// read the instance list or waited for MaxSettleWait.
func (c *Controller) settleLocked(now time.Time) {
	age := now.Sub(c.start)
	if c.settled || age < SettleTime || c.listed.last.IsZero() && age < MaxSettleWait {
		return
	}
	c.settled = true
	c.nextZoneHeartbeat = now // announce it to the zone at once
	c.pending = append(c.pending, Event{Kind: Settled})
}

// SetDraining sets whether the instance is draining, that is refuses new work, and announces it to all peers with the
// next heartbeat round.
func (c *Controller) SetDraining(draining bool) {
	c.mu.Lock()
	c.draining = draining
	c.nextZoneHeartbeat, c.nextOtherZoneHeartbeat = time.Time{}, time.Time{}
	c.pending = append(c.pending, Event{Kind: Changed})
	c.mu.Unlock()
	c.deliver()
}

// supersedeLocked stops dispatching permanently if incarnation is newer than this process's.
func (c *Controller) supersedeLocked(incarnation uint64) {
	if incarnation <= c.opts.Self.Incarnation || c.superseded {
		return
	}
	c.superseded = true
	c.gate.stop()
	c.opts.Log.WithField("event", "dispatch_stopped").WithField("incarnation", incarnation).Error("a newer incarnation of this instance exists; dispatching stops")
	c.pending = append(c.pending, Event{Kind: Superseded})
}

func (c *Controller) emitLocked(kind EventKind, r *record) {
	c.pending = append(c.pending, Event{Kind: kind, Member: r.Member})
}

// deliver passes the pending events to the observers in order. c.mu is not held meanwhile, so observers can read the
// controller.
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
