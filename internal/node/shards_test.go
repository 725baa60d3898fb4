package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// Guards against an instance that starts while its zone has no registrations, concludes from their number that the zone
// has a single partition, and dispatches with that.
func TestShardsOfFewRegistrations(t *testing.T) {
	is := is.New(t)
	log := silentLog()
	s := keyed.New()
	s.Set("divisions", "north/4", []byte{1})
	counts := shard.NewCounts()
	directory := shard.NewDirectory()
	started := time.Now()
	n := newShards("north", directory, started, attempt.NewHistory(), func(part int) *shard.Shard {
		return shard.New(shard.Options{
			Zone: "north", Partition: part, Directory: directory, Lease: time.Second, Dialer: fleet.New(time.Second),
			History: attempt.NewHistory(), OnFenced: func() {}, OnReplaced: func() {}, Counts: &counts, Log: log, Now: func() time.Duration { return time.Since(started) },
		})
	})
	n.divisions = division.New(division.Options{Store: s, Topic: "divisions", ReadWait: time.Second, EndpointsPerPartition: 40, Log: log, OnChange: n.reconcile})
	n.setTerm(lead.Term{Generation: 3, Partitions: []int{8, 9}}) // the group partition of 2, and none of this zone
	is.True(!n.leading(anyPartition))                            // the division is not known yet
	go n.divisions.Run(t.Context())
	wait.For(t, "the partition is dispatched", func() bool { return n.leading(2) })
	t.Cleanup(func() { n.setTerm(lead.Term{Generation: 4}) })
	is.True(!n.leading(0))
	is.True(!n.leading(9)) // the zone has only 4 partitions
	is.True(!n.leading(1))
	is.Equal(n.dump()[0].Fence, fenceOf(3, 4))
}
