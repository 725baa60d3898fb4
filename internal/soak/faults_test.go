package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/savorypass/savorypass/platform/standin"
)

const (
	maxFaults      = 4 // at the same time
	minFault       = 200 * time.Millisecond
	maxFault       = 5 * time.Second
	minFaultGap    = 100 * time.Millisecond
	maxFaultGap    = 900 * time.Millisecond
	maxSeries      = 4 // repetitions of one fault
	maxDownTime    = 2 * time.Second
	minZoneLoss    = 2 * time.Second
	maxZoneLoss    = 9 * time.Second
	endpointsAdded = 5
	maxLinkDelay   = 300 * time.Millisecond
	maxChoke       = 2 * time.Second // delay of data on choked links
	chokeRamp      = 2               // time in which the delay of choked links grows, in delays; a faster growth would hold heartbeats back
	maxStoreDelay  = 900 * time.Millisecond
	maxLateOrder   = 5 * time.Second
)

// fault is a kind of fault. inject blocks until the fault is over.
type fault struct {
	name   string
	weight int
	inject func(r *run, rnd *rand.Rand, length time.Duration)
}

var faults = []fault{
	{"kill", 4, (*run).killInstance},
	{"pause", 3, (*run).pauseInstance},
	{"planned stop", 4, (*run).stopInstance},
	{"SIGHUP", 1, (*run).reloadInstance},
	{"links of an instance", 5, (*run).faultLinksOfInstance},
	{"small share", 6, (*run).shrinkShare},
	{"choked links", 4, (*run).chokeLinks},
	{"zone cut", 2, (*run).cutZone},
	{"callers reset", 4, (*run).resetCallers},
	{"links to an endpoint", 2, (*run).faultLinksToEndpoint},
	{"links of callers", 2, (*run).faultLinksOfCallers},
	{"store slow", 1, (*run).slowStore},
	{"store down", 1, (*run).refuseCalls},
	{"store loses answers", 1, (*run).loseStoreAnswers},
	{"store forgets history", 1, (*run).forgetHistory},
	{"store rebalances", 2, (*run).rebalance},
	{"endpoint crashes", 2, (*run).crashEndpoint},
	{"endpoint silent", 2, (*run).silenceEndpoint},
	{"endpoint leaves", 2, (*run).drainEndpoint},
	{"orders lost or late", 2, (*run).loseOrders},
	{"configuration", 3, (*run).changeConfig},
}

// faultsWithStoredJobs come besides if the run has stored jobs.
var faultsWithStoredJobs = []fault{
	{"zone lost", 2, (*run).loseZone},
	{"endpoints come", 1, (*run).addEndpoints},
}

// kinds returns the faults of the run.
func (r *run) kinds() []fault {
	all := slices.Clone(faults)
	if r.stores {
		all = append(all, faultsWithStoredJobs...)
	}
	if r.paths {
		all = append(all, pathFaults...)
	}
	return all
}

// endingKinds returns the faults of the time in which the callers leave.
func (r *run) endingKinds() []fault {
	if r.paths {
		return slices.Concat(endingFaults, endingPathFaults)
	}
	return endingFaults
}

// injectFaults injects random faults of a round until ctx ends, and waits until all are over.
func (r *run) injectFaults(ctx context.Context, round uint64, kinds []fault) {
	rnd := rand.New(rand.NewPCG(r.seed, round<<32))
	running := make(chan struct{}, maxFaults)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := uint64(0); ; n++ {
		f, length, series := pick(kinds, rnd), between(rnd, minFault, maxFault), 1
		if rnd.IntN(4) == 0 {
			series += rnd.IntN(maxSeries)
		}
		select {
		case <-ctx.Done():
			return
		case running <- struct{}{}:
		}
		own := rand.New(rand.NewPCG(r.seed, round<<32+1+n))
		wg.Go(func() {
			for range series {
				f.inject(r, own, length/time.Duration(series))
			}
			<-running
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(between(rnd, minFaultGap, maxFaultGap)):
		}
	}
}

func pick(kinds []fault, rnd *rand.Rand) fault {
	sum := 0
	for _, f := range kinds {
		sum += f.weight
	}
	n := rnd.IntN(sum)
	for _, f := range kinds {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	panic("unreachable")
}

// begin counts and notes a fault, and records whom it disturbs until the returned function is called.
func (r *run) begin(kind, detail string, who ...string) (end func()) {
	r.record.countFault(kind)
	r.record.note("begin %s %s", kind, detail)
	ended := r.record.disturb(who...)
	return func() {
		ended()
		r.record.note("end %s %s", kind, detail)
	}
}

// withInstance injects a fault into a random instance, unless another fault uses it. inject returns when the fault is over.
func (r *run) withInstance(rnd *rand.Rand, kind string, unplanned bool, inject func(i *instance)) {
	i := r.instances[rnd.IntN(len(r.instances))]
	if !i.claim() {
		return
	}
	defer i.release()
	who := []string{i.spec.Name}
	if unplanned {
		who = append(who, callersOf(i.spec.Name))
	}
	defer r.begin(kind, i.spec.Name, who...)()
	inject(i)
}

// restart starts the next process of an instance after a while.
func (r *run) restart(rnd *rand.Rand, i *instance) {
	time.Sleep(between(rnd, 0, maxDownTime))
	if err := i.start(r.ended); err != nil {
		r.record.problem("%s: %v", i.spec.Name, err)
	}
}

func (r *run) killInstance(rnd *rand.Rand, _ time.Duration) {
	r.withInstance(rnd, "kill", true, func(i *instance) {
		i.kill()
		r.restart(rnd, i)
	})
}

// loseZone kills all instances of a zone and starts them again after a time in which those of the other zone take their place.
func (r *run) loseZone(rnd *rand.Rand, _ time.Duration) {
	zone := zones[rnd.IntN(len(zones))]
	var lost []*instance
	var who []string
	for _, i := range r.instances {
		if i.spec.Zone != zone || !i.claim() {
			continue
		}
		defer i.release()
		lost = append(lost, i)
		who = append(who, i.spec.Name, callersOf(i.spec.Name))
	}
	defer r.begin("zone lost", zone, who...)()
	for _, i := range lost {
		i.kill()
	}
	time.Sleep(between(rnd, minZoneLoss, maxZoneLoss))
	for _, i := range lost {
		r.restart(rnd, i)
	}
}

// addEndpoints adds endpoints to a zone, which may be divided further then.
func (r *run) addEndpoints(rnd *rand.Rand, _ time.Duration) {
	zone := zones[rnd.IntN(len(zones))]
	defer r.begin("endpoints come", zone)()
	for range endpointsAdded {
		if err := r.addEndpoint(zone); err != nil {
			r.record.problem("endpoint of %s: %v", zone, err)
		}
	}
}

func (r *run) pauseInstance(rnd *rand.Rand, length time.Duration) {
	r.withInstance(rnd, "pause", true, func(i *instance) {
		i.signal(syscall.SIGSTOP)
		time.Sleep(length)
		i.signal(syscall.SIGCONT)
	})
}

// shrinkShare leaves several instances a small share of the processor. They are stopped and continued every few milliseconds, so
// that none of them is ever stopped for long.
func (r *run) shrinkShare(rnd *rand.Rand, length time.Duration) {
	var wg sync.WaitGroup
	for range 1 + rnd.IntN(len(r.instances)) {
		period := between(rnd, 60*time.Millisecond, 100*time.Millisecond)
		running := between(rnd, time.Millisecond, 12*time.Millisecond)
		r.mu.Lock()
		own := rand.New(rand.NewPCG(r.rand.Uint64(), 0))
		r.mu.Unlock()
		wg.Go(func() {
			r.withInstance(own, "small share", true, func(i *instance) { i.throttle(period, running, length) })
		})
	}
	wg.Wait()
}

func (r *run) stopInstance(rnd *rand.Rand, _ time.Duration) {
	r.withInstance(rnd, "planned stop", false, func(i *instance) {
		ended := r.record.addStop(i.spec.Name)
		ended(i.stop(grace))
		r.restart(rnd, i)
	})
}

func (r *run) reloadInstance(rnd *rand.Rand, _ time.Duration) {
	r.withInstance(rnd, "SIGHUP", false, func(i *instance) {
		if err := i.writeSettings(); err != nil {
			r.record.problem("%s: %v", i.spec.Name, err)
		}
		i.signal(syscall.SIGHUP)
	})
}

// faultLinks gives links a random kind of fault.
func faultLinks(links []*link, rnd *rand.Rand, length time.Duration) {
	kind, f := rnd.IntN(5), &linkFault{}
	switch kind {
	case 0:
		f.delay = between(rnd, 0, maxLinkDelay)
	case 1:
		f.cut[rnd.IntN(2)] = true
	case 2:
		f.cut = [2]bool{true, true}
	}
	for _, l := range links {
		switch kind {
		case 3:
			l.reset()
		case 4:
			l.silence()
		default:
			l.begin(f)
		}
	}
	time.Sleep(length)
	for _, l := range links {
		l.end(f)
	}
}

// faultLinksOfInstance disturbs the links of an instance to other instances, to the store, to endpoints, or all of them.
func (r *run) faultLinksOfInstance(rnd *rand.Rand, length time.Duration) {
	i := r.instances[rnd.IntN(len(r.instances))]
	ip, group := i.spec.IP, rnd.IntN(4)
	links := r.network.between(func(from, to string) bool {
		between := from != callerIP && (from == ip && r.isInstance(to) || strings.HasPrefix(to, ip+":"))
		store := from == ip && to == r.storeAddress
		switch group {
		case 0:
			return between
		case 1:
			return store
		case 2:
			return from == ip && !between && !store
		}
		return from == ip || between
	})
	who := []string{i.spec.Name}
	if group == 0 || group == 3 {
		who = r.names() // the other ends of the links are disturbed as well
	}
	groups := [...]string{"to instances", "to the store", "to endpoints", "of all kinds"}
	defer r.begin("links of an instance", i.spec.Name+" "+groups[group], who...)()
	faultLinks(links, rnd, length)
}

// isInstance reports whether an address belongs to an instance.
func (r *run) isInstance(address string) bool {
	return slices.ContainsFunc(r.instances, func(i *instance) bool { return strings.HasPrefix(address, i.spec.IP+":") })
}

func (r *run) names() (names []string) {
	for _, i := range r.instances {
		names = append(names, i.spec.Name)
	}
	return names
}

// chokeLinks delays what an instance sends to other instances, or they to it, more and more. No heartbeat is missing, but all are late.
func (r *run) chokeLinks(rnd *rand.Rand, length time.Duration) {
	i := r.instances[rnd.IntN(len(r.instances))]
	delay, way := between(rnd, minFault, maxChoke), rnd.IntN(2)
	f := &linkFault{delay: delay, ramp: chokeRamp * delay}
	f.ways[way] = true
	links := r.network.between(func(from, to string) bool { return from == i.spec.IP && r.isInstance(to) })
	defer r.begin("choked links", fmt.Sprint(i.spec.Name, " ", delay, " direction ", way), r.names()...)()
	for _, l := range links {
		l.begin(f)
	}
	time.Sleep(f.ramp + length)
	for _, l := range links {
		l.end(f)
	}
}

// cutZone cuts a zone off from the others, half the time from the store as well.
func (r *run) cutZone(rnd *rand.Rand, length time.Duration) {
	zone, store := zones[rnd.IntN(len(zones))], rnd.IntN(2) == 0
	links := r.network.between(func(from, to string) bool {
		if to == r.storeAddress {
			return store && r.zoneOf(from) == zone
		}
		return from != callerIP && (r.zoneOf(from) == zone) != (r.zoneOf(to) == zone)
	})
	defer r.begin("zone cut", zone, r.names()...)()
	f := &linkFault{cut: [2]bool{true, true}}
	for _, l := range links {
		l.begin(f)
	}
	time.Sleep(length)
	for _, l := range links {
		l.end(f)
	}
}

// zoneOf returns the zone of an instance's IP address, or of the address of an instance or an endpoint.
func (r *run) zoneOf(address string) string {
	for _, i := range r.instances {
		if address == i.spec.IP || strings.HasPrefix(address, i.spec.IP+":") {
			return i.spec.Zone
		}
	}
	return r.fleet.Registration(address).Zone
}

func (r *run) linksOfCallers(i *instance) []*link {
	return r.network.between(func(from, to string) bool { return from == callerIP && to == i.spec.Callers })
}

// resetCallers resets the connections of the callers of an instance, several times.
func (r *run) resetCallers(rnd *rand.Rand, length time.Duration) {
	i := r.instances[rnd.IntN(len(r.instances))]
	links := r.linksOfCallers(i)
	defer r.begin("callers reset", i.spec.Name, i.spec.Name, callersOf(i.spec.Name))()
	for range maxSeries {
		for _, l := range links {
			l.reset()
		}
		time.Sleep(length / maxSeries)
	}
}

func (r *run) faultLinksOfCallers(rnd *rand.Rand, length time.Duration) {
	i := r.instances[rnd.IntN(len(r.instances))]
	links := r.linksOfCallers(i)
	defer r.begin("links of callers", i.spec.Name, i.spec.Name, callersOf(i.spec.Name))()
	faultLinks(links, rnd, length)
}

// storeFault is a fault of the store while it lasts. Each call meets it with its probability.
type storeFault struct {
	only        string // IP address of the only caller that meets it; empty for all
	probability float64
	standin.Fault
}

// storeFault implements standin.Store.Fault.
func (r *run) storeFault(caller string) (met standin.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.storeFaults {
		if f.only != "" && f.only != caller || r.rand.Float64() >= f.probability {
			continue
		}
		met.Delay = max(met.Delay, f.Delay)
		met.Refuse = met.Refuse || f.Refuse
		met.Lost = met.Lost || f.Lost
	}
	return met
}

// faultStore makes calls to the store meet a fault, of all instances or of one.
func (r *run) faultStore(kind string, rnd *rand.Rand, length time.Duration, f *storeFault) {
	detail := "for all"
	if rnd.IntN(2) == 0 {
		i := r.instances[rnd.IntN(len(r.instances))]
		f.only, detail = i.spec.IP, "for "+i.spec.Name
	}
	defer r.begin(kind, detail, storeName)()
	r.mu.Lock()
	r.storeFaults[f] = true
	r.mu.Unlock()
	time.Sleep(length)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.storeFaults, f)
}

func (r *run) slowStore(rnd *rand.Rand, length time.Duration) {
	r.faultStore("store slow", rnd, length, &storeFault{probability: 0.7, Fault: standin.Fault{Delay: between(rnd, minFault, maxStoreDelay)}})
}

func (r *run) refuseCalls(rnd *rand.Rand, length time.Duration) {
	r.faultStore("store down", rnd, length, &storeFault{probability: 0.5 + rnd.Float64(), Fault: standin.Fault{Refuse: true}})
}

// loseStoreAnswers also lets the calls without an answer be carried out late.
func (r *run) loseStoreAnswers(rnd *rand.Rand, length time.Duration) {
	r.faultStore("store loses answers", rnd, length, &storeFault{
		probability: 0.3 + rnd.Float64(), Fault: standin.Fault{Lost: true, Delay: between(rnd, 0, 2*maxStoreDelay)},
	})
}

func (r *run) forgetHistory(*rand.Rand, time.Duration) {
	defer r.begin("store forgets history", "", storeName)()
	topic, _ := standin.ConfigRecord()
	r.keyed.DropHistory(topic)
	r.keyed.DropHistory(standin.EndpointsTopic())
}

func (r *run) rebalance(*rand.Rand, time.Duration) {
	defer r.begin("store rebalances", "", storeName)()
	r.keyed.Rebalance()
}

// withEndpoint injects a fault into a random endpoint, unless another fault uses it. inject returns whether the endpoint may
// be used again.
func (r *run) withEndpoint(rnd *rand.Rand, kind string, inject func(e *endpoint) (again bool), disturbed ...string) {
	r.mu.Lock()
	e := r.endpoints[rnd.IntN(len(r.endpoints))]
	claimed := e.claimed
	e.claimed = true
	r.mu.Unlock()
	if claimed {
		return
	}
	end := r.begin(kind, string(e.registration.ID), disturbed...)
	again := inject(e)
	end()
	r.mu.Lock()
	defer r.mu.Unlock()
	e.claimed = false
	if !again {
		r.endpoints = slices.DeleteFunc(r.endpoints, func(other *endpoint) bool { return other == e })
	}
}

func (r *run) faultLinksToEndpoint(rnd *rand.Rand, length time.Duration) {
	r.withEndpoint(rnd, "links to an endpoint", func(e *endpoint) bool {
		faultLinks(r.network.between(func(_, to string) bool { return to == e.registration.Address }), rnd, length)
		return true
	}, r.names()...)
}

func (r *run) crashEndpoint(rnd *rand.Rand, length time.Duration) {
	r.withEndpoint(rnd, "endpoint crashes", func(e *endpoint) bool {
		r.end(e)
		time.Sleep(length)
		r.fleet.Restart(e.registration.Address)
		e.registration = r.register(e.registration)
		return true
	})
}

// end ends the process of an endpoint with all its runs.
func (r *run) end(e *endpoint) {
	r.fleet.Restart(e.registration.Address)
	r.fleet.SetSilent(e.registration.Address, true)
}

func (r *run) silenceEndpoint(rnd *rand.Rand, length time.Duration) {
	r.withEndpoint(rnd, "endpoint silent", func(e *endpoint) bool {
		r.fleet.SetSilent(e.registration.Address, true)
		time.Sleep(length)
		r.fleet.SetSilent(e.registration.Address, false)
		return true
	}, r.names()...)
}

const registrationEnd = 3 * time.Second // from the end of an endpoint until the store drops its registration

// drainEndpoint lets an endpoint leave. Another one takes its place at another address.
func (r *run) drainEndpoint(rnd *rand.Rand, length time.Duration) {
	r.withEndpoint(rnd, "endpoint leaves", func(e *endpoint) bool {
		e.registration.Draining = true
		r.register(e.registration)
		r.record.addDrain(e.registration.ID)
		time.Sleep(drainBound + length)
		r.end(e)
		r.replace(e)
		return false
	})
}

// replace adds an endpoint in place of one that has ended, whose registration the store drops later.
func (r *run) replace(e *endpoint) {
	if err := r.addEndpoint(e.registration.Zone); err != nil {
		r.record.problem("%v", err)
	}
	time.Sleep(registrationEnd)
	r.keyed.Set(standin.EndpointsTopic(), string(e.registration.ID), nil)
}

// orderFault makes orders to endpoints get no response. They are carried out after a delay, or never.
type orderFault struct {
	probability float64
	delay       time.Duration // longest
}

// loseAnswer implements fleet.Fleet.LoseAnswer.
func (r *run) loseAnswer(string) (lost bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.orderFaults {
		if r.rand.Float64() >= f.probability {
			continue
		}
		if r.rand.IntN(3) == 0 {
			return true, -1
		}
		return true, between(r.rand, 0, f.delay)
	}
	return false, 0
}

func (r *run) loseOrders(rnd *rand.Rand, length time.Duration) {
	f := &orderFault{probability: 0.1 + 0.4*rnd.Float64(), delay: between(rnd, minFault, maxLateOrder)}
	defer r.begin("orders lost or late", f.delay.String(), r.names()...)()
	r.mu.Lock()
	r.orderFaults[f] = true
	r.mu.Unlock()
	time.Sleep(length)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.orderFaults, f)
}

func (r *run) changeConfig(*rand.Rand, time.Duration) {
	defer r.begin("configuration", "")()
	r.publish()
}
