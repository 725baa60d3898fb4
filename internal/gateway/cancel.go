package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/work"
)

// A cancel may reach another instance than the submission did: the load balancer chooses among the instances that are ready. That
// instance passes the cancellation on to all others with its heartbeats, by way of the dispatchers, and the one that holds the job
// cancels it. An instance that holds the job itself passes the cancellation on, too. Every instance remembers it, so that a submission
// which arrives later, at any of them, does not start the job.

const (
	// spreadTime is how long news of a cancellation is passed on after the last instance has asked for it. It covers several heartbeats on
	// each part of the way.
	spreadTime = time.Second
	// findTimeout is how long a cancel waits for the instance that holds the job while all dispatchers are connected. The way there and
	// back takes two heartbeats of an instance that submits jobs and two of a dispatcher.
	findTimeout = 1200 * time.Millisecond
	// maxFindTime is how long a cancel waits in all. Dispatchers that are replaced are known again sooner.
	maxFindTime = 3500 * time.Millisecond
	// cancelMemory is how long a cancelled job is not started again. No caller repeats a submission later.
	cancelMemory = time.Minute
	// endMemory is how long this instance remembers that a job has ended, so that a cancel need not be passed on.
	endMemory = 10 * time.Second
	// maxSpread bounds the cancellations in one heartbeat.
	maxSpread = 500
	// retryCancel is the time after which a caller should retry a cancel when not all dispatchers could be asked for the job.
	retryCancel = time.Second
)

// cancellations holds what an instance knows of cancelled and ended jobs. It implements relay.Cancellations and is safe for concurrent
// use.
type cancellations struct {
	// cancelPending cancels a job if this instance holds it, and returns whether it does.
	cancelPending func(work.JobID) bool

	mu        sync.Mutex
	cancelled map[work.JobID]*cancellation
	ended     map[work.JobID]time.Time // when this instance answered that the job has ended
	sweptAt   time.Time
	// reachableSince is since when all dispatchers have been connected; zero while they are not, or while no cancel waits.
	reachableSince time.Time
	closed         bool // no search begins any more
}

type cancellation struct {
	at      time.Time // when the cancellation was learned
	newsAt  time.Time // when it was last learned that the cancellation is passed on, or that the job was found
	askedAt time.Time // when the last of the waiting cancels came
	found   bool      // an instance held the job and has cancelled it
	waiting []waitingCancel
}

// waitingCancel is a caller's cancel that waits for the outcome of the search.
type waitingCancel struct {
	exchange *server.Exchange
	stored   ledger.Answer // what the log of stored jobs tells of the job: the response if no instance holds it
}

func newCancellations(cancelPending func(work.JobID) bool) *cancellations {
	return &cancellations{cancelPending: cancelPending, cancelled: map[work.JobID]*cancellation{}, ended: map[work.JobID]time.Time{}}
}

// Recent implements relay.Cancellations. Those for which a caller waits come first.
func (c *cancellations) Recent() []relay.Cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sought, others []relay.Cancellation
	for id, x := range c.cancelled {
		switch {
		case time.Since(x.newsAt) >= spreadTime:
		case len(x.waiting) > 0 && !x.found:
			sought = append(sought, relay.Cancellation{Job: id, Sought: true})
		default:
			others = append(others, relay.Cancellation{Job: id, Found: x.found})
		}
	}
	recent := append(sought, others...)
	return recent[:min(len(recent), maxSpread)]
}

// Merge implements relay.Cancellations. A cancellation is recorded before the job is looked for, so that a submission at the same moment
// either finds the record or is found.
func (c *cancellations) Merge(all []relay.Cancellation) {
	for _, m := range all {
		if c.learn(m) && c.cancelPending(m.Job) {
			c.spread(m.Job, true)
		}
	}
}

// learn records a cancellation and returns whether it is news. News is passed on. What is known already is passed on again while a caller
// waits for it elsewhere, or if the sender does not know that the job was found: connections may have been opened since.
func (c *cancellations) learn(m relay.Cancellation) (news bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.cancelled[m.Job]
	news = known == nil || m.Found && !known.found
	x := c.record(m.Job)
	x.found = x.found || m.Found
	if news || m.Sought || x.found && !m.Found {
		x.newsAt = time.Now()
	}
	return news
}

// spread records a cancellation and passes it on.
func (c *cancellations) spread(id work.JobID, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.record(id)
	x.newsAt = time.Now()
	x.found = x.found || found
}

// repeat passes the cancellation of a job on again if there is one, and returns whether there is.
func (c *cancellations) repeat(id work.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.cancelled[id]
	if x == nil {
		return false
	}
	x.newsAt = time.Now()
	return true
}

// record returns the record of a cancellation. c.mu is held.
func (c *cancellations) record(id work.JobID) *cancellation {
	x := c.cancelled[id]
	if x == nil {
		x = &cancellation{at: time.Now()}
		c.cancelled[id] = x
	}
	return x
}

// find passes a cancellation on. The cancel gets its response when the search has ended, see due and close. It returns false after close.
func (c *cancellations) find(id work.JobID, w waitingCancel) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	record := c.record(id)
	record.newsAt, record.askedAt = time.Now(), time.Now()
	record.waiting = append(record.waiting, w)
	return true
}

// close ends all searches and returns the cancels that wait for them.
func (c *cancellations) close() []waitingCancel {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var waiting []waitingCancel
	for _, x := range c.cancelled {
		waiting = append(waiting, x.waiting...)
		x.waiting = nil
	}
	return waiting
}

// isCancelled reports whether a job was cancelled.
func (c *cancellations) isCancelled(id work.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled[id] != nil
}

// noteEnded records that this instance has answered that a job has ended. A job that was refused or has timed out does not count, since
// its caller may have submitted it again elsewhere.
func (c *cancellations) noteEnded(id work.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[id] = time.Now()
}

// hasEnded reports whether this instance has answered lately that a job has ended.
func (c *cancellations) hasEnded(id work.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.ended[id]
	return ok && time.Since(at) < endMemory
}

// searchOutcome is the outcome of a search for a job to cancel.
type searchOutcome int

const (
	searching   searchOutcome = iota
	jobFound                  // an instance has cancelled the job
	jobMissing                // no instance holds the job
	notAllAsked               // not all instances could be asked
)

// due returns the cancels whose search has ended, and passes the other searches on. reachesAll tells whether all dispatchers are
// connected now.
func (c *cancellations) due(reachesAll bool) map[searchOutcome][]waitingCancel {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case !reachesAll:
		c.reachableSince = time.Time{}
	case c.reachableSince.IsZero():
		c.reachableSince = now
	}
	ended := map[searchOutcome][]waitingCancel{}
	for _, x := range c.cancelled {
		if len(x.waiting) == 0 {
			continue
		}
		o := c.outcomeOf(x, now)
		if o == searching {
			x.newsAt = now
			continue
		}
		ended[o] = append(ended[o], x.waiting...)
		x.waiting = nil
	}
	return ended
}

// outcomeOf returns the outcome of a search so far. c.mu is held.
func (c *cancellations) outcomeOf(x *cancellation, now time.Time) searchOutcome {
	switch {
	case x.found:
		return jobFound
	case !c.reachableSince.IsZero() && now.Sub(c.reachableSince) >= findTimeout && now.Sub(x.askedAt) >= findTimeout:
		return jobMissing
	case now.Sub(x.askedAt) >= maxFindTime:
		return notAllAsked
	}
	return searching
}

// anyWaiting reports whether a cancel waits. It also deletes old entries from time to time.
func (c *cancellations) anyWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget()
	for _, x := range c.cancelled {
		if len(x.waiting) > 0 {
			return true
		}
	}
	c.reachableSince = time.Time{}
	return false
}

// forget deletes old entries from time to time. c.mu is held.
func (c *cancellations) forget() {
	if time.Since(c.sweptAt) < endMemory/2 {
		return
	}
	c.sweptAt = time.Now()
	for id, x := range c.cancelled {
		if time.Since(x.at) > cancelMemory {
			delete(c.cancelled, id)
		}
	}
	for id, at := range c.ended {
		if time.Since(at) > endMemory {
			delete(c.ended, id)
		}
	}
}

// cancel cancels a job at its caller's request.
func (g *Gateway) cancel(x *server.Exchange, id work.JobID) {
	switch {
	case g.cancelPending(id):
		g.cancelled.spread(id, true)
		g.reply(x, 200, g.opts.Codec.EncodeState(work.Cancelled), 0)
	case g.cancelled.hasEnded(id):
		g.reply(x, 410, g.opts.Codec.EncodeError("no such job"), 0)
	case g.storedUsage() == ledger.Used:
		g.cancelStored(x, id)
	default:
		g.findToCancel(waitingCancel{x, ledger.Answer{Result: ledger.NoJob}}, id)
	}
}

// findToCancel asks all instances for a job to cancel.
func (g *Gateway) findToCancel(w waitingCancel, id work.JobID) {
	if !g.cancelled.find(id, w) {
		g.refuseStoppedSearch(w.exchange)
		return
	}
	g.opts.Log.WithFields(logrus.Fields{"event": "cancel_passed_on", "job": id}).Info("asking all instances for a job to cancel")
}

// cancelPending cancels a job that this instance holds and returns whether it does.
func (g *Gateway) cancelPending(id work.JobID) bool {
	g.mu.Lock()
	p := g.jobs[id]
	if p != nil {
		p.cancelled = true
		g.discard(p)
	}
	g.mu.Unlock()
	if p == nil {
		return false
	}
	g.answerJob(p, 200, work.Cancelled)
	return true
}

// answerCancels responds to the cancels that were passed on and are decided now.
func (g *Gateway) answerCancels() {
	if !g.cancelled.anyWaiting() {
		return
	}
	ended := g.cancelled.due(g.opts.Router.ReachesAll())
	for _, w := range ended[jobFound] {
		g.reply(w.exchange, 200, g.opts.Codec.EncodeState(work.Cancelled), 0)
	}
	for _, w := range ended[jobMissing] {
		g.denyCancel(w)
	}
	for _, w := range ended[notAllAsked] {
		g.refuse(w.exchange, 503, "not all instances could be asked for the job", retryCancel)
	}
}

// denyCancel responds to the cancel of a job that no instance holds.
func (g *Gateway) denyCancel(w waitingCancel) {
	if w.stored.Result == ledger.NoJob {
		g.denyJob(w.exchange)
		return
	}
	g.answerStored(w.exchange, w.stored)
}

// RepeatCancellation passes the cancellation of a job on again if there is one, and returns whether there is: another instance, which has not
// learned of it, has submitted the job.
func (g *Gateway) RepeatCancellation(id work.JobID) bool { return g.cancelled.repeat(id) }

// NoteCancelled records and passes on that another instance has cancelled a job. That instance may end before it passes the cancellation on
// itself.
func (g *Gateway) NoteCancelled(id work.JobID) { g.cancelled.spread(id, true) }

// Cancellations returns what the instance's heartbeats carry of cancelled jobs.
func (g *Gateway) Cancellations() relay.Cancellations { return g.cancelled }
