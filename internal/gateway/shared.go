package gateway

import (
	"time"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// A job that another request has placed is submitted only where that request is: its dispatcher knows the runs, goes on with them and answers
// both. When that dispatcher does not hold the job, the home is asked again, since the other request may have moved. If it has not, the
// refusal counts for this request, too.

// shared is what is known of another request that has placed a job.
type shared struct {
	at      relay.Placement
	learned time.Time     // when at was learned
	refusal *relay.Answer // refusal by the dispatcher there; nil if it has not refused the job
}

// earlier returns how much earlier than a job's own request the other one arrived.
func (s *shared) earlier(arrived time.Time) time.Duration {
	return max(s.at.Waited+arrived.Sub(s.learned), 0)
}

// found reports whether the placement is that of runs that a dispatcher has found, for which no request is known.
func (s *shared) found() bool { return s.at.Knowledge == 0 }

// follow submits a job to the dispatcher at which another request has placed it.
func (g *Gateway) follow(p *pending, at relay.Placement) {
	g.opts.Metrics.Followed.Add(1)
	p.leave(movedFollows)
	p.shared = &shared{at: at, learned: time.Now()}
	p.target, p.untried, p.startOnly, p.knowledge = Target{at.Zone, at.Partition}, nil, false, at.Knowledge
	g.submitShared(p)
}

// submitShared submits a job to where another request has placed it. A target that cannot be reached is tried again, see Resubmit.
func (g *Gateway) submitShared(p *pending) {
	p.lostAt = time.Now()
	g.submitTo(p, p.shared.found())
}

// sharedRefused handles the refusal of a shared job by a dispatcher that knows of no runs of it.
func (g *Gateway) sharedRefused(p *pending, a *relay.Answer) {
	if a.Refused == pool.ReasonNotLeader {
		g.opts.Router.ReportNotLeader(p.target)
	}
	p.shared.refusal = a // the home is asked again, see Resubmit
}

// resubmitShared continues a shared job that no dispatcher holds.
func (g *Gateway) resubmitShared(p *pending) {
	if p.shared.refusal == nil {
		g.submitShared(p)
		return
	}
	g.ask(p, p.target)
}

// sharedAnswered handles what the home of a shared job says of the other request after a refusal; nil if it knows of none any more.
func (g *Gateway) sharedAnswered(p *pending, at *relay.Placement) {
	refusal, before := p.shared.refusal, p.shared.at
	moved := at == nil || at.Zone != before.Zone || at.Partition != before.Partition || at.Knowledge != before.Knowledge
	switch {
	case at == nil && g.opts.Retransmit > 0:
		p.shared, p.knowledge = nil, 0
		g.beginSearch(p) // the home may have been replaced with the dispatcher that held the job
	case at == nil:
		p.shared, p.knowledge = nil, 0
		g.tryAll(p)
		g.placeOrRefuse(p)
	case moved:
		g.follow(p, *at)
	case refusal.Refused == pool.ReasonNotLeader:
		p.shared.refusal = nil
		g.submitShared(p)
	default:
		p.refusal = refusal
		g.placeOrRefuse(p)
	}
}
