// Package shard dispatches for the endpoints of one partition of a zone while this instance has the term: it holds their
// leases, orders the starts that the pool decides on and answers the instances whose jobs it runs.
package shard

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// tick is the interval of the checks that no event triggers.
	tick = 50 * time.Millisecond
	// orphanGrace is how long runs of an earlier dispatcher may wait for their job to be submitted again. It is shorter
	// than the time after which a job that finds none of its runs starts its tasks again.
	orphanGrace = time.Second
	// pastKept is how long successes of an earlier dispatcher are kept for their job.
	pastKept = 5 * time.Second
	// stallLimit is the time without progress after which a run is stopped and its task starts elsewhere.
	stallLimit = 900 * time.Millisecond
	// stopRepeat is the pause between two orders to stop the same run.
	stopRepeat = 150 * time.Millisecond
	// clockRate is how much slower an endpoint's clock may run than ours.
	clockRate = 1.02
	// noticeTime is the time in which a dispatcher whose term has ended learns of it.
	noticeTime = 350 * time.Millisecond
	// divisionMemory is how long a change of the zone's number of partitions counts at the start of a fence. A process
	// that is younger has followed the registrations for too short a time to settle early.
	divisionMemory = minMemory
	// leaseMargin covers the delivery of the order that extended a lease last.
	leaseMargin = 60 * time.Millisecond
)

// Options configures a Shard.
type Options struct {
	Zone      string
	Partition int // of the zone
	Directory *Directory
	Lease     time.Duration // longest lease that endpoints accept
	Dialer    work.Dialer
	// Fenced is called when an endpoint has seen a higher fence than this instance's.
	Fenced func()
	Counts *Counts
	Log    logrus.FieldLogger
	Now    func() time.Duration // monotonic
}

// Shard is the dispatcher of a zone. Its methods may be called concurrently.
type Shard struct {
	opts Options

	mu       sync.Mutex
	leading  bool
	since    time.Duration // start of the present fence
	settled  bool          // what ran before the present fence is known
	term     Term
	lossy    bool // an order got no answer, last at lostAt
	lostAt   time.Duration
	pool     *pool.Pool
	sessions map[work.EndpointID]*session
	clients  map[work.JobID]relay.Client
	stops    map[work.TaskID]time.Duration // last order to stop the run of a task
	cancel   context.CancelFunc
	ctx      context.Context
	// outranked is the fence under which most endpoints refused this dispatcher for a higher one. It does not begin again
	// with it.
	outranked int64
}

// New returns a shard without a term.
func New(o Options) *Shard {
	s := &Shard{opts: o}
	s.reset()
	return s
}

func (s *Shard) reset() {
	s.pool = pool.New()
	s.sessions = map[work.EndpointID]*session{}
	s.clients = map[work.JobID]relay.Client{}
	s.stops = map[work.TaskID]time.Duration{}
}

// Term is what an instance's right to dispatch for a partition rests on.
type Term struct {
	Fence      int64
	Partitions int // of the zone
	// DividedAt is when the zone's number of partitions last changed, on the clock of Options.Now; 0 if it has not changed
	// in this process's life.
	DividedAt time.Duration
}

// Begin starts a term, or goes on with a higher fence.
func (s *Shard) Begin(t Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading && s.term.Partitions != t.Partitions {
		s.end()
	}
	if s.leading {
		s.raise(t)
		return
	}
	if t.Fence <= s.outranked {
		return
	}
	s.term = t
	s.leading, s.settled, s.since = true, false, s.opts.Now()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, e := range s.opts.Directory.known(s.owns) {
		s.update(e.endpoint)
		if !e.present {
			s.unlist(e.endpoint.ID)
		}
	}
	s.opts.Log.WithFields(logrus.Fields{
		"event": "dispatching", "fence": t.Fence, "partitions": t.Partitions, "endpoints": len(s.sessions),
	}).Info("this instance dispatches for the partition")
	go s.watch(s.ctx)
}

// raise goes on with a higher fence. Another dispatcher may have had the partition meanwhile, so each endpoint is looked at
// with it before it gets new runs, and jobs that may have started elsewhere wait as at the start of a term.
func (s *Shard) raise(t Term) {
	if t.Fence <= s.term.Fence {
		return
	}
	s.term, s.settled, s.since = t, false, s.opts.Now()
	s.opts.Log.WithFields(logrus.Fields{"event": "fence_raised", "fence": t.Fence, "partitions": t.Partitions, "endpoints": len(s.sessions)}).
		Info("this instance dispatches with a higher fence")
	for id, x := range s.sessions {
		s.pool.SetUsable(id, x.usable())
		go x.check()
	}
}

// owns reports whether an endpoint belongs to this shard.
func (s *Shard) owns(e work.Endpoint) bool {
	return e.Zone == s.opts.Zone && PartitionOf(string(e.ID), s.term.Partitions) == s.opts.Partition
}

// End ends the term. Jobs in progress are answered as not led here, so that their instances submit them again.
func (s *Shard) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading {
		s.end()
	}
}

func (s *Shard) end() {
	s.opts.Log.WithFields(logrus.Fields{
		"event": "dispatching_ended", "fence": s.term.Fence, "partitions": s.term.Partitions, "jobs": len(s.clients),
	}).Info("this instance does not dispatch for the partition any more")
	s.leading = false
	s.cancel()
	for id, client := range s.clients {
		client.Answer(&relay.Answer{Job: id, Refused: pool.ReasonNotLeader, Started: s.pool.HasStarted(id)})
	}
	for _, x := range s.sessions {
		x.orders.Close()
	}
	s.reset()
}

// endIfOutranked ends the term when most endpoints have seen a higher fence: another instance has the partition, also if
// the store does not tell this one. The jobs move to the other one instead of waiting here.
func (s *Shard) endIfOutranked() {
	n := 0
	for _, x := range s.sessions {
		if x.outrankedAt == s.term.Fence {
			n++
		}
	}
	if 2*n <= len(s.sessions) {
		return
	}
	s.outranked = s.term.Fence
	s.opts.Log.WithFields(logrus.Fields{
		"event": "outranked", "fence": s.term.Fence, "endpoints": len(s.sessions), "refusing": n,
	}).Warn("most endpoints have seen a higher fence")
	s.end()
}

// Leading reports whether this instance has the term.
func (s *Shard) Leading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading
}

// Endpoints takes new registrations, and the endpoints whose registrations have ended.
func (s *Shard) Endpoints(changed []work.Endpoint, removed []work.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return
	}
	for _, e := range changed {
		if s.owns(e) {
			s.update(e)
		}
	}
	for _, id := range removed {
		s.unlist(id)
	}
	s.dispatch()
}

func (s *Shard) update(e work.Endpoint) {
	x := s.sessions[e.ID]
	if x != nil && x.endpoint.Address != e.Address {
		s.drop(x, "moved")
		x = nil
	}
	s.pool.Update(e)
	if x != nil {
		if x.endpoint.Draining != e.Draining || !x.listed {
			s.opts.Log.WithFields(logrus.Fields{"event": "endpoint", "endpoint": e.ID, "draining": e.Draining}).Info("registration changed")
		}
		x.endpoint, x.listed = e, true
		s.pool.SetUsable(e.ID, x.usable())
		return
	}
	x = newSession(s, e)
	s.sessions[e.ID] = x
	go x.run(s.ctx)
}

// unlist takes new work from an endpoint whose registration has ended. What runs there is still watched.
func (s *Shard) unlist(id work.EndpointID) {
	x := s.sessions[id]
	if x == nil || !x.listed {
		return
	}
	x.listed = false
	s.pool.SetUsable(id, false)
	s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_unlisted", "endpoint": id}).Info("registration ended")
}

// drop ends a session whose endpoint is known to run nothing.
func (s *Shard) drop(x *session, why string) {
	if s.sessions[x.endpoint.ID] != x {
		return
	}
	delete(s.sessions, x.endpoint.ID)
	x.cancel()
	s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_dropped", "endpoint": x.endpoint.ID, "why": why}).Info("endpoint dropped")
	s.finish(s.pool.Remove(x.endpoint.ID, s.opts.Now()))
}

// Submit implements relay.Dispatcher.
func (s *Shard) Submit(from relay.Client, m *relay.Submit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job := &m.Job
	if !s.leading {
		from.Answer(&relay.Answer{Job: job.ID, Refused: pool.ReasonNotLeader})
		return
	}
	now := s.opts.Now()
	known := s.pool.Known(job.ID)
	verdict, outcomes := s.pool.Submit(job, now, now-m.Waited, s.mayRun(m.Resumed))
	s.logVerdict(m, verdict, known)
	if !verdict.Taken() {
		s.opts.Counts.Refused.Add(1)
		from.Answer(&relay.Answer{Job: job.ID, Refused: verdict.Reason, RetryAfter: verdict.RetryAfter})
		return
	}
	s.clients[job.ID] = from
	s.finish(outcomes)
	s.dispatch()
}

// mayRun returns the time until which a resumed job waits for endpoints that have not reported.
func (s *Shard) mayRun(resumed bool) time.Duration {
	if !resumed {
		return 0
	}
	if s.settled {
		return 1 // resumed, but nothing is left to wait for
	}
	return s.since + s.takeover()
}

// takeover is the time after the start of a fence at which runs of an earlier dispatcher have reported or lapsed, on
// endpoints that are not registered or not reached as well. After a change of the zone's number of partitions they may be on
// endpoints of another partition, whose dispatcher keeps them for as long as their job may still come to it.
func (s *Shard) takeover() time.Duration {
	t := s.lapse() + noticeTime
	if s.divided() {
		t += orphanGrace + stopRepeat + stopTime
	}
	return t
}

// divided reports whether the zone's number of partitions changed shortly before the present fence.
func (s *Shard) divided() bool {
	return s.term.DividedAt > 0 && s.since-s.term.DividedAt < divisionMemory
}

// lapse is the time after which a lease that was extended now has surely ended.
func (s *Shard) lapse() time.Duration {
	return time.Duration(float64(s.opts.Lease)*clockRate) + leaseMargin
}

func (s *Shard) logVerdict(m *relay.Submit, v pool.Verdict, known bool) {
	job, resumed, waited := &m.Job, m.Resumed, m.Waited
	outcome := "taken"
	if !v.Taken() {
		outcome = string(v.Reason)
	}
	s.opts.Log.WithFields(logrus.Fields{
		"event": "submit", "job": job.ID, "queue": job.Queue, "tasks": job.Tasks(), "outcome": outcome, "resumed": resumed,
		"known": known, "wait_ms": v.Wait.Milliseconds(), "slack_ms": v.Slack.Milliseconds(), "fence": s.term.Fence,
		"endpoints": v.Endpoints, "free_milli_cpu": v.Free, "ahead": v.Ahead, "kept_milli_cpu": v.Kept, "waited_ms": waited.Milliseconds(),
	}).Info("submission decided")
}

// Cancel implements relay.Dispatcher.
func (s *Shard) Cancel(from relay.Client, id work.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients[id] != from {
		return
	}
	s.opts.Log.WithFields(logrus.Fields{"event": "cancel", "job": id}).Info("the caller has left")
	s.abandon(id)
	s.dispatch()
}

// Gone implements relay.Dispatcher.
func (s *Shard) Gone(from relay.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, client := range s.clients {
		if client != from {
			continue
		}
		s.opts.Log.WithFields(logrus.Fields{"event": "cancel", "job": id, "client": from.Name()}).
			Info("the instance of the caller is gone")
		s.abandon(id)
	}
	if s.leading {
		s.dispatch()
	}
}

// abandon forgets a job and stops its runs.
func (s *Shard) abandon(id work.JobID) {
	delete(s.clients, id)
	s.stopAll(s.pool.Cancel(id))
}

// finish answers the jobs that have ended.
func (s *Shard) finish(outcomes []pool.Outcome) {
	for _, o := range outcomes {
		client := s.clients[o.Job]
		if client != nil {
			client.Answer(&relay.Answer{Job: o.Job, State: o.State})
		}
		s.opts.Log.WithFields(logrus.Fields{"event": "job_ended", "job": o.Job, "state": o.State}).Info("job ended")
		s.abandon(o.Job)
	}
}

// dispatch orders the starts that are possible now.
func (s *Shard) dispatch() {
	for _, r := range s.pool.Next(s.opts.Now()) {
		x := s.sessions[r.Endpoint]
		if x == nil {
			continue // the endpoint is dropped together with its runs
		}
		s.opts.Counts.Starts.Add(1)
		s.opts.Counts.WaitMS.AddDuration(s.pool.Waited(r))
		go x.start(r, s.pool.Spec(r), s.term.Fence)
	}
}

// watch makes the checks that no event triggers, until the term ends.
func (s *Shard) watch(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.check(ctx)
		}
	}
}

func (s *Shard) check(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := s.opts.Now()
	s.settle(now)
	s.refuseLate(now)
	for _, r := range s.pool.Stalled(now-stallLimit, now) {
		s.opts.Counts.Stalled.Add(1)
		s.opts.Log.WithFields(logrus.Fields{
			"event": "run_stalled", "task": r.Task.String(), "run": r.Number, "endpoint": r.Endpoint, "percent": r.Percent,
			"unchanged_ms": (now - r.Moved).Milliseconds(),
		}).Warn("a run makes no progress and is stopped")
	}
	s.stopAll(s.pool.Unwanted(now - orphanGrace))
	s.pool.Forget(now - pastKept)
	s.dispatch()
}

// settle notes when all that ran before the present fence has reported or lapsed. An endpoint that has seen the fence
// takes no more orders of an earlier one. Registrations can be missing while their endpoints run, so those of the last
// half minute count.
func (s *Shard) settle(now time.Duration) {
	if s.settled {
		return
	}
	if now < s.since+s.takeover() && !s.allReported(now) {
		return
	}
	s.settled = true
	s.pool.Settle()
	s.opts.Log.WithFields(logrus.Fields{
		"event": "settled", "endpoints": len(s.sessions), "fence": s.term.Fence, "after_ms": (now - s.since).Milliseconds(),
	}).Info("what ran before this fence is known")
}

// allReported reports whether every endpoint that an earlier dispatcher may have used for this partition has reported.
func (s *Shard) allReported(now time.Duration) bool {
	if s.divided() || len(s.sessions) == 0 || !s.opts.Directory.complete(s.since, now) {
		return false
	}
	for _, e := range s.opts.Directory.known(s.owns) {
		if x := s.sessions[e.endpoint.ID]; x != nil && x.reportedTo != s.term.Fence {
			return false
		}
	}
	return true
}

// refuseLate answers jobs that have not started and whose answer would be of no use any more.
func (s *Shard) refuseLate(now time.Duration) {
	for _, id := range s.pool.Unstarted(now) {
		if client := s.clients[id]; client != nil {
			client.Answer(&relay.Answer{Job: id, Refused: pool.ReasonWaited, RetryAfter: time.Second})
		}
		s.opts.Counts.Refused.Add(1)
		s.opts.Log.WithFields(logrus.Fields{"event": "refuse_waiting", "job": id}).Info("the job did not start in time")
		s.abandon(id)
	}
}

// stopAll orders the stop of runs, at most once in a while for each.
func (s *Shard) stopAll(runs []*pool.Run) {
	now := s.opts.Now()
	for _, r := range runs {
		x := s.sessions[r.Endpoint]
		if x == nil || x.stopped[r] {
			continue
		}
		if last, ok := s.stops[r.Task]; ok && now-last < stopRepeat {
			continue
		}
		s.stops[r.Task] = now
		go x.stop(r, s.term.Fence)
	}
	for task, at := range s.stops {
		if now-at > pastKept {
			delete(s.stops, task)
		}
	}
}

// Pressure returns the room that is taken or waited for, in percent of the whole.
func (s *Shard) Pressure() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Pressure()
}

// Dump is the state of a shard for operators.
type Dump struct {
	Partition int       `json:"partition"`
	Leading   bool      `json:"leading"`
	Fence     int64     `json:"fence"`
	Settled   bool      `json:"settled"`
	Pool      pool.Dump `json:"pool"`
}

// Dump returns the whole state.
func (s *Shard) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{Partition: s.opts.Partition, Leading: s.leading, Fence: s.term.Fence, Settled: s.settled, Pool: s.pool.Dump()}
}
