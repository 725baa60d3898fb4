// Package lead decides which instance dispatches for an availability zone. The instances of a zone share the partitions
// of a topic as a group of the store; the holder of partition 0 is the dispatcher. The group's generation, which rises
// with each change, is the fence of its orders.
package lead

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/store"
)

const (
	dispatcherPartition = 0
	joinsPerTTL         = 4 // a member keeps its place although two joins in a row are lost
	ownersInterval      = 2 * time.Second
	searchInterval      = 150 * time.Millisecond // while the dispatcher is not known or not reached
	memberSeparator     = "|"
	leaveTimeout        = 500 * time.Millisecond
)

// Options configures a Controller.
type Options struct {
	Store    store.Store
	Zone     string
	Topic    func(zone string) string
	Instance string
	Address  string // for links of other instances
	TTL      time.Duration
	Log      logrus.FieldLogger
	// Changed tells that this instance begins, goes on with a higher fence, or ends to dispatch. Calls are made in order.
	Changed func(term Term)
}

// Term says whether this instance dispatches, and with which fence.
type Term struct {
	Leading bool
	Fence   int64
}

// Controller holds the membership of one instance.
type Controller struct {
	opts   Options
	verify chan struct{} // asks for a join now
	search chan struct{} // asks for the dispatcher's address now

	mu         sync.Mutex
	term       Term
	generation int64
	leaving    bool
	lost       bool
	dispatcher map[string]string // address by zone
}

// New returns a controller that is not running.
func New(o Options) *Controller {
	return &Controller{
		opts: o, verify: make(chan struct{}, 1), search: make(chan struct{}, 1), dispatcher: map[string]string{},
	}
}

// Run keeps the membership until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.leave(ctx) // an earlier life of this instance may still be a member; its fence must not be used again
	ticker := time.NewTicker(c.opts.TTL / joinsPerTTL)
	defer ticker.Stop()
	for {
		c.join(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.verify:
		}
	}
}

// Verify asks the store at once whether this instance still dispatches. An endpoint that has seen a higher fence is a
// reason.
func (c *Controller) Verify() { poke(c.verify) }

// Search asks the store at once who dispatches.
func (c *Controller) Search() { poke(c.search) }

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Term returns this instance's present term.
func (c *Controller) Term() Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

func (c *Controller) membership() store.Membership {
	c.mu.Lock()
	defer c.mu.Unlock()
	topic := c.opts.Topic(c.opts.Zone)
	return store.Membership{
		Group: topic, Topic: topic, Member: c.opts.Instance + memberSeparator + c.opts.Address,
		TTL: c.opts.TTL, Generation: c.generation,
	}
}

func (c *Controller) join(ctx context.Context) {
	if c.isLeaving() || ctx.Err() != nil {
		return
	}
	share, err := c.opts.Store.Join(ctx, c.membership())
	if err != nil {
		c.reportLost(err)
		return
	}
	c.reportBack()
	term := Term{}
	for _, part := range share.Partitions {
		if part == dispatcherPartition {
			term = Term{Leading: true, Fence: share.Generation}
		}
	}
	c.mu.Lock()
	c.generation = share.Generation
	if c.leaving {
		term = Term{}
	}
	c.mu.Unlock()
	c.setTerm(term)
}

func (c *Controller) setTerm(term Term) {
	c.mu.Lock()
	changed := c.term != term
	c.term = term
	if term.Leading {
		c.dispatcher[c.opts.Zone] = c.opts.Address
	} else if changed {
		delete(c.dispatcher, c.opts.Zone)
	}
	c.mu.Unlock()
	if !changed {
		return
	}
	c.opts.Log.WithFields(logrus.Fields{"event": "term", "leading": term.Leading, "fence": term.Fence}).
		Info("this instance's term as dispatcher changed")
	c.opts.Changed(term)
}

func (c *Controller) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// Leave ends the membership for good, so that another instance dispatches.
func (c *Controller) Leave() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.setTerm(Term{})
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.leave(ctx)
}

func (c *Controller) leave(ctx context.Context) {
	if err := c.opts.Store.Leave(ctx, c.membership()); err != nil {
		c.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("the membership ends by its time to live")
	}
}

func (c *Controller) reportLost(err error) {
	c.mu.Lock()
	first := !c.lost
	c.lost = true
	c.mu.Unlock()
	if first {
		c.opts.Log.WithField("event", "membership_lost").WithError(err).Warn("the membership cannot be renewed")
	}
}

func (c *Controller) reportBack() {
	c.mu.Lock()
	was := c.lost
	c.lost = false
	c.mu.Unlock()
	if was {
		c.opts.Log.WithField("event", "membership_back").Info("the membership is renewed again")
	}
}

// Dispatcher returns the address of a zone's dispatcher, or "" while it is not known.
func (c *Controller) Dispatcher(zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher[zone]
}

// Follow keeps the addresses of the zones' dispatchers up to date until ctx ends. settled tells that the own zone's
// dispatcher is known and reached.
func (c *Controller) Follow(ctx context.Context, zones []string, settled func() bool) {
	due := map[string]time.Time{}
	for ctx.Err() == nil {
		for _, zone := range zones {
			if time.Now().Before(due[zone]) {
				continue
			}
			c.find(ctx, zone)
			due[zone] = time.Now().Add(ownersInterval)
		}
		wait := searchInterval
		if !settled() {
			due[c.opts.Zone] = time.Time{}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-c.search:
			due[c.opts.Zone] = time.Time{}
		}
		t.Stop()
	}
}

func (c *Controller) find(ctx context.Context, zone string) {
	owners, err := c.opts.Store.Owners(ctx, c.opts.Topic(zone))
	if err != nil {
		return // join reports the loss of the store; the last address stays
	}
	address := ""
	for _, o := range owners {
		if o.Partition == dispatcherPartition {
			address = o.Member[strings.LastIndex(o.Member, memberSeparator)+1:]
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if zone == c.opts.Zone && c.term.Leading {
		return
	}
	if c.dispatcher[zone] != address {
		c.opts.Log.WithFields(logrus.Fields{"event": "dispatcher", "zone": zone, "address": address}).
			Info("the zone's dispatcher changed")
	}
	c.dispatcher[zone] = address
}
