package gateway

import (
	"time"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// place submits a job to the next untried dispatcher that can be reached. It returns false if there is none. The caller
// holds g.mu.
func (g *Gateway) place(p *pending) bool {
	p.route = nil
	for len(p.untried) > 0 {
		p.target, p.untried = p.untried[0], p.untried[1:]
		if g.submitTo(p, false) {
			return true
		}
	}
	return false
}

// submitTo submits a job to its target. It returns false if the target cannot be reached. The caller holds g.mu.
func (g *Gateway) submitTo(p *pending, resumed bool) bool {
	route, ok := g.opts.Router.Submit(p.target, g.submission(p, resumed))
	if ok {
		p.route = route
		p.submissions++
	}
	return ok
}

// placeOrRefuse places a job of which nothing has run. If this fails, the response holds the refusal of a dispatcher,
// if one was reached. If none was reached, as in the moments after a restart of all instances, the job waits for a
// dispatcher until the placement timeout. The caller holds g.mu.
func (g *Gateway) placeOrRefuse(p *pending) {
	placed := g.place(p)
	p.awaitingDispatcher = !placed && p.refusal == nil && time.Since(p.arrived) < g.placementTimeout
	if placed || p.awaitingDispatcher {
		return
	}
	g.discard(p)
	if p.refusal != nil {
		g.refuseJob(p, 429, string(p.refusal.Refused), p.refusal.RetryAfter)
		return
	}
	g.refuseJob(p, 503, reasonNoDispatcher, retryNoDispatcher)
}

// submission returns the message that submits a job to a dispatcher.
func (g *Gateway) submission(p *pending, resumed bool) *relay.Submit {
	var lost time.Duration
	if resumed {
		lost = time.Since(p.lostAt)
	}
	return &relay.Submit{
		Job: *p.job, Partition: p.target.Partition, Resumed: resumed, Lost: lost, GivenBack: resumed && p.losses == 0,
		Waited:    time.Since(p.arrived),
		Remaining: max(time.Until(p.deadline), time.Millisecond), Request: p.request, Number: p.submissions + 1,
		Attempts: g.opts.Attempts(p.job.ID),
	}
}

// Answer handles a dispatcher's answer, that is, the result or the refusal of a job. It ignores an answer that came over
// a route that does not hold the job any more.
func (g *Gateway) Answer(route Route, a *relay.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.jobs[a.Job]
	if p == nil || p.route != route {
		return
	}
	p.route = nil
	switch {
	case a.GaveUp:
		g.giveUp(p, outcomeGaveUp, "the job was given up after a crash of an endpoint; it may have run")
	case a.Refused == pool.ReasonNone:
		g.discard(p)
		g.answerJob(p, 200, a.State)
	case a.Refused == pool.ReasonNotLeader:
		g.opts.Router.ReportNotLeader(p.target)
		g.dispatcherNotLeader(p, a.Started)
	case !p.orphaned:
		if p.refusal == nil || a.RetryAfter < p.refusal.RetryAfter {
			p.refusal = a
		}
		g.placeOrRefuse(p)
	}
	// A job that was refused after it may have run elsewhere stays pending until its caller's timeout.
}

// dispatcherNotLeader handles a job that was refused because its dispatcher's term has ended. If no task of it can have
// started, the job is placed like a new one.
func (g *Gateway) dispatcherNotLeader(p *pending, started bool) {
	if started {
		p.lostAt = time.Now()
	}
	if started || p.orphaned {
		g.markOrphaned(p)
		return
	}
	g.placeOrRefuse(p)
}

// markOrphaned records that the dispatcher that held a job failed or lost its term. Its successor determines which tasks
// have run.
func (g *Gateway) markOrphaned(p *pending) {
	p.route = nil
	if !p.orphaned {
		p.orphaned = true
		g.log(p, "dispatcher_lost", 0)
	}
}

// dispatcherLost handles the loss of the dispatcher that held a job. The caller holds g.mu.
func (g *Gateway) dispatcherLost(p *pending) {
	p.losses++
	p.lostAt = time.Now()
	if p.losses < maxLosses {
		g.markOrphaned(p)
		return
	}
	p.route = nil // it has ended
	g.giveUp(p, outcomeLosses, "the job was given up after the loss of several dispatchers; it may have run")
}

// RouteEnded reports that a route has ended. sent is false if its connection was never open, so that no job
// has been sent over it.
func (g *Gateway) RouteEnded(route Route, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.jobs {
		switch {
		case p.route != route:
		case sent:
			g.dispatcherLost(p)
		case p.orphaned:
			g.markOrphaned(p)
		default:
			g.placeOrRefuse(p)
		}
	}
}

// Resubmit submits the jobs whose dispatcher failed to its successor, and retries those that have reached no
// dispatcher.
func (g *Gateway) Resubmit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.jobs {
		switch {
		case p.awaitingDispatcher:
			p.untried = g.opts.Router.Targets(p.job.ID)
			g.placeOrRefuse(p)
		case p.orphaned && p.route == nil:
			g.submitTo(p, true)
		}
	}
}
