package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// applyEndpoints passes a read of the registrations to the shards and updates the numbers of partitions, which depend on
// the numbers of registered endpoints. Only an instance that dispatches for a zone raises the zone's stored number.
func (n *Node) applyEndpoints(u follow.Update) {
	r := n.registrations(u)
	removed := n.directory.Apply(r, n.now())
	for _, d := range n.dispatching() {
		d.shards.applyRegistrations(r, removed)
	}
	for _, zone := range n.opts.Settings.Zones {
		n.divisions.Guess(zone, n.directory.Count(zone))
	}
	if u.Snapshot {
		n.lead.Verify() // an instance that did not know the endpoints may join its group now
	}
	n.reportMissing()
	for _, d := range n.dispatching() {
		if d.shards.leading(anyPartition) {
			go n.divisions.Raise(context.Background(), d.zone, n.directory.Count(d.zone))
		}
	}
}

// reportMissing logs the number of endpoints that are still used although their registrations ended during an outage of
// the store, whenever it changes.
func (n *Node) reportMissing() {
	missing := n.directory.Missing()
	if missing == n.missing {
		return
	}
	n.missing = missing
	n.log.WithFields(logrus.Fields{"event": "registrations_missing", "endpoints": missing}).
		Info("changed number of endpoints in use whose registrations ended during a store outage")
}

// registrations decodes the registrations of an update. An endpoint that was registered and then removed within one update
// is listed as changed and as removed, because another dispatcher may have used it in between. A registration that cannot
// be decoded counts as removed.
func (n *Node) registrations(u follow.Update) shard.Registrations {
	changed := map[string]work.Endpoint{}
	removed := map[string]bool{}
	for _, r := range u.Records {
		removed[r.Key] = true
		if len(r.Value) == 0 {
			continue
		}
		e, err := n.opts.Records.DecodeEndpoint(r.Key, r.Value)
		if err != nil {
			n.log.WithFields(logrus.Fields{"event": "registration_ignored", "endpoint": r.Key, "offset": r.Offset}).WithError(err).
				Warn("cannot decode the registration; treating the endpoint as not registered")
			continue
		}
		changed[r.Key] = e
		removed[r.Key] = false
	}
	all := shard.Registrations{Snapshot: u.Snapshot, Recovered: u.Recovered, AsOf: u.AsOf.Sub(n.started)}
	for _, e := range changed {
		all.Changed = append(all.Changed, e)
	}
	for key, gone := range removed {
		if gone {
			all.Removed = append(all.Removed, work.EndpointID(key))
		}
	}
	return all
}
