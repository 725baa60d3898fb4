package lead

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/standin/keyed"
)

// zone is a zone of strong instances, which hold all partitions, and weak ones, of which some are wanted as spare members.
type zone struct {
	store   *keyed.Store
	members []*member
}

const (
	capacityInUse  = 4
	capacityWanted = 6
)

// start starts the strong instances and a moment later the weak ones: one that sees a group without members may join at once.
func (z *zone) start(strong, weak int) {
	z.members = nil
	for i := range strong {
		z.members = append(z.members, startWithSpare(z.store, fmt.Sprint("strong", i), strongCapacity))
	}
	time.Sleep(2 * settleInterval)
	for i := range weak {
		z.members = append(z.members, startWithSpare(z.store, fmt.Sprint("weak", i), 1))
	}
}

func (z *zone) stop() {
	for _, m := range z.members {
		m.stop()
	}
}

func (z *zone) candidates() int {
	n := 0
	for _, m := range z.members {
		if m.Candidate() {
			n++
		}
	}
	return n
}

// startWithSpare starts a member of a zone.
func startWithSpare(s *keyed.Store, name string, capacity int) *member {
	return startWithOptions(s, name, capacity, func(o *Options) {
		o.CapacityNeeded = func() int { return capacityWanted }
		o.CapacityInUse = func() int { return capacityInUse }
	})
}

// Guards against partitions that are dealt anew in the seconds after a restart of all instances, for the sake of spare capacity, and against
// a group that stays without any. The clock is virtual.
func TestSpareMembersJoinLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := &zone{store: keyed.New()}
		z.start(2, 6)
		time.Sleep(time.Second)
		generation := z.members[0].Term().Generation
		time.Sleep(minSparePatience - 2*time.Second)
		is.Equal(z.candidates(), 2)
		is.Equal(z.members[0].Term().Generation, generation)
		time.Sleep(10 * time.Second)
		is.True(z.candidates() >= 4)
		z.stop()
		time.Sleep(time.Second)
	})
}

// Guards against partitions without capacity because instances wait as if only spare capacity were lacking: a strong member is lost. They
// must not all join at once either, although they have seen the lack of spare capacity for long. The clock is virtual.
func TestLostMemberIsReplacedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := &zone{store: keyed.New()}
		z.start(2, 8)
		time.Sleep(minSparePatience - time.Second)
		is.Equal(z.candidates(), 2)
		z.members[1].Leave(t.Context())
		z.members[1].stop()
		time.Sleep(minPatience / 2)
		is.Equal(z.candidates(), 2) // the one that is left and the one that has ended
		time.Sleep(minPatience + extraPatience + time.Second)
		held := 0
		for _, m := range z.members[2:] {
			held += len(m.Term().Partitions)
		}
		is.True(held > 0)
		is.True(z.candidates() < len(z.members))
		z.stop()
		time.Sleep(time.Second)
	})
}

// Guards against a strong instance that is back two seconds after the others and waits for a lack of capacity: it joins at once, and the
// weak ones do not take its place meanwhile if the partitions have what they need. The clock is virtual.
func TestStrongInstanceThatIsBackLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := &zone{store: keyed.New()}
		z.start(2, 6)
		time.Sleep(2 * time.Second)
		late := startWithSpare(z.store, "strong2", strongCapacity)
		z.members = append(z.members, late)
		time.Sleep(joinInterval + 2*settleInterval)
		is.True(len(late.Term().Partitions) > 0)
		time.Sleep(10 * time.Second)
		is.Equal(z.candidates(), 3) // nothing is lacking any more
		z.stop()
		time.Sleep(time.Second)
	})
}

// Guards against a weak instance that reads the registrations only at its next look, and joins later for it.
func TestCandidateIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		announced := make(chan struct{}, 1)
		m := startWithOptions(keyed.New(), "weak", 1, func(o *Options) {
			o.CapacityNeeded = func() int { return 1 }
			o.OnCandidate = func() { announced <- struct{}{} }
		})
		time.Sleep(maxEmptyPatience + 2*ownSearchInterval)
		is.True(m.Candidate())
		is.Equal(len(announced), 1)
		m.stop()
		time.Sleep(time.Second)
	})
}
