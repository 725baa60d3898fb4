// Package lead decides which instances dispatch for an availability zone. The instances of a zone share the partitions of
// a topic as a group of the store; the holder of a partition dispatches for the endpoints that belong to it. The group's
// generation, which rises with each change, makes the fence of its orders.
package lead

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/store"
)

const (
	joinInterval = 250 * time.Millisecond
	// settleInterval is the pause between joins for settleTime after a change of the group. A partition goes to its next
	// holder only after a join of the one before, and each learns of it from a join of its own.
	settleInterval = 60 * time.Millisecond
	settleTime     = time.Second
	joinsInFlight  = 4 // joins do not wait for the answers of those before, which may be lost or slow
	// ttlFactor times the shortest time to live makes a member outlast joins that are lost or carried out late. A member
	// that is known to be gone is taken out by the others sooner.
	ttlFactor   = 3
	deposePause = 2 * time.Second // between two attempts to take out the same member
	// ownersInterval and otherOwnersInterval are the pauses between two looks at the dispatchers of the own and of another
	// zone that nothing asks for. A dispatcher that is lost or has changed is searched at once.
	ownersInterval      = 5 * time.Second
	otherOwnersInterval = 10 * time.Second
	searchInterval      = 150 * time.Millisecond // while a dispatcher of the own zone is not known or not reached
	otherSearchInterval = time.Second            // between two searches in a zone that may be cut off
	memberSeparator     = "|"
	leaveTimeout        = 500 * time.Millisecond
	leavePause          = 250 * time.Millisecond // between two attempts to leave
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
	// EndpointsKnown reports whether this instance knows the zone's endpoints. One that does not yet leaves the partitions with
	// the members that have them. Nil means always.
	EndpointsKnown func() bool
	// OnChange tells this instance's new term. Calls are made in order; they must not block or call the controller.
	OnChange func(term Term)
}

// Term says which partitions this instance holds.
type Term struct {
	Generation int64 `json:"generation"` // of the group
	Partitions []int `json:"partitions"` // in ascending order
}

// Holds reports whether a partition is held.
func (t Term) Holds(partition int) bool { return slices.Contains(t.Partitions, partition) }

func (t Term) equal(o Term) bool {
	return t.Generation == o.Generation && slices.Equal(t.Partitions, o.Partitions)
}

// Controller holds the membership of one instance.
type Controller struct {
	opts   Options
	verify chan struct{} // asks for a join now
	search chan struct{} // tells that a zone is wanted

	mu      sync.Mutex
	term    Term
	changed time.Time // when the group's generation last rose
	leaving bool
	left    bool // for good; a late join may still make this instance a member
	joined  bool // at least once
	lost    bool
	joining int                       // joins without an answer
	deposed map[string]time.Time      // last attempt by member
	holders map[string]map[int]string // member by zone and partition
	wanted  map[string]bool           // zones whose dispatchers are to be looked up now
}

// New returns a controller that is not running.
func New(o Options) *Controller {
	return &Controller{
		opts: o, verify: make(chan struct{}, 1), search: make(chan struct{}, 1), holders: map[string]map[int]string{},
		deposed: map[string]time.Time{}, wanted: map[string]bool{},
	}
}

// Run keeps the membership until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.leave(ctx) // an earlier life of this instance may still be a member; its fence must not be used again
	for {
		if c.mayJoin() {
			go c.join(ctx)
		}
		t := time.NewTimer(c.joinPause())
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-c.verify:
		}
		t.Stop()
	}
}

func (c *Controller) joinPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.changed) < settleTime || c.waits() {
		return settleInterval
	}
	return joinInterval
}

// Verify asks the store at once whether this instance still dispatches. An endpoint that has seen a higher fence is a
// reason.
func (c *Controller) Verify() { poke(c.verify) }

// Search asks the store soon who dispatches for a zone.
func (c *Controller) Search(zone string) {
	c.mu.Lock()
	c.wanted[zone] = true
	c.mu.Unlock()
	poke(c.search)
}

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
		Group: topic, Topic: topic, Member: c.member(), TTL: ttlFactor * c.opts.TTL, Generation: c.term.Generation,
	}
}

// member returns this instance's name in its group.
func (c *Controller) member() string { return c.opts.Instance + memberSeparator + c.opts.Address }

func addressOf(member string) string {
	return member[strings.LastIndex(member, memberSeparator)+1:]
}

func (c *Controller) mayJoin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || c.joining >= joinsInFlight || c.waits() {
		return false
	}
	c.joining++
	return true
}

// waits reports whether this instance is to stay out of the group for now. It would take over partitions whose endpoints
// it cannot know, as after an outage of the store in which registrations have ended. c.mu is held.
func (c *Controller) waits() bool {
	if c.joined || c.opts.EndpointsKnown == nil || c.opts.EndpointsKnown() {
		return false
	}
	holders, found := c.holders[c.opts.Zone]
	if !found {
		return true // it is not known yet whether others hold them
	}
	for _, holder := range holders {
		if holder != c.member() {
			return true
		}
	}
	return false
}

func (c *Controller) join(ctx context.Context) {
	share, err := c.opts.Store.Join(ctx, c.membership())
	c.mu.Lock()
	c.joining--
	c.joined = c.joined || err == nil
	c.mu.Unlock()
	if err != nil {
		c.reportLost(err)
		return
	}
	c.reportBack()
	slices.Sort(share.Partitions)
	c.setTerm(Term{share.Generation, share.Partitions})
}

// setTerm takes the term of a generation. Answers that were overtaken by those to later joins are left out.
func (c *Controller) setTerm(term Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term.Generation < c.term.Generation || c.leaving && len(term.Partitions) > 0 || c.term.equal(term) {
		return
	}
	if term.Generation > c.term.Generation {
		c.changed = time.Now()
		c.Verify() // a join with this generation gives back what has gone to others
	}
	c.term = term
	c.opts.Log.WithFields(logrus.Fields{"event": "term", "generation": term.Generation, "partitions": term.Partitions}).
		Info("this instance's partitions changed")
	c.opts.OnChange(term)
}

// Leave ends the membership for good, so that another instance dispatches. While the store does not answer this instance
// keeps its term: nobody else could take it over. It returns when the store has answered, or when ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for !c.leave(ctx) && ctx.Err() == nil {
		t := time.NewTimer(leavePause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	c.mu.Lock()
	c.left = true
	c.mu.Unlock()
	c.setTerm(Term{Generation: c.Term().Generation})
}

// leave asks the store once to end the membership, and returns whether it has answered.
func (c *Controller) leave(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := c.opts.Store.Leave(ctx, c.membership())
	if err != nil {
		c.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("the store does not confirm the end of the membership")
	}
	return err == nil
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

// Dispatcher returns the address of the holder of a zone's partition, or "" while it is not known.
func (c *Controller) Dispatcher(zone string, partition int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if zone == c.opts.Zone && c.term.Holds(partition) {
		return c.opts.Address
	}
	holder := c.holders[zone][partition]
	if holder == c.member() {
		return "" // the store says so, and this instance has not heard of it yet
	}
	return addressOf(holder)
}

// Follow keeps the addresses of the zones' dispatchers up to date until ctx ends. settled tells that the own zone's
// dispatchers are known and reached.
func (c *Controller) Follow(ctx context.Context, zones []string, settled func() bool) {
	last := map[string]time.Time{}
	for ctx.Err() == nil {
		unsettled := !settled()
		for _, zone := range zones {
			if time.Since(last[zone]) < c.pauseOf(zone, unsettled) {
				continue
			}
			c.find(ctx, zone)
			last[zone] = time.Now()
		}
		t := time.NewTimer(searchInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-c.search:
		}
		t.Stop()
	}
}

// pauseOf returns the time after the last look at a zone's dispatchers from which the next one is due.
func (c *Controller) pauseOf(zone string, unsettled bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch own, wanted := zone == c.opts.Zone, c.wanted[zone]; {
	case own && wanted:
		return 0
	case own && (unsettled || c.left):
		return searchInterval
	case own:
		return ownersInterval
	case wanted:
		return otherSearchInterval
	}
	return otherOwnersInterval
}

func (c *Controller) find(ctx context.Context, zone string) {
	c.mu.Lock()
	delete(c.wanted, zone)
	c.mu.Unlock()
	owners, err := c.opts.Store.Owners(ctx, c.opts.Topic(zone))
	if err != nil {
		return // join reports the loss of the store; the last address stays
	}
	holders := map[int]string{}
	for _, o := range owners {
		holders[o.Partition] = o.Member
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if zone == c.opts.Zone {
		c.leaveAgain(ctx, holders)
	}
	if !maps.Equal(holders, c.holders[zone]) {
		c.opts.Log.WithFields(logrus.Fields{"event": "dispatchers", "zone": zone, "members": members(holders)}).
			Info("the zone's dispatchers changed")
	}
	c.holders[zone] = holders
}

// leaveAgain ends the membership once more if this instance has left and is a member again: a join that was on its way for
// long, as over a connection that a cut had held up, was carried out after the end. c.mu is held.
func (c *Controller) leaveAgain(ctx context.Context, holders map[int]string) {
	if !c.left || !slices.Contains(slices.Collect(maps.Values(holders)), c.member()) {
		return
	}
	c.opts.Log.WithField("event", "member_again").Warn("a late join has made this instance a member again; it leaves once more")
	go c.leave(ctx)
}

func members(holders map[int]string) []string {
	all := slices.Collect(maps.Values(holders))
	slices.Sort(all)
	return slices.Compact(all)
}

// Depose takes the own zone's member at an address out of the group, because this instance has found it dead or silent.
// Should it live, its orders are fenced by its successors', and it joins again.
func (c *Controller) Depose(ctx context.Context, address string) {
	m := c.membership()
	c.mu.Lock()
	m.Member = ""
	for _, holder := range c.holders[c.opts.Zone] {
		if addressOf(holder) == address {
			m.Member = holder
		}
	}
	recent := time.Since(c.deposed[m.Member]) < deposePause
	if c.leaving || recent || m.Member == "" || m.Member == c.member() {
		c.mu.Unlock()
		return
	}
	c.deposed[m.Member] = time.Now()
	c.mu.Unlock()
	c.opts.Log.WithFields(logrus.Fields{"event": "depose", "member": m.Member}).Warn("a dispatcher is not reached and is taken out of the group")
	if err := c.opts.Store.Leave(ctx, m); err != nil {
		c.opts.Log.WithFields(logrus.Fields{"event": "depose_failed", "member": m.Member}).WithError(err).Warn("the dispatcher stays until its time to live ends")
	}
	c.Verify()
	c.Search(c.opts.Zone)
}
