// Package admit refuses first submissions that must not be queued now.
package admit

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/result"
)

// Limiter bounds the rate of requests of one caller.
type Limiter interface {
	// Allow takes one request from the caller's budget. When there is none left it says when to come back.
	Allow(p filter.Principal, now time.Time) (retryAfter time.Duration, ok bool)
}

// Gate tells whether the instance takes new work.
type Gate interface {
	// Check returns result.Complete, result.Draining or result.NotReady, with the reason.
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

// Handle refuses by rate and by the instance's state. A refused submission gives its identity back. The bound of the
// queue is checked by the engine at the moment of queuing.
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
		a := api.NewAnswer(result.RateLimited, "the caller exceeds its request rate")
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
