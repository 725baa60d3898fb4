package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

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
