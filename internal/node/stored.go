package node

import (
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/relay"
)

const (
	// defaultStatusTime is for how long ended stored jobs are kept where the deployment does not determine it.
	defaultStatusTime = 2 * time.Minute
	// requestMemory is how long a request to another instance waits for its reply.
	requestMemory = 5 * time.Second
	// maxUsageAge is how old the last end of a read may be that shows that the deployment has no stored jobs, for the responses to callers.
	maxUsageAge = time.Second
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
	zones         []string // sorted
	counts        ledger.Counts

	mu       sync.Mutex
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
		zones: slices.Sorted(slices.Values(o.Zones)), requests: map[uint64]storedRequest{},
	}
	s.Client = ledger.NewClient(ledger.ClientOptions{
		Transport: s, Log: n.store, Topic: n.opts.Records.JobsTopic, Zones: s.zones,
		LogPartitions: s.logPartitions, Announce: n.divisions.AnnounceStoredJobs, Vacancy: s.vacancy, Logger: n.log,
	})
	return s
}

// vacancy returns for how long a zone has had no dispatcher, substitutes included; 0 if it has one or that is not known.
func (s *storedJobs) vacancy(zone string) time.Duration {
	v := s.node.lead.Vacancy(zone)
	if v.Capacity > 0 {
		return 0
	}
	return v.For
}

// inUse reports whether the deployment is known to have stored jobs.
func (s *storedJobs) inUse() bool { return s.node.divisions.StoredJobs() }

// usage returns whether the deployment had stored jobs at a time on the node's clock.
func (s *storedJobs) usage(at time.Duration) ledger.Usage {
	switch {
	case s.inUse():
		return ledger.Used
	case s.node.divisions.StoredJobsUnused(s.node.started.Add(at)):
		return ledger.Unused
	}
	return ledger.UsageUnknown
}

// Usage implements gateway.StoredJobs.
func (s *storedJobs) Usage() ledger.Usage {
	return s.usage(s.node.now() - s.node.opts.Settings.readWait() - maxUsageAge)
}

// receiver returns the partition of a zone whose dispatcher gets a request.
func (s *storedJobs) receiver(zone string, r *relay.StoredRequest) int {
	if r.Operation == relay.StoredSettled {
		return r.Dispatcher
	}
	return ledger.DispatcherOf(r.Partition, s.logPartitions, s.node.divisions.Partitions(zone))
}

// Send implements ledger.Transport.
func (s *storedJobs) Send(zone string, r *relay.StoredRequest, done func(*relay.StoredReply)) bool {
	part := s.receiver(zone, r)
	address := s.router.dispatcher(zone, part)
	if address == "" {
		s.router.lead.Search(zone)
		return false
	}
	if address == s.router.address {
		s.node.own.ledgers.handle(r, done)
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
