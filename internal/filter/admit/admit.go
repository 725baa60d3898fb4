// Package admit refuses first submissions and requests for identities while the instance takes no new work or the caller
// exceeds its rate limit.
package admit

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/result"
)

// Limiter limits the request rate of each caller.
type Limiter interface {
	// Allow counts one request of a caller. If the caller exceeds its rate, ok is false and retryAfter is the time until
	// the next request is allowed.
	Allow(p filter.Principal, now time.Time) (retryAfter time.Duration, ok bool)
}

// Gate decides whether the instance takes new work.
type Gate interface {
	// Check returns result.Complete if the instance takes new work, otherwise result.Draining or result.NotReady with the
	// reason.
	Check() (result.Code, string)
}

// Filter implements filter.Filter.
type Filter struct {
	Limiter  Limiter
	Gate     Gate
	Registry *registry.Registry
	Now      func() time.Time
}

// Name returns the filter's name.
func (Filter) Name() string { return "admit" }

// Handle refuses requests that the gate or the rate limit does not admit. It removes the record of a refused submission, so
// that its identity can be submitted again. The limit of the queue is checked by the engine when it queues the job.
func (f Filter) Handle(r *filter.Request, next filter.Handler) {
	if r.Action != filter.Issue && r.Action != filter.Submit {
		next.Handle(r)
		return
	}
	if code, reason := f.Gate.Check(); code != result.Complete {
		f.refuse(r, api.NewAnswer(code, reason))
		return
	}
	if after, ok := f.Limiter.Allow(r.Principal, f.Now()); !ok {
		a := api.NewAnswer(result.RateLimited, "the caller exceeds its request rate limit")
		a.RetryAfterMS = max(1, after.Milliseconds())
		f.refuse(r, a)
		return
	}
	next.Handle(r)
}

func (f Filter) refuse(r *filter.Request, a *api.Answer) {
	if r.Action == filter.Submit {
		a.Identity = r.Identity
		f.Registry.Withdraw(r.ID.Seq, a)
		return
	}
	r.Answer(a)
}
