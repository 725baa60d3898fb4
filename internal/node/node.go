package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// configReadWait is the longest wait of a read for a configuration. A connection to the store that has gone silent is
	// found after it.
	configReadWait = 2 * time.Second
	// endpointsInterval is the pause between reads of the registrations, which change many times a second.
	endpointsInterval = 500 * time.Millisecond
	// idleEndpointsInterval is the pause on instances that do not dispatch. They keep the registrations for their next term.
	idleEndpointsInterval = 3 * time.Second
	maintenanceInterval   = 50 * time.Millisecond
	// minDrainTime is the time in which the load balancer notices that the instance takes no new connections.
	minDrainTime = 2500 * time.Millisecond
	// exitReserve is the part of the time to stop that is kept for the end of the process.
	exitReserve = time.Second
	// serverStopTimeout is the time for the callers' event loops to end; they look for it twice a second.
	serverStopTimeout = 600 * time.Millisecond
	// shutDownTimeout is the time in which a listener ends; what matters has been answered before.
	shutDownTimeout = 100 * time.Millisecond
	// reservedDescriptors are kept for files, links and endpoints.
	reservedDescriptors = 900
	minConnections      = 256
)

// Records are the names and formats of the store's records that others write.
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
	Log      *logrus.Logger
	// OperatorsAddress is the host:port of the listener for metrics and dumps; empty for none.
	OperatorsAddress string
}

// Node is one instance.
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
	missing   int // endpoints without a registration that are used, as last told
	router    *router
	server    *server.Server
	drain     chan struct{}
	counts    shard.Counts
	store     *countedStore
	started   time.Time
	terms     chan lead.Term
	metrics   gateway.Metrics
}

// New returns an instance that is not running.
func New(o Options) *Node {
	n := &Node{opts: o, log: o.Log, drain: make(chan struct{}), started: time.Now(), terms: make(chan lead.Term, 16)}
	n.store = &countedStore{Store: o.Store}
	n.counts = shard.NewCounts()
	s := o.Settings
	n.lead = lead.New(lead.Options{
		Store: n.store, Zone: s.Zone, Topic: o.Records.LeadersTopic, Instance: s.Instance, Address: s.RelayAddress(),
		TTL: s.MemberTTL, Log: o.Log, OnChange: func(t lead.Term) { n.terms <- t },
		EndpointsKnown: func() bool { return n.divisions.Known() && n.directory.EndpointsKnown(n.now()) },
	})
	n.directory = shard.NewDirectory()
	n.shards = newShards(s.Zone, n.directory, n.started, func(part int) *shard.Shard {
		return shard.New(shard.Options{
			Zone: s.Zone, Partition: part, Directory: n.directory, Lease: s.Lease, Dialer: o.Dialer, OnFenced: n.lead.Verify,
			Counts: &n.counts, Log: n.log.WithField("partition", part), Now: n.now,
		})
	})
	n.divisions = division.New(division.Options{
		Store: n.store, Topic: o.Records.DivisionsTopic(), OnChange: n.shards.reconcile, Log: o.Log,
	})
	n.shards.divisions = n.divisions
	n.router = &router{
		ownZone: s.Zone, others: otherZones(s), address: s.RelayAddress(), lead: n.lead, shards: n.shards, divisions: n.divisions,
		log: o.Log, local: newLocalRoute(n.shards), routes: map[string]*uplinkRoute{}, failed: map[string]time.Time{},
	}
	n.metrics.ResponseMS = metric.NewMilliseconds()
	n.gateway = gateway.New(gateway.Options{Config: &n.config, Codec: o.Codec, Router: n.router, Log: o.Log, Metrics: &n.metrics})
	n.endpoints = n.endpointsFollower()
	n.router.gateway, n.router.local.gateway = n.gateway, n.gateway
	return n
}

// now returns the time since the process's start.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// otherZones returns the zones besides the own one, beginning with a different one for each zone, so that the overflow
// of all does not go to the same one.
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

// Drain begins the planned stop.
func (n *Node) Drain() {
	select {
	case <-n.drain:
	default:
		close(n.drain)
	}
}

// Run serves until ctx ends or a planned stop has completed.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relays, err := relay.Listen(n.opts.Settings.RelayAddress(), n.shards, n.log)
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
	n.log.WithFields(logrus.Fields{"event": "started", "instance": n.opts.Settings.Instance, "zone": n.opts.Settings.Zone}).Info("started")
	select {
	case <-ctx.Done():
	case <-n.drain:
		n.stop(ctx)
	}
	n.log.WithField("event", "stopped").Info("stopped")
	return nil
}

// stopServer closes the callers' listener. The process ends after it, whether the event loops have stopped or not.
func (n *Node) stopServer() {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
	defer cancel()
	if err := n.server.Stop(ctx); err != nil {
		n.log.WithField("event", "server_stop").WithError(err).Warn("the callers' listener did not stop in time")
	}
}

// shutDown closes a small listener. It does not wait for connections that their clients keep open.
func shutDown(s *fasthttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutDownTimeout)
	defer cancel()
	s.ShutdownWithContext(ctx) // the only error is that connections are left
}

// followTerms starts and ends the work of a dispatcher.
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
		Store: n.store, Topic: n.opts.Records.EndpointsTopic(), Log: n.log, Apply: n.applyEndpoints,
		Interval: func() time.Duration {
			if n.shards.leading(anyPartition) {
				return endpointsInterval
			}
			return idleEndpointsInterval
		},
	})
}

func (n *Node) followConfig(ctx context.Context) {
	topic, key := n.opts.Records.ConfigTopic()
	follow.New(follow.Options{
		Store: n.store, Topic: topic, Wait: configReadWait, Log: n.log,
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
		n.log.WithFields(logrus.Fields{"event": "config_unreadable", "offset": r.Offset}).WithError(err).Error("the configuration stays as it is")
		return
	}
	inForce := n.config.StoreIfNewer(c)
	n.log.WithFields(logrus.Fields{
		"event": "config", "version": c.Version, "offset": r.Offset, "queues": c.QueueCount(), "in_force": inForce,
	}).Info("configuration read")
}

// runMaintenance makes the gateway's regular checks.
func (n *Node) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.gateway.Sweep()
			n.gateway.Resubmit()
			n.router.closeUnused()
			n.router.connectForOverflow()
		}
	}
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

// draining reports whether the planned stop has begun.
func (n *Node) draining() bool {
	select {
	case <-n.drain:
		return true
	default:
		return false
	}
}

// ready reports whether the instance can serve callers.
func (n *Node) ready() bool {
	return n.config.Load() != nil && !n.draining()
}

// releasePartitions gives the partitions up in the background, at the latest at a time, and returns whether that is done.
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

// stop is the planned stop: the term goes to another instance, and the requests in progress are answered.
func (n *Node) stop(ctx context.Context) {
	n.log.WithFields(logrus.Fields{"event": "draining", "active": n.gateway.Active()}).Info("planned stop")
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
	n.log.WithFields(logrus.Fields{"event": "drained", "active": n.gateway.Active(), "ms": time.Since(begun).Milliseconds()}).Info("planned stop completed")
}
