package gateway

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

const (
	reasonEvacuated = string(pool.ReasonEvacuated)
	// retryEvacuated is the time after which a caller should retry when all zones are evacuated.
	retryEvacuated = 2 * time.Second
)

// moved is what is known of a job that the dispatcher of an evacuated zone has given back.
type moved struct {
	at         time.Time     // when it was given back last
	zones      []string      // that have given it back; this instance may not know yet that they are evacuated
	refusal    *relay.Answer // the last one
	inProgress bool          // tasks of the job have run
	attempts   []attempt.Attempt
}

// isEvacuation reports whether a dispatcher gives a job back because its zone is evacuated.
func isEvacuation(a *relay.Answer) bool { return a.Refused == pool.ReasonEvacuated || a.HandedOver }

// leaveZone places a job that the dispatcher of an evacuated zone has given back in another zone. No run of it goes on there. The caller
// holds g.mu.
func (g *Gateway) leaveZone(p *pending, a *relay.Answer) {
	if p.moved == nil {
		p.moved = &moved{}
	}
	m := p.moved
	m.at, m.refusal = time.Now(), a
	m.zones = append(m.zones, p.target.Zone)
	if a.HandedOver {
		m.inProgress, m.attempts, p.succeeded = true, a.Attempts, a.Succeeded // of all dispatchers so far
	}
	p.orphaned, p.shared, p.knowledge, p.earlier = false, nil, 0, divisions{}
	p.leave(reasonEvacuated)
	g.tryAll(p)
	g.placeOrRefuse(p)
}

// targets returns the dispatchers to try for a job; none if all zones are evacuated.
func (g *Gateway) targets(p *pending) []Target {
	all := g.opts.Router.Targets(p.job)
	if p.moved == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(t Target) bool { return slices.Contains(p.moved.zones, t.Zone) })
}

// placesSince returns since when a job has been looking for a dispatcher.
func (p *pending) placesSince() time.Time {
	if p.moved != nil {
		return p.moved.at
	}
	return p.placedFrom
}

// inProgress reports whether tasks of a job that no dispatcher holds have run.
func (p *pending) inProgress() bool { return p.moved != nil && p.moved.inProgress }

// attempts returns the known unsuccessful runs of a job's tasks. Those that came with the job may not have reached this instance otherwise yet;
// its next dispatcher counts one that is listed twice once.
func (g *Gateway) attempts(p *pending) []attempt.Attempt {
	known := g.opts.Attempts(p.job.ID)
	if p.moved == nil {
		return known
	}
	return append(slices.Clone(known), p.moved.attempts...)
}

// refuseUnplaced responds to a job that no dispatcher takes. The caller holds g.mu.
func (g *Gateway) refuseUnplaced(p *pending) {
	if p.inProgress() {
		g.giveUp(p, reasonEvacuated, "the job's zone was evacuated and no other zone continues it; it has run in part")
		return
	}
	g.discard(p)
	refusal := p.refusal
	if refusal == nil && p.moved != nil {
		refusal = p.moved.refusal
	}
	switch {
	case refusal != nil:
		g.refuseJob(p, 429, string(refusal.Refused), refusal.RetryAfter)
	case len(g.targets(p)) == 0:
		g.refuseJob(p, 503, reasonEvacuated, retryEvacuated)
	default:
		g.refuseJob(p, 503, reasonNoDispatcher, retryNoDispatcher)
	}
}
