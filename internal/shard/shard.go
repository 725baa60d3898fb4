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
	"fmt"
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
}

// UpdateEndpoints applies a read of the registrations after which those in removed have ended. Without a term it does nothing.
func (s *Shard) UpdateEndpoints(r Registrations, removed []work.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return
	}
	s.registrations.read(r.AsOf)
	for _, e := range r.Changed {
		if s.owns(e) {
			s.updateEndpoint(e)
		}
	}
	for _, id := range removed {
		s.unregister(id)
	}
	s.releaseResumed(s.opts.Now())
	s.dispatch()
}

func (s *Shard) updateEndpoint(e work.Endpoint) {
	if e.ColdLeft > 0 {
		e.ColdUntil = s.opts.Now() + e.ColdLeft
	}
	x := s.sessions[e.ID]
	if x != nil && x.endpoint.Address != e.Address {
		if !x.endedBefore(e) {
			s.move(x, e)
			return
		}
		s.drop(x, "moved", false)
		x = nil
	}
	s.pool.Update(e)
	if x != nil {
		if x.endpoint.Draining != e.Draining || !x.registered {
			s.opts.Log.WithFields(logrus.Fields{"event": "endpoint", "endpoint": e.ID, "draining": e.Draining}).Info("registration changed")
		}
		x.endpoint, x.registered = e, true
		x.updateUsable()
		return
	}
	s.begin(newSession(s, e))
	s.sessions[e.ID].updateUsable()
}

// begin makes a session that of its endpoint and begins to poll.
func (s *Shard) begin(x *session) {
	s.sessions[x.endpoint.ID] = x
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(s.ctx)
	go x.run(ctx)
}

// move continues the session of an endpoint at another address, where its process, or one that cannot be told from it, is registered now.
// The runs at the earlier address may go on there until their lease has expired. The endpoint gets no new runs and no longer lease
// before it has reported.
func (s *Shard) move(x *session, to work.Endpoint) {
	s.opts.Log.WithFields(logrus.Fields{
		"event": "endpoint_moved", "endpoint": to.ID, "from": x.endpoint.Address, "to": to.Address, "tasks": x.runNames(),
	}).Warn("endpoint registered with another address; its runs may go on")
	x.cancel()
	s.opts.Window.Forget(x.path)
	s.pool.Update(to)
	s.pool.SetUsable(to.ID, false)
	s.begin(x.movedTo(to))
	now := s.opts.Now()
	for _, r := range s.pool.RunsOn(to.ID) {
		if !r.MayHaveStarted() {
			s.finish(s.pool.RunLost(r, now)) // the request to start it is not sent any more
		}
	}
}

// unregister stops new runs on an endpoint whose registration has ended. Its present runs are still followed.
func (s *Shard) unregister(id work.EndpointID) {
	x := s.sessions[id]
	if x == nil || !x.registered {
		return
	}
	x.registered = false
	s.pool.SetUsable(id, false)
	s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_unlisted", "endpoint": id}).Info("registration ended")
}

// drop ends the session of an endpoint that is known to run nothing, and its runs with it. crashed is true if another process answers in
// place of its own.
func (s *Shard) drop(x *session, why string, crashed bool) {
	if s.sessions[x.endpoint.ID] != x {
		return
	}
	delete(s.sessions, x.endpoint.ID)
	s.forgetReports()
	x.cancel()
	s.opts.Window.Forget(x.path)
	s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_dropped", "endpoint": x.endpoint.ID, "why": why, "tasks": x.runNames()}).
		Info("endpoint dropped")
	if crashed {
		x.processEnded(s.opts.Now())
	}
	s.finish(s.pool.Remove(x.endpoint.ID, s.opts.Now()))
}

// Submit implements relay.Dispatcher.
func (s *Shard) Submit(from relay.Client, m *relay.Submit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := &submitter{from, m.Number, m.Request}
	if !s.leading {
		client.Answer(&relay.Answer{Job: m.Job.ID, Refused: pool.ReasonNotLeader})
		return
	}
	s.opts.Counts.AgeMS.AddDuration(m.Age())
	switch {
	case m.Expired():
		s.refuse(client, m, pool.Verdict{Reason: pool.ReasonExpired, RetryAfter: time.Second})
	case s.hasNewerSubmitter(client, m.Job.ID):
		s.logVerdict(client, m, pool.Verdict{Reason: pool.ReasonSuperseded}, true)
		client.Answer(&relay.Answer{Job: m.Job.ID, Refused: pool.ReasonNotLeader, Started: true})
	case m.StartOnly && !s.startsNow(m):
		s.refuseToQueue(client, m)
	default:
		s.decide(client, m)
	}
}

// hasNewerSubmitter reports whether another instance attends to the caller of a job while the one that submits it now has been silent: its
// submission is late, and its connection may end at any time.
func (s *Shard) hasNewerSubmitter(client *submitter, id work.JobID) bool {
	others := s.clients[id].without(func(c *submitter) bool { return c.Client == client.Client })
	return len(others) > 0 && client.Silence() > abandonTime && others.silence() <= abandonTime
}

// decide takes or refuses a submitted job.
func (s *Shard) decide(client *submitter, m *relay.Submit) {
	job, now := &m.Job, s.opts.Now()
	s.opts.History.Merge(m.Attempts, now)
	if s.mustGoElsewhere(m) {
		s.refuse(client, m, pool.Verdict{Reason: pool.ReasonEvacuated, RetryAfter: evacuatedRetryAfter})
		return
	}
	known := s.pool.HasJob(job.ID)
	s.noteSucceeded(m, known, now)
	last := s.lastOrder(m, now)
	arrived := now - m.Age() - m.Waited
	if s.repeatedInVain(m, arrived, now) {
		s.opts.Counts.RepeatedInVain.Add(1)
		s.refuse(client, m, pool.Verdict{Reason: pool.ReasonRepeated, RetryAfter: time.Second})
		return
	}
	orders := period{arrived: arrived - m.Earlier, last: last, open: m.Shared, recent: arrived > s.fenceStart}
	notBefore := s.notBefore(s.resumes(m), orders, now)
	if m.InProgress {
		notBefore = max(notBefore, 1) // as for a resumed job whose runs are known
	}
	verdict, outcomes := s.pool.Submit(job, now, arrived, notBefore)
	if !verdict.Accepted() {
		s.refuse(client, m, verdict)
		return
	}
	s.logVerdict(client, m, verdict, known)
	if s.resumes(m) {
		s.await(job.ID, orders)
		s.releaseResumed(now)
	}
	s.hold(m, last, now)
	s.clients[job.ID] = s.clients[job.ID].with(client)
	s.releaseEndsOf(job.ID)
	s.pool.Hold(job.ID, false)
	if m.Last {
		s.pool.KeepHere(job.ID)
	}
	s.noteExpiry(m, now)
	s.finish(outcomes)
	s.dispatch()
}

// noteExpiry records until when the caller of a submission waits. A job with several submitters expires with the last of their callers.
func (s *Shard) noteExpiry(m *relay.Submit, now time.Duration) {
	id := m.Job.ID
	before, limited := s.expires[id]
	others := len(s.clients[id]) > 1
	switch at := now - m.Age() + m.Remaining + expiryMargin; {
	case m.Remaining <= 0:
		delete(s.expires, id)
	case !others:
		s.expires[id] = at
	case limited:
		s.expires[id] = max(at, before)
	}
}

// refuse refuses a submitted job.
func (s *Shard) refuse(client *submitter, m *relay.Submit, v pool.Verdict) {
	s.logVerdict(client, m, v, s.pool.HasJob(m.Job.ID))
	s.opts.Counts.Refused.Add(1)
	a := s.refusal(m.Job.ID, v.Reason, v.RetryAfter)
	if s.mayRunUnknown(m) {
		a.Started, a.Knowledge = true, m.Knowledge
	}
	s.answer(client, a)
}

// mayRunUnknown reports whether another dispatcher knows of runs of a submitted job that this one may not know yet.
func (s *Shard) mayRunUnknown(m *relay.Submit) bool {
	return !s.settled && !m.Shared && m.Knowledge != 0 && m.Knowledge != s.knowledge.Load()
}

// refusal returns the refusal of a job by a dispatcher that leads. It tells whether the dispatcher knows of runs of the job.
func (s *Shard) refusal(id work.JobID, why pool.Reason, retryAfter time.Duration) *relay.Answer {
	a := &relay.Answer{Job: id, Refused: why, RetryAfter: retryAfter, Started: s.pool.HasStarted(id)}
	if a.Started {
		a.Knowledge = s.knowledge.Load()
	}
	return a
}

func (s *Shard) logVerdict(from relay.Client, m *relay.Submit, v pool.Verdict, known bool) {
	job, resumed, waited := &m.Job, s.resumes(m), m.Waited
	outcome := "taken"
	if !v.Accepted() {
		outcome = string(v.Reason)
	}
	s.opts.Log.WithFields(logrus.Fields{
		"event": "submit", "job": job.ID, "request": relay.RequestName(m.Request), "number": m.Number, "queue": job.Queue, "tasks": job.Tasks(), "outcome": outcome, "resumed": resumed,
		"known": known, "wait_ms": v.ExpectedWait.Milliseconds(), "slack_ms": v.Slack.Milliseconds(), "fence": s.term.Fence,
		"knowledge": fmt.Sprintf("%016x", s.knowledge.Load()), "settled": s.settled,
		"endpoints": v.Endpoints, "isolated": v.Isolated, "free_milli_cpu": v.FreeMilliCPU, "ahead": v.JobsAhead, "kept_milli_cpu": v.ReservedMilliCPU,
		"waited_ms": waited.Milliseconds(), "age_ms": m.Age().Milliseconds(), "silence_ms": from.Silence().Milliseconds(), "from": from.Name(),
	}).Info("submission decided")
}

// Cancel implements relay.Dispatcher.
func (s *Shard) Cancel(from relay.Client, c *relay.Cancel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancels := func(o *submitter) bool { return o.Client == from && o.submission.Matches(c.Number) }
	others := s.clients[c.Job].without(cancels)
	if !s.leave(c.Job, stopCancelled, cancels) {
		return
	}
	if c.Whole && len(others) > 0 {
		others.answer(&relay.Answer{Job: c.Job, State: work.Cancelled})
		s.abandon(c.Job, stopCancelled)
	}
	s.opts.Log.WithFields(logrus.Fields{"event": "cancel", "job": c.Job, "others": len(s.clients[c.Job])}).Info("job cancelled by its caller")
	s.dispatch()
}

// ClientGone implements relay.Dispatcher.
func (s *Shard) ClientGone(from relay.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.clients {
		if !s.leave(id, stopClientGone, func(c *submitter) bool { return c.Client == from }) {
			continue
		}
		s.opts.Log.WithFields(logrus.Fields{"event": "cancel", "job": id, "client": from.Name(), "others": len(s.clients[id])}).
			Info("job cancelled: the connection to the instance that submitted it ended")
	}
	if s.leading {
		s.dispatch()
	}
}

// abandon deletes a job and stops its runs.
func (s *Shard) abandon(id work.JobID, why stopReason) {
	delete(s.clients, id)
	delete(s.expires, id)
	if h, ok := s.held[id]; ok {
		h.at = s.opts.Now()
		s.held[id] = h
	}
	delete(s.stored, id)
	delete(s.unreleased, id)
	s.stopAll(s.pool.Cancel(id), why)
}

// finish answers and deletes the jobs that have ended.
func (s *Shard) finish(outcomes []pool.Outcome) {
	for _, o := range outcomes {
		if s.finishStored(o) {
			continue
		}
		clients := s.clients[o.Job]
		if clients == nil && !s.pool.HasJob(o.Job) {
			continue // the end of another task has ended the job already
		}
		clients.answer(s.withLoad(answerOf(o)))
		s.logEnd(o)
		s.abandon(o.Job, stopJobEnded)
	}
}

// answerOf returns the answer for a job that has ended.
func answerOf(o pool.Outcome) *relay.Answer {
	if o.State == "" {
		return &relay.Answer{Job: o.Job, Refused: pool.ReasonNotLeader, Started: true, GaveUp: true}
	}
	return &relay.Answer{Job: o.Job, State: o.State}
}

func (s *Shard) logEnd(o pool.Outcome) {
	fields := logrus.Fields{"event": "job_ended", "job": o.Job, "state": o.State}
	if o.State == work.Completed {
		s.noteTiming(o.Job, fields)
	}
	if o.Why == "" {
		s.opts.Log.WithFields(fields).Info("job ended")
		return
	}
	s.opts.Counts.GivenUp.Add(1)
	fields["task"], fields["why"] = o.Task.String(), o.Why
	fields["crashes"] = s.opts.History.Count(o.Task, attempt.Crashed)
	fields["failures"] = s.opts.History.Count(o.Task, attempt.Failed)
	s.opts.Log.WithFields(fields).Warn("job given up: one of its tasks is not started again")
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
