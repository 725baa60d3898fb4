package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// redialDelay keeps an address that could not be reached from being tried for every job.
const redialDelay = 300 * time.Millisecond

// probeTimeout is the time in which a live dispatcher accepts a connection, and in which its first message comes.
const probeTimeout = 250 * time.Millisecond

// router leads to the dispatchers of all zones. It implements gateway.Router.
type router struct {
	ownZone   string   // zone
	others    []string // zones, in the order in which they are tried
	address   string   // of this instance's relay listener
	lead      *lead.Controller
	shards    *shards
	divisions *division.Controller
	gateway   *gateway.Gateway // set before use
	log       logrus.FieldLogger
	local     *localRoute

	mu     sync.Mutex
	routes map[string]*uplinkRoute // by address
	failed map[string]time.Time    // by address
}

// uplinkRoute is the route over a connection to another instance.
type uplinkRoute struct {
	uplink *relay.Uplink
	zone   string // for which it was made
}

// Cancel implements gateway.Route.
func (r *uplinkRoute) Cancel(from gateway.Target, id work.JobID) {
	r.uplink.Cancel(&relay.Cancel{Job: id, Partition: from.Partition})
}

// Targets implements gateway.Router.
func (p *router) Targets(id work.JobID) []gateway.Target {
	var others []zoneLoad
	for _, zone := range p.others {
		others = append(others, p.load(zone))
	}
	return targetsOf(id, p.load(p.ownZone), others)
}

func (p *router) load(zone string) zoneLoad {
	l := zoneLoad{zone, make([]int, p.divisions.Partitions(zone))}
	for part := range l.pressure {
		l.pressure[part] = unknownPressure
		if pressure, ok := p.pressure(gateway.Target{Zone: zone, Partition: part}); ok {
			l.pressure[part] = pressure
		}
	}
	return l
}

// unknownPressure is the pressure of a dispatcher that is not connected or has not told its load: behind those that have
// room.
const unknownPressure = 90

// pressure returns the last known pressure of a dispatcher. ok is false while none is known.
func (p *router) pressure(t gateway.Target) (pressure int, ok bool) {
	address := p.lead.Dispatcher(t.Zone, t.Partition)
	if address == p.address {
		return p.shards.pressure(t.Partition)
	}
	p.mu.Lock()
	route := p.routes[address]
	p.mu.Unlock()
	if route == nil {
		return 0, false
	}
	return route.uplink.Pressure(t.Partition)
}

// overflowPressure is the mean pressure of the own zone from which its jobs are likely to need other zones soon.
const overflowPressure = 60

// connectForOverflow connects to the dispatchers of the other zones when the own zone fills up, because a job does not wait for a
// connection.
func (p *router) connectForOverflow() {
	sum, known := 0, 0
	for part := range p.divisions.Partitions(p.ownZone) {
		if pressure, ok := p.pressure(gateway.Target{Zone: p.ownZone, Partition: part}); ok {
			sum += pressure
			known++
		}
	}
	if known == 0 || sum/known < overflowPressure {
		return
	}
	for _, zone := range p.others {
		for part := range p.divisions.Partitions(zone) {
			if address := p.lead.Dispatcher(zone, part); address != "" {
				p.routeTo(address, zone)
			}
		}
	}
}

// Submit implements gateway.Router.
func (p *router) Submit(to gateway.Target, s *relay.Submit) (gateway.Route, bool) {
	address := p.lead.Dispatcher(to.Zone, to.Partition)
	if address == "" {
		return nil, false
	}
	if address == p.address {
		if !p.shards.leading(to.Partition) {
			return nil, false
		}
		p.shards.Submit(p.local, s)
		return p.local, true
	}
	route := p.routeTo(address, to.Zone)
	if route == nil {
		return nil, false
	}
	if to.Zone != p.ownZone && !route.uplink.Connected() {
		return nil, false // a job must not wait for a zone that may be cut off; the connection is there for later ones
	}
	route.uplink.Submit(s)
	return route, true
}

// routeTo returns the connection to an address of a zone, a new one if there is none.
func (p *router) routeTo(address, zone string) *uplinkRoute {
	p.mu.Lock()
	defer p.mu.Unlock()
	if route := p.routes[address]; route != nil {
		return route
	}
	if time.Since(p.failed[address]) < redialDelay {
		return nil
	}
	route := &uplinkRoute{zone: zone}
	route.uplink = relay.Dial(address,
		func(a *relay.Answer) { p.gateway.Answer(route, a) },
		func(_ *relay.Uplink, sent bool, err error) { p.connectionEnded(route, sent, err) })
	p.routes[address] = route
	return route
}

func (p *router) connectionEnded(route *uplinkRoute, sent bool, err error) {
	address := route.uplink.Address
	p.mu.Lock()
	if p.routes[address] == route {
		delete(p.routes, address)
	}
	p.failed[address] = time.Now()
	p.mu.Unlock()
	p.log.WithFields(logrus.Fields{"event": "dispatcher_lost", "address": address, "connected": sent}).
		WithError(err).Warn("the connection to a dispatcher has ended")
	p.gateway.RouteEnded(route, sent)
	p.lead.Search(route.zone)
	go p.deposeIfSilent(address)
}

// deposeIfSilent takes a dispatcher of the own zone out of its group if it does not answer at a second try either.
func (p *router) deposeIfSilent(address string) {
	if !relay.Probe(address, probeTimeout) {
		p.lead.Depose(context.Background(), address)
	}
}

// ReportNotLeader implements gateway.Router.
func (p *router) ReportNotLeader(from gateway.Target) {
	if from.Zone == p.ownZone {
		p.lead.Verify()
	}
	p.lead.Search(from.Zone)
}

// ownZoneConnected reports whether the own zone's dispatchers are known and connected. It connects where it can.
func (p *router) ownZoneConnected() bool {
	all := true
	for part := range p.divisions.Partitions(p.ownZone) {
		address := p.lead.Dispatcher(p.ownZone, part)
		switch {
		case address == "":
			all = false
		case address == p.address:
			all = all && p.shards.leading(part)
		default:
			route := p.routeTo(address, p.ownZone)
			all = all && route != nil && route.uplink.Connected()
		}
	}
	return all
}

// closeUnused closes the connections to instances that dispatch for nothing any more.
func (p *router) closeUnused() {
	used := map[string]bool{}
	for _, zone := range append([]string{p.ownZone}, p.others...) {
		for part := range p.divisions.Partitions(zone) {
			used[p.lead.Dispatcher(zone, part)] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, route := range p.routes {
		if !used[address] {
			go route.uplink.Close() // the jobs that were sent over it are resubmitted when it has ended
		}
	}
}

// localRoute is the route to this instance's own shards. Answers go through a queue, because a shard gives them while it
// holds its lock.
type localRoute struct {
	shards  *shards
	gateway *gateway.Gateway
	mu      sync.Mutex
	answers []*relay.Answer
	wake    chan struct{}
}

func newLocalRoute(s *shards) *localRoute {
	return &localRoute{shards: s, wake: make(chan struct{}, 1)}
}

// Answer implements relay.Client.
func (r *localRoute) Answer(a *relay.Answer) {
	r.mu.Lock()
	r.answers = append(r.answers, a)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Name implements relay.Client.
func (r *localRoute) Name() string { return "local" }

// Cancel implements gateway.Route.
func (r *localRoute) Cancel(from gateway.Target, id work.JobID) {
	r.shards.Cancel(r, &relay.Cancel{Job: id, Partition: from.Partition})
}

func (r *localRoute) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-r.wake:
		}
		r.mu.Lock()
		answers := r.answers
		r.answers = nil
		r.mu.Unlock()
		for _, a := range answers {
			r.gateway.Answer(r, a)
		}
	}
}
