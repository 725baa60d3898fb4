// Package authn finds out which caller of which team sends a request.
package authn

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/filter/decode"
	"github.com/savorypass/savorypass/internal/result"
)

// retryAfter is when a caller may ask again; an instance has a configuration within seconds after its start.
const retryAfter = time.Second

// Tokens looks up callers by bearer token.
type Tokens interface {
	Caller(token string) (p filter.Principal, ok bool)
}

// Filter implements filter.Filter.
type Filter struct {
	Tokens Tokens
	Ready  func() bool // whether the instance has a configuration, which holds the tokens; nil means always
}

// Name returns the filter's name.
func (Filter) Name() string { return "authn" }

// Handle refuses requests without a valid token. A forwarded request carries the caller that its first instance found.
func (f Filter) Handle(r *filter.Request, next filter.Handler) {
	if r.Forwarded {
		next.Handle(r)
		return
	}
	if f.Ready != nil && !f.Ready() {
		notReady(r)
		return
	}
	p, ok := f.Tokens.Caller(r.Token)
	if !ok {
		r.Refuse(api.Errorf(result.Unauthenticated, "Authorization", "the bearer token is missing or unknown"))
		return
	}
	r.Principal = p
	next.Handle(r)
}

// notReady answers while no token can be known. A request about an identity must not get a refusal that says "not run",
// since the job may have been submitted through another instance.
func notReady(r *filter.Request) {
	if r.Path == decode.PathIdentities {
		r.Refuse(api.Errorf(result.NotReady, "", "the instance has no configuration yet"))
		return
	}
	a := api.NewAnswer(result.HomeUnreachable, "the instance has no configuration yet and cannot ask the home of the identity")
	a.RetryAfterMS = retryAfter.Milliseconds()
	r.Answer(a)
}
