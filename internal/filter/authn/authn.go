// Package authn finds out which caller of which team sends a request.
package authn

import (
	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/result"
)

// Tokens looks up callers by bearer token.
type Tokens interface {
	Caller(token string) (p filter.Principal, ok bool)
}

// Filter implements filter.Filter.
type Filter struct {
	Tokens Tokens
}

// Name returns the filter's name.
func (Filter) Name() string { return "authn" }

// Handle refuses requests without a valid token. A forwarded request carries the caller that its first instance found.
func (f Filter) Handle(r *filter.Request, next filter.Handler) {
	if r.Forwarded {
		next.Handle(r)
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
