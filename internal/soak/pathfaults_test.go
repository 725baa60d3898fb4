package soak

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

const (
	minHeldEnd  = 100 * time.Millisecond
	maxHeldEnd  = 2 * time.Second
	forGoodPart = 3               // one fault in so many holds ends back for good
	copyPart    = 3               // one request in so many arrives again
	maxCopyTime = 4 * time.Second // from a request until its copy arrives
	maxZoneLag  = 150 * time.Millisecond
)

// pathFaults come besides if the callers' paths have faults of their own. Those of the store and of zones are what the users' runs of
// minutes have.
var pathFaults = []fault{
	{"ends hidden from instances", 10, (*run).hideEndsFromInstances},
	{"ends hidden from callers", 3, (*run).hideEndsFromCallers},
	{"requests delivered again", 5, (*run).copyRequests},
	{"store connections reset", 3, (*run).resetStore},
	{"zone slow", 3, (*run).slowZone},
	{"endpoint lost and replaced", 3, (*run).replaceEndpoint},
}

// endingFaults come while the callers leave, with endingPathFaults besides if the callers' paths have faults of their own.
var endingFaults = []fault{
	{"planned stop", 3, (*run).stopInstance},
	{"kill", 2, (*run).killInstance},
	{"SIGHUP", 1, (*run).reloadInstance},
	{"configuration", 2, (*run).changeConfig},
	{"store rebalances", 2, (*run).rebalance},
	{"endpoint lost and replaced", 2, (*run).replaceEndpoint},
}

var endingPathFaults = []fault{
	{"ends hidden from instances", 6, (*run).hideEndsFromInstances},
	{"ends hidden from callers", 2, (*run).hideEndsFromCallers},
	{"requests delivered again", 3, (*run).copyRequests},
}

// drawHeldEnd returns for how long a path holds the ends of connections back.
func drawHeldEnd(rnd *rand.Rand) time.Duration {
	if rnd.IntN(forGoodPart) == 0 {
		return forGood
	}
	return between(rnd, minHeldEnd, maxHeldEnd)
}

// withCallersLinks gives the callers' links to one instance a fault for a time, and calls act several times meanwhile.
func (r *run) withCallersLinks(rnd *rand.Rand, kind, detail string, length time.Duration, f *linkFault, act func(l *link)) {
	i := r.instances[rnd.IntN(len(r.instances))]
	links := r.linksOfCallers(i)
	defer r.begin(kind, i.spec.Name+" "+detail, callersOf(i.spec.Name))()
	for _, l := range links {
		l.begin(f)
		defer l.end(f)
	}
	for range maxSeries {
		time.Sleep(length / maxSeries)
		for _, l := range links {
			act(l)
		}
	}
}

// hideEndsFromInstances resets callers' connections for the callers, and holds these and all other ends back from an instance.
func (r *run) hideEndsFromInstances(rnd *rand.Rand, length time.Duration) {
	f := &linkFault{}
	f.holdEnd[toTarget] = drawHeldEnd(rnd)
	r.withCallersLinks(rnd, "ends hidden from instances", f.holdEnd[toTarget].String(), length, f, (*link).resetUsers)
}

// hideEndsFromCallers resets callers' connections for an instance, and holds these and all other ends back from the callers.
func (r *run) hideEndsFromCallers(rnd *rand.Rand, length time.Duration) {
	f := &linkFault{}
	f.holdEnd[toUser] = drawHeldEnd(rnd)
	r.withCallersLinks(rnd, "ends hidden from callers", f.holdEnd[toUser].String(), length, f, (*link).resetTargets)
}

// copyRequests lets some requests to an instance arrive again, at any instance and up to seconds later. Connections are reset meanwhile.
func (r *run) copyRequests(rnd *rand.Rand, length time.Duration) {
	r.withCallersLinks(rnd, "requests delivered again", "", length, &linkFault{onRequest: r.copyRequest}, (*link).reset)
}

// copyRequest delivers a request again, or not.
func (r *run) copyRequest(request []byte) {
	r.mu.Lock()
	own := rand.New(rand.NewPCG(r.rand.Uint64(), 0))
	r.mu.Unlock()
	if own.IntN(copyPart) == 0 {
		go r.deliverCopy(own, bytes.Clone(request)) // its attempt is in the record; it ends with the instances at the latest
	}
}

func (r *run) deliverCopy(rnd *rand.Rand, request []byte) {
	var req fasthttp.Request
	if err := req.Read(bufio.NewReader(bytes.NewReader(request))); err != nil || !req.Header.IsPost() {
		return
	}
	j := r.record.job(work.JobID(strings.TrimPrefix(string(req.RequestURI()), jobsPrefix)))
	deadlineMS, err := strconv.Atoi(string(req.Header.Peek(standin.DeadlineHeader)))
	if j == nil || err != nil {
		return
	}
	time.Sleep(between(rnd, 0, maxCopyTime))
	c := &caller{run: r, rand: rnd, only: r.instances[rnd.IntN(len(r.instances))], copies: true}
	defer c.disconnect()
	c.send(j, req.Body(), time.Duration(deadlineMS)*time.Millisecond)
}

// resetStore resets all connections to the store.
func (r *run) resetStore(*rand.Rand, time.Duration) {
	defer r.begin("store connections reset", "", storeName)()
	for _, l := range r.network.between(func(_, to string) bool { return to == r.storeAddress }) {
		l.reset()
	}
}

// slowZone delays all that a zone's instances send and receive, except from callers.
func (r *run) slowZone(rnd *rand.Rand, length time.Duration) {
	zone := zones[rnd.IntN(len(zones))]
	f := &linkFault{delay: between(rnd, 0, maxZoneLag)}
	defer r.begin("zone slow", zone+" "+f.delay.String(), r.names()...)()
	for _, l := range r.network.between(func(from, to string) bool {
		return from != callerIP && (r.zoneOf(from) == zone || r.zoneOf(to) == zone)
	}) {
		l.begin(f)
		defer l.end(f)
	}
	time.Sleep(length)
}

// replaceEndpoint ends an endpoint without a word. Another one comes at another address.
func (r *run) replaceEndpoint(rnd *rand.Rand, length time.Duration) {
	r.withEndpoint(rnd, "endpoint lost and replaced", func(e *endpoint) bool {
		r.end(e)
		time.Sleep(length)
		r.replace(e)
		return false
	})
}
