package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/congestion"
	"github.com/savorypass/savorypass/internal/division"
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
	// endpointsInterval is the interval of the reads of the endpoint registrations, which change many times a second, while
	// this instance dispatches. It is shorter if their greatest age requires it.
	endpointsInterval = 500 * time.Millisecond
	// idleEndpointsInterval is the interval of the reads of the endpoint registrations while this instance does not dispatch.
	// It still reads them, so that it needs only the latest changes when it becomes a dispatcher.
	idleEndpointsInterval = 3 * time.Second
	// spareCapacity is the capacity that the members of a zone's group should have beyond one for each partition, for the loss
	// of a member.
	spareCapacity       = 2
	maintenanceInterval = 50 * time.Millisecond
	// minDrainTime is the time that the load balancer needs to detect that the instance is not ready any more. Until then
	// the instance serves new requests.
	minDrainTime = 2500 * time.Millisecond
	// maxStall is how long the callers' event loop, the gateway's lock or a shard's checks may stand still before the instance
	// reports that it is not ready. A busy instance stands still for less.
	maxStall = 2 * time.Second
	// exitReserve is the part of Settings.Grace that is reserved for the exit of the process after the drain.
	exitReserve = time.Second
	// serverStopTimeout is how long to wait for the event loops of the callers' listener to end. They check twice a second
	// whether they must end.
	serverStopTimeout = 600 * time.Millisecond
	// responseTimeout is how long to wait at the end of the drain for responses to be written.
	responseTimeout = 100 * time.Millisecond
	// shutDownTimeout is how long to wait for the health or operators' listener to shut down. It is short because no request
	// that matters is in progress by then.
	shutDownTimeout = 100 * time.Millisecond
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
	DecodeConfig(raw []byte) (*catalog.Config, error)
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
	drain     chan struct{}
	counts    shard.Counts
	store     *countedStore
	started   time.Time
	terms     chan lead.Term
	metrics   gateway.Metrics
	window    *congestion.Window // for requests to endpoints
	history   *attempt.History
}

// New returns an instance that is not running.
func New(o Options) *Node {
	n := &Node{opts: o, log: o.Log, drain: make(chan struct{}), started: time.Now(), terms: make(chan lead.Term, 16), window: congestion.New(), history: attempt.NewHistory()}
	n.store = &countedStore{Store: o.Store}
	n.counts = shard.NewCounts()
	s := o.Settings
	n.lead = lead.New(lead.Options{
		Store: n.store, Zone: s.Zone, Topic: o.Records.LeadersTopic, Instance: s.Instance, Address: s.RelayAddress(),
		TTL: s.MemberTTL, Capacity: s.Capacity(), CapacityNeeded: n.capacityNeeded,
		Log: o.Log, OnChange: func(t lead.Term) { n.terms <- t },
		EndpointsKnown: func() bool { return n.divisions.Known() && n.directory.EndpointsKnown(n.now()) },
	})
	n.directory = shard.NewDirectory()
	n.shards = newShards(s.Zone, n.directory, n.started, n.history, func(part int) *shard.Shard {
		return shard.New(shard.Options{
			Zone: s.Zone, Partition: part, Directory: n.directory, Lease: s.RunLease(), Dialer: o.Dialer, Window: n.window, History: n.history, OnFenced: n.lead.Verify,
			RegistrationAge: s.RegistrationAge(),
			OnOutdated:      func() { n.endpoints.Refresh() },
			OnReplaced:      func() { n.endpoints.Refresh() },
			Counts:          &n.counts, Log: n.log.WithField("partition", part), Now: n.now,
		})
	})
	n.divisions = division.New(division.Options{
		Store: n.store, Topic: o.Records.DivisionsTopic(), ReadWait: s.readWait(),
		EndpointsPerPartition: division.EndpointsPerPartition(s.LinkMbps), GroupPartitions: s.GroupPartitions, OnChange: n.shards.reconcile, Log: o.Log,
	})
	n.shards.divisions = n.divisions
	n.router = &router{
		ownZone: s.Zone, others: otherZones(s), address: s.RelayAddress(), lead: n.lead, shards: n.shards, divisions: n.divisions,
		meter: o.Meter, log: o.Log, local: newLocalRoute(n.shards), routes: map[string]*uplinkRoute{}, failed: map[string]time.Time{},
	}
	n.metrics.ResponseMS = metric.NewMillisecondQuantiles()
	n.gateway = gateway.New(gateway.Options{Config: &n.config, Codec: o.Codec, Router: n.router, Log: o.Log, Metrics: &n.metrics, Meter: o.Meter, Attempts: n.history.OfJob})
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

// Drain starts the planned stop. Run returns when it has completed. Drain may be called again, but not concurrently.
func (n *Node) Drain() {
	select {
	case <-n.drain:
	default:
		close(n.drain)
	}
}

// Run serves until ctx ends or a planned stop has completed. It returns an error if one of the listeners cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relays, err := relay.Listen(n.opts.Settings.RelayAddress(), n.shards, n.opts.Meter, n.log)
	if err != nil {
		return err
	}
	go relays.Run(ctx)
	go n.router.local.run(ctx.Done())
	go n.followTerms(ctx)
	go n.followConfig(ctx)
	go n.endpoints.Run(ctx)
	go n.divisions.Run(ctx)
	go n.lead.Run(ctx)
	go n.lead.Follow(ctx, append([]string{n.opts.Settings.Zone}, n.router.others...), n.router.ownZoneConnected)
	go n.runMaintenance(ctx)
	go n.reportTraffic(ctx)
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
		Address: n.opts.Settings.Callers, Loops: 1, Limits: n.limits, Handler: n.gateway, Log: n.log,
		EncodeRefusal: func(_ result.Code, message string) []byte { return n.opts.Codec.EncodeError(message) },
	})
	if err != nil {
		return err
	}
	defer n.stopServer()
	n.warnOfShortRetransmit()
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

// stopServer closes the callers' listener. The process exits afterwards even if the event loops have not stopped.
func (n *Node) stopServer() {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
	defer cancel()
	if err := n.server.Stop(ctx); err != nil {
		n.log.WithField("event", "server_stop").WithError(err).Warn("the callers' listener did not stop in time")
	}
}

// shutDown closes the health or operators' listener. It does not wait for connections that their clients keep open.
func shutDown(s *fasthttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutDownTimeout)
	defer cancel()
	s.ShutdownWithContext(ctx) // the only error is that some connections are still open
}

// followTerms applies each change of the partitions that this instance holds to its shards.
func (n *Node) followTerms(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-n.terms:
			n.shards.setTerm(t)
			n.endpoints.Refresh()
		}
	}
}

// endpointsFollower returns the controller that keeps the registrations up to date.
func (n *Node) endpointsFollower() *follow.Controller {
	return follow.New(follow.Options{
		Store: n.store, Topic: n.opts.Records.EndpointsTopic(), Log: n.log, Apply: n.applyEndpoints, Failed: n.directory.ReadFailed, Active: n.lead.Candidate,
		Interval: func() time.Duration {
			if n.shards.leading(anyPartition) {
				return min(endpointsInterval, shard.ReadInterval(n.opts.Settings.RegistrationAge()))
			}
			return idleEndpointsInterval
		},
	})
}

func (n *Node) followConfig(ctx context.Context) {
	topic, key := n.opts.Records.ConfigTopic()
	follow.New(follow.Options{
		Store: n.store, Topic: topic, Wait: n.opts.Settings.readWait(), Log: n.log,
		Apply: func(u follow.Update) {
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
}

// runMaintenance runs the periodic checks of the gateway and of the connections to dispatchers until ctx ends.
func (n *Node) runMaintenance(ctx context.Context) {
	pause.Every(ctx, maintenanceInterval, func() {
		n.gateway.Sweep()
		n.gateway.Resubmit()
		n.router.closeUnused()
		n.router.connectForOverflow()
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

// draining reports whether Drain has been called.
func (n *Node) draining() bool {
	select {
	case <-n.drain:
		return true
	default:
		return false
	}
}

// ready reports whether the instance has a configuration, is not draining, and neither its gateway nor a shard has stood still for
// maxStall.
func (n *Node) ready() bool {
	return n.config.Load() != nil && !n.draining() && n.gateway.Unattended() <= maxStall && !n.shards.stalled(maxStall)
}

// awaitResponses waits until the responses to callers have been written, for at most responseTimeout.
func (n *Node) awaitResponses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	for n.server.Active() > 0 && ctx.Err() == nil {
		pause.For(ctx, time.Millisecond, nil)
	}
}

// releasePartitions gives up the instance's partitions in the background. It stops trying at the time latest. The returned
// flag becomes true when it has ended, with or without success.
func (n *Node) releasePartitions(ctx context.Context, latest time.Time) *atomic.Bool {
	released := &atomic.Bool{}
	ctx, cancel := context.WithDeadline(ctx, latest)
	go func() {
		defer cancel()
		n.lead.Leave(ctx)
		released.Store(true)
	}()
	return released
}

// stop carries out the planned stop: it hands the partitions to other instances and waits until the requests in progress
// are answered, for at most Settings.Grace less exitReserve.
func (n *Node) stop(ctx context.Context) {
	n.log.WithFields(logrus.Fields{"event": "draining", "active": n.gateway.Active()}).Info("planned stop started")
	n.server.Drain()
	begun := time.Now()
	end := begun.Add(n.opts.Settings.Grace - exitReserve)
	released := n.releasePartitions(ctx, end)
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(begun) < minDrainTime {
			continue
		}
		n.gateway.Close()
		n.server.CloseIdle()
		if released.Load() && n.gateway.Active() == 0 && n.server.Active() == 0 && n.server.Connections() == 0 {
			break
		}
	}
	active := n.gateway.Active()
	n.gateway.EndPending()
	n.awaitResponses(ctx)
	n.log.WithFields(logrus.Fields{"event": "drained", "active": active, "ms": time.Since(begun).Milliseconds()}).Info("planned stop completed")
}
