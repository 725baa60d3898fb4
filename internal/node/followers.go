package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/delaycost"
	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/store"
)

const (
	// endpointsInterval is the interval of the reads of the endpoint registrations, which change many times a second, while
	// this instance dispatches. It is shorter if their greatest age requires it.
	endpointsInterval = 500 * time.Millisecond
	// idleEndpointsInterval is the interval of the reads of the endpoint registrations while this instance does not dispatch.
	// It still reads them, so that it needs only the latest changes when it becomes a dispatcher.
	idleEndpointsInterval = 3 * time.Second
)

// endpointsFollower returns the controller that keeps the registrations up to date.
func (n *Node) endpointsFollower() *follow.Controller {
	return follow.New(follow.Options{
		Store: n.store, Topic: n.opts.Records.EndpointsTopic(), Log: n.log, Apply: n.applyEndpoints, Failed: n.directory.ReadFailed, Active: n.needsEndpoints,
		Interval: func() time.Duration {
			if n.leads() {
				return min(endpointsInterval, shard.ReadInterval(n.opts.Settings.RegistrationAge()))
			}
			return idleEndpointsInterval
		},
	})
}

// needsEndpoints reports whether this instance is a member of a group or may soon be one.
func (n *Node) needsEndpoints() bool {
	if n.lead.Candidate() {
		return true
	}
	for _, s := range n.substitutes {
		if s.wanted.Load() || s.active.Load() != nil {
			return true
		}
	}
	return false
}

func (n *Node) followConfig(ctx context.Context) {
	topic, key := n.opts.Records.ConfigTopic()
	follow.New(follow.Options{
		Store: n.store, Topic: topic, Wait: n.opts.Settings.readWait(), Log: n.log,
		Apply: func(u follow.Update) {
			n.applyEvacuations(u)
			for _, r := range u.Records {
				if r.Key == key && len(r.Value) > 0 {
					n.applyConfig(r)
				}
			}
		},
	}).Run(ctx)
}

func (n *Node) applyConfig(r store.Record) {
	c, err := n.opts.Records.DecodeConfig(r.Value)
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "config_unreadable", "offset": r.Offset}).WithError(err).Error("cannot decode the configuration record; keeping the current configuration")
		return
	}
	inForce := n.config.StoreIfNewer(c)
	n.log.WithFields(logrus.Fields{
		"event": "config", "version": c.Version, "offset": r.Offset, "queues": c.QueueCount(), "in_force": inForce,
	}).Info("configuration read")
	if inForce {
		n.reportInvalidPriorities(c)
	}
}

// reportInvalidPriorities logs the queues of a configuration whose priority is out of range.
func (n *Node) reportInvalidPriorities(c *catalog.Config) {
	for _, q := range c.InvalidPriorities() {
		n.log.WithFields(logrus.Fields{
			"event": "priority_invalid", "version": c.Version, "queue": q.Name, "service": q.Service, "priority": q.Objective.Priority,
			"max": delaycost.MaxPriority,
		}).Error("priority of the queue is out of range; its service is served as without priorities")
	}
}
