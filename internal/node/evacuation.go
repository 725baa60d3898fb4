package node

import (
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/metric"
)

// evacuationCounts counts what the operators' records have changed.
type evacuationCounts struct {
	Begun      metric.Counter
	Ended      metric.Counter
	Foreign    metric.Counter // records that name no zone of the deployment
	Unreadable metric.Counter // records that cannot be decoded
}

// applyEvacuations applies the evacuations of a read of the operators' topic. The shards look at the state at each start.
func (n *Node) applyEvacuations(u follow.Update) {
	read := evacuation.Read{Complete: u.Snapshot}
	for _, r := range u.Records {
		zone, ok := n.opts.Records.EvacuationZone(r.Key)
		if !ok {
			continue
		}
		record := evacuation.Record{Zone: zone, Present: len(r.Value) > 0}
		if record.Present {
			record.Unreadable = !n.readableEvacuation(zone, r.Offset, r.Value)
		}
		read.Records = append(read.Records, record)
	}
	n.reportEvacuations(n.evacuations.Apply(read))
}

// readableEvacuation reports whether the record of a zone's evacuation can be decoded, and logs it if not.
func (n *Node) readableEvacuation(zone string, offset int64, raw []byte) bool {
	err := n.opts.Records.DecodeEvacuation(zone, raw)
	if err == nil {
		return true
	}
	n.log.WithFields(logrus.Fields{"event": "evacuation_unreadable", "zone": zone, "offset": offset}).WithError(err).
		Error("cannot decode the record of an evacuation; nothing changes")
	return false
}

// reportEvacuations logs and counts a change.
func (n *Node) reportEvacuations(c evacuation.Change) {
	n.evacuationCounts.Begun.Add(int64(len(c.Begun)))
	n.evacuationCounts.Ended.Add(int64(len(c.Ended)))
	n.evacuationCounts.Foreign.Add(int64(len(c.Foreign)))
	n.evacuationCounts.Unreadable.Add(int64(len(c.Unreadable)))
	for _, zone := range c.Begun {
		n.log.WithFields(logrus.Fields{"event": "evacuation", "zone": zone}).Warn("zone evacuated; its endpoints get no new runs")
	}
	for _, zone := range c.Ended {
		n.log.WithFields(logrus.Fields{"event": "evacuation_ended", "zone": zone}).Info("evacuation taken back; the zone's endpoints get runs again")
	}
	for _, zone := range c.Foreign {
		n.log.WithFields(logrus.Fields{"event": "evacuation_foreign", "zone": zone}).
			Error("the record of an evacuation names no zone of this deployment; nothing changes")
	}
}

// hosts reports whether another zone has to serve the callers of this instance's zone, because that is evacuated.
func (n *Node) hosts(zone string) bool {
	own := n.opts.Settings.Zone
	return zone != own && n.evacuations.Evacuated(own) && !n.evacuations.Evacuated(zone)
}
