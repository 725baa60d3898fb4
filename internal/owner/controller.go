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
	tickInterval = 100 * time.Millisecond
	// viewInterval is how often the view is looked at without a Refresh. Assigning 240 workers ten times a second was a
	// large part of an idle instance's processor time.
	viewInterval = time.Second
	callTimeout  = time.Second
)

// Consumer uses the slots. Its methods are called in order, must not block and must not call the controller before
// they return.
type Consumer interface {
	// SetSlots limits the tasks that run on a worker at any time. Running tasks above the limit go on. Each call
	// is confirmed by one call of Controller.Applied when the limit is in force.
	SetSlots(worker platform.Instance, slots int)
	// Drop forgets a worker. It is called when no slot is held any more, or when the instance list no longer
	// contains the worker; in that case tasks may still run.
	Drop(worker string)
}

// TaskCounter asks a worker for its running tasks.
type TaskCounter interface {
	// CountForeign returns how many tasks run on a worker that this instance has not started.
	CountForeign(ctx context.Context, worker platform.Instance) (int, error)
}

// Transport carries claims and handovers; peer.Node is one.
type Transport interface {
	Call(ctx context.Context, addr string, m peer.Method, body []byte) ([]byte, error)
	Notify(addr string, m peer.Method, body []byte) error
}

// Options configures a Controller.
type Options struct {
	Incarnation uint64
	View        func() View // usually FromMember of the membership's view
	Transport   Transport
	Slots       Consumer
	TaskCounter TaskCounter
	Clock       clockwork.Clock // the real clock if nil
}

// Controller owns workers for this instance. Its methods are safe for concurrent use.
type Controller struct {
	opts Options
	wake chan struct{}

	mu   sync.Mutex
	core *core
}

// New returns a controller.
func New(opts Options) *Controller {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	return &Controller{opts: opts, core: newCore(opts.Incarnation), wake: make(chan struct{}, 1)}
}

// Refresh makes Run look at the view at once. It does not block; membership events call it.
func (c *Controller) Refresh() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run follows the view until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	var viewed time.Time
	for {
		now := c.opts.Clock.Now()
		if viewed.IsZero() || now.Sub(viewed) >= viewInterval {
			viewed = now
			c.follow(ctx)
		} else {
			c.step(ctx, func(now time.Time) { c.core.tick(now) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-c.wake:
			viewed = time.Time{}
		}
	}
}

func (c *Controller) follow(ctx context.Context) {
	v := c.opts.View()
	c.step(ctx, func(now time.Time) {
		c.core.setView(now, v)
		c.core.tick(now)
	})
}

// step runs one transition and does what follows from it. The consumer is called under the lock, so that it gets
// the limits in their order.
func (c *Controller) step(ctx context.Context, transition func(now time.Time)) {
	c.mu.Lock()
	transition(c.opts.Clock.Now())
	out, addrs := c.core.take(), c.core.view.Addrs
	for _, s := range out.set {
		c.opts.Slots.SetSlots(s.worker, s.slots)
	}
	for _, w := range out.drop {
		c.opts.Slots.Drop(w)
	}
	c.mu.Unlock()
	for _, h := range out.handover {
		c.opts.Transport.Notify(addrs[h.to.Instance], peer.Handover, message.Encode(&h.handover)) // a lost one is made up for by the next claim
	}
	for _, t := range out.claims {
		go c.claim(ctx, addrs[t.to.Instance], t)
	}
	for _, a := range out.asks {
		go c.ask(ctx, a)
	}
}

func (c *Controller) claim(ctx context.Context, addr string, t claimTo) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.opts.Transport.Call(call, addr, peer.Claim, message.Encode(&t.claim))
	var h message.Handover
	if err != nil || message.Decode(body, &h) != nil || h.Incarnation != t.to.Incarnation {
		return // claimed again after ClaimInterval
	}
	c.step(ctx, func(now time.Time) { c.core.handedOver(now, t.to, &h) })
}

func (c *Controller) ask(ctx context.Context, a ask) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	foreign, err := c.opts.TaskCounter.CountForeign(call, a.worker)
	c.step(ctx, func(now time.Time) { c.core.asked(now, a.worker.Name, a.number, foreign, err) })
}

// HandleClaim is the handler of peer.Claim. It does not block.
func (c *Controller) HandleClaim(_ context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.Claim
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.core.claimed(Holder{Instance: from.Instance, Incarnation: m.Incarnation}, &m)
	return message.Encode(&h), nil
}

// HandleHandover is the handler of peer.Handover. It does not block.
func (c *Controller) HandleHandover(ctx context.Context, from peer.From, body []byte) ([]byte, error) {
	var m message.Handover
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	h := Holder{Instance: from.Instance, Incarnation: m.Incarnation}
	ctx = context.WithoutCancel(ctx) // a question that follows does not depend on the peer's connection
	c.step(ctx, func(now time.Time) { c.core.handedOver(now, h, &m) })
	return nil, nil
}

// SlotsApplied confirms one SetSlots. busy is the number of tasks that run on the worker.
func (c *Controller) SlotsApplied(worker string, busy int) {
	c.step(context.Background(), func(time.Time) { c.core.applied(worker, busy) })
}

// TaskEnded reports that a task has ended on a worker on which busy tasks still run. It need only be called while more
// tasks run than the worker's limit allows, and once when their number comes down to the limit.
func (c *Controller) TaskEnded(worker string, busy int) {
	c.step(context.Background(), func(time.Time) { c.core.ended(worker, busy) })
}

// CountForeign asks an endpoint how many tasks run on it besides a list of own ones. A task that was started after the
// list was made counts as another's, which errs on the side of fewer slots.
func CountForeign(ctx context.Context, e platform.Endpoint, own []string) (int, error) {
	status, err := e.Renew(ctx, own)
	if err != nil {
		return 0, fmt.Errorf("running count: %w", err)
	}
	foreign := status.Running
	for _, t := range status.Tasks {
		if t.State == platform.TaskRunning {
			foreign--
		}
	}
	return max(0, foreign), nil
}

// State is the state of one worker, for operators.
type State struct {
	Worker         string `json:"worker"`
	Owned          bool   `json:"owned"`
	Limit          int    `json:"limit"`
	Slots          int    `json:"slots"`
	InUse          int    `json:"holding"`          // upper bound of the slots in use by this instance
	Others         int    `json:"others"`           // slots that peers still hold
	Foreign        int    `json:"foreign"`          // tasks of others at the last question; -1: not asked
	Complete       bool   `json:"complete"`         // every slot is accounted for
	WaitingForPeer bool   `json:"waiting_for_peer"` // a peer has not released the worker
}

// Dump returns the state of all workers of the zone.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []State
	for _, name := range c.core.names() {
		s := c.core.workers[name]
		states = append(states, State{
			Worker: name, Owned: s.mine, Limit: s.limit, Slots: s.worker.Slots, InUse: s.granted,
			Others: s.heldByOthers(), Foreign: s.foreign, Complete: s.clean, WaitingForPeer: !s.released(),
		})
	}
	return states
}
