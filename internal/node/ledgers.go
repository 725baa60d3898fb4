package node

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// ledgers are the ledgers of the dispatchers of one zone on this instance.
type ledgers struct {
	node     *Node
	zone     string
	shards   *shards // set before use
	reported bool    // the shards know that there are stored jobs; guarded by shards.reconciling

	mu          sync.Mutex
	byPartition map[int]*ledger.Ledger // by partition of the zone
}

func newLedgers(n *Node, zone string) *ledgers {
	return &ledgers{node: n, zone: zone, byPartition: map[int]*ledger.Ledger{}}
}

// make returns a ledger for the dispatcher of a partition of the zone. It gets requests after publish.
func (l *ledgers) make(partition int) *ledger.Ledger {
	o, stored := l.node.opts.Settings, l.node.stored
	retention := o.StatusTime
	if retention <= 0 {
		retention = defaultStatusTime
	}
	return ledger.New(ledger.Options{
		Log: l.node.store, Zone: l.zone, Others: stored.otherZones(), Topic: l.node.opts.Records.JobsTopic(l.zone), LogPartitions: stored.logPartitions, Retention: retention,
		Usage: stored.usage, Counts: &stored.counts, Now: l.node.now,
		Ask:     func(ctx context.Context, r relay.StoredRequest) *relay.StoredReply { return stored.Ask(ctx, l.zone, r) },
		Belongs: func(id work.JobID) bool { return ledger.ZoneOf(id, stored.zones) == l.zone },
		Logger:  l.node.log.WithFields(logrus.Fields{"zone": l.zone, "partition": partition}),
	})
}

// publish makes a ledger that has its dispatcher that of a partition of the zone.
func (l *ledgers) publish(partition int, made *ledger.Ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byPartition[partition] = made
}

// of returns the ledger of a partition of the zone; nil if there is none.
func (l *ledgers) of(partition int) *ledger.Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byPartition[partition]
}

// sync makes the ledger of a partition of the zone hold its part of the log under a term; none with the zero Term.
func (l *ledgers) sync(partition int, t shard.Term) {
	if l == nil {
		return
	}
	found := l.of(partition)
	if found == nil {
		return
	}
	if !l.node.stored.inUse() {
		t.Partitions = 0
	}
	found.Sync(ledger.Share{Fence: t.Fence, Partition: partition, Partitions: t.Partitions})
}

// reportUsage passes the ends to the ledgers again that came before it was known that the deployment has stored jobs.
func (l *ledgers) reportUsage() {
	if l == nil || l.reported || !l.node.stored.inUse() {
		return
	}
	l.reported = true
	for _, x := range l.shards.each() {
		x.RedeliverEnds()
	}
}

// handle carries out a request of this or another instance. It implements relay.StoredHandler.
func (l *ledgers) handle(r *relay.StoredRequest, reply func(*relay.StoredReply)) {
	n := l.node
	if !n.stored.inUse() {
		go n.divisions.NoteStoredJobs() // begins to hold the log; the request comes again
	}
	part := n.stored.receiver(l.zone, r)
	if found := l.of(part); found != nil {
		found.Handle(r, reply)
		return
	}
	reply(&relay.StoredReply{Number: r.Number, Result: relay.StoredNoHolder})
}

// dump returns the held partitions of the log.
func (l *ledgers) dump() []ledger.Dump {
	var all []ledger.Dump
	for part := range division.MaxPartitions {
		if found := l.of(part); found != nil {
			all = append(all, found.Dump()...)
		}
	}
	return all
}
