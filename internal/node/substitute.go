package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// vacancyInterval is the interval at which an instance checks whether another zone needs it, or needs it no longer.
	vacancyInterval = 250 * time.Millisecond
	// minVacancy and extraVacancy are how long a zone must be vacant before an instance of another zone takes part in its place:
	// minVacancy and a random part of extraVacancy. Instances of the zone that start again have joined by then.
	minVacancy   = 1500 * time.Millisecond
	extraVacancy = time.Second
	// substituteLookUps is the pause between look-ups of a zone in which this instance substitutes.
	substituteLookUps = time.Second
	// idleSubstitute is how long an instance waits to be needed as a substitute before it checks anew whether the zone is vacant.
	idleSubstitute = 5 * time.Second
	// substituteLeave is how long an instance tries to leave the group of another zone.
	substituteLeave = 3 * time.Second
	// endpointProbes is the number of a zone's endpoints of which one has to be reached, and endpointProbeTimeout how long that may take.
	endpointProbes       = 3
	endpointProbeTimeout = 400 * time.Millisecond
)

// substitute takes the place of the instances of another zone while the zone has none. The zone's stored jobs then have a holder and its
// endpoints a dispatcher, with the fences of the zone's own group: an instance of the zone that is alive but cut off can start nothing
// after its endpoints have reported to the substitute. Once an instance of the zone is a member again, the substitute leaves.
//
// The members of a zone that the store refuses are no members after a while but go on to dispatch. A substitute would only disturb them,
// so nobody takes part while one of them answers and dispatches, nor while no endpoint of the zone can be reached.
type substitute struct {
	node     *Node
	zone     string
	address  string // of the listener for other instances
	patience time.Duration
	wanted   atomic.Bool                 // the registrations of the endpoints are needed
	active   atomic.Pointer[dispatchers] // nil while this instance does not take part
}

// newSubstitutes returns the substitutes for the other zones. Each has a port of its own; zones for which there is none are left out.
func newSubstitutes(n *Node) []*substitute {
	s := n.opts.Settings
	var all []*substitute
	for i, zone := range otherZones(s) {
		port := s.FirstPort + 1 + i
		if port > s.LastPort {
			n.log.WithFields(logrus.Fields{"event": "no_port", "zone": zone, "last_port": s.LastPort}).
				Warn("no port is left for dispatching in place of the zone's instances")
			continue
		}
		all = append(all, &substitute{
			node: n, zone: zone, address: fmt.Sprintf("%s:%d", s.IP, port), patience: minVacancy + rand.N(extraVacancy),
		})
	}
	return all
}

// run takes part in the zone's group whenever the zone needs it, until ctx ends or a planned stop begins.
func (s *substitute) run(ctx context.Context) {
	for ctx.Err() == nil && !s.node.draining() {
		v := s.node.lead.Vacancy(s.zone)
		needed := v.For >= s.patience && v.Capacity < s.node.divisions.Partitions(s.zone)
		s.wanted.Store(needed)
		if needed && s.servable(ctx, v) {
			s.serve(ctx)
		}
		pause.For(ctx, vacancyInterval, s.node.drain)
	}
}

// servable reports whether this instance can dispatch for the zone and nobody else does.
func (s *substitute) servable(ctx context.Context, v lead.Vacancy) bool {
	n := s.node
	if !n.divisions.Known() || !n.directory.EndpointsKnown(n.now()) {
		return false
	}
	for _, address := range v.Former {
		if relay.ProbeDispatching(address, probeTimeout) {
			return false
		}
	}
	endpoints := n.directory.Registered(s.zone)
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	for _, e := range endpoints[:min(len(endpoints), endpointProbes)] {
		if n.reaches(ctx, e) {
			return true
		}
	}
	return false
}

// reaches reports whether a connection to an endpoint can be opened. A request would need a fence, which this instance does not have yet.
func (n *Node) reaches(ctx context.Context, e work.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, endpointProbeTimeout)
	defer cancel()
	c := n.opts.Dialer.Dial(e)
	defer c.Close()
	return c.Reach(ctx) == nil
}

// serve takes part in the zone's group until the zone has members of its own, ctx ends or a planned stop begins.
func (s *substitute) serve(ctx context.Context) {
	n := s.node
	log := n.log.WithField("zone", s.zone)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := n.newDispatchers(s.zone, s.address, true)
	relays, err := relay.Listen(s.address, d.shards, n.opts.Meter, n.log)
	if err != nil {
		log.WithField("event", "substitute_listener").WithError(err).Error("cannot dispatch in place of the zone's instances")
		pause.For(ctx, idleSubstitute, nil)
		return
	}
	relays.Stored = d.ledgers.handle
	log.WithField("event", "substitute").Info("ready to dispatch in place of the zone's instances")
	s.active.Store(d)
	followed := make(chan struct{})
	go func() {
		n.followTerms(ctx, d)
		close(followed)
	}()
	go relays.Run(ctx)
	go d.lead.Run(ctx)
	go d.lead.Follow(ctx, []string{s.zone}, func() bool { return true })
	s.awaitOwn(ctx, d)
	leaving, stop := context.WithTimeout(ctx, substituteLeave)
	defer stop()
	d.lead.Leave(leaving)
	cancel()
	<-followed // no earlier term is applied after this
	d.shards.setTerm(lead.Term{Generation: d.lead.Term().Generation})
	s.active.Store(nil)
	log.WithField("event", "substitute_ended").Info("the zone's instances dispatch themselves")
}

// awaitOwn returns when the zone has members of its own, or enough other substitutes.
func (s *substitute) awaitOwn(ctx context.Context, d *dispatchers) {
	begun := time.Now()
	for ctx.Err() == nil && !s.node.draining() && !d.lead.Occupied(s.zone) {
		if !d.lead.Candidate() && time.Since(begun) > idleSubstitute {
			return
		}
		d.lead.Search(s.zone)
		pause.For(ctx, substituteLookUps, s.node.drain)
	}
}
