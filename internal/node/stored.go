package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
)

const (
	// defaultStatusTime is for how long ended stored jobs are kept where the deployment does not determine it.
	defaultStatusTime = 2 * time.Minute
	// requestMemory is how long a request to another instance waits for its reply.
	requestMemory = 5 * time.Second
	// purgeInterval is the number of requests between two searches for those that wait no longer.
	purgeInterval = 256
)

// storedJobs connects the holders of the job log on this and on other instances. It implements ledger.Transport and
// gateway.StoredJobs. It does nothing while the deployment has no stored jobs.
type storedJobs struct {
	*ledger.Client
	node          *Node
	router        *router // set before use
	logPartitions int
	counts        ledger.Counts
	reported      bool        // the shards know whether there are stored jobs; guarded by shards.reconciling
	unused        atomic.Bool // the store was read and has no stored jobs; never true again once they are in use

	mu       sync.Mutex
	ledgers  map[int]*ledger.Ledger // by partition of the zone
	number   uint64
	requests map[uint64]storedRequest
}

// storedRequest is a request that was sent to another instance.
type storedRequest struct {
	route *uplinkRoute
	to    gateway.Target
	at    time.Time
	done  func(*relay.StoredReply)
}

func newStoredJobs(n *Node) *storedJobs {
	o := n.opts.Settings
	s := &storedJobs{
		node: n, logPartitions: ledger.PartitionsFor(o.StoreWrites, len(o.Zones), o.GroupPartitions),
		ledgers: map[int]*ledger.Ledger{}, requests: map[uint64]storedRequest{},
	}
	s.Client = ledger.NewClient(ledger.ClientOptions{
		Transport: s, Log: n.store, Topic: n.opts.Records.JobsTopic, Zones: slices.Sorted(slices.Values(o.Zones)),
		LogPartitions: s.logPartitions, Announce: n.divisions.AnnounceStoredJobs, Logger: n.log,
	})
	return s
}

// InUse implements gateway.StoredJobs.
func (s *storedJobs) InUse() bool { return s.node.divisions.StoredJobs() }

func (s *storedJobs) usage() ledger.Usage {
	switch {
	case s.node.divisions.StoredJobs():
		return ledger.Used
	case s.unused.Load():
		return ledger.Unused
	case s.node.divisions.Known():
		s.unused.Store(true)
		return ledger.Unused
	}
	return ledger.UsageUnknown
}

// newLedger returns the ledger of the dispatcher of a partition of the zone.
func (s *storedJobs) newLedger(partition int) *ledger.Ledger {
	o := s.node.opts.Settings
	retention := o.StatusTime
	if retention <= 0 {
		retention = defaultStatusTime
	}
	l := ledger.New(ledger.Options{
		Log: s.node.store, Topic: s.node.opts.Records.JobsTopic(o.Zone), LogPartitions: s.logPartitions, Retention: retention,
		Usage: s.usage, Counts: &s.counts, Now: s.node.now, Logger: s.node.log.WithField("partition", partition),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledgers[partition] = l
	return l
}

func (s *storedJobs) ledger(partition int) *ledger.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledgers[partition]
}

// sync makes the ledger of a partition of the zone hold its part of the log under a term; none with the zero Term.
func (s *storedJobs) sync(partition int, t shard.Term) {
	if s == nil || !s.InUse() {
		return
	}
	l := s.ledger(partition)
	if l == nil {
		return
	}
	var held []int
	for p := range s.logPartitions {
		if t.Partitions > 0 && ledger.DispatcherOf(p, s.logPartitions, t.Partitions) == partition {
			held = append(held, p)
		}
	}
	l.Sync(t.Fence, held)
}

// reportUsage makes the endpoints report the ends again that came before it was known whether the deployment has stored jobs.
func (s *storedJobs) reportUsage() {
	if s == nil || s.reported || s.usage() == ledger.UsageUnknown {
		return
	}
	s.reported = true
	for _, x := range s.node.shards.each() {
		x.RedeliverEnds()
	}
}

// handle carries out a request of this or another instance. It implements relay.StoredHandler.
func (s *storedJobs) handle(r *relay.StoredRequest, reply func(*relay.StoredReply)) {
	if !s.InUse() {
		go s.node.divisions.NoteStoredJobs() // begins to hold the log; the request comes again
	}
	zone := s.node.opts.Settings.Zone
	part := ledger.DispatcherOf(r.Partition, s.logPartitions, s.node.divisions.Partitions(zone))
	if l := s.ledger(part); l != nil {
		l.Handle(r, reply)
		return
	}
	reply(&relay.StoredReply{Number: r.Number, Result: relay.StoredNoHolder})
}

// Send implements ledger.Transport.
func (s *storedJobs) Send(zone string, r *relay.StoredRequest, done func(*relay.StoredReply)) bool {
	part := ledger.DispatcherOf(r.Partition, s.logPartitions, s.node.divisions.Partitions(zone))
	address := s.router.dispatcher(zone, part)
	if address == "" {
		s.router.lead.Search(zone)
		return false
	}
	if address == s.router.address {
		s.handle(r, done)
		return true
	}
	route := s.router.routeTo(address, zone)
	if route == nil {
		return false
	}
	r.Number = s.register(storedRequest{route, gateway.Target{Zone: zone, Partition: part}, time.Now(), done})
	if err := route.uplink.RequestStored(r); err != nil {
		s.node.log.WithField("event", "stored_request_unsendable").WithError(err).Error("a request cannot be sent to the holder of the job log")
		s.take(r.Number)
		return false
	}
	return true
}

func (s *storedJobs) register(r storedRequest) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.requests[s.number] = r
	if s.number%purgeInterval == 0 {
		for number, old := range s.requests {
			if time.Since(old.at) > requestMemory {
				delete(s.requests, number)
			}
		}
	}
	return s.number
}

// take removes a request.
func (s *storedJobs) take(number uint64) (storedRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.requests[number]
	delete(s.requests, number)
	return r, ok
}

// replied passes a reply on.
func (s *storedJobs) replied(a *relay.StoredReply) {
	r, ok := s.take(a.Number)
	if !ok {
		return
	}
	if a.Result == relay.StoredNoHolder {
		s.router.ReportNotLeader(r.to)
	}
	r.done(a)
}

// connectionEnded ends the requests that were sent over a route. Without an open connection they were not sent.
func (s *storedJobs) connectionEnded(route *uplinkRoute, sent bool) {
	if s == nil {
		return // a router without stored jobs
	}
	s.mu.Lock()
	var ended []storedRequest
	for number, r := range s.requests {
		if r.route == route {
			ended = append(ended, r)
			delete(s.requests, number)
		}
	}
	s.mu.Unlock()
	for _, r := range ended {
		if sent {
			r.done(nil)
		} else {
			r.done(&relay.StoredReply{Result: relay.StoredNoHolder})
		}
	}
}

// dump returns the held partitions of the log.
func (s *storedJobs) dump() []ledger.Dump {
	var all []ledger.Dump
	for part := range division.MaxPartitions {
		if l := s.ledger(part); l != nil {
			all = append(all, l.Dump()...)
		}
	}
	return all
}
