package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/congestion"
	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/traffic"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// spareCapacity is the capacity that the members of a zone's group should have beyond one for each partition, for the loss
	// of a member.
	spareCapacity       = 2
	maintenanceInterval = 50 * time.Millisecond
	// reservedDescriptors is the number of file descriptors that are not available to callers' connections: those for
	// files and for connections to other instances and to endpoints.
	reservedDescriptors = 900
	minConnections      = 256
)

// Records gives the topics and keys of the store's records, and decodes those that other programs write.
type Records interface {
	ConfigTopic() (topic, key string)
	EndpointsTopic() string
	LeadersTopic(zone string) string
	DivisionsTopic() string
	JobsTopic(zone string) string // log of the zone's stored jobs
	DecodeConfig(raw []byte) (*catalog.Config, error)
	// EvacuationZone returns the zone whose evacuation a record of the operators' topic requests; ok is false for other records.
	EvacuationZone(key string) (zone string, ok bool)
	// DecodeEvacuation returns an error if the record of a zone's evacuation cannot be read.
	DecodeEvacuation(zone string, raw []byte) error
	DecodeEndpoint(key string, raw []byte) (work.Endpoint, error)
}

// Options configures a Node.
type Options struct {
	Settings Settings
	Store    store.Store
	Records  Records
	Codec    gateway.Codec
	Dialer   work.Dialer
	// Meter counts the instance's traffic; the store, the dialer and the codec count into the same one. Nil for none.
	Meter *traffic.Meter
	Log   *logrus.Logger
	// OperatorsAddress is the host:port of the listener for metrics and dumps; empty for none.
	OperatorsAddress string
}

// Node is one instance of a deployment.
type Node struct {
	opts    Options
	log     logrus.FieldLogger
	config  catalog.Current
	own     *dispatchers // those of the instance's zone; lead and shards are theirs
	lead    *lead.Controller
	shards  *shards
	gateway *gateway.Gateway
	// endpoints follows the registrations.
	endpoints *follow.Controller
	divisions *division.Controller
	directory *shard.Directory
	missing   int // last logged number of endpoints in use without a registration
	router    *router
	server    *server.Server
	lag       *server.LagMonitor // of the callers' event loop, for health checks
	closes    *server.CloseWatch // of the callers' connections
	drain     chan struct{}
	counts    shard.Counts
	store     *countedStore
	started   time.Time
	metrics   gateway.Metrics
	window    *congestion.Window // for requests to endpoints
	history   *attempt.History
	stored    *storedJobs
	// evacuations are those that the operators have requested.
	evacuations      *evacuation.Zones
	evacuationCounts evacuationCounts
	// substitutes take the place of the instances of other zones; those that do are counted by substituting.
	substitutes  []*substitute
	substituting sync.WaitGroup
}

// New returns an instance that is not running.
func New(o Options) *Node {
	n := &Node{
		opts: o, log: o.Log, drain: make(chan struct{}), started: time.Now(), window: congestion.New(),
		history: attempt.NewHistory(), store: &countedStore{Store: o.Store}, counts: shard.NewCounts(), directory: shard.NewDirectory(),
		lag: server.NewLagMonitor(loopProbeInterval), closes: server.NewCloseWatch(o.Log),
	}
	s := o.Settings
	n.evacuations = evacuation.New(evacuation.Options{Zones: s.Zones, FirstReadLimit: s.EvacuationTime, Now: n.now})
	n.divisions = division.New(division.Options{
		Store: n.store, Topic: o.Records.DivisionsTopic(), ReadWait: s.readWait(),
		EndpointsPerPartition: division.EndpointsPerPartition(s.LinkMbps), GroupPartitions: s.GroupPartitions, OnChange: n.reconcile, Log: o.Log,
	})
	n.stored = newStoredJobs(n)
	n.own = n.newDispatchers(s.Zone, s.RelayAddress(), false)
	n.lead, n.shards = n.own.lead, n.own.shards
	n.substitutes = newSubstitutes(n)
	n.router = &router{
		ownZone: s.Zone, others: otherZones(s), address: s.RelayAddress(), lead: n.lead, shards: n.shards, divisions: n.divisions,
		meter: o.Meter, log: o.Log, local: newLocalRoute(n.shards), routes: map[string]*uplinkRoute{}, failed: map[string]time.Time{},
		request: rand.Uint64() | 1, evacuations: n.evacuations, started: n.started,
	}
	n.router.stored, n.stored.router = n.stored, n.router
	n.metrics.ResponseMS = metric.NewMillisecondQuantiles()
	n.gateway = gateway.New(gateway.Options{
		Config: &n.config, Codec: o.Codec, Router: n.router, Log: o.Log, Metrics: &n.metrics, Meter: o.Meter, Attempts: n.history.OfJob,
		Closes: n.closes, Retransmit: s.Retransmit,
		Stored: n.stored,
	})
	n.endpoints = n.endpointsFollower()
	n.router.gateway, n.router.local.gateway, n.shards.gateway = n.gateway, n.gateway, n.gateway
	return n
}

// now returns the time since the node was created.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// capacityNeeded returns the sum of capacities that the members of the zone's group should have. Members without a partition
// of the group are not seen, so it is no more than the group has partitions.
func (n *Node) capacityNeeded() int {
	needed := n.divisions.Partitions(n.opts.Settings.Zone) + spareCapacity
	if all := n.opts.Settings.GroupPartitions; all > 0 {
		return min(needed, all)
	}
	return needed
}

// otherZones returns the zones except the instance's zone, in alphabetical order, starting after the instance's zone and
// wrapping around. The instances of each zone thus start with a different zone, so that the overflow of all zones does not
// go to the same one.
func otherZones(s Settings) []string {
	zones := slices.Sorted(slices.Values(s.Zones))
	at := 0
	for i, z := range zones {
		if z == s.Zone {
			at = i
		}
	}
	var others []string
	for i := 1; i < len(zones); i++ {
		others = append(others, zones[(at+i)%len(zones)])
	}
	return others
}

// Run serves until ctx ends or a planned stop has completed. It returns an error if one of the listeners cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relays, err := relay.Listen(n.opts.Settings.RelayAddress(), n.shards, n.opts.Meter, n.log)
	if err != nil {
		return err
	}
	relays.Stored = n.own.ledgers.handle
	go relays.Run(ctx)
	go n.router.local.run(ctx.Done())
	go n.followTerms(ctx, n.own)
	for _, x := range n.substitutes {
		n.substituting.Go(func() { x.run(ctx) })
	}
	go n.followConfig(ctx)
	go n.endpoints.Run(ctx)
	go n.divisions.Run(ctx)
	go n.lead.Run(ctx)
	go n.lead.Follow(ctx, append([]string{n.opts.Settings.Zone}, n.router.others...), n.router.ownZoneConnected)
	go n.runMaintenance(ctx)
	go n.reportTraffic(ctx)
	defer n.stopServer() // after the other listeners, so that callers are answered until the process ends
	health, err := n.serveHealth()
	if err != nil {
		return err
	}
	defer shutDown(health)
	operators, err := n.serveOperators(n.opts.OperatorsAddress)
	if err != nil {
		return err
	}
	if operators != nil {
		defer shutDown(operators)
	}
	n.server, err = server.Start(server.Options{
		Address: n.opts.Settings.Callers, Loops: 1, Limits: n.limits, Handler: n.gateway, Log: n.log, Lag: n.lag, Closes: n.closes,
		EncodeRefusal: func(_ result.Code, message string) []byte { return n.opts.Codec.EncodeError(message) },
	})
	if err != nil {
		return err
	}
	n.warnOfShortRetransmit()
	n.warnOfIgnoredSettings()
	n.log.WithFields(logrus.Fields{"event": "started", "instance": n.opts.Settings.Instance, "zone": n.opts.Settings.Zone}).Info("started")
	select {
	case <-ctx.Done():
	case <-n.drain:
		n.stop(ctx)
	}
	n.log.WithField("event", "stopped").Info("stopped")
	return nil
}

// warnOfShortRetransmit logs a retransmit time that is too short for a lease to end within it.
func (n *Node) warnOfShortRetransmit() {
	retransmit := n.opts.Settings.Retransmit
	if _, ok := shard.LeaseWithin(retransmit); ok || retransmit <= 0 {
		return
	}
	n.log.WithFields(logrus.Fields{"event": "retransmit_short", "retransmit_ms": retransmit.Milliseconds()}).
		Warn("callers submit a job again before its earlier runs are certain to be over; a task may run twice at the same time")
}

// warnOfIgnoredSettings logs the settings for which the defaults hold since they cannot be used.
func (n *Node) warnOfIgnoredSettings() {
	for _, problem := range n.opts.Settings.Ignored {
		n.log.WithFields(logrus.Fields{"event": "setting_ignored", "problem": problem}).Warn("a setting cannot be used; its default holds")
	}
}

// runMaintenance runs the periodic checks of the gateway and of the connections to dispatchers until ctx ends.
func (n *Node) runMaintenance(ctx context.Context) {
	pause.Every(ctx, maintenanceInterval, func() {
		n.gateway.Sweep()
		n.gateway.Resubmit()
		n.router.closeUnused()
		n.router.connectForOverflow()
		n.router.checkHosts()
		for _, d := range n.dispatching() {
			d.shards.placements.Sweep()
			d.shards.eachFound(n.router.claimFound)
		}
	})
}

func (n *Node) limits() server.Limits {
	l := server.DefaultLimits()
	l.Connections = max(n.opts.Settings.Descriptors-reservedDescriptors, minConnections)
	c := n.config.Load()
	if c == nil {
		return l
	}
	if c.Limits.HeaderBytes > 0 {
		l.HeaderBytes = c.Limits.HeaderBytes
	}
	if c.Limits.BodyBytes > 0 {
		l.BodyBytes = c.Limits.BodyBytes
	}
	if c.Limits.HeaderTimeout > 0 {
		l.RequestTimeout = c.Limits.HeaderTimeout
	}
	return l
}
