package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/traffic"
	"github.com/savorypass/savorypass/internal/work"
)

// redialDelay is the pause after a connection has ended or could not be opened before its address is dialed again, so that
// an unreachable address is not dialed for every job.
const redialDelay = 300 * time.Millisecond

// probeTimeout is the time within which a live dispatcher accepts a connection and sends its first message.
const probeTimeout = 250 * time.Millisecond

// router finds and connects to the dispatchers of all zones. It implements gateway.Router.
type router struct {
	ownZone   string
	others    []string // the other zones, in the order in which they are tried
	address   string   // address of this instance's relay listener
	lead      *lead.Controller
	shards    *shards
	divisions *division.Controller
	gateway   *gateway.Gateway // set before use
	meter     *traffic.Meter
	log       logrus.FieldLogger
	local     *localRoute
	stored    *storedJobs // set before use
	// evacuations are the evacuated zones, in which no job is placed; nil for none.
	evacuations *evacuation.Zones
	hosts       hostReach // of the zones that serve this one while it is evacuated
	request     uint64    // stands for the unknown requests of jobs whose runs this instance has found; not 0
	started     time.Time // when this process started

	mu     sync.Mutex
	routes map[string]*uplinkRoute // by address
	failed map[string]time.Time    // by address: when its last connection ended or could not be opened
}

// uplinkRoute is the route to a dispatcher on another instance.
type uplinkRoute struct {
	uplink *relay.Uplink
	zone   string // zone of the dispatcher when the connection was opened
	unused bool   // this instance has closed the connection; guarded by router.mu
}

// ZonePartitions implements gateway.Route.
func (r *uplinkRoute) ZonePartitions(partition int) int {
	load, _ := r.uplink.Load(partition)
	return load.Partitions
}

// Cancel implements gateway.Route.
func (r *uplinkRoute) Cancel(c *relay.Cancel) {
	r.uplink.Cancel(c) // a cancellation can always be encoded
}

// Immediate implements gateway.Router.
func (r *router) Immediate(job *work.Job) []gateway.Target {
	if r.evacuations.Evacuated(r.ownZone) {
		return nil
	}
	d, own := demandOf(job), r.load(r.ownZone)
	if likelyLate(d, own) {
		return nearbyTargets(d, r.otherLoads(), rand.Float64)
	}
	return immediateTargets(d, own)
}

// Targets implements gateway.Router.
func (r *router) Targets(job *work.Job) []gateway.Target {
	switch {
	case !r.evacuations.Evacuated(r.ownZone):
		return waitingTargets(demandOf(job), r.load(r.ownZone), r.otherLoads(), rand.Float64)
	case r.hosts.lost(time.Now()):
		return nil
	}
	return targetsElsewhere(job.ID, r.otherLoads())
}

// otherLoads returns the loads of the other zones that are not evacuated.
func (r *router) otherLoads() []zoneLoad {
	var others []zoneLoad
	for _, zone := range r.others {
		if !r.evacuations.Evacuated(zone) {
			others = append(others, r.load(zone))
		}
	}
	return others
}

// load returns the load of a zone, with unknownPressure for the partitions whose load is not known.
func (r *router) load(zone string) zoneLoad {
	l := zoneLoad{zone, make([]relay.Load, r.divisions.Partitions(zone))}
	for part := range l.loads {
		l.loads[part] = relay.Load{Pressure: unknownPressure}
		if load, ok := r.lastLoad(gateway.Target{Zone: zone, Partition: part}); ok {
			l.loads[part] = load
		}
	}
	return l
}

// dispatcher returns the address of the instance that dispatches for a partition, or "" if it is not known.
func (r *router) dispatcher(zone string, partition int) string {
	return r.lead.Dispatcher(zone, r.divisions.GroupPartition(zone, partition))
}

// unknownPressure is the pressure, in percent, that is assumed for a dispatcher that is not connected or has not reported
// its load. It sorts behind dispatchers that have capacity.
const unknownPressure = 90

// pressure returns the last known pressure of a dispatcher in percent. ok is false while none is known.
func (r *router) pressure(t gateway.Target) (pressure int, ok bool) {
	load, ok := r.lastLoad(t)
	return load.Pressure, ok
}

// lastLoad returns the last known load of a dispatcher. ok is false while none is known.
func (r *router) lastLoad(t gateway.Target) (load relay.Load, ok bool) {
	address := r.dispatcher(t.Zone, t.Partition)
	if address == r.address {
		return r.shards.lastLoad(t.Partition)
	}
	return r.loadAt(address, t.Partition)
}

// loadAt returns the last known load of a partition's dispatcher at the address of another instance. ok is false while none is known.
func (r *router) loadAt(address string, partition int) (load relay.Load, ok bool) {
	r.mu.Lock()
	route := r.routes[address]
	r.mu.Unlock()
	if route == nil {
		return relay.Load{}, false
	}
	return route.uplink.Load(partition)
}

// overflowPressure is the mean pressure of the instance's zone, in percent, at which its jobs are likely to need other
// zones soon.
const overflowPressure = 60

// connectForOverflow connects to the dispatchers of the other zones when the mean pressure of its zone reaches
// overflowPressure, or its zone is evacuated. It does so ahead of need because Submit does not make a job wait for a connection to another zone.
func (r *router) connectForOverflow() {
	sum, known := 0, 0
	for part := range r.divisions.Partitions(r.ownZone) {
		if pressure, ok := r.pressure(gateway.Target{Zone: r.ownZone, Partition: part}); ok {
			sum += pressure
			known++
		}
	}
	if !r.evacuations.Evacuated(r.ownZone) && (known == 0 || sum/known < overflowPressure) {
		return
	}
	for _, zone := range r.others {
		if r.evacuations.Evacuated(zone) {
			continue
		}
		for part := range r.divisions.Partitions(zone) {
			if address := r.dispatcher(zone, part); address != "" {
				r.routeTo(address, zone)
			}
		}
	}
}

// Submit implements gateway.Router.
func (r *router) Submit(to gateway.Target, s *relay.Submit) (gateway.Route, bool) {
	address := r.dispatcher(to.Zone, to.Partition)
	if address == "" {
		return nil, false
	}
	if address == r.address {
		if !r.shards.leading(to.Partition) || !r.local.submit(s) {
			return nil, false
		}
		return r.local, true
	}
	route := r.routeTo(address, to.Zone)
	if route == nil {
		return nil, false
	}
	if to.Zone != r.ownZone && !route.uplink.Connected() {
		// A job must not wait for a zone that may be unreachable. The connection that is being opened serves later jobs.
		return nil, false
	}
	if err := route.uplink.Submit(s); err != nil {
		r.log.WithFields(logrus.Fields{"event": "submission_unsendable", "job": s.Job.ID, "address": address}).WithError(err).
			Error("a job cannot be sent to its dispatcher")
		return nil, false
	}
	return route, true
}

// Homes implements gateway.Router.
func (r *router) Homes(id work.JobID) []gateway.Target {
	homes := []gateway.Target{r.homeIn(r.ownZone, id)}
	for _, zone := range r.others {
		homes = append(homes, r.homeIn(zone, id))
	}
	return homes
}

func (r *router) homeIn(zone string, id work.JobID) gateway.Target {
	return gateway.Target{Zone: zone, Partition: shard.PartitionOf(string(id), r.divisions.Partitions(zone))}
}

// Knowledge implements gateway.Router.
func (r *router) Knowledge(t gateway.Target) uint64 {
	address := r.dispatcher(t.Zone, t.Partition)
	if address == r.address {
		return r.shards.knowledge(t.Partition)
	}
	load, _ := r.loadAt(address, t.Partition)
	return load.Knowledge
}

// Partitions implements gateway.Router.
func (r *router) Partitions(t gateway.Target) int {
	address := r.dispatcher(t.Zone, t.Partition)
	if address == r.address {
		return r.shards.partitions(t.Partition)
	}
	load, _ := r.loadAt(address, t.Partition)
	return load.Partitions
}

// Dispatchers implements gateway.Router.
func (r *router) Dispatchers() (own, others []gateway.Target) {
	for part := range r.divisions.Partitions(r.ownZone) {
		own = append(own, gateway.Target{Zone: r.ownZone, Partition: part})
	}
	for _, zone := range r.others {
		for part := range r.divisions.Partitions(zone) {
			if t := (gateway.Target{Zone: zone, Partition: part}); r.Knowledge(t) != 0 {
				others = append(others, t)
			}
		}
	}
	return own, others
}

// Claim implements gateway.Router.
func (r *router) Claim(to gateway.Target, c *relay.Claim) (gateway.Route, bool) {
	address := r.dispatcher(to.Zone, to.Partition)
	if address == "" {
		return nil, false
	}
	if address == r.address {
		if !r.shards.leading(to.Partition) {
			r.lead.Verify() // another instance may have taken the partition over
			return nil, false
		}
		return r.local, r.local.claim(c)
	}
	route := r.routeTo(address, to.Zone)
	if route == nil {
		return nil, false
	}
	return route, route.uplink.Claim(c)
}

// claimFound tells the homes of jobs, those in this zone, that a dispatcher of this instance has found runs which nobody waits for. A caller
// may submit such a job again before these runs are over.
func (r *router) claimFound(zone string, partition int, jobs []work.JobID) {
	for _, id := range jobs {
		home := r.homeIn(r.ownZone, id)
		r.Claim(home, &relay.Claim{
			Job: id, Partition: home.Partition, Request: r.request, At: relay.Placement{Zone: zone, Partition: partition}, Asks: true,
		})
	}
}

// routeTo returns the route to an address of a zone and opens a connection if there is none. It returns nil if the last
// connection to the address ended less than redialPause ago.
func (r *router) routeTo(address, zone string) *uplinkRoute {
	r.mu.Lock()
	defer r.mu.Unlock()
	if route := r.routes[address]; route != nil {
		return route
	}
	if time.Since(r.failed[address]) < r.redialPause() {
		return nil
	}
	route := &uplinkRoute{zone: zone}
	route.uplink = relay.Dial(address, r.meter, relay.Handler{
		Answer:   func(a *relay.Answer) { r.gateway.Answer(route, a) },
		Stored:   func(a *relay.StoredReply) { r.stored.replied(a) },
		Attempts: func(all []attempt.Attempt) { r.mergeAttempts(address, all) }, Unattended: r.gateway.Unattended,
		Cancellations: r.gateway.Cancellations(),
		End:           func(_ *relay.Uplink, sent bool, err error) { r.connectionEnded(route, sent, err) },
	})
	r.routes[address] = route
	return route
}

// mergeAttempts records the unsuccessful runs that a dispatcher has observed.
func (r *router) mergeAttempts(from string, attempts []attempt.Attempt) {
	if added := r.shards.mergeAttempts(attempts); added > 0 {
		r.log.WithFields(logrus.Fields{"event": "attempts_learned", "from": from, "attempts": added}).
			Info("another instance has observed failed or crashed runs")
	}
}

// connectionEnded removes a route whose connection has ended or could not be opened. It reports the end to the gateway,
// looks for the zone's new dispatcher and checks whether the old one still answers.
func (r *router) connectionEnded(route *uplinkRoute, sent bool, err error) {
	r.mu.Lock() // also waits for routeTo, which sets route.uplink
	address := route.uplink.Address
	if r.routes[address] == route {
		delete(r.routes, address)
	}
	if !route.unused {
		r.failed[address] = time.Now()
	}
	r.mu.Unlock()
	r.log.WithFields(logrus.Fields{"event": "dispatcher_lost", "address": address, "connected": sent}).
		WithError(err).Warn("connection to a dispatcher ended")
	r.gateway.RouteEnded(route, sent)
	r.stored.connectionEnded(route, sent)
	r.lead.Search(route.zone)
	go r.deposeIfSilent(address, route.zone)
}

// deposeIfSilent probes a dispatcher of a zone whose connection has ended. If the dispatcher does not answer the probe either, it is
// removed from the group of this instance's zone, so that another instance takes over its partitions. The members of other zones are only
// looked up more often, since their zone may be cut off.
func (r *router) deposeIfSilent(address, zone string) {
	if relay.Probe(address, probeTimeout) {
		return
	}
	if zone != r.ownZone {
		r.lead.DispatcherLost(zone)
		return
	}
	r.lead.Depose(context.Background(), address)
}

// ReportNotLeader implements gateway.Router.
func (r *router) ReportNotLeader(from gateway.Target) {
	if from.Zone == r.ownZone {
		r.lead.Verify()
	}
	r.lead.Search(from.Zone)
}

// ownZoneConnected reports whether all dispatchers of this instance's zone are known and connected. It opens the
// connections that are missing.
func (r *router) ownZoneConnected() bool { return r.zoneConnected(r.ownZone) }

// zoneConnected is ownZoneConnected for any zone.
func (r *router) zoneConnected(zone string) bool {
	all := true
	for part := range r.divisions.Partitions(zone) {
		address := r.dispatcher(zone, part)
		switch {
		case address == "":
			all = false
		case address == r.address:
			all = all && r.shards.leading(part)
		default:
			route := r.routeTo(address, zone)
			all = all && route != nil && route.uplink.Connected()
		}
	}
	return all
}

// ReachesAll implements gateway.Router.
func (r *router) ReachesAll() bool {
	all := r.zoneConnected(r.ownZone)
	for _, zone := range r.others {
		all = r.zoneConnected(zone) && all
	}
	return all
}

// closeUnused closes the connections to instances that are not the dispatcher of any partition.
func (r *router) closeUnused() {
	used := map[string]bool{}
	for _, zone := range append([]string{r.ownZone}, r.others...) {
		for part := range r.divisions.Partitions(zone) {
			used[r.dispatcher(zone, part)] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, route := range r.routes {
		if !used[address] {
			route.unused = true
			go route.uplink.Close() // when the connection has ended, the jobs that were sent over it are submitted again
		}
	}
}
