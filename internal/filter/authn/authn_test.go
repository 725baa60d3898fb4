package authn

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/result"
)

type anyToken struct{}

func (anyToken) Caller(string) (filter.Principal, bool) { return filter.Principal{Team: "t"}, true }

type noTokens struct{}

func (noTokens) Caller(string) (filter.Principal, bool) { return filter.Principal{}, false }

// Guards against an instance without a configuration that answers "not run" for a job of which it has no record.
func TestNotReadyAnswerDoesNotSayNotRun(t *testing.T) {
	is := is.New(t)
	ready := false
	ask := func(path string) (got *api.Answer) {
		r := filter.NewRequest(func(a *api.Answer) { got = a }, nil)
		r.Path = path
		Filter{Tokens: noTokens{}, Ready: func() bool { return ready }}.Handle(r, nil)
		return got
	}
	is.Equal(ask("/v1/jobs/some-identity").Execution, result.MayHaveRun)
	is.Equal(ask("/v1/jobs").Final, false)
	is.Equal(ask("/v1/identities").Code, result.NotReady)
	ready = true
	is.Equal(ask("/v1/jobs").Code, result.Unauthenticated)
}

// Guards against a request on a connection over the limit that is answered "not run", although its job may have been
// submitted over another connection.
func TestTooManyConnectionsAreRefused(t *testing.T) {
	is := is.New(t)
	ask := func(path string) (got *api.Answer) {
		r := filter.NewRequest(func(a *api.Answer) { got = a }, nil)
		r.Path, r.ClaimConnection = path, func(filter.Principal) bool { return false }
		Filter{Tokens: anyToken{}}.Handle(r, nil)
		return got
	}
	is.Equal(ask("/v1/identities").Code, result.TooManyConnections)
	is.Equal(ask("/v1/jobs").Execution, result.MayHaveRun)
	is.Equal(ask("/v1/jobs").Final, false)
}
