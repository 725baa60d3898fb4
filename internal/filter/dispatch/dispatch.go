// Package dispatch is the last filter: it issues identities and passes admitted submissions and cancellations to the engine.
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

// AnswerObserver is called with each final answer, so that it can be copied to peers. It must not block.
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

// Handle carries out the request's action.
func (f Filter) Handle(r *filter.Request, _ filter.Handler) {
	switch r.Action {
	case filter.Issue:
		f.issue(r)
	case filter.Submit:
		f.submit(r)
	case filter.Cancel:
		f.cancel(r)
	default:
		r.Answer(api.NewAnswer(result.Internal, "the request reached the dispatch filter without an action"))
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

// done finishes the record of a job with its final answer. An answer that is not final is a refusal before the job was
// queued: it removes the record, so that the identity can be submitted again.
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

// cancel cancels the job and attaches the request to its record, so that it gets the final answer.
func (f Filter) cancel(r *filter.Request) {
	if !f.Registry.Watch(r.ID.Seq, true, r) {
		r.Answer(api.NewAnswer(result.NotSubmitted, "nothing was submitted under this identity so far"))
		return
	}
	f.Engine.Cancel(r.Identity)
}
