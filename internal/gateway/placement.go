package gateway

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// place submits a job to the next untried dispatcher that can be reached. It returns false if there is none. The caller
// holds g.mu.
func (g *Gateway) place(p *pending) bool {
	p.route = nil
	for g.hasUntried(p) {
		p.target, p.untried = p.untried[0], p.untried[1:]
		if g.submitTo(p, false) {
			return true
		}
		p.leave(movedUnreachable)
	}
	return false
}

// hasUntried reports whether a dispatcher is left to try. When none has started the job at once, it may wait at those of Router.Targets.
func (g *Gateway) hasUntried(p *pending) bool {
	if len(p.untried) == 0 && p.startOnly {
		g.tryAll(p)
	}
	return len(p.untried) > 0
}

// chooseTargets sets the dispatchers to which a job is offered first.
func (g *Gateway) chooseTargets(p *pending) {
	p.untried = g.opts.Router.Immediate(p.job)
	if p.startOnly = len(p.untried) > 0; !p.startOnly {
		g.tryAll(p)
	}
}

// tryAll lets a job be placed at any dispatcher, anew.
func (g *Gateway) tryAll(p *pending) {
	p.startOnly, p.untried = false, g.targets(p)
}

// submitTo submits a job to its target. It returns false if the target cannot be reached. The caller holds g.mu.
func (g *Gateway) submitTo(p *pending, resumed bool) bool {
	route, ok := g.opts.Router.Submit(p.target, g.submission(p, resumed))
	if ok {
		p.route, p.sent, p.partitions = route, p.submission, 0
		p.notePartitions()
		p.trail.add(placed{at: p.target, knowledge: g.opts.Router.Knowledge(p.target), after: time.Since(p.arrived), resumed: resumed})
		g.logMove(p)
		g.tellHomes(p)
	}
	return ok
}

// leave notes why a job leaves its target. If it has left several since it was last placed, the first reason counts: that of a target that
// may have got the job.
func (p *pending) leave(why string) {
	p.trail.leave(why)
	if p.movedBy == "" {
		p.movedBy = why
	}
}

// logMove logs that a job was placed at its target if it was to be placed at another one, or at another dispatcher, before.
func (g *Gateway) logMove(p *pending) {
	if p.movedBy == "" {
		return
	}
	g.opts.Log.WithFields(logrus.Fields{
		"event": "placed", "job": p.job.ID, "request": relay.RequestName(p.request), "why": p.movedBy, "zone": p.target.Zone, "partition": p.target.Partition, "number": p.submission,
		"resumed": p.orphaned, "ms": time.Since(p.arrived).Milliseconds(),
	}).Info("job placed at another dispatcher")
	p.movedBy = ""
}

// placeOrRefuse places a job of which nothing has run. If this fails, the response holds the refusal of a dispatcher,
// if one was reached. If none was reached, as in the moments after a restart of all instances, the job waits for a
// dispatcher until the placement timeout. The caller holds g.mu.
func (g *Gateway) placeOrRefuse(p *pending) {
	placed := g.place(p)
	p.awaitingDispatcher = !placed && p.refusal == nil && time.Since(p.placesSince()) < g.placementTimeout && len(g.targets(p)) > 0
	if placed || p.awaitingDispatcher {
		return
	}
	g.releaseClaim(p)
	g.refuseUnplaced(p)
}

// submission returns the message of a new submission of a job to its target.
func (g *Gateway) submission(p *pending, resumed bool) *relay.Submit {
	g.submissions++
	p.submission = g.submissions
	var lost time.Duration
	if resumed {
		lost = time.Since(p.lostAt)
	}
	m := &relay.Submit{
		Job: *p.job, Number: p.submission, Partition: p.target.Partition, Resumed: resumed, Lost: lost, GivenBack: p.orphaned && p.losses == 0,
		Last:      !resumed && !p.startOnly && len(p.untried) == 0,
		Claims:    g.claimMode(p, resumed),
		Waited:    time.Since(p.arrived),
		Remaining: max(time.Until(p.deadline), time.Millisecond), Request: p.request, Previous: p.sent, Knowledge: p.knowledge,
		Partitions: p.earlierPartitions(),
		Attempts:   g.attempts(p), InProgress: p.inProgress(), Succeeded: p.succeeded,
	}
	m.StartOnly = p.startOnly && !resumed && p.shared == nil && p.knowledge == 0
	if p.shared != nil {
		m.Shared, m.Earlier = !p.shared.found(), p.shared.earlier(p.arrived)
	}
	return m
}

// Answer handles a dispatcher's answer, that is, the result or the refusal of a job. It ignores an answer to an earlier submission of
// the job, which may have gone to another partition over the same route, or have had another caller: the job may run by now.
func (g *Gateway) Answer(route Route, a *relay.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.jobs[a.Job]
	if a.Claim {
		g.claimAnswered(p, route, a)
		return
	}
	if p == nil || p.route != route || !p.submission.Matches(a.Number) {
		return
	}
	earlierRuns := p.earlierRuns
	p.route, p.earlierRuns = nil, false
	switch {
	case a.Placed != nil:
		g.follow(p, *a.Placed)
	case a.HandedOver:
		g.leaveZone(p, a)
	case p.shared != nil && !p.orphaned && a.Refused != pool.ReasonNone && !a.Started && !earlierRuns:
		g.sharedRefused(p, a)
	case a.GaveUp:
		g.giveUp(p, outcomeGaveUp, "the job was given up after a crash of an endpoint; it may have run")
	case a.Refused == pool.ReasonNone:
		g.discard(p)
		g.answerJob(p, 200, a.State)
	case a.Refused == pool.ReasonNotLeader:
		g.opts.Router.ReportNotLeader(p.target)
		p.succeeded = append(p.succeeded, a.Succeeded...)
		g.dispatcherNotLeader(p, a.Started || earlierRuns, a.Partitions)
	case a.Started && !p.orphaned:
		p.trail.leave(string(a.Refused))
		p.earlierRuns, p.knowledge = true, a.Knowledge // another dispatcher would start its tasks beside these runs
	case !p.orphaned && isEvacuation(a):
		g.leaveZone(p, a)
	case !p.orphaned && a.Refused == pool.ReasonWouldWait:
		p.trail.leave(string(a.Refused))
		g.placeOrRefuse(p)
	case !p.orphaned:
		p.knowledge = 0
		if p.refusal == nil || a.RetryAfter < p.refusal.RetryAfter {
			p.refusal = a
		}
		p.leave(string(a.Refused))
		g.placeOrRefuse(p)
	}
	// A job that was refused after it may have run elsewhere stays pending until its caller's timeout.
}

// dispatcherNotLeader handles a job that was refused because its dispatcher's term has ended. If no task of it can have
// started, the job is placed like a new one. partitions is the number of partitions that the dispatcher used; 0 if it is not known.
func (g *Gateway) dispatcherNotLeader(p *pending, started bool, partitions int) {
	if started {
		p.lostAt = time.Now()
		p.earlier.add(cmp.Or(partitions, p.partitions))
	}
	p.trail.leave(string(pool.ReasonNotLeader))
	if started || p.orphaned {
		g.markOrphaned(p)
		return
	}
	p.leave(string(pool.ReasonNotLeader))
	if home, ok := g.home(p); ok && p.target == home {
		delete(p.claim.told, home.Zone) // the submission has told nobody
	}
	g.placeNew(p)
}

// markOrphaned records that the dispatcher that held a job failed or lost its term. Its successor determines which tasks
// have run.
func (g *Gateway) markOrphaned(p *pending) {
	p.route = nil
	if !p.orphaned {
		p.orphaned = true
		p.leave(outcomeLost)
		g.log(p, outcomeLost, 0)
	}
}

// dispatcherLost handles the loss of the dispatcher that held a job. The caller holds g.mu.
func (g *Gateway) dispatcherLost(p *pending) {
	p.losses++
	p.earlier.add(p.partitions)
	p.leave(outcomeLost)
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
		p.claim.forget(route)
		p.search.forget(route)
		switch {
		case p.route != route:
		case sent:
			g.dispatcherLost(p)
		case p.orphaned:
			g.markOrphaned(p)
		case p.shared != nil, p.earlierRuns:
			p.route = nil
		default:
			p.leave(movedUnsent)
			p.claim.told = nil // the target may be among the homes, and has not been told
			g.placeNew(p)
		}
	}
}

// Resubmit submits the jobs whose dispatcher failed to its successor, and retries those that have reached no
// dispatcher, and those whose earlier runs their dispatcher has known.
func (g *Gateway) Resubmit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.jobs {
		switch {
		case p.search != nil:
			g.continueSearch(p)
		case p.awaitingDispatcher:
			g.tryAll(p)
			g.placeNew(p)
		case p.claim.asking:
			g.askAgain(p)
		case (p.orphaned || p.earlierRuns) && p.route == nil:
			g.submitTo(p, p.orphaned)
		case p.shared != nil && p.route == nil:
			g.resubmitShared(p)
		case p.route != nil:
			p.notePartitions()
			g.tellHomes(p)
		}
	}
}
