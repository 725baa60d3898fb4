// Package dispatch hands admitted requests to the engine.
package dispatch

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/result"
)

// AnswerObserver is told of each final answer, for the copies on peers. It must not block.
type AnswerObserver func(identity, team string, a *api.Answer)

// Filter implements filter.Filter. It is the last of the chain.
type Filter struct {
	Engine         *engine.Engine
	Issuer         *identity.Issuer
	Registry       *registry.Registry
	AnswerObserver AnswerObserver // may be nil
	Now            func() time.Time
}

// Name returns the filter's name.
func (Filter) Name() string { return "dispatch" }

// Handle issues identities, submits and cancels jobs.
func (f Filter) Handle(r *filter.Request, _ filter.Handler) {
	switch r.Action {
	case filter.Issue:
		f.issue(r)
	case filter.Submit:
		f.submit(r)
	case filter.Cancel:
		f.cancel(r)
	default:
		r.Answer(api.NewAnswer(result.Internal, "the request has no action"))
	}
}

func (f Filter) issue(r *filter.Request) {
	ids := make([]string, r.Count)
	for i := range ids {
		ids[i] = f.Issuer.Issue(r.Principal.Team)
	}
	r.AnswerIdentities(&api.Identities{
		Code: result.Accepted, Identities: ids, ExpiresInMS: f.Issuer.Validity().Milliseconds(),
	})
}

func (f Filter) submit(r *filter.Request) {
	seq, id, team := r.ID.Seq, r.Identity, r.Principal.Team
	r.Job.OnQueued = r.OnAccepted
	f.Engine.Submit(r.Job, func(a *api.Answer) { f.done(seq, id, team, a) })
}

// done closes the record of a job. A refusal before the queue gives the identity back.
func (f Filter) done(seq uint64, id, team string, a *api.Answer) {
	if !a.Final {
		f.Registry.Withdraw(seq, a)
		return
	}
	f.Registry.Finish(f.Now(), seq, a)
	if f.AnswerObserver != nil {
		f.AnswerObserver(id, team, a)
	}
}

// cancel ends the job and answers with its outcome.
func (f Filter) cancel(r *filter.Request) {
	if !f.Registry.Watch(r.ID.Seq, true, r) {
		r.Answer(api.NewAnswer(result.NotSubmitted, "nothing was submitted under this identity so far"))
		return
	}
	f.Engine.Cancel(r.Identity)
}
