// Package gateway serves the requests of callers. It finds the queue of a request, submits jobs to a dispatcher and
// responds when they have ended.
//
// The endpoints of a zone are divided into partitions by the hash of their IDs. A partition has one dispatcher at a time,
// the instance that holds the partition for a term; the next holder is its successor. The dispatcher that accepts a job
// runs all of its tasks on the endpoints of its partition. The job's ID selects the partitions that are tried first.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/repetition"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/traffic"
	"github.com/savorypass/savorypass/internal/work"
)

// Durability determines what happens to an accepted job when the instances that hold it fail.
type Durability int

// The kinds of durability.
const (
	BestEffort Durability = iota // the caller must submit the job again; the response comes when it has ended
	Stored                       // the job is kept in the store
)

// Codec decodes the bodies of callers' requests and encodes the bodies of responses.
type Codec interface {
	// DecodeJob returns the job of a submission. The text of an error is sent to the caller.
	DecodeJob(id string, body []byte) (*work.Job, Durability, error)
	EncodeState(s work.State) []byte
	// EncodePending encodes the number of jobs of a queue that have not been answered.
	EncodePending(n int) []byte
	EncodeError(message string) []byte
	// ResponseTimeout returns how long the caller waits for the response, or false if its request does not state it.
	ResponseTimeout(header func(name string) []byte) (time.Duration, bool)
}

// Target identifies a dispatcher by the zone and the partition of the zone that it dispatches for.
type Target struct {
	Zone      string
	Partition int
}

// Router finds dispatchers and submits jobs to them.
type Router interface {
	// Immediate returns the dispatchers of the instance's zone that can probably start a new job at once, to be tried in this order before
	// those of Targets; none if there is no choice.
	Immediate(job *work.Job) []Target
	// Targets returns the dispatchers to try for a new job, in this order.
	Targets(job *work.Job) []Target
	// Submit submits a job to a dispatcher. It returns false if the dispatcher is unknown or cannot be reached.
	Submit(to Target, s *relay.Submit) (Route, bool)
	// ReportNotLeader reports that a dispatcher has refused a job because it no longer dispatches for the target.
	ReportNotLeader(from Target)
	// Homes returns the homes of a job, the dispatchers that are told where the job is placed: one in each zone, that of the instance's zone
	// first; none if the zone keeps no placements.
	Homes(id work.JobID) []Target
	// Dispatchers returns all dispatchers of the instance's zone, and those of the other zones that are connected.
	Dispatchers() (own, others []Target)
	// Claim sends a claim to a dispatcher. It returns false if the dispatcher is unknown, not connected or keeps no placements.
	Claim(to Target, c *relay.Claim) (Route, bool)
	// Knowledge returns that of a dispatcher, see relay.Load, or 0 if none is known.
	Knowledge(t Target) uint64
	// Partitions returns the number of partitions of the zone that a dispatcher uses, see relay.Load, or 0 if it is not known.
	Partitions(t Target) int
	// ReachesAll reports whether all dispatchers of all zones are known and connected. It opens the connections that are missing.
	ReachesAll() bool
}

// Route is the connection over which a job was submitted to a dispatcher. Routes are compared by identity.
type Route interface {
	// Cancel informs a dispatcher that no caller waits for a job any more.
	Cancel(c *relay.Cancel)
	// ZonePartitions returns the number of partitions of the zone that the dispatcher of a partition has told over the route; 0 if it has told none.
	ZonePartitions(partition int) int
}

const (
	// defaultResponseTimeout applies to a caller whose request does not state how long it waits.
	defaultResponseTimeout = 30 * time.Second
	// retryNoConfig is the time after which a caller should retry when the instance has no configuration yet.
	retryNoConfig = time.Second
	// defaultPlacementTimeout is how long after its arrival a job waits for a dispatcher if none can be reached. The
	// takeover of a partition by another dispatcher takes less time; a refused caller retries only later.
	defaultPlacementTimeout = 300 * time.Millisecond
	// retryNoDispatcher is the time after which a caller should retry when no dispatcher could be reached. A new
	// dispatcher takes over sooner.
	retryNoDispatcher  = 2 * time.Second
	reasonNoDispatcher = "no_dispatcher"
	// retryStopping is the time after which a caller should retry when a stopping instance has refused its job. Another
	// instance takes the job then.
	retryStopping  = time.Second
	reasonStopping = "stopping"
	reasonUnread   = "waited_unread" // the request waited unread for longer than its caller waits
	// maxLosses is the number of dispatchers that may be lost while they hold a job. A job that makes its dispatchers hang or crash
	// must not go through all instances of a zone.
	maxLosses      = 3
	outcomeLosses  = "dispatchers_lost" // in the log
	outcomeGaveUp  = "gave_up"          // in the log
	outcomeStopped = "stopped"          // in the log
	outcomeLost    = "dispatcher_lost"  // in the log
	// outcomeRepeated is that of an earlier request of a job that another request repeats at this instance, in the log.
	outcomeRepeated = "repeated"
	// movedUnreachable and movedUnsent are why a job leaves a target that has not got it, in the log. Other reasons are outcomeLost and
	// those of refusals.
	movedUnreachable = "unreachable" // the dispatcher is not known or not connected
	movedUnsent      = "unsent"      // the connection to the dispatcher could not be opened
	movedFollows     = "follows"     // another request has placed the job at the target
)

// Options configures a Gateway.
type Options struct {
	Config  *catalog.Current
	Codec   Codec
	Router  Router
	Log     logrus.FieldLogger
	Metrics *Metrics
	Meter   *traffic.Meter // counts the bytes of callers' bodies; nil for none
	// Attempts returns the known unsuccessful runs of a job's tasks, which its next dispatcher has to count.
	Attempts func(work.JobID) []attempt.Attempt
	// Closes finds the callers of the listener that have left.
	Closes *server.CloseWatch
	// Retransmit is the time after which a caller submits a job again; 0 if it is not known.
	Retransmit time.Duration
	// Stored keeps stored jobs; nil if none are accepted.
	Stored StoredJobs
}

// Metrics are the gateway's counters of requests and its response times in milliseconds.
type Metrics struct {
	Answered   metric.Counter
	Refused    metric.Counter
	Abandoned  metric.Counter // callers that closed their connection before the response
	GivenUp    metric.Counter // jobs that their dispatcher, or this instance at its end, gave up although they may have run in part
	TimedOut   metric.Counter // jobs without a response within the timeout of their caller
	Claims     metric.Counter // jobs whose home was asked before they were placed
	Unanswered metric.Counter // jobs that were placed without an answer of their home
	Followed   metric.Counter // jobs that were submitted to the dispatcher at which another request had placed them
	Searches   metric.Counter // repeated requests for which the dispatchers were asked for the job
	// SearchesUnanswered counts those of them that were placed although an answer was missing.
	SearchesUnanswered metric.Counter
	ResponseMS         *metric.Quantiles
}

// Gateway accepts jobs from callers and responds to them. Its methods may be called concurrently.
type Gateway struct {
	opts       Options
	freeAt     atomic.Int64 // when mu was last known to be free; as pause.Elapsed, in ns
	cancelled  *cancellations
	departures departures
	// repetitions tells which requests repeat one that another instance got.
	repetitions *repetition.Detector
	ending      context.Context // of requests for stored jobs; it ends with end, before the process does
	end         context.CancelFunc

	mu               sync.Mutex
	jobs             map[work.JobID]*pending
	submissions      relay.SubmissionNumber // number of the last submission of a job to a dispatcher
	closed           bool                   // new jobs are refused
	placementTimeout time.Duration          // how long after its arrival a job waits for a dispatcher
}

// pending is a job whose caller has not got a response yet.
type pending struct {
	job                *work.Job
	waiting            []waiting              // requests whose callers wait for the answer
	request            uint64                 // identifies the caller's first request
	sent               relay.SubmissionNumber // the last submission that was sent to a dispatcher
	arrived            time.Time
	placedFrom         time.Time              // when this instance first looked for a dispatcher, which may be long after the arrival
	deadline           time.Time              // when the last caller stops waiting
	target             Target                 // dispatcher to which the job was last submitted
	route              Route                  // route to the dispatcher that holds the job; nil while none does
	submission         relay.SubmissionNumber // the last submission of the job
	untried            []Target               // dispatchers that have not been tried yet
	startOnly          bool                   // they are to start the job at once, and those of Router.Targets come after them
	orphaned           bool                   // the dispatcher failed or lost its term; only its successor may continue the job
	lostAt             time.Time              // when the last dispatcher that held the job was lost, or gave the job back
	losses             int                    // number of dispatchers whose connection ended while they held the job
	partitions         int                    // number that the dispatcher uses which holds the job, or held it last; 0 if it is not known
	earlier            divisions              // of the dispatchers that may have started the job and hold it no longer
	trail              trail                  // where the job was submitted, for the log
	movedBy            string                 // why the job leaves its last target, for the log; empty if it does not
	earlierRuns        bool                   // the target has refused the job but knows of runs of an earlier submission; it is asked again
	knowledge          uint64                 // relay.Submit.Knowledge
	succeeded          []work.TaskID          // relay.Submit.Succeeded
	awaitingDispatcher bool                   // no dispatcher could be reached yet
	cancelled          bool                   // the caller has cancelled the job
	refusal            *relay.Answer          // dispatchers' refusal with the shortest retry time so far; nil if none has refused the job
	claim              claim                  // what the job's homes know
	repeats            bool                   // the request seems to repeat one that another instance got
	search             *jobSearch             // for the job of a request that repeats another one; nil if there is none
	shared             *shared                // what is known of another request that has placed the job; nil if none is known
	moved              *moved                 // what is known of a job that an evacuated zone has given back; nil for others
}

// New returns a gateway without jobs.
func New(o Options) *Gateway {
	g := &Gateway{opts: o, jobs: map[work.JobID]*pending{}, placementTimeout: defaultPlacementTimeout, repetitions: newRepetitions()}
	g.noteFree()
	g.ending, g.end = context.WithCancel(context.Background())
	g.cancelled = newCancellations(g.cancelPending)
	g.departures.handle = g.callerGone
	return g
}

// Serve implements server.Handler.
func (g *Gateway) Serve(x *server.Exchange) {
	config := g.opts.Config.Load()
	if config == nil {
		g.refuse(x, 503, "no configuration yet", retryNoConfig)
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
		g.pending(x, queue.Name)
	case method == "GET":
		g.state(x, work.JobID(id))
	case method == "DELETE":
		g.cancel(x, work.JobID(id))
	default:
		g.reply(x, 405, g.opts.Codec.EncodeError("method not allowed"), 0)
	}
}

func (g *Gateway) reply(x *server.Exchange, status int, body []byte, retryAfter time.Duration) {
	g.opts.Meter.Add(traffic.Callers, traffic.Counts{Calls: 1, Sent: int64(len(body)), Received: int64(len(x.Request.Body()))})
	x.Reply(status, body, retryAfter)
}

func (g *Gateway) refuse(x *server.Exchange, status int, message string, retryAfter time.Duration) {
	g.opts.Metrics.Refused.Add(1)
	g.reply(x, status, g.opts.Codec.EncodeError(message), retryAfter)
}

// pendingCount returns the number of jobs of a queue that this instance has not answered yet.
func (g *Gateway) pendingCount(queue string) int {
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
	switch {
	case known:
		g.reply(x, 200, g.opts.Codec.EncodeState(work.Running), 0)
	case g.storedUsage() == ledger.Used:
		g.storedState(x, id)
	default:
		g.denyJob(x)
	}
}

func (g *Gateway) submit(x *server.Exchange, queue *catalog.Queue, id string) {
	job, durability, err := g.opts.Codec.DecodeJob(id, x.Request.Body())
	switch {
	case err != nil:
		g.refuse(x, 400, err.Error(), 0)
		return
	case queue.NeedsAdvice || durability == Stored && g.opts.Stored == nil:
		g.refuse(x, 503, "jobs of queues that need advice are not supported", time.Minute)
		return
	}
	job.Queue, job.Service, job.Objective = queue.Name, queue.Service, queue.Objective
	timeout, declared := g.opts.Codec.ResponseTimeout(x.Request.Header.Peek)
	if !declared {
		timeout = defaultResponseTimeout
	}
	sent := x.Arrived.Add(-x.Unread) // at the earliest
	p := &pending{job: job, waiting: []waiting{{x, sent.Add(timeout)}}, request: rand.Uint64(), arrived: sent, placedFrom: time.Now(), deadline: sent.Add(timeout)}
	if time.Since(sent) > timeout {
		g.refuseJob(p, 503, reasonUnread, retryStopping) // its caller may have left and submitted the job elsewhere
		return
	}
	if durability == Stored {
		g.submitStored(x, job, sent, timeout)
		return
	}
	p.repeats = declared && g.repetitions.Repeats(queue.Name, timeout, g.opts.Retransmit, pause.Elapsed())
	g.chooseTargets(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancelled.isCancelled(job.ID) {
		g.reply(x, 200, g.opts.Codec.EncodeState(work.Cancelled), 0)
		return
	}
	if old := g.jobs[job.ID]; old != nil {
		g.join(old, p)
		return
	}
	g.jobs[job.ID] = p
	x.OnDisconnect(func() { g.noteDeparture(p, x) })
	if g.closed {
		g.discard(p)
		g.refuseJob(p, 503, reasonStopping, retryStopping)
		return
	}
	g.placeFirst(p)
}

// discard removes a pending job and cancels it at its dispatcher. The caller holds g.mu.
func (g *Gateway) discard(p *pending) {
	if g.jobs[p.job.ID] != p {
		return
	}
	delete(g.jobs, p.job.ID)
	if p.route != nil {
		p.route.Cancel(&relay.Cancel{Job: p.job.ID, Partition: p.target.Partition, Number: p.submission, Whole: p.cancelled})
	}
}

// noteDeparture records that a job's caller has closed the connection of an exchange. It does not wait for g.mu.
func (g *Gateway) noteDeparture(p *pending, x *server.Exchange) {
	g.departures.add(departure{job: p, exchange: x, after: g.opts.Closes.LastLook()})
}

// callerGone discards the job of a caller that has left, unless the job was submitted again on another connection.
func (g *Gateway) callerGone(d departure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := d.job
	if g.jobs[p.job.ID] != p || !p.remove(d.exchange) {
		return
	}
	if len(p.waiting) == 0 {
		g.discard(p)
	}
	g.opts.Metrics.Abandoned.Add(1)
	g.logger(p, "caller_gone", 0).WithFields(logrus.Fields{"closed_ms": d.age().Milliseconds(), "others": len(p.waiting)}).Info("request")
	g.reply(d.exchange, 504, nil, 0) // nobody receives it, but it ends the exchange
}

// answerJob responds with the final state of a job. It may be called with or without g.mu.
func (g *Gateway) answerJob(p *pending, status int, s work.State) {
	g.opts.Metrics.Answered.Add(1)
	g.cancelled.noteEnded(p.job.ID)
	g.opts.Metrics.ResponseMS.AddDuration(time.Since(p.arrived))
	g.log(p, string(s), status)
	g.replyAll(p, status, g.opts.Codec.EncodeState(s), 0)
}

// giveUp discards a job that is not continued although it may have run in part, and responds. The caller holds g.mu.
func (g *Gateway) giveUp(p *pending, outcome, message string) {
	g.discard(p)
	g.opts.Metrics.GivenUp.Add(1)
	g.log(p, outcome, 504)
	g.replyAll(p, 504, g.opts.Codec.EncodeError(message), 0)
}

// refuseJob logs and sends the refusal of a job.
func (g *Gateway) refuseJob(p *pending, status int, why string, retryAfter time.Duration) {
	g.log(p, why, status)
	g.opts.Metrics.Refused.Add(1)
	g.replyAll(p, status, g.opts.Codec.EncodeError(why), retryAfter)
}

func (g *Gateway) log(p *pending, outcome string, status int) {
	g.logger(p, outcome, status).Info("request")
}

// logger returns a logger with the fields of a request.
func (g *Gateway) logger(p *pending, outcome string, status int) logrus.FieldLogger {
	return g.opts.Log.WithFields(logrus.Fields{
		"event": "request", "job": p.job.ID, "request": relay.RequestName(p.request), "queue": p.job.Queue, "tasks": p.job.Tasks(), "outcome": outcome,
		"status": status, "zone": p.target.Zone, "partition": p.target.Partition, "ms": time.Since(p.arrived).Milliseconds(), "resumed": p.orphaned,
		"declared_ms": p.deadline.Sub(p.arrived).Milliseconds(), "repeats": p.repeats, "home": p.claim.outcome, "placements": p.trail.String(),
	})
}

// Sweep discards the jobs whose caller's timeout has passed and responds to them with 504. It also responds to cancels that were
// passed on to other instances.
func (g *Gateway) Sweep() {
	g.answerCancels()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteFree()
	now := time.Now()
	for _, p := range g.jobs {
		expired := p.expired(now)
		if len(expired) == 0 {
			continue
		}
		if len(p.waiting) == 0 {
			g.discard(p)
		}
		g.opts.Metrics.TimedOut.Add(1)
		g.log(p, "timed_out", 504)
		for _, x := range expired {
			g.reply(x, 504, g.opts.Codec.EncodeError("the job did not end within the timeout of its caller; it may have run"), 0)
		}
	}
}

// Active returns the number of jobs that have not been answered yet.
func (g *Gateway) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs)
}
