package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/shard"
)

// maxTermsQueued is the number of changes of the partitions that may wait to be applied.
const maxTermsQueued = 16

// dispatchers are this instance's part in dispatching for one zone: its membership in the zone's group, the dispatchers of the partitions
// that it holds, and their parts of the log of stored jobs.
type dispatchers struct {
	zone    string
	lead    *lead.Controller
	shards  *shards
	ledgers *ledgers
	terms   chan lead.Term
}

// newDispatchers returns dispatchers for a zone that other instances reach at an address. substitute is true for another zone than the
// instance's own.
func (n *Node) newDispatchers(zone, address string, substitute bool) *dispatchers {
	s := n.opts.Settings
	d := &dispatchers{zone: zone, terms: make(chan lead.Term, maxTermsQueued), ledgers: newLedgers(n, zone)}
	inUse := func() int { return n.divisions.Partitions(zone) }
	needed := n.capacityNeeded
	if substitute {
		needed = inUse
	}
	d.lead = lead.New(lead.Options{
		Store: n.store, Zone: zone, Topic: n.opts.Records.LeadersTopic, Instance: s.Instance, Address: address, Substitute: substitute,
		TTL: s.MemberTTL, Capacity: s.Capacity(), CapacityNeeded: needed, CapacityInUse: inUse, Hosts: n.hosts,
		OnCandidate: func() { n.endpoints.Refresh() }, // a member needs the registrations
		Log:         n.log.WithField("zone", zone), OnChange: func(t lead.Term) { d.terms <- t },
		EndpointsKnown: func() bool { return n.divisions.Known() && n.directory.EndpointsKnown(n.now()) },
	})
	d.shards = newShards(zone, n.directory, n.started, n.history, func(partition int) *shard.Shard { return n.newShard(d, partition) })
	d.shards.divisions, d.shards.gateway, d.shards.ledgers = n.divisions, n.gateway, d.ledgers
	d.ledgers.shards = d.shards
	return d
}

// newShard returns the dispatcher of a partition of a zone.
func (n *Node) newShard(d *dispatchers, partition int) *shard.Shard {
	s := n.opts.Settings
	readRegistrations := func() { n.endpoints.Refresh() }
	jobs := d.ledgers.make(partition)
	x := shard.New(shard.Options{
		Zone: d.zone, Partition: partition, Directory: n.directory, Lease: s.RunLease(), Retransmit: s.Retransmit, RegistrationAge: s.RegistrationAge(),
		FarFactor: s.FarFactor,
		Dialer:    n.opts.Dialer, Window: n.window, History: n.history,
		OnFenced: d.lead.Verify, OnOutdated: readRegistrations, OnReplaced: readRegistrations, Counts: &n.counts,
		Log: n.log.WithFields(logrus.Fields{"zone": d.zone, "partition": partition}), Now: n.now, Ledger: jobs,
		TermConfirmed: func(fence int64) (shard.Confirmation, bool) {
			return d.shards.confirmation(partition, fence, d.lead.Confirmed())
		},
		Evacuation: func() evacuation.State { return n.evacuations.Of(d.zone) },
		Weighs:     n.config.Weighs,
	})
	jobs.SetDispatcher(x)
	d.ledgers.publish(partition, jobs)
	return x
}

// followTerms applies each change of the partitions that this instance holds to its shards until ctx ends.
func (n *Node) followTerms(ctx context.Context, d *dispatchers) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-d.terms:
			d.shards.setTerm(t)
			n.endpoints.Refresh()
		}
	}
}

// dispatching returns the dispatchers of the instance's zone and of the zones in which it substitutes.
func (n *Node) dispatching() []*dispatchers {
	all := []*dispatchers{n.own}
	for _, s := range n.substitutes {
		if d := s.active.Load(); d != nil {
			all = append(all, d)
		}
	}
	return all
}

// reconcile begins and ends the terms of all dispatchers as the divisions require.
func (n *Node) reconcile() {
	for _, d := range n.dispatching() {
		d.shards.reconcile()
	}
}

// leads reports whether this instance dispatches for any partition.
func (n *Node) leads() bool {
	for _, d := range n.dispatching() {
		if d.shards.leading(anyPartition) {
			return true
		}
	}
	return false
}
