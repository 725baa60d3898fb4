package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorypass/savorypass/platform/standin"
)

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
