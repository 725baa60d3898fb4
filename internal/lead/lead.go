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
	joinInterval        = 250 * time.Millisecond
	joinsInFlight       = 4 // joins do not wait for the answers of those before, which may be lost or slow
	// ttlFactor times the shortest time to live makes a member outlast joins that are lost or carried out late. A member
	// that is known to be gone is taken out by the others sooner.
	ttlFactor       = 3
	deposePause     = 2 * time.Second // between two attempts to take out the same member
	ownersInterval  = 2 * time.Second
	searchInterval  = 150 * time.Millisecond // while the dispatcher is not known or not reached
	memberSeparator = "|"
	leaveTimeout    = 500 * time.Millisecond
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
	// Changed tells that this instance begins, goes on with a higher fence, or ends to dispatch. Calls are made in order;
	// they must not block or call the controller.
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
	joining    int                  // joins without an answer
	member     string               // that dispatches for the own zone
	deposed    map[string]time.Time // last attempt by member
	dispatcher map[string]string    // address by zone
}

// New returns a controller that is not running.
func New(o Options) *Controller {
	return &Controller{
		opts: o, verify: make(chan struct{}, 1), search: make(chan struct{}, 1), dispatcher: map[string]string{},
		deposed: map[string]time.Time{},
	}
}

// Run keeps the membership until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.leave(ctx) // an earlier life of this instance may still be a member; its fence must not be used again
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		if c.mayJoin() {
			go c.join(ctx)
		}
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
		TTL: ttlFactor * c.opts.TTL, Generation: c.generation,
	}
}

func (c *Controller) mayJoin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || c.joining >= joinsInFlight {
		return false
	}
	c.joining++
	return true
}

func (c *Controller) join(ctx context.Context) {
	share, err := c.opts.Store.Join(ctx, c.membership())
	c.mu.Lock()
	c.joining--
	c.mu.Unlock()
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
	c.setTerm(term, share.Generation)
}

// setTerm takes the term of a generation. Answers that were overtaken by those to later joins are left out.
func (c *Controller) setTerm(term Term, generation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation < c.generation || c.leaving && term.Leading {
		return
	}
	c.generation = generation
	if c.term == term {
		return
	}
	c.term = term
	if term.Leading {
		c.dispatcher[c.opts.Zone] = c.opts.Address
	} else {
		delete(c.dispatcher, c.opts.Zone)
	}
	c.opts.Log.WithFields(logrus.Fields{"event": "term", "leading": term.Leading, "fence": term.Fence, "generation": generation}).
		Info("this instance's term as dispatcher changed")
	c.opts.Changed(term)
}

// Leave ends the membership for good, so that another instance dispatches.
func (c *Controller) Leave() {
	c.mu.Lock()
	c.leaving = true
	generation := c.generation
	c.mu.Unlock()
	c.setTerm(Term{}, generation)
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
	member := ""
	for _, o := range owners {
		if o.Partition == dispatcherPartition {
			member = o.Member
		}
	}
	address := member[strings.LastIndex(member, memberSeparator)+1:]
	c.mu.Lock()
	defer c.mu.Unlock()
	if zone == c.opts.Zone {
		if c.term.Leading {
			return
		}
		c.member = member
	}
	if c.dispatcher[zone] != address {
		c.opts.Log.WithFields(logrus.Fields{"event": "dispatcher", "zone": zone, "address": address}).
			Info("the zone's dispatcher changed")
	}
	c.dispatcher[zone] = address
}

// Depose takes the own zone's dispatcher at an address out of the group, because this instance has found it dead or
// silent. Should it live, its orders are fenced by its successor's, and it joins again.
func (c *Controller) Depose(ctx context.Context, address string) {
	m := c.membership()
	c.mu.Lock()
	member := c.member
	recent := time.Since(c.deposed[member]) < deposePause
	if c.leaving || recent || !strings.HasSuffix(member, memberSeparator+address) {
		c.mu.Unlock()
		return
	}
	c.deposed[member] = time.Now()
	c.mu.Unlock()
	m.Member = member
	c.opts.Log.WithFields(logrus.Fields{"event": "depose", "member": member}).Warn("the zone's dispatcher is not reached and is taken out of the group")
	if err := c.opts.Store.Leave(ctx, m); err != nil {
		c.opts.Log.WithFields(logrus.Fields{"event": "depose_failed", "member": member}).WithError(err).Warn("the dispatcher stays until its time to live ends")
	}
	c.Verify()
	c.Search()
}
