// Package shard implements the dispatcher of one partition of a zone. While this instance holds the term of the partition,
// the dispatcher renews the leases of the partition's endpoints, orders the starts that the pool decides on and answers the
// instances that have submitted the jobs.
//
// The endpoints of a zone are divided into partitions by their IDs, see PartitionOf. A term is this instance's right to
// dispatch for a partition; package lead obtains it. Each request to an endpoint carries the fence of the term, a number
// that is higher for a later dispatcher. An endpoint refuses requests with a lower fence than the highest one that it has
// seen, so a dispatcher that has not detected the end of its term cannot start tasks. An endpoint ends its runs when its
// lease expires, so after that time they are over even if the endpoint cannot be reached.
//
// A caller whose request has ended without a result may submit its job again at any instance of any zone after the deployment's retransmit
// time, and the dispatcher that then gets the job knows nothing of earlier runs. All runs that no job waits for are therefore over
// within that time: the dispatcher stops them, and until they are known to be over it does not extend the lease of their
// endpoint, which is shorter than the retransmit time (LeaseWithin). That holds for the runs that a successor finds, too, and for those
// whose caller's instance has been silent for longer than abandonTime: it may be lost, and its callers with it.
//
// A dispatcher learns the runs on an endpoint from reports, which it requests by polling. A resumed job, whose tasks another
// dispatcher may have started, waits until the runs that the other one may have ordered are known from reports or are over.
package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/congestion"
	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// expiryMargin is how long a job's instance has to cancel it after its caller's timeout before the dispatcher does.
	expiryMargin = 100 * time.Millisecond
	// successRetention is how long successes of tasks are stored for a job that has not been submitted here yet.
	successRetention = 5 * time.Second
)

// Options configures a Shard.
type Options struct {
	Zone      string
	Partition int // number of the partition in the zone
	Directory *Directory
	Lease     time.Duration // lease of runs, at most the longest one that endpoints accept; see LeaseWithin
	// RegistrationAge is the greatest age of the registrations on which a run is started, see RegistrationAgeWithin; 0 for no limit.
	RegistrationAge time.Duration
	// FarFactor is the factor by which a task takes longer on a rack other than that of its data; 0 for pool.DefaultFarFactor.
	FarFactor float64
	Dialer    work.Dialer
	// History holds the unsuccessful runs of tasks. All shards of an instance share it, and it outlives their terms.
	History *attempt.History
	// Retransmit is the time after which a caller without an answer sends its job again; 0 if unknown.
	Retransmit time.Duration
	// Window limits the start requests in flight. All shards of an instance share it, since they share its link.
	Window *congestion.Window
	// OnFenced is called when an endpoint refuses a request because it has seen a higher fence than this instance's.
	OnFenced func()
	// OnOutdated is called when starts wait because the registrations are older than RegistrationAge, or resumed jobs because they are
	// older than the loss of the jobs' dispatcher; it requests a read.
	OnOutdated func()
	// OnReplaced is called when another process answers at an endpoint's address. Its registration is in the store or comes soon.
	OnReplaced func()
	// Weighs tells whether the dispatcher weighs what delays of a service's jobs cost callers; nil for no service.
	Weighs func(service string) bool
	Counts *Counts
	Log    logrus.FieldLogger
	Now    func() time.Duration // monotonic clock
	// Ledger keeps the stored jobs of the shard; nil for none.
	Ledger Ledger
	// TermConfirmed returns what the store has confirmed of the term with a fence. ok is false if the fence is not that of the instance's
	// present term. Nil means that the store confirms the term at all times. It must not block or call the shard.
	TermConfirmed func(fence int64) (c Confirmation, ok bool)
	// Evacuation returns whether runs may start in the zone; nil for a zone that is never evacuated.
	Evacuation func() evacuation.State
}

// Shard is the dispatcher of one partition. Its methods may be called concurrently.
type Shard struct {
	opts     Options
	leads    atomic.Bool                // mirrors leading
	lastLoad atomic.Pointer[relay.Load] // as last calculated
	// knowledge identifies this dispatcher and its term among all: what it knows of runs begins anew with each term. It is not 0.
	knowledge atomic.Uint64
	divided   atomic.Int64 // mirrors Term.Partitions of the last term
	checked   atomic.Int64 // end of the last periodic checks, on the clock of Options.Now in nanoseconds

	mu         sync.Mutex
	leading    bool
	fenceStart time.Duration // when this dispatcher began to use the current fence
	began      time.Duration // when the term began
	settled    bool          // see settle
	// heldSince is when this dispatcher began to use the first fence since which no other one can have held the partition.
	heldSince          time.Duration
	outnumberedAt      time.Duration // see outnumbers; 0 if that is not known
	confirmed          Confirmation  // what the store last confirmed of the term
	storedPaused       bool          // see checkStored
	term               Term
	registrations      knowledge
	startsWait         bool                  // starts wait for a read of the registrations
	awaiting           map[work.JobID]period // resumed jobs whose runs are not known yet, with the time in which these were ordered
	held               map[work.JobID]holding
	reports            map[work.EndpointID]newestReport
	reportsVersion     uint64 // number of changes of reports
	reported           reportedState
	readRequestedAt    time.Duration // when a read of the registrations was last requested for them
	reportsRequestedAt time.Duration // when reports of endpoints were last requested for them
	callLost           bool          // a call to an endpoint got no answer; the last such call was at callLostAt
	callLostAt         time.Duration
	pool               *pool.Pool
	sessions           map[work.EndpointID]*session
	clients            map[work.JobID]submitters     // not empty
	stored             map[work.JobID]*work.Job      // stored jobs, for which no client waits
	unreleased         map[work.JobID]bool           // stored jobs that wait for ReleaseStored
	released           []func(work.JobID) bool       // what ReleaseStored was called with under the present fence
	undecidedSince     time.Duration                 // latest time of the start of a task whose end is undecided
	endsUndecided      bool                          // the ledger could not tell of an end whether it has to be recorded
	expires            map[work.JobID]time.Duration  // when a job's caller waits no longer
	expiryCheckedAt    time.Duration                 // time of the last search for expired jobs
	stopRequestedAt    map[work.TaskID]time.Duration // time of the last request to stop a run of the task
	cancel             context.CancelFunc
	ctx                context.Context
	// endedFence is the highest fence of a term that has ended, endedAt when the last one did.
	endedFence int64
	endedAt    time.Duration
	pollsFrom  time.Duration // endpoints are not polled before, see Begin
	// outrankedFence is the fence under which most endpoints refused this dispatcher because they had seen a higher one.
	// No term begins with this fence or a lower one.
	outrankedFence int64
}

// New returns a shard without a term.
func New(o Options) *Shard {
	s := &Shard{opts: o}
	s.reset()
	return s
}

func (s *Shard) reset() {
	s.knowledge.Store(rand.Uint64() | 1)
	s.pool = pool.New(s.opts.History)
	if s.opts.Weighs != nil {
		s.pool.WeighBy(s.opts.Weighs)
	}
	if s.opts.FarFactor > 0 {
		s.pool.SetFarFactor(s.opts.FarFactor)
	}
	s.sessions = map[work.EndpointID]*session{}
	s.clients = map[work.JobID]submitters{}
	s.stored, s.storedPaused = map[work.JobID]*work.Job{}, false
	s.unreleased, s.released = map[work.JobID]bool{}, nil
	s.endsUndecided, s.undecidedSince = false, 0
	s.expires = map[work.JobID]time.Duration{}
	s.stopRequestedAt = map[work.TaskID]time.Duration{}
	s.awaiting = map[work.JobID]period{}
	s.held = map[work.JobID]holding{}
	s.reports = map[work.EndpointID]newestReport{}
	s.reportsVersion++
}

// dispatch orders the starts that are possible now. s.mu is held.
func (s *Shard) dispatch() {
	if !s.mayStartRuns() {
		s.moveEvacuated(s.opts.Now())
		return
	}
	if !s.checkRegistrations() {
		return
	}
	delayed := s.pool.Delayed()
	starts := s.pool.Next(s.opts.Now())
	s.opts.Counts.DelayedJobs.Add(int64(s.pool.Delayed() - delayed))
	for _, r := range starts {
		x := s.sessions[r.Endpoint]
		if x == nil {
			continue // the endpoint was dropped, and its runs with it
		}
		go x.start(r, s.term.Fence)
	}
}

// Pressure returns the processors that are in use or waited for, in percent of those of the usable endpoints. Without a
// usable endpoint, and while the zone is evacuated, it returns 1000.
func (s *Shard) Pressure() int { return s.Load().Pressure }

// Knowledge identifies this dispatcher and its term among all. It does not wait for the shard's lock.
func (s *Shard) Knowledge() uint64 { return s.knowledge.Load() }

// Partitions returns the number of partitions of the zone in this dispatcher's term. It does not wait for the shard's lock.
func (s *Shard) Partitions() int { return int(s.divided.Load()) }

// FoundJobs returns the jobs of the runs of earlier dispatchers that this one has found and nobody waits for. While the shard's lock is taken
// it returns none.
func (s *Shard) FoundJobs() []work.JobID {
	if !s.mu.TryLock() {
		return nil
	}
	defer s.mu.Unlock()
	return s.pool.FoundJobs()
}

// Dump is a snapshot of a shard for operators.
type Dump struct {
	Partition int       `json:"partition"`
	Leading   bool      `json:"leading"`
	Fence     int64     `json:"fence"`
	Settled   bool      `json:"settled"`
	Pool      pool.Dump `json:"pool"`
}

// Dump returns a snapshot of the shard.
func (s *Shard) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{Partition: s.opts.Partition, Leading: s.leading, Fence: s.term.Fence, Settled: s.settled, Pool: s.pool.Dump()}
}
