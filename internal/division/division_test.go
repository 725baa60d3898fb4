package division

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

const topic = "keyed.divisions"

// following returns a controller that follows a store, and the number of its calls of OnChange.
func following(t *testing.T, s *keyed.Store) (*Controller, *atomic.Int64) {
	c, changed, cancel := followingUntil(t, s)
	t.Cleanup(cancel)
	return c, changed
}

// followingUntil is like following and also returns the function that ends the controller.
func followingUntil(t *testing.T, s *keyed.Store) (*Controller, *atomic.Int64, context.CancelFunc) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	changed := &atomic.Int64{}
	c := New(Options{Store: s, Topic: topic, ReadWait: time.Second, EndpointsPerPartition: 40, Log: log, OnChange: func() { changed.Add(1) }})
	ctx, cancel := context.WithCancel(t.Context())
	go c.Run(ctx)
	return c, changed, cancel
}

// Guards against too many endpoints per dispatcher, and against more partitions than a group can share.
func TestPartitionsFor(t *testing.T) {
	is := is.New(t)
	for endpoints, parts := range map[int]int{0: 1, 16: 1, 40: 1, 41: 2, 117: 4, 400: 16, 5000: 16} {
		is.Equal(PartitionsFor(endpoints, 40, MaxPartitions), parts)
	}
}

// Guards against one dispatcher for so many endpoints that their start requests exceed its link, and against partitions that
// are too small for wide jobs.
func TestEndpointsPerPartition(t *testing.T) {
	is := is.New(t)
	for mbps, endpoints := range map[float64]int{0: 40, 1000: 40, 25: 40, 4: 32, 2: 16, 0.5: 8} {
		is.Equal(EndpointsPerPartition(mbps), endpoints)
	}
	is.Equal(PartitionsFor(17, EndpointsPerPartition(2), 16), 2)
	is.Equal(PartitionsFor(17, EndpointsPerPartition(25), 16), 1)
}

// Guards against more partitions than the group has, of which some would have no dispatcher.
func TestPartitionsOfSmallGroup(t *testing.T) {
	is := is.New(t)
	is.Equal(PartitionsFor(400, 40, 4), 4)
	is.Equal(PartitionsFor(400, 40, 6), 4)
	is.Equal(PartitionsFor(400, 40, 1), 1)
}

// Guards against an instance that dispatches for most of its zone while others have no partition, although the store deals the
// partitions of the group evenly: in blocks to the first members, or in turns.
func TestPartitionsAreSpreadOverMembers(t *testing.T) {
	is := is.New(t)
	deals := map[string]func(groupPartition, members, groupPartitions int) int{
		"in blocks": func(p, members, all int) int { return p * members / all },
		"in turns":  func(p, members, _ int) int { return p % members },
	}
	for deal, holder := range deals {
		for _, all := range []int{16, 32} {
			for _, members := range []int{3, 4, 5, 8} {
				for partitions := 2; partitions <= 8; partitions *= 2 {
					held := map[int]int{}
					busiest := 0
					for part := range partitions {
						p := groupPartition(part, partitions, all)
						is.True(p < all)
						h := holder(p, members, all)
						held[h]++
						busiest = max(busiest, held[h])
					}
					t.Log(deal, all, "group partitions,", members, "members,", partitions, "partitions: the busiest holds", busiest)
					is.True(busiest <= (partitions+members-1)/members+1) // at most one more than an even share
				}
			}
		}
	}
}

// Guards against two partitions with the same place in the group.
func TestGroupPartitionsDiffer(t *testing.T) {
	is := is.New(t)
	for _, all := range []int{1, 2, 4, 16, 20, 32, 100} {
		for partitions := 1; partitions <= min(all, MaxPartitions); partitions *= 2 {
			seen := map[int]bool{}
			for part := range partitions {
				p := groupPartition(part, partitions, all)
				is.True(p < all)
				is.True(!seen[p])
				seen[p] = true
			}
		}
	}
}

// Guards against instances with different numbers of partitions for a zone: one has raised the number for the registered
// endpoints, and one starts later, when most registrations are gone.
func TestControllersAgreeOnPartitions(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	before, _ := following(t, s)
	wait.For(t, "the numbers are known", before.Known)
	is.Equal(before.Partitions("north"), 1)
	before.Raise(t.Context(), "north", 117)
	wait.For(t, "the number has risen", func() bool { return before.Partitions("north") == 4 })
	is.True(!before.ChangedAt("north").IsZero())
	after, changed := following(t, s)
	wait.For(t, "the numbers are known", after.Known)
	is.Equal(after.Partitions("north"), 4)
	is.Equal(after.Partitions("south"), 1)
	is.True(after.ChangedAt("north").IsZero()) // it has not changed since this controller started
	is.Equal(changed.Load(), int64(1))
	after.Raise(t.Context(), "north", 3)
	is.Equal(after.Partitions("north"), 4)
}

// Guards against a number that falls because a lower one is written late or the store drops its history.
func TestNumbersDoNotFall(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	s.Set(topic, formatKey("north", 8), []byte{1})
	c, _ := following(t, s)
	wait.For(t, "the number is known", func() bool { return c.Partitions("north") == 8 })
	s.Set(topic, formatKey("north", 2), []byte{1})
	s.DropHistory(topic)
	s.Set(topic, formatKey("south", 2), []byte{1})
	wait.For(t, "the later record is read", func() bool { return c.Partitions("south") == 2 })
	is.Equal(c.Partitions("north"), 8)
}

// Guards against an instance that uses a higher number than the other instances because the store could not be reached to
// write it, and against a failed attempt to raise a number that is not repeated.
func TestRaiseWithoutStore(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	c, _ := following(t, s)
	wait.For(t, "the numbers are known", c.Known)
	s.SetDown(true)
	c.Raise(t.Context(), "north", 117)
	is.Equal(c.Partitions("north"), 1)
	s.SetDown(false)
	wait.For(t, "the number has risen", func() bool {
		c.Raise(t.Context(), "north", 117)
		return c.Partitions("north") == 4
	})
}

// Guards against accepting records with an invalid number of partitions.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	zone, parts, err := parseKey(formatKey("canal/north", 16))
	is.NoErr(err)
	is.Equal(zone, "canal/north")
	is.Equal(parts, 16)
	for _, key := range []string{"", "north", "north/", "north/0", "north/3", "north/32", "north/-2", "north/x"} {
		_, _, err := parseKey(key)
		is.True(err != nil)
	}
}

// Guards against a zone without a dispatcher because the instances started while the numbers of partitions could not be
// read, against a guess that is used in the moment in which they can be read again, and against one that stays in force afterwards.
func TestGuessWhileUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		s.Set(topic, formatKey("north", 4), []byte{1})
		s.Set(topic, formatKey("south", 2), []byte{1})
		s.SetDown(true)
		c, changed, cancel := followingUntil(t, s)
		is.Equal(c.Partitions("north"), 1)
		c.Guess("north", 60)
		c.Guess("south", 60)
		c.Guess("north", 10) // fewer, since registrations end during the outage
		is.Equal(c.Partitions("north"), 2)
		time.Sleep(2 * guessDelay)
		is.True(!c.Usable()) // the store has answered nothing yet
		c.NoteAnswer()
		time.Sleep(guessDelay - time.Millisecond)
		c.NoteAnswer()
		is.True(!c.Usable())
		time.Sleep(time.Millisecond)
		is.True(c.Usable())
		is.True(!c.Known())
		s.SetDown(false)
		time.Sleep(time.Second)
		is.True(c.Known())
		is.Equal(changed.Load(), int64(1))
		is.Equal(c.Partitions("north"), 4)
		is.True(!c.ChangedAt("north").IsZero()) // the guess was wrong
		is.True(c.ChangedAt("south").IsZero())
		c.Guess("north", 400)
		is.Equal(c.Partitions("north"), 4)
		cancel()
		time.Sleep(time.Second) // time for the controller's last read to end
	})
}

// Guards against a deployment that is taken for one without stored jobs on the strength of an earlier read: the first one may have been
// announced since. The clock is virtual.
func TestStoredJobsUnusedNeedsALaterRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		c, _, cancel := followingUntil(t, s)
		time.Sleep(100 * time.Millisecond)
		asked := time.Now()
		is.True(c.Known())
		is.True(!c.StoredJobsUnused(asked))
		time.Sleep(1500 * time.Millisecond) // a read and its wait
		is.True(c.StoredJobsUnused(asked))
		s.SetDown(true)
		time.Sleep(5 * time.Second)
		is.True(!c.StoredJobsUnused(time.Now().Add(-3 * time.Second)))
		s.SetDown(false)
		other, _, cancelOther := followingUntil(t, s)
		is.NoErr(other.AnnounceStoredJobs(t.Context()))
		time.Sleep(2 * time.Second)
		is.True(!c.StoredJobsUnused(asked))
		is.True(c.StoredJobs())
		cancel()
		cancelOther()
		time.Sleep(2 * time.Second)
	})
}
