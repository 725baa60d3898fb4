package lead

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
)

// member is one instance of a zone.
type member struct {
	*Controller
	stop context.CancelFunc
	mu   sync.Mutex
	past []Term // terms passed to OnChange
}

func (m *member) terms() []Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Term(nil), m.past...)
}

func join(t *testing.T, s store.Store, name string) *member { return joinIfKnown(t, s, name, nil) }

// joinIfKnown is like join for a member with the given Options.EndpointsKnown.
func joinIfKnown(t *testing.T, s store.Store, name string, endpointsKnown func() bool) *member {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &member{}
	m.Controller = New(Options{
		Store: s, Zone: "north", Topic: func(zone string) string { return "lead." + zone }, Instance: name, Address: name + ":1",
		TTL: 300 * time.Millisecond, Log: log, EndpointsKnown: endpointsKnown,
		OnChange: func(term Term) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.past = append(m.past, term)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	t.Cleanup(cancel)
	go m.Run(ctx)
	go m.Follow(ctx, []string{"north"}, func() bool { return false })
	return m
}

func leading(m *member) func() bool { return func() bool { return m.Term().Holds(0) } }

// leaderAndMember returns the dispatcher of a zone and a member that knows it.
func leaderAndMember(t *testing.T) (a, b *member) {
	s := keyed.New()
	a = join(t, s, "a")
	wait.For(t, "the first member leads", leading(a))
	b = join(t, s, "b")
	wait.For(t, "the second member knows the dispatcher", func() bool { return b.Dispatcher("north", 0) == "a:1" })
	return a, b
}

// Guards against a zone without a dispatcher after the present one has died, and against a successor with the same fence.
func TestSuccession(t *testing.T) {
	is := is.New(t)
	a, b := leaderAndMember(t)
	before := a.Term().Generation
	a.stop()
	wait.For(t, "the second member leads", leading(b))
	is.True(b.Term().Generation > before)
}

// Guards against a zone that waits for the time to live of a dispatcher that another member has found dead.
func TestDepose(t *testing.T) {
	is := is.New(t)
	a, b := leaderAndMember(t)
	before := a.Term().Generation
	b.Depose(context.Background(), "c:1") // not the dispatcher
	is.Equal(b.Dispatcher("north", 0), "a:1")
	b.Depose(context.Background(), "a:1")
	wait.For(t, "the second member leads", leading(b))
	is.True(b.Term().Generation > before)
	wait.For(t, "the first member learns that it was removed", func() bool { return !a.Term().Holds(0) })
}

// Guards against partitions that have no dispatcher for several join intervals when a member joins: the present holder hands
// over only with a join that names the new generation. The clock is virtual.
func TestPartitionHandoverIsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		a := join(t, s, "a")
		time.Sleep(settleTime + time.Second)
		b := join(t, s, "b")
		time.Sleep(joinInterval + 2*settleInterval)
		is.Equal(len(b.Term().Partitions), keyed.Partitions/2)
		is.Equal(len(a.Term().Partitions), keyed.Partitions/2)
		a.stop()
		b.stop()
	})
}

// Guards against jobs for another zone that go to a dispatcher that has left, until the next regular look-up.
func TestSearchOfAnotherZone(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	other := store.Membership{Group: "lead.south", Topic: "lead.south", Member: "x|x:1", TTL: time.Hour}
	_, err := s.Join(t.Context(), other)
	is.NoErr(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(Options{Store: s, Zone: "north", Topic: func(zone string) string { return "lead." + zone }, Log: log})
	go c.Follow(t.Context(), []string{"north", "south"}, func() bool { return true })
	wait.For(t, "the dispatcher is known", func() bool { return c.Dispatcher("south", 0) == "x:1" })
	is.NoErr(s.Leave(t.Context(), other))
	other.Member = "y|y:1"
	_, err = s.Join(t.Context(), other)
	is.NoErr(err)
	begun := time.Now()
	c.Search("south")
	wait.For(t, "its successor is known", func() bool { return c.Dispatcher("south", 0) == "y:1" })
	is.True(time.Since(begun) < otherLookUpInterval/2)
}

// Guards against a zone that gets no jobs of others for many seconds after all instances have started again, because its group
// was still empty when they looked it up. The clock is virtual.
func TestZoneWithoutDispatchersIsLookedUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := New(Options{Store: s, Zone: "north", Topic: func(zone string) string { return "lead." + zone }, Log: log})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Follow(ctx, []string{"north", "south"}, func() bool { return true })
		time.Sleep(time.Second / 2) // the first look-up finds no member
		_, err := s.Join(t.Context(), store.Membership{Group: "lead.south", Topic: "lead.south", Member: "x|x:1", TTL: time.Hour})
		is.NoErr(err)
		time.Sleep(otherSearchInterval + ownSearchInterval)
		is.Equal(c.Dispatcher("south", 0), "x:1")
		cancel()
	})
}

// Guards against losing the term while the store cannot be reached, and against a term that continues after Leave.
func TestOutageAndLeave(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	a := join(t, s, "a")
	wait.For(t, "the member leads", leading(a))
	s.SetDown(true)
	a.Verify()
	time.Sleep(20 * time.Millisecond) // time for a join to fail, which must change nothing
	is.True(a.Term().Holds(0))
	s.SetDown(false)
	a.Leave(t.Context())
	is.True(!a.Term().Holds(0))
	last := a.terms()
	is.True(len(last[len(last)-1].Partitions) == 0)
}

// Guards against a membership that ends although the joins are carried out, because their answers are lost.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	a := join(t, s, "a")
	wait.For(t, "the first member leads", leading(a))
	s.SetLoseAnswers(true)
	join(t, s, "b")
	time.Sleep(1500 * time.Millisecond) // longer than the time to live
	s.SetLoseAnswers(false)
	a.Verify()
	time.Sleep(100 * time.Millisecond)
	is.True(a.Term().Holds(0))
}

// Guards against partitions that move from another member to an instance that does not know their endpoints, and against a
// zone without a dispatcher because the only instance does not know them.
func TestMemberWaitsUntilEndpointsAreKnown(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	var endpointsKnown atomic.Bool
	alone := joinIfKnown(t, s, "alone", endpointsKnown.Load)
	wait.For(t, "an instance that is alone leads", leading(alone))
	is.Equal(len(alone.Term().Partitions), keyed.Partitions)
	second := joinIfKnown(t, s, "second", endpointsKnown.Load)
	wait.For(t, "the second instance knows the dispatcher", func() bool { return second.Dispatcher("north", 0) == "alone:1" })
	time.Sleep(3 * settleInterval)
	is.Equal(len(second.terms()), 0)
	is.Equal(len(alone.Term().Partitions), keyed.Partitions)
	endpointsKnown.Store(true)
	wait.For(t, "the second instance gets its share of the partitions", func() bool { return len(second.Term().Partitions) > 0 })
}

// Guards against a zone without a dispatcher when an instance stops while the store cannot be reached: it must keep its
// partitions, because only the store can assign them to another instance.
func TestLeaveWithoutStore(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	a := join(t, s, "a")
	wait.For(t, "the member leads", leading(a))
	s.SetDown(true)
	left := make(chan struct{})
	go func() {
		a.Leave(t.Context())
		close(left)
	}()
	time.Sleep(2 * leavePause)
	is.True(a.Term().Holds(0))
	s.SetDown(false)
	<-left
	is.True(!a.Term().Holds(0))
	s.SetDown(true)
	b := join(t, s, "b")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	b.Leave(ctx) // ctx has ended, so Leave returns although the store does not answer
	is.Equal(len(b.Term().Partitions), 0)
}

// Guards against a zone without a dispatcher because a join that was sent before the membership ended is carried out
// afterwards.
func TestLateJoinAfterLeave(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	a := join(t, s, "a")
	wait.For(t, "the member leads", leading(a))
	a.Leave(t.Context())
	late := a.membership()
	late.TTL = time.Hour
	_, err := s.Join(t.Context(), late)
	is.NoErr(err)
	held := func() int {
		owners, err := s.Owners(t.Context(), late.Group)
		is.NoErr(err)
		return len(owners)
	}
	is.Equal(held(), keyed.Partitions)
	wait.For(t, "the late member has left", func() bool { return held() == 0 })
	is.Equal(len(a.Term().Partitions), 0)
}

// startWith starts a member with a capacity in a group that needs another one.
func startWith(s *keyed.Store, name string, capacity, needed int) *member {
	return startWithOptions(s, name, capacity, func(o *Options) { o.CapacityNeeded = func() int { return needed } })
}

// startWithOptions starts a member with a capacity and the options that set has changed.
func startWithOptions(s *keyed.Store, name string, capacity int, set func(*Options)) *member {
	m := &member{stop: func() {}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{
		Store: s, Zone: "north", Topic: func(zone string) string { return "lead." + zone }, Instance: name, Address: name + ":1",
		TTL: time.Second, Log: log, OnChange: func(Term) {}, Capacity: capacity,
	}
	set(&o)
	m.Controller = New(o)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.Run(ctx)
	go m.Follow(ctx, []string{"north"}, func() bool { return true })
	return m
}

// Guards against memberships and reads of the registrations that grow with the number of instances: weak instances stay out while
// strong ones have the capacity that the zone needs, and join when these are gone. The clock is virtual.
func TestWeakInstancesStayOutOfTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		candidates := func(all []*member) int {
			n := 0
			for _, m := range all {
				if m.Candidate() {
					n++
				}
			}
			return n
		}
		var strong, weak []*member
		strong = append(strong, startWith(s, "strong", 2, 3))
		for i := range 20 {
			weak = append(weak, startWith(s, fmt.Sprint("weak", i), 1, 3))
		}
		time.Sleep(10 * time.Second)
		is.Equal(candidates(strong), 1)
		t.Log(candidates(weak), "of 20 weak instances joined; one is needed")
		is.True(candidates(weak) >= 1 && candidates(weak) <= 10) // others may join before they see the first one
		for _, m := range strong {
			m.Leave(t.Context())
			m.stop()
		}
		time.Sleep(5 * time.Second)
		is.True(candidates(weak) >= 3)
		held := 0
		for _, m := range weak {
			held += len(m.Term().Partitions)
		}
		is.Equal(held, keyed.Partitions) // the partitions have holders again
		for _, m := range weak {
			m.stop()
		}
		time.Sleep(time.Second)
	})
}

// overtakingStore answers the first join that gives a member no partition behind the first one that gives it some.
type overtakingStore struct {
	*keyed.Store
	member   string
	mu       sync.Mutex
	held     bool
	overtook chan struct{} // closed when a join has given the member partitions
	once     sync.Once
}

func (s *overtakingStore) Join(ctx context.Context, m store.Membership) (store.Assignment, error) {
	a, err := s.Store.Join(ctx, m)
	if err != nil || m.Member != s.member {
		return a, err
	}
	if len(a.Partitions) > 0 {
		s.once.Do(func() { close(s.overtook) })
		return a, err
	}
	s.mu.Lock()
	first := !s.held
	s.held = true
	s.mu.Unlock()
	if first {
		<-s.overtook
		time.Sleep(100 * time.Millisecond)
	}
	return a, err
}

// Guards against a term that ends and begins again with the same fence because the answers to two joins of one generation overtake each
// other: endpoints do not refuse late requests of the earlier term then. The clock is virtual.
func TestAnswersToJoinsThatOvertakeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		slow := &overtakingStore{Store: s, member: "b|0|b:1", overtook: make(chan struct{})}
		a := join(t, s, "a")
		wait.For(t, "the first member leads", leading(a))
		b := join(t, slow, "b")
		time.Sleep(3 * time.Second)
		a.stop()
		b.stop()
		time.Sleep(time.Second)
		slow.mu.Lock()
		is.True(slow.held)
		slow.mu.Unlock()
		held := false
		for _, term := range b.terms() {
			is.True(!held || len(term.Partitions) > 0)
			held = len(term.Partitions) > 0
		}
		is.True(held)
	})
}

// Guards against a confirmation that is newer than the last answer of the store, or that stays behind while the store answers.
func TestConfirmed(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	a := join(t, s, "a")
	wait.For(t, "the member leads", leading(a))
	first := a.Confirmed()
	is.True(first.Term.equal(a.Term()))
	wait.For(t, "a later join confirms the term", func() bool { return a.Confirmed().At.After(first.At) })
	s.SetDown(true)
	time.Sleep(20 * time.Millisecond) // for the answer to a join on its way
	last := a.Confirmed()
	time.Sleep(2 * joinInterval)
	is.Equal(a.Confirmed().At, last.At)
	s.SetDown(false)
	wait.For(t, "a join after the outage confirms the term", func() bool { return a.Confirmed().At.After(last.At) })
}
