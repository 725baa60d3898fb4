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
)

// Options configures a Shard.
type Options struct {
	Zone      string
	Partition int // of the zone
	Directory *Directory
	Lease     time.Duration // longest lease that endpoints accept
	Dialer    work.Dialer
	// OnFenced is called when an endpoint has seen a higher fence than this instance's.
	OnFenced func()
	Counts   *Counts
	Log      logrus.FieldLogger
	Now      func() time.Duration // monotonic
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

// UpdateEndpoints takes new registrations, and the endpoints whose registrations have ended.
func (s *Shard) UpdateEndpoints(changed []work.Endpoint, removed []work.EndpointID) {
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
	known := s.pool.HasJob(job.ID)
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

func (s *Shard) logVerdict(m *relay.Submit, v pool.Verdict, known bool) {
	job, resumed, waited := &m.Job, m.Resumed, m.Waited
	outcome := "taken"
	if !v.Taken() {
		outcome = string(v.Reason)
	}
	s.opts.Log.WithFields(logrus.Fields{
		"event": "submit", "job": job.ID, "queue": job.Queue, "tasks": job.Tasks(), "outcome": outcome, "resumed": resumed,
		"known": known, "wait_ms": v.ExpectedWait.Milliseconds(), "slack_ms": v.Slack.Milliseconds(), "fence": s.term.Fence,
		"endpoints": v.Endpoints, "free_milli_cpu": v.FreeMilliCPU, "ahead": v.JobsAhead, "kept_milli_cpu": v.ReservedMilliCPU, "waited_ms": waited.Milliseconds(),
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
		s.opts.Counts.WaitMS.AddDuration(s.pool.QueueWait(r))
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
			"unchanged_ms": (now - r.ProgressedAt).Milliseconds(),
		}).Warn("a run makes no progress and is stopped")
	}
	s.stopAll(s.pool.Unwanted(now - orphanGrace))
	s.pool.ForgetSuccesses(now - pastKept)
	s.dispatch()
}

// refuseLate answers jobs that have not started and whose answer would be of no use any more.
func (s *Shard) refuseLate(now time.Duration) {
	for _, id := range s.pool.Overdue(now) {
		if client := s.clients[id]; client != nil {
			client.Answer(&relay.Answer{Job: id, Refused: pool.ReasonWaitedTooLong, RetryAfter: time.Second})
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
