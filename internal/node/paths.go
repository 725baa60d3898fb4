package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// redialPause keeps an address that could not be reached from being tried for every job.
const redialPause = 300 * time.Millisecond

// confirmTimeout is the time in which a live dispatcher accepts a connection.
const confirmTimeout = 150 * time.Millisecond

// paths leads to the dispatchers of all zones. It implements gateway.Path.
type paths struct {
	own     string   // zone
	others  []string // zones, in the order in which they are tried
	address string   // of this instance's relay listener
	lead    *lead.Controller
	shard   *shard.Shard
	gateway *gateway.Gateway // set before use
	log     logrus.FieldLogger
	local   *localRoute

	mu     sync.Mutex
	links  map[string]*uplinkRoute // by zone
	failed map[string]time.Time    // by address
}

// uplinkRoute is the route over a connection to another instance.
type uplinkRoute struct {
	zone   string
	uplink *relay.Uplink
}

// Cancel implements gateway.Route.
func (r *uplinkRoute) Cancel(id work.JobID) { r.uplink.Cancel(id) }

// Zones implements gateway.Path.
func (p *paths) Zones() []string {
	return append([]string{p.own}, p.others...)
}

// Submit implements gateway.Path.
func (p *paths) Submit(zone string, s *relay.Submit) (gateway.Route, bool) {
	address := p.lead.Dispatcher(zone)
	if address == "" {
		return nil, false
	}
	if address == p.address {
		if !p.shard.Leading() {
			return nil, false
		}
		p.shard.Submit(p.local, s)
		return p.local, true
	}
	route := p.link(zone, address)
	if route == nil {
		return nil, false
	}
	route.uplink.Submit(s)
	return route, true
}

// link returns the connection to a zone's dispatcher, a new one if there is none.
func (p *paths) link(zone, address string) *uplinkRoute {
	p.mu.Lock()
	defer p.mu.Unlock()
	if route := p.links[zone]; route != nil {
		if route.uplink.Address == address {
			return route
		}
		go route.uplink.Close() // the jobs sent over it are resubmitted when it has ended
	}
	if time.Since(p.failed[address]) < redialPause {
		return nil
	}
	route := &uplinkRoute{zone: zone}
	route.uplink = relay.Dial(address,
		func(a *relay.Answer) { p.gateway.Answer(route, a) },
		func(_ *relay.Uplink, sent bool, err error) { p.down(route, sent, err) })
	p.links[zone] = route
	return route
}

func (p *paths) down(route *uplinkRoute, sent bool, err error) {
	p.mu.Lock()
	if p.links[route.zone] == route {
		delete(p.links, route.zone)
	}
	p.failed[route.uplink.Address] = time.Now()
	p.mu.Unlock()
	p.log.WithFields(logrus.Fields{"event": "dispatcher_lost", "zone": route.zone, "address": route.uplink.Address, "connected": sent}).
		WithError(err).Warn("the connection to a dispatcher has ended")
	p.gateway.Lost(route, sent)
	if route.zone == p.own {
		p.lead.Search()
		go p.replace(route.uplink.Address)
	}
}

// replace takes the own zone's dispatcher out of its group if it is not reached at a second try either.
func (p *paths) replace(address string) {
	conn, err := net.DialTimeout("tcp", address, confirmTimeout)
	if err == nil {
		conn.Close()
		return
	}
	p.lead.Depose(context.Background(), address)
}

// Moved implements gateway.Path.
func (p *paths) Moved(zone string) {
	if zone == p.own {
		p.lead.Verify()
		p.lead.Search()
	}
}

// reached reports whether the own zone's dispatcher is known and connected. It connects if it can.
func (p *paths) reached() bool {
	address := p.lead.Dispatcher(p.own)
	if address == "" {
		return false
	}
	if address == p.address {
		return p.shard.Leading()
	}
	route := p.link(p.own, address)
	return route != nil && route.uplink.Connected()
}

// localRoute is the route to this instance's own shard. Answers go through a queue, because the shard gives them while
// it holds its lock.
type localRoute struct {
	shard   *shard.Shard
	gateway *gateway.Gateway
	mu      sync.Mutex
	answers []*relay.Answer
	wake    chan struct{}
}

func newLocalRoute(s *shard.Shard) *localRoute {
	return &localRoute{shard: s, wake: make(chan struct{}, 1)}
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
func (r *localRoute) Cancel(id work.JobID) { r.shard.Cancel(r, id) }

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
