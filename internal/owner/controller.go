package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/platform"
)

const (
	// tickInterval is the time between two checks for claims and counts that are due.
	tickInterval = 100 * time.Millisecond
	// viewInterval is the time between two reads of the view without a Refresh. Assigning 240 workers ten times a second
	// took a large part of an idle instance's processor time.
	viewInterval = time.Second
	// callTimeout is the timeout of a claim or a count.
	callTimeout = time.Second
)

// Consumer uses the slots. Its methods are called in the order of the decisions and with the controller's lock held: they
// must not block, and must not call the controller before they return.
type Consumer interface {
	// SetSlots limits the number of tasks that run on a worker at the same time. Running tasks above the limit continue.
	// When the limit is in force, the consumer confirms each call by one call of Controller.SlotsApplied.
	SetSlots(worker platform.Instance, slots int)
	// Drop removes a worker. It is called when this instance holds no slot of the worker any more, or when the instance
	// list no longer contains the worker; in the second case tasks may still run.
	Drop(worker string)
}

// TaskCounter counts running tasks on workers.
type TaskCounter interface {
	// CountForeign returns the number of tasks that run on a worker and were not started by this instance.
	CountForeign(ctx context.Context, worker platform.Instance) (int, error)
}

// Transport sends claims and handovers to peers. peer.Node implements it.
type Transport interface {
	Call(ctx context.Context, addr string, m peer.Method, body []byte) ([]byte, error)
	Notify(addr string, m peer.Method, body []byte) error
}

// Options configures a Controller.
type Options struct {
	Incarnation uint64      // incarnation of this instance
	View        func() View // returns the current view, usually from ViewFromMembers
	Transport   Transport
	Slots       Consumer
	TaskCounter TaskCounter
	Clock       clockwork.Clock // the real clock if nil
}

// Controller decides which workers this instance owns and how many of their slots it may use. Its methods are safe for
// concurrent use.
type Controller struct {
	opts Options
	wake chan struct{}

	mu   sync.Mutex
	core *core
}

// New returns a controller. It does nothing until Run is called.
func New(opts Options) *Controller {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	return &Controller{opts: opts, core: newCore(opts.Incarnation), wake: make(chan struct{}, 1)}
}

// Refresh makes Run read the view at once. It is called on membership events and does not block.
func (c *Controller) Refresh() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run keeps ownership up to date with the view until the context ends. It returns nil.
func (c *Controller) Run(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var viewedAt time.Time
	for {
		now := c.opts.Clock.Now()
		if viewedAt.IsZero() || now.Sub(viewedAt) >= viewInterval {
			viewedAt = now
			c.updateView(ctx)
		} else {
			c.step(ctx, func(now time.Time) { c.core.tick(now) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-c.wake:
			viewedAt = time.Time{}
		}
	}
}

// updateView reads the view and applies it.
func (c *Controller) updateView(ctx context.Context) {
	v := c.opts.View()
	c.step(ctx, func(now time.Time) {
		c.core.setView(now, v)
		c.core.tick(now)
	})
}

// step runs one transition of the state machine and carries out the resulting actions. The consumer is called with the lock
// held, so that it receives the limits in the order of the decisions.
func (c *Controller) step(ctx context.Context, transition func(now time.Time)) {
	c.mu.Lock()
	transition(c.opts.Clock.Now())
	out, addrs := c.core.takeActions(), c.core.view.Addrs
	for _, s := range out.limits {
		c.opts.Slots.SetSlots(s.worker, s.slots)
	}
	for _, w := range out.drop {
		c.opts.Slots.Drop(w)
	}
	c.mu.Unlock()
	for _, h := range out.handover {
		// If the handover is lost, the answer to the next claim replaces it.
		c.opts.Transport.Notify(addrs[h.to.Instance], peer.Handover, message.Encode(&h.handover))
	}
	for _, t := range out.claims {
		go c.claim(ctx, addrs[t.to.Instance], t)
	}
	for _, request := range out.counts {
		go c.count(ctx, request)
	}
}

// claim sends a claim to a peer and applies the answer.
func (c *Controller) claim(ctx context.Context, addr string, t claimTo) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.opts.Transport.Call(call, addr, peer.Claim, message.Encode(&t.claim))
	var h message.Handover
	if err != nil || message.Decode(body, &h) != nil || h.Incarnation != t.to.Incarnation {
		return // the claim is repeated after ClaimInterval
	}
	c.step(ctx, func(now time.Time) { c.core.handleHandover(now, t.to, &h) })
}

// count counts the tasks of other instances on a worker and applies the result.
func (c *Controller) count(ctx context.Context, request count) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	foreign, err := c.opts.TaskCounter.CountForeign(call, request.worker)
	c.step(ctx, func(now time.Time) { c.core.handleCount(now, request.worker.Name, request.number, foreign, err) })
}

// HandleClaim handles peer.Claim messages and returns the encoded handover. It does not block.
func (c *Controller) HandleClaim(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var m message.Claim
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.core.answerClaim(Holder{Instance: from.Instance, Incarnation: m.Incarnation}, &m)
	return message.Encode(&h), nil
}

// HandleHandover handles peer.Handover messages. It does not block.
func (c *Controller) HandleHandover(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var m message.Handover
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	h := Holder{Instance: from.Instance, Incarnation: m.Incarnation}
	ctx = context.WithoutCancel(ctx) // a count that this starts must not end with the peer's connection
	c.step(ctx, func(now time.Time) { c.core.handleHandover(now, h, &m) })
	return nil, nil
}

// SlotsApplied confirms one Consumer.SetSlots call. busy is the number of this instance's tasks that run on the worker.
func (c *Controller) SlotsApplied(worker string, busy int) {
	c.step(context.Background(), func(time.Time) { c.core.applied(worker, busy) })
}

// TaskEnded reports that a task of this instance has ended on a worker; busy tasks still run there. Calls are only needed
// while busy is at least the worker's limit.
func (c *Controller) TaskEnded(worker string, busy int) {
	c.step(context.Background(), func(time.Time) { c.core.ended(worker, busy) })
}

// CountForeign returns the number of tasks that run on an endpoint and are not in own, the names of this instance's tasks. A
// task that this instance started after the list was made is counted as well, which can only make fewer slots usable.
func CountForeign(ctx context.Context, e platform.Endpoint, own []string) (int, error) {
	status, err := e.Renew(ctx, own)
	if err != nil {
		return 0, fmt.Errorf("count of running tasks: %w", err)
	}
	foreign := status.Running
	for _, t := range status.Tasks {
		if t.State == platform.TaskRunning {
			foreign--
		}
	}
	return max(0, foreign), nil
}

// State is the state of one worker as operators see it.
type State struct {
	Worker         string `json:"worker"`
	Owned          bool   `json:"owned"`
	Limit          int    `json:"limit"`
	Slots          int    `json:"slots"`
	InUse          int    `json:"holding"`          // upper bound of the slots that this instance uses
	Others         int    `json:"others"`           // slots that peers still hold
	Foreign        int    `json:"foreign"`          // tasks of other instances at the last count; -1 if not counted
	Complete       bool   `json:"complete"`         // all tasks on the worker are known to be this instance's or a peer's
	WaitingForPeer bool   `json:"waiting_for_peer"` // at least one peer has not released the worker
}

// Dump returns the states of all workers of the zone, a []State sorted by name.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []State
	for _, name := range c.core.names() {
		s := c.core.workers[name]
		states = append(states, State{
			Worker: name, Owned: s.owned, Limit: s.limit, Slots: s.worker.Slots, InUse: s.inUseMax,
			Others: s.heldByOthers(), Foreign: s.foreign, Complete: s.accounted, WaitingForPeer: !s.released(),
		})
	}
	return states
}
