// Package authn authenticates callers by their bearer tokens.
package authn

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/filter/decode"
	"github.com/savorypass/savorypass/internal/result"
)

// retryAfter is the time after which refused callers should retry. An instance has a configuration within seconds after
// its start.
const retryAfter = time.Second

// Tokens looks up callers by bearer token. ok is false for an unknown token.
type Tokens interface {
	Caller(token string) (p filter.Principal, ok bool)
}

// Filter implements filter.Filter.
type Filter struct {
	Tokens Tokens
	Ready  func() bool // whether the instance has a configuration, which contains the tokens; nil means always
}

// Name returns the filter's name.
func (Filter) Name() string { return "authn" }

// Handle refuses requests without a valid token and requests on more connections than the caller may have. Forwarded
// requests pass, because the instance that received them has authenticated their caller.
func (f Filter) Handle(r *filter.Request, next filter.Handler) {
	if r.Forwarded {
		next.Handle(r)
		return
	}
	if f.Ready != nil && !f.Ready() {
		refuse(r, result.NotReady, "the instance has no configuration yet")
		return
	}
	p, ok := f.Tokens.Caller(r.Token)
	if !ok {
		r.Refuse(api.Errorf(result.Unauthenticated, "Authorization", "the bearer token is missing or unknown"))
		return
	}
	r.Principal = p
	if r.ClaimConnection != nil && !r.ClaimConnection(p) {
		refuse(r, result.TooManyConnections, "the caller has reached limits.connections_per_caller on this instance")
		return
	}
	next.Handle(r)
}

// refuse answers a request without examining it further. A request about an identity must not get an answer that says
// "not run", because its job may have been submitted before, to this or another instance.
func refuse(r *filter.Request, code result.Code, reason string) {
	if r.Path == decode.PathIdentities {
		a := api.NewAnswer(code, reason)
		a.RetryAfterMS = retryAfter.Milliseconds()
		r.Answer(a)
		return
	}
	a := api.NewAnswer(result.HomeUnreachable, reason+"; the home of the identity was not asked")
	a.RetryAfterMS = retryAfter.Milliseconds()
	r.Answer(a)
}
