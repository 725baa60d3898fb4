package gateway

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// A request may be a repetition of one that reached another instance, whose caller has left without that instance's knowledge. A job has a home
// in each zone, which is told where the job is placed, see package placement: that of the instance's zone at once, the others when the caller
// may soon submit the job again. An instance asks the home of its zone before it places a job. If another request has placed the job, see
// shared.go.

// claimTimeout is how long a job waits for the answer of its home. The home answers without deciding anything, so it takes a round trip.
const claimTimeout = 100 * time.Millisecond

// claim is what the homes of a job have been sent about its placement.
type claim struct {
	asking bool                   // the job waits for the answer of its home in the instance's zone
	since  time.Time              // when the home was first asked
	route  Route                  // to that home; nil before the next try
	number relay.SubmissionNumber // of the claim that waits for its answer
	told   map[string]told        // by zone
	// outcome is what came of asking the home, for the log; empty if it was not asked apart from a submission.
	outcome homeOutcome
}

// homeOutcome is what came of asking the home of a job, in the log.
type homeOutcome string

// The outcomes.
const (
	homeNotPlaced  homeOutcome = "not_placed" // no other request has placed the job
	homePlaced     homeOutcome = "placed"     // another request has placed the job
	homeUnanswered homeOutcome = "unanswered" // the home did not answer in time
)

// told is what a home has been sent.
type told struct {
	home       uint64 // knowledge of the home
	at         Target
	submission relay.SubmissionNumber // last one of the job then
	number     relay.SubmissionNumber // of the claim; 0 if a submission has told the home
	route      Route                  // over which the claim was sent; nil if a submission has told the home
	asked      bool                   // the claim has asked, and the submission that it announces has not been made
}

// note records what the home of a zone has been sent.
func (c *claim) note(zone string, t told) {
	if c.told == nil {
		c.told = map[string]told{}
	}
	c.told[zone] = t
}

// forget notes that the claims over a route that has ended may not have arrived.
func (c *claim) forget(route Route) {
	maps.DeleteFunc(c.told, func(_ string, t told) bool { return t.route == route })
	if c.route == route {
		c.route = nil
	}
}

// placeNew places a job of which its instance has not placed anything yet. If the job's first dispatcher is not its home, the home is asked
// before. The caller holds g.mu.
func (g *Gateway) placeNew(p *pending) {
	home, ok := g.home(p)
	_, known := p.claim.told[home.Zone]
	if !ok || known || len(p.untried) == 0 || p.untried[0] == home {
		g.placeOrRefuse(p) // the home knows of the job, or sees it in any case
		return
	}
	p.awaitingDispatcher = false
	g.ask(p, p.untried[0])
}

// ask asks the home of a job whether another request has placed it, before the job is placed at a target.
func (g *Gateway) ask(p *pending, at Target) {
	home, _ := g.home(p)
	if !p.claim.asking {
		g.opts.Metrics.Claims.Add(1)
		p.claim.asking, p.claim.since = true, time.Now()
	}
	c := g.newClaim(p, home, at)
	c.Asks = true
	if route, ok := g.sendClaim(p, home, at, c); ok {
		p.claim.route, p.claim.number = route, c.Number
	}
}

// askAgain ends the wait of a job for the answer of its home after claimTimeout. Until then it asks a home that could not be reached, or has
// been replaced.
func (g *Gateway) askAgain(p *pending) {
	switch {
	case time.Since(p.claim.since) > claimTimeout:
		g.claimUnanswered(p)
	case p.claim.route == nil && p.shared != nil:
		g.ask(p, p.target)
	case p.claim.route == nil && len(p.untried) > 0:
		g.ask(p, p.untried[0])
	}
}

// home returns the home of a job in the instance's zone; false if it has none.
func (g *Gateway) home(p *pending) (Target, bool) {
	homes := g.opts.Router.Homes(p.job.ID)
	if len(homes) == 0 {
		return Target{}, false
	}
	return homes[0], true
}

// newClaim returns a claim that a job is placed at a target.
func (g *Gateway) newClaim(p *pending, home, at Target) *relay.Claim {
	g.submissions++
	return &relay.Claim{
		Job: p.job.ID, Number: g.submissions, Partition: home.Partition, Request: p.request, Remaining: max(time.Until(p.deadline), 0),
		At: relay.Placement{
			Zone: at.Zone, Partition: at.Partition, Knowledge: g.opts.Router.Knowledge(at), Partitions: g.opts.Router.Partitions(at), Waited: time.Since(p.arrived),
		},
	}
}

// sendClaim sends a claim to a home and notes it.
func (g *Gateway) sendClaim(p *pending, home, at Target, c *relay.Claim) (Route, bool) {
	route, ok := g.opts.Router.Claim(home, c)
	if ok {
		p.claim.note(home.Zone, told{g.opts.Router.Knowledge(home), at, p.submission, c.Number, route, c.Asks})
	}
	return route, ok
}

// claimMode returns what a submission of a job to its target is as a claim.
func (g *Gateway) claimMode(p *pending, resumed bool) relay.ClaimMode {
	home, ok := g.home(p)
	if !ok || p.target != home {
		return relay.NoClaim
	}
	if _, known := p.claim.told[home.Zone]; known || resumed || p.shared != nil {
		return relay.TellsClaim
	}
	return relay.AsksClaim
}

// tellHomes tells the homes of a job where it has been placed: that of the instance's zone, and the others when half of the retransmit
// time has passed. Few jobs take that long, and no repetition comes before the whole of it.
func (g *Gateway) tellHomes(p *pending) {
	early := time.Since(p.arrived) < g.opts.Retransmit/2
	for n, home := range g.opts.Router.Homes(p.job.ID) {
		if n == 0 || !early {
			g.tellHome(p, home, n == 0)
		}
	}
}

// tellHome tells a home where a job has been placed, unless that has been done. The submission itself has told the home in the instance's own
// zone if that is the target.
func (g *Gateway) tellHome(p *pending, home Target, own bool) {
	knowledge := g.opts.Router.Knowledge(home)
	sent := p.claim.told[home.Zone]
	switch {
	case knowledge == 0 || sent.home == knowledge && sent.at == p.target && sent.submission == p.submission:
	case sent.asked && sent.home == knowledge && sent.at == p.target:
		sent.asked, sent.submission = false, p.submission
		p.claim.note(home.Zone, sent)
	case own && p.target == home && sent.submission != p.submission:
		p.claim.note(home.Zone, told{home: knowledge, at: home, submission: p.submission})
	default:
		g.sendClaim(p, home, p.target, g.newClaim(p, home, p.target))
	}
}

// releaseClaim tells the homes that a job was refused.
func (g *Gateway) releaseClaim(p *pending) {
	for _, home := range g.opts.Router.Homes(p.job.ID) {
		if sent, ok := p.claim.told[home.Zone]; ok {
			c := g.newClaim(p, home, sent.at)
			c.Released = true
			g.opts.Router.Claim(home, c)
		}
	}
}

// claimAnswered handles the answer of a job's home. p is nil if the job has been answered. The caller holds g.mu.
func (g *Gateway) claimAnswered(p *pending, route Route, a *relay.Answer) {
	if p == nil || a.Number == 0 {
		return
	}
	if q := p.search.find(route, a.Number); q != nil {
		g.searchAnswered(p, q, a)
		return
	}
	waited := p.claim.asking && p.claim.route == route && p.claim.number == a.Number
	if a.Refused == pool.ReasonNotLeader {
		g.homeReplaced(p, a.Number)
		if waited {
			p.claim.route = nil // it is asked again
		}
		return
	}
	if !waited {
		g.noteLateAnswer(p, a)
		return
	}
	p.claim.asking, p.claim.route, p.claim.outcome = false, nil, homeNotPlaced
	if a.Placed != nil {
		p.claim.outcome = homePlaced
	}
	switch {
	case p.shared != nil:
		g.sharedAnswered(p, a.Placed)
	case a.Placed != nil:
		g.follow(p, *a.Placed)
	default:
		g.placeOrRefuse(p)
	}
}

// homeReplaced notes that the home that a claim was sent to knows nothing, because another dispatcher has taken its place.
func (g *Gateway) homeReplaced(p *pending, number relay.SubmissionNumber) {
	for _, home := range g.opts.Router.Homes(p.job.ID) {
		if sent, ok := p.claim.told[home.Zone]; ok && sent.number == number {
			delete(p.claim.told, home.Zone)
			g.opts.Router.ReportNotLeader(home)
		}
	}
}

// noteLateAnswer logs the answer of a home that came after the job was placed without it, if another request had placed the job.
func (g *Gateway) noteLateAnswer(p *pending, a *relay.Answer) {
	if a.Placed == nil || p.shared != nil {
		return
	}
	g.opts.Log.WithFields(logrus.Fields{
		"event": "placement_late", "job": a.Job, "zone": a.Placed.Zone, "partition": a.Placed.Partition,
	}).Warn("the home of a job knew of another placement, but its answer came too late; tasks of the job may run twice")
}

// claimUnanswered places a job whose home does not answer.
func (g *Gateway) claimUnanswered(p *pending) {
	g.noteUnanswered(p)
	p.claim = claim{outcome: homeUnanswered}
	if p.shared != nil {
		g.sharedAnswered(p, &p.shared.at)
		return
	}
	g.placeOrRefuse(p)
}

// noteUnanswered counts and logs a job that is placed without the answer of its home.
func (g *Gateway) noteUnanswered(p *pending) {
	g.opts.Metrics.Unanswered.Add(1)
	home, _ := g.home(p)
	g.opts.Log.WithFields(logrus.Fields{
		"event": "home_unanswered", "job": p.job.ID, "request": relay.RequestName(p.request), "zone": home.Zone, "partition": home.Partition,
		"reached": p.claim.route != nil,
	}).Info("job placed without the answer of its home; another request may have placed it elsewhere")
}
