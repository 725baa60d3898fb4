package gateway

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// A request may be a repetition of one that reached another instance, whose caller has left without that instance's knowledge. A job's home
// is told where the job is placed, see package placement. A job that another request has placed is submitted to the dispatcher there.

// claimTimeout is how long a job waits for the answer of its home. The home answers without deciding anything, so it takes a round trip.
const claimTimeout = 100 * time.Millisecond

// claim is what the home of a job has been told of its placement.
type claim struct {
	route  Route                  // to the home whose answer the job waits for; nil if it does not wait
	number relay.SubmissionNumber // of the claim that waits for its answer
	sent   time.Time              // when that was sent
	home   string                 // address of the home that was told last; empty if none was
	at     Target                 // what it was told
}

// placeNew places a job of which its instance has not placed anything yet. If the job's first dispatcher is not its home, the home is asked
// before. The caller holds g.mu.
func (g *Gateway) placeNew(p *pending) {
	if g.askHome(p) {
		p.awaitingDispatcher = false
		return
	}
	g.placeOrRefuse(p)
}

// askHome asks the home of a job whether another request has placed it. It returns false if the job's first dispatcher is its home, which
// sees it in any case, or if the home cannot be asked.
func (g *Gateway) askHome(p *pending) bool {
	home := g.opts.Router.Home(p.job.ID)
	if len(p.untried) == 0 || p.untried[0] == home {
		return false
	}
	c := g.newClaim(p, home, p.untried[0])
	c.Asks = true
	route, ok := g.sendClaim(p, home, p.untried[0], c)
	if !ok {
		g.opts.Metrics.Unanswered.Add(1)
		return false
	}
	g.opts.Metrics.Claims.Add(1)
	p.claim.route, p.claim.number, p.claim.sent = route, c.Number, time.Now()
	return true
}

// newClaim returns a claim that a job is placed at a target.
func (g *Gateway) newClaim(p *pending, home, at Target) *relay.Claim {
	g.submissions++
	return &relay.Claim{
		Job: p.job.ID, Number: g.submissions, Partition: home.Partition, Request: p.request, Remaining: max(time.Until(p.deadline), 0),
		At: relay.Placement{Zone: at.Zone, Partition: at.Partition, Address: g.opts.Router.Address(at)},
	}
}

// sendClaim sends a claim to a job's home and notes that the home knows of the placement.
func (g *Gateway) sendClaim(p *pending, home, at Target, c *relay.Claim) (Route, bool) {
	route, ok := g.opts.Router.Claim(home, c)
	if ok {
		p.claim.home, p.claim.at = g.opts.Router.Address(home), at
	}
	return route, ok
}

// claimMode returns what a submission of a job to its target is as a claim.
func (g *Gateway) claimMode(p *pending, resumed bool) relay.ClaimMode {
	home := g.opts.Router.Home(p.job.ID)
	switch {
	case p.target != home:
		return relay.NoClaim
	case resumed || p.followed || p.claim.home != "":
		return relay.TellsClaim
	}
	return relay.AsksClaim
}

// tellHome tells a job's home where the job has been placed, unless it knows. The submission itself has told a home that is the target.
func (g *Gateway) tellHome(p *pending) {
	home := g.opts.Router.Home(p.job.ID)
	address := g.opts.Router.Address(home)
	if address == "" || p.claim.home == address && p.claim.at == p.target {
		return
	}
	if p.target == home {
		p.claim.home, p.claim.at = address, home
		return
	}
	g.sendClaim(p, home, p.target, g.newClaim(p, home, p.target))
}

// releaseClaim tells the home that a job was refused. A home that has refused the job itself keeps the placement, which does no harm: it
// knows its own runs.
func (g *Gateway) releaseClaim(p *pending) {
	home := g.opts.Router.Home(p.job.ID)
	if p.claim.home == "" || p.claim.at == home || p.followed {
		return
	}
	c := g.newClaim(p, home, p.claim.at)
	c.Released = true
	g.opts.Router.Claim(home, c)
}

// claimAnswered handles the answer of a job's home. p is nil if the job has been answered. The caller holds g.mu.
func (g *Gateway) claimAnswered(p *pending, route Route, a *relay.Answer) {
	if p == nil {
		return
	}
	if p.claim.route != route || p.claim.number != a.Number {
		g.noteLateAnswer(p, a)
		return
	}
	p.claim.route = nil
	switch {
	case a.Placed != nil:
		g.follow(p, *a.Placed)
	case a.Refused == pool.ReasonNotLeader:
		g.opts.Router.ReportNotLeader(g.opts.Router.Home(p.job.ID))
		g.claimUnanswered(p)
	default:
		g.placeOrRefuse(p)
	}
}

// noteLateAnswer logs the answer of a home that came after the job was placed without it, if another request had placed the job.
func (g *Gateway) noteLateAnswer(p *pending, a *relay.Answer) {
	if a.Placed == nil || p.followed {
		return
	}
	g.opts.Log.WithFields(logrus.Fields{
		"event": "placement_late", "job": a.Job, "zone": a.Placed.Zone, "partition": a.Placed.Partition, "address": a.Placed.Address,
	}).Warn("the home of a job knew of another placement, but its answer came too late; tasks of the job may run twice")
}

// claimUnanswered places a job whose home does not answer.
func (g *Gateway) claimUnanswered(p *pending) {
	p.claim.route, p.claim.home = nil, ""
	g.opts.Metrics.Unanswered.Add(1)
	g.placeOrRefuse(p)
}

// follow submits a job to the dispatcher at which another request has placed it. If another dispatcher has taken its place, the job is
// resumed there: the earlier one may have started it.
func (g *Gateway) follow(p *pending, at relay.Placement) {
	g.opts.Metrics.Followed.Add(1)
	p.leave(movedFollows)
	p.target = Target{at.Zone, at.Partition}
	p.untried = slices.DeleteFunc(p.untried, func(t Target) bool { return t == p.target })
	p.followed, p.follows = true, true
	if g.opts.Router.Address(p.target) == at.Address && g.submitTo(p, false) {
		return
	}
	p.lostAt = time.Now()
	g.markOrphaned(p)
}
