// Package gateway answers callers: it finds the queue of a request, hands jobs to a dispatcher and answers when they
// have ended.
package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/work"
)

// Durability says what becomes of an accepted job when the instances that know it are lost.
type Durability int

// The kinds of durability.
const (
	BestEffort Durability = iota // the caller submits it again; it is answered at its end
	Stored                       // it is kept in the store
)

// Codec translates the callers' bodies.
type Codec interface {
	DecodeJob(id string, body []byte) (*work.Job, Durability, error)
	EncodeState(s work.State) []byte
	EncodePending(n int) []byte
	EncodeError(message string) []byte
	// ResponseTimeout returns how long the caller waits for the answer.
	ResponseTimeout(header func(name string) []byte) (time.Duration, bool)
}

// Target names a dispatcher by what it dispatches for.
type Target struct {
	Zone      string
	Partition int
}

// Router leads to the dispatchers.
type Router interface {
	// Targets returns the dispatchers to try for a new job, in order.
	Targets(id work.JobID) []Target
	// Submit hands a job to a dispatcher. It returns false if none can be reached.
	Submit(to Target, s *relay.Submit) (Route, bool)
	// ReportNotLeader tells that a dispatcher says that it is not the dispatcher any more.
	ReportNotLeader(from Target)
}

// Route is the connection over which a dispatcher was given a job. Routes are compared by identity.
type Route interface {
	// Cancel takes a job back from a dispatcher.
	Cancel(from Target, id work.JobID)
}

const (
	// defaultPatience stands in for a caller that does not say how long it waits.
	defaultPatience = 30 * time.Second
	// noConfigRetry is when a caller should come back to an instance that has no configuration yet.
	noConfigRetry = time.Second
	// seekTime is how long after its arrival a job waits for a dispatcher when none is reached. A partition changes hands
	// within it; a caller that is refused comes back later than that.
	seekTime = 300 * time.Millisecond
	// retryNoDispatcher is when a caller should come back after no dispatcher was reached; a new one takes over sooner.
	retryNoDispatcher  = 2 * time.Second
	reasonNoDispatcher = "no_dispatcher"
	// retryStopping is when a caller should come back after an instance that stops has refused it; another one answers.
	retryStopping  = time.Second
	reasonStopping = "stopping"
)

// Options configures a Gateway.
type Options struct {
	Config  *catalog.Current
	Codec   Codec
	Router  Router
	Log     logrus.FieldLogger
	Metrics *Metrics
}

// Metrics are the gateway's counters and times.
type Metrics struct {
	Answered   metric.Counter
	Refused    metric.Counter
	Abandoned  metric.Counter
	TimedOut   metric.Counter
	ResponseMS *metric.Quantiles
}

// Gateway is the callers' side of an instance. Its methods may be called concurrently.
type Gateway struct {
	opts Options

	mu     sync.Mutex
	jobs   map[work.JobID]*pending
	closed bool          // no new jobs are taken
	seek   time.Duration // after its arrival a job waits for a dispatcher
}

// pending is a job that is not answered yet.
type pending struct {
	job      *work.Job
	exchange *server.Exchange
	arrived  time.Time
	until    time.Time     // end of the caller's patience
	target   Target        // dispatcher that has it, or had it
	route    Route         // to the dispatcher that has it; nil while none has
	left     []Target      // dispatchers that have not been tried
	orphaned bool          // the dispatcher that had it is lost; only the zone's next one may go on with it
	seeking  bool          // no dispatcher was reached yet
	refusal  *relay.Answer // with the shortest time to come back, of the dispatchers that had no room; nil if there was none
}

// New returns a gateway without jobs.
func New(o Options) *Gateway {
	return &Gateway{opts: o, jobs: map[work.JobID]*pending{}, seek: seekTime}
}

// Serve implements server.Handler.
func (g *Gateway) Serve(x *server.Exchange) {
	config := g.opts.Config.Load()
	if config == nil {
		g.refuse(x, 503, "no configuration yet", noConfigRetry)
		return
	}
	path := string(x.Request.URI().Path())
	queue := config.Match(string(x.Request.Header.Host()), path)
	if queue == nil {
		g.reply(x, 404, g.opts.Codec.EncodeError("no such queue"), 0)
		return
	}
	id := path[len(queue.Prefix):]
	switch method := string(x.Request.Header.Method()); {
	case method == "POST":
		g.submit(x, queue, id)
	case method == "GET" && id == "":
		g.reply(x, 200, g.opts.Codec.EncodePending(g.pendingOf(queue.Name)), 0)
	case method == "GET":
		g.state(x, work.JobID(id))
	case method == "DELETE":
		g.remove(x, work.JobID(id))
	default:
		g.reply(x, 405, g.opts.Codec.EncodeError("method not allowed"), 0)
	}
}

func (g *Gateway) reply(x *server.Exchange, status int, body []byte, retryAfter time.Duration) {
	x.Reply(status, body, retryAfter)
}

func (g *Gateway) refuse(x *server.Exchange, status int, message string, retryAfter time.Duration) {
	g.opts.Metrics.Refused.Add(1)
	g.reply(x, status, g.opts.Codec.EncodeError(message), retryAfter)
}

// pendingOf returns the jobs of a queue that are not answered here.
func (g *Gateway) pendingOf(queue string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.jobs {
		if p.job.Queue == queue {
			n++
		}
	}
	return n
}

func (g *Gateway) state(x *server.Exchange, id work.JobID) {
	g.mu.Lock()
	known := g.jobs[id] != nil
	g.mu.Unlock()
	if !known {
		g.reply(x, 410, g.opts.Codec.EncodeError("no such job"), 0)
		return
	}
	g.reply(x, 200, g.opts.Codec.EncodeState(work.Running), 0)
}

// remove cancels a job at its caller's wish.
func (g *Gateway) remove(x *server.Exchange, id work.JobID) {
	g.mu.Lock()
	p := g.jobs[id]
	if p != nil {
		g.forget(p)
	}
	g.mu.Unlock()
	if p == nil {
		g.reply(x, 410, g.opts.Codec.EncodeError("no such job"), 0)
		return
	}
	g.answer(p, 200, work.Cancelled)
	g.reply(x, 200, g.opts.Codec.EncodeState(work.Cancelled), 0)
}

func (g *Gateway) submit(x *server.Exchange, queue *catalog.Queue, id string) {
	job, durability, err := g.opts.Codec.DecodeJob(id, x.Request.Body())
	switch {
	case err != nil:
		g.refuse(x, 400, err.Error(), 0)
		return
	case durability == Stored || queue.NeedsAdvice:
		// Stored jobs and advised queues are not served yet; such a job never runs.
		g.refuse(x, 503, "jobs of this kind are not served", time.Minute)
		return
	}
	job.Queue, job.Service, job.Objective = queue.Name, queue.Service, queue.Objective
	patience, ok := g.opts.Codec.ResponseTimeout(x.Request.Header.Peek)
	if !ok {
		patience = defaultPatience
	}
	p := &pending{job: job, exchange: x, arrived: x.Arrived, until: x.Arrived.Add(patience), left: g.opts.Router.Targets(job.ID)}
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.jobs[job.ID]; old != nil {
		g.attach(old, p)
		return
	}
	g.jobs[job.ID] = p
	x.OnGone(func() { go g.gone(p) })
	if g.closed {
		g.forget(p)
		g.refused(p, 503, reasonStopping, retryStopping)
		return
	}
	g.placeOrRefuse(p)
}

// attach lets a repeated submission take the place of the one before, whose connection is not read any more.
func (g *Gateway) attach(old, repeated *pending) {
	before := old.exchange
	old.exchange, old.until = repeated.exchange, repeated.until
	old.exchange.OnGone(func() { go g.gone(old) })
	before.Reply(502, g.opts.Codec.EncodeError("submitted again"), 0)
}

// place hands a job to the next dispatcher that can be reached. It returns false if there is none. g.mu is held.
func (g *Gateway) place(p *pending) bool {
	p.route = nil
	for len(p.left) > 0 {
		p.target, p.left = p.left[0], p.left[1:]
		if route, ok := g.opts.Router.Submit(p.target, p.submission(false)); ok {
			p.route = route
			return true
		}
	}
	return false
}

// placeOrRefuse is place for a job that has not run anywhere. The caller learns what the dispatchers that were reached have
// said. If none was reached, as in the moments after a restart of all instances, the job is tried again for a short time.
func (g *Gateway) placeOrRefuse(p *pending) {
	placed := g.place(p)
	p.seeking = !placed && p.refusal == nil && time.Since(p.arrived) < g.seek
	if placed || p.seeking {
		return
	}
	g.forget(p)
	if p.refusal != nil {
		g.refused(p, 429, string(p.refusal.Refused), p.refusal.RetryAfter)
		return
	}
	g.refused(p, 503, reasonNoDispatcher, retryNoDispatcher)
}

// submission returns the message that hands a job to a dispatcher.
func (p *pending) submission(resumed bool) *relay.Submit {
	return &relay.Submit{Job: *p.job, Partition: p.target.Partition, Resumed: resumed, Waited: time.Since(p.arrived)}
}

func (g *Gateway) forget(p *pending) {
	if g.jobs[p.job.ID] != p {
		return
	}
	delete(g.jobs, p.job.ID)
	if p.route != nil {
		p.route.Cancel(p.target, p.job.ID)
	}
}

func (g *Gateway) gone(p *pending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs[p.job.ID] != p {
		return
	}
	g.forget(p)
	g.opts.Metrics.Abandoned.Add(1)
	g.log(p, "caller_gone", 0)
	g.reply(p.exchange, 504, nil, 0) // reaches nobody; it ends the exchange
}

// Answer takes the last word on a job that came over a route.
func (g *Gateway) Answer(route Route, a *relay.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.jobs[a.Job]
	if p == nil || p.route != route {
		return
	}
	p.route = nil
	switch {
	case a.Refused == pool.ReasonNone:
		g.forget(p)
		g.answer(p, 200, a.State)
	case a.Refused == pool.ReasonNotLeader:
		g.opts.Router.ReportNotLeader(p.target)
		g.moved(p, a.Started)
	case !p.orphaned:
		if p.refusal == nil || a.RetryAfter < p.refusal.RetryAfter {
			p.refusal = a
		}
		g.placeOrRefuse(p)
	}
	// A job that was refused after it may have run elsewhere ends with its caller's patience.
}

// moved handles a job whose dispatcher's term has ended. One that has started nothing is placed like a new one.
func (g *Gateway) moved(p *pending, started bool) {
	if started || p.orphaned {
		g.orphan(p)
		return
	}
	g.placeOrRefuse(p)
}

// orphan notes that the dispatcher that had a job is lost. Its successor finds out what ran.
func (g *Gateway) orphan(p *pending) {
	p.route = nil
	if !p.orphaned {
		p.orphaned = true
		g.log(p, "dispatcher_lost", 0)
	}
}

// RouteEnded tells that a route has ended. sent is false if no job has left over it.
func (g *Gateway) RouteEnded(route Route, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.jobs {
		switch {
		case p.route != route:
		case sent || p.orphaned:
			g.orphan(p)
		default:
			g.placeOrRefuse(p)
		}
	}
}

// Resubmit hands the jobs whose dispatcher was lost to its successor, and tries again to place those that have reached none.
func (g *Gateway) Resubmit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.jobs {
		switch {
		case p.seeking:
			p.left = g.opts.Router.Targets(p.job.ID)
			g.placeOrRefuse(p)
		case p.orphaned && p.route == nil:
			if route, ok := g.opts.Router.Submit(p.target, p.submission(true)); ok {
				p.route = route
			}
		}
	}
}

// answer sends the end of a job. g.mu need not be held.
func (g *Gateway) answer(p *pending, status int, s work.State) {
	g.opts.Metrics.Answered.Add(1)
	g.opts.Metrics.ResponseMS.AddDuration(time.Since(p.arrived))
	g.log(p, string(s), status)
	g.reply(p.exchange, status, g.opts.Codec.EncodeState(s), 0)
}

func (g *Gateway) refused(p *pending, status int, why string, retryAfter time.Duration) {
	g.log(p, why, status)
	g.refuse(p.exchange, status, why, retryAfter)
}

func (g *Gateway) log(p *pending, outcome string, status int) {
	g.opts.Log.WithFields(logrus.Fields{
		"event": "request", "job": p.job.ID, "queue": p.job.Queue, "tasks": p.job.Tasks(), "outcome": outcome,
		"status": status, "zone": p.target.Zone, "partition": p.target.Partition, "ms": time.Since(p.arrived).Milliseconds(), "resumed": p.orphaned,
	}).Info("request")
}

// Sweep ends the jobs whose caller's patience has ended.
func (g *Gateway) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, p := range g.jobs {
		if now.Before(p.until) {
			continue
		}
		g.forget(p)
		g.opts.Metrics.TimedOut.Add(1)
		g.log(p, "timed_out", 504)
		g.reply(p.exchange, 504, g.opts.Codec.EncodeError("no end in time; it may have run"), 0)
	}
}

// Close refuses all jobs that come from now on.
func (g *Gateway) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Active returns the number of jobs that are not answered.
func (g *Gateway) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs)
}
