// Package lead determines which instances dispatch for an availability zone. The instances of a zone form a group of the
// store, which shares the partitions of a topic among them. The holder of a partition dispatches for the endpoints that
// belong to it. The fence of its orders derives from the group's generation, which rises with each change of the group:
// endpoints refuse orders with a lower fence than the highest one that they have seen, so that a former holder cannot
// continue.
//
// An instance is a member of its zone's group as long as it repeats the request to join often enough. The answer to a join
// lists the partitions that the member holds.
package lead

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/store"
)

const (
	joinInterval = 250 * time.Millisecond
	// settleInterval is the pause between joins for settleTime after a change of the group. A partition moves to its next
	// holder only after a join of the present holder, and each of the two is informed of the move by the answer to its
	// next join. While this instance must not join yet, it checks in the same interval whether it may.
	settleInterval   = 60 * time.Millisecond
	settleTime       = time.Second
	maxJoinsInFlight = 4 // a join does not wait for the answers to earlier ones, which may be lost or slow
	// ttlFactor is the factor between Options.TTL and the time to live of a membership. It keeps a member in the group while
	// joins are lost or carried out late. The other members remove a member that is known to have ended sooner.
	ttlFactor       = 3
	deposePause     = 2 * time.Second // pause between two attempts to remove the same member
	memberSeparator = "|"
	// substituteMark is the first part of the names of members that are substitutes.
	substituteMark = "substitute"
	leaveTimeout   = 500 * time.Millisecond
	leavePause     = 250 * time.Millisecond // pause between two attempts to leave
)

// Options configures a Controller.
type Options struct {
	Store    store.Store
	Zone     string
	Topic    func(zone string) string
	Instance string
	Address  string        // address at which other instances reach the dispatchers of this instance
	TTL      time.Duration // a membership ends after ttlFactor times this without a join
	Log      logrus.FieldLogger
	// Capacity is the number of partitions that this instance should hold at most.
	Capacity int
	// CapacityNeeded returns the sum of capacities that the zone's group needs. Weak instances stay out of the group while its
	// members have that much, so that few instances read the registrations and renew memberships. Nil means no limit.
	CapacityNeeded func() int
	// CapacityInUse returns the part of CapacityNeeded that the zone's partitions need. The rest is spare capacity for the loss of a
	// member, and instances join for it later. Nil means that all of it is in use.
	CapacityInUse func() int
	// EndpointsKnown reports whether this instance knows the zone's endpoints. As long as it does not, the instance leaves
	// the partitions to the members that hold them. Nil means always.
	EndpointsKnown func() bool
	// Hosts reports whether another zone has to serve the callers of this instance's zone at the moment. Nil means that none ever does.
	Hosts func(zone string) bool
	// Substitute marks an instance of another zone. However strong it is, it joins only while the members lack capacity.
	Substitute bool
	// OnCandidate is called when this instance is to be a member; nil for none. It must not block or call the controller.
	OnCandidate func()
	// OnChange is called with this instance's new term. Calls are made in order; they must not block or call the controller.
	OnChange func(term Term)
}

// Term describes which partitions of its zone this instance holds, under one generation of the zone's group. A
// shard.Term, in contrast, is the right to dispatch for a single partition.
type Term struct {
	Generation int64 `json:"generation"` // generation of the group
	Partitions []int `json:"partitions"` // in ascending order
}

// Holds reports whether a partition is held.
func (t Term) Holds(partition int) bool { return slices.Contains(t.Partitions, partition) }

func (t Term) equal(o Term) bool {
	return t.Generation == o.Generation && slices.Equal(t.Partitions, o.Partitions)
}

// Confirmation is a term that the store has confirmed by an answer to a join that was sent at a time: when the store gave the answer,
// no other member held the term's partitions under the same or a later generation.
type Confirmation struct {
	Term Term
	At   time.Time
}

// Controller holds the membership of one instance.
type Controller struct {
	opts      Options
	joinNow   chan struct{} // triggers a join
	lookUpNow chan struct{} // triggers the look-up of a zone in lookUpSoon
	started   time.Time     // when the controller was made; constant
	confirmed atomic.Pointer[Confirmation]

	mu                  sync.Mutex
	term                Term
	generationChangedAt time.Time // when the group's generation last rose
	leaving             bool
	hasLeft             bool          // Leave has ended; a late join may still make this instance a member
	joined              bool          // a join has succeeded
	candidate           bool          // this instance is to be a member
	lookedUpAt          time.Time     // when the last successful look-up of the instance's zone began
	lackingSince        time.Time     // since when the members' capacity is too low; zero while it is not
	lackingSpare        bool          // only spare capacity is lacking
	patience            time.Duration // how long it must be too low before this instance joins
	emptyPatience       time.Duration // like patience, for a group without members
	sparePatience       time.Duration // like patience, for a group that lacks only spare capacity
	renewalFailing      bool
	joinsPending        int                       // number of joins without an answer yet
	joinsSent           int                       // number of the last join
	answered            int                       // highest number of a join whose answer was applied
	deposedAt           map[string]time.Time      // last attempt to remove a member, by member
	holders             map[string]map[int]string // member that holds a partition, by zone and partition
	lookUpSoon          map[string]bool           // zones for which Search was called since the last look-up
	vacancies           map[string]vacancy        // by zone, see Vacancy
	lostAt              map[string]time.Time      // by zone, see DispatcherLost
}

// New returns a controller that is not running.
func New(o Options) *Controller {
	return &Controller{
		opts: o, joinNow: make(chan struct{}, 1), lookUpNow: make(chan struct{}, 1), started: time.Now(), holders: map[string]map[int]string{},
		deposedAt: map[string]time.Time{}, lookUpSoon: map[string]bool{}, patience: minPatience + rand.N(extraPatience),
		emptyPatience: rand.N(maxEmptyPatience), sparePatience: minSparePatience + rand.N(extraPatience),
		vacancies: map[string]vacancy{}, lostAt: map[string]time.Time{},
	}
}

// Run renews the membership until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.leave(ctx) // an earlier process of this instance may still be a member; its fence must not be used again
	for ctx.Err() == nil {
		if number, ok := c.beginJoin(); ok {
			go c.join(ctx, number)
		}
		pause.For(ctx, c.joinPause(), c.joinNow)
	}
}

func (c *Controller) joinPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.generationChangedAt) < settleTime || c.mustWait() {
		return settleInterval
	}
	return joinInterval
}

// Verify triggers a join at once, to check whether this instance still holds its partitions. Callers use it, for example,
// when an endpoint has seen a higher fence.
func (c *Controller) Verify() { notify(c.joinNow) }

// Search requests a look-up of the dispatchers of a zone soon.
func (c *Controller) Search(zone string) {
	c.mu.Lock()
	c.lookUpSoon[zone] = true
	c.mu.Unlock()
	notify(c.lookUpNow)
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Term returns this instance's current term.
func (c *Controller) Term() Term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// Confirmed returns the last confirmation of a term. It does not wait.
func (c *Controller) Confirmed() Confirmation {
	if last := c.confirmed.Load(); last != nil {
		return *last
	}
	return Confirmation{}
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
func (c *Controller) member() string {
	parts := []string{c.opts.Instance, strconv.Itoa(c.opts.Capacity), c.opts.Address}
	if c.opts.Substitute {
		parts = append([]string{substituteMark}, parts...)
	}
	return strings.Join(parts, memberSeparator)
}

func addressOf(member string) string {
	return member[strings.LastIndex(member, memberSeparator)+1:]
}

// beginJoin returns the number of the join that may be sent now, and counts it as pending. ok is false if none may be sent.
func (c *Controller) beginJoin() (number int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving || c.joinsPending >= maxJoinsInFlight || c.mustWait() {
		return 0, false
	}
	c.joinsPending++
	c.joinsSent++
	return c.joinsSent, true
}

// mustWait reports whether this instance must not join the group yet, because it does not know the zone's endpoints and
// another member holds partitions, or may hold some. Registrations may have ended, for example, during an outage of the
// store. c.mu is held.
func (c *Controller) mustWait() bool {
	if c.joined {
		return false
	}
	if !c.isCandidate() {
		return true
	}
	if c.opts.EndpointsKnown == nil || c.opts.EndpointsKnown() {
		return false
	}
	holders, found := c.holders[c.opts.Zone]
	if !found {
		return true // it is not known yet whether others hold the partitions
	}
	for _, holder := range holders {
		if holder != c.member() {
			return true
		}
	}
	return false
}

func (c *Controller) join(ctx context.Context, number int) {
	sent := time.Now()
	share, err := c.opts.Store.Join(ctx, c.membership())
	c.mu.Lock()
	c.joinsPending--
	c.joined = c.joined || err == nil
	c.mu.Unlock()
	if err != nil {
		c.reportRenewalFailing(err)
		return
	}
	c.reportRenewed()
	slices.Sort(share.Partitions)
	c.applyAnswer(Confirmation{Term{share.Generation, share.Partitions}, sent}, number)
}

// applyAnswer sets the term that the answer to a join gives. Answers may overtake each other, also within a generation: one that arrives
// behind the answer to a later join would end the dispatchers of partitions for a moment, which would then begin again with the same fence.
func (c *Controller) applyAnswer(answer Confirmation, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	term := answer.Term
	if term.Generation == c.term.Generation && number < c.answered {
		return
	}
	c.answered = max(c.answered, number)
	c.setTerm(term)
	if c.term.equal(term) {
		c.confirmed.Store(&answer)
	}
}

// setTerm sets the term. It ignores terms of an older generation, from answers that arrive late, and terms with partitions
// once this instance is leaving. c.mu is held.
func (c *Controller) setTerm(term Term) {
	if term.Generation < c.term.Generation || c.leaving && len(term.Partitions) > 0 || c.term.equal(term) {
		return
	}
	if term.Generation > c.term.Generation {
		c.generationChangedAt = time.Now()
		c.Verify() // a join with this generation releases partitions that move to other members
	}
	c.term = term
	c.opts.Log.WithFields(logrus.Fields{"event": "term", "generation": term.Generation, "partitions": term.Partitions}).
		Info("this instance's partitions changed")
	c.opts.OnChange(term)
}

// Leave ends the membership permanently, so that other instances take over the partitions. While the store does not answer,
// this instance keeps its term, since no other one could take over. Leave returns when the store has answered or ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for !c.leave(ctx) && ctx.Err() == nil {
		pause.For(ctx, leavePause, nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasLeft = true
	c.setTerm(Term{Generation: c.term.Generation})
}

// leave requests the end of the membership from the store once and returns whether the store has confirmed it.
func (c *Controller) leave(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := c.opts.Store.Leave(ctx, c.membership())
	if err != nil {
		c.opts.Log.WithField("event", "leave_failed").WithError(err).Warn("the store did not confirm the end of the membership")
	}
	return err == nil
}

func (c *Controller) reportRenewalFailing(err error) {
	c.mu.Lock()
	first := !c.renewalFailing
	c.renewalFailing = true
	c.mu.Unlock()
	if first {
		c.opts.Log.WithField("event", "membership_lost").WithError(err).Warn("renewing the membership failed")
	}
}

func (c *Controller) reportRenewed() {
	c.mu.Lock()
	was := c.renewalFailing
	c.renewalFailing = false
	c.mu.Unlock()
	if was {
		c.opts.Log.WithField("event", "membership_back").Info("the membership is renewed again")
	}
}

// Depose removes the member of this instance's zone at an address from the group, because this instance has found it dead or
// silent. If the member is alive, the higher fence of its successors stops its orders, and it joins again.
func (c *Controller) Depose(ctx context.Context, address string) {
	m := c.membership()
	c.mu.Lock()
	m.Member = ""
	for _, holder := range c.holders[c.opts.Zone] {
		if addressOf(holder) == address {
			m.Member = holder
		}
	}
	recent := time.Since(c.deposedAt[m.Member]) < deposePause
	if c.leaving || recent || m.Member == "" || m.Member == c.member() {
		c.mu.Unlock()
		return
	}
	c.deposedAt[m.Member] = time.Now()
	c.mu.Unlock()
	c.opts.Log.WithFields(logrus.Fields{"event": "depose", "member": m.Member}).
		Warn("dispatcher cannot be reached; removing it from the group")
	if err := c.opts.Store.Leave(ctx, m); err != nil {
		c.opts.Log.WithFields(logrus.Fields{"event": "depose_failed", "member": m.Member}).WithError(err).
			Warn("removing the dispatcher failed; it stays until its time to live ends")
	}
	c.Verify()
	c.Search(c.opts.Zone)
}
