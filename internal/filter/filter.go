// Package filter defines the chain of filters that handles each caller's request: authenticate, decode, deduplicate,
// validate, admit, dispatch. Each filter either answers the request or passes it to the next filter.
//
// A caller submits each job under an identity. The instance that issued the identity is its home; it keeps a record of the
// submission in its registry and runs the job.
package filter

import (
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/registry"
)

// Action is the requested operation.
type Action uint8

// The actions that callers can request.
const (
	Unrouted Action = iota
	Issue           // POST /v1/identities
	Submit          // POST /v1/jobs
	Fetch           // GET /v1/jobs/ID
	Cancel          // DELETE /v1/jobs/ID
)

// Principal is an authenticated caller.
type Principal struct {
	Team string
	Name string
}

// Request is a request that passes through the chain. Filters set fields that later filters read.
type Request struct {
	Arrived   time.Time
	Method    string
	Path      string
	Token     string
	Body      []byte // valid until the request is answered
	Forwarded bool   // received from another entry instance, which has authenticated the caller

	Principal Principal
	Action    Action
	Wait      time.Duration // how long the caller waits for the final answer; with 0 the caller gets the state at once
	Count     int           // number of identities to issue
	Identity  string
	ID        identity.ID
	Digest    registry.Digest
	Submit    *api.Submit
	Job       *engine.Job

	// OnAccepted answers a submission whose caller does not wait. It is called when the engine has queued the job. It is
	// nil if the caller waits.
	OnAccepted func()
	// ClaimConnection counts the request's connection as one of the caller's. It returns false if the caller has reached
	// its maximum number of connections. It is nil for a forwarded request.
	ClaimConnection func(p Principal) bool
	// AnsweredRemotely is set if the answer comes from the identity's home, another instance.
	AnsweredRemotely bool

	answered atomic.Bool
	timer    atomic.Pointer[time.Timer]
	reply    func(*api.Answer)     // receives the answer
	issued   func(*api.Identities) // receives the answer to a request for identities
}

// NewRequest returns a request. Its answer is passed to reply, or to issued if it requests identities.
func NewRequest(reply func(*api.Answer), issued func(*api.Identities)) *Request {
	return &Request{reply: reply, issued: issued}
}

// Answer answers the request. Calls after the first do nothing, because the timeout of a waiting request and the end of
// its job may coincide.
func (r *Request) Answer(a *api.Answer) {
	if r.answered.CompareAndSwap(false, true) {
		r.stopTimer()
		r.reply(a)
	}
}

// Answered implements registry.Waiter.
func (r *Request) Answered() bool { return r.answered.Load() }

// StopOnAnswer makes the answer to the request stop a timer, and stops it at once if the request is answered already. A
// request has at most one such timer.
func (r *Request) StopOnAnswer(t *time.Timer) {
	r.timer.Store(t)
	if r.answered.Load() {
		t.Stop()
	}
}

func (r *Request) stopTimer() {
	if t := r.timer.Load(); t != nil {
		t.Stop()
	}
}

// Refuse answers the request with an error.
func (r *Request) Refuse(err *api.Error) { r.Answer(err.Answer()) }

// AnswerIdentities answers a request for identities. Like Answer, it has an effect only on the first call.
func (r *Request) AnswerIdentities(a *api.Identities) {
	if r.answered.CompareAndSwap(false, true) {
		r.issued(a)
	}
}

// Handler handles requests. Handle may return before the request is answered.
type Handler interface {
	Handle(r *Request)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(r *Request)

// Handle calls f.
func (f HandlerFunc) Handle(r *Request) { f(r) }

// Filter is one step of the chain.
type Filter interface {
	Name() string
	// Handle answers the request, now or later, or passes it to next.
	Handle(r *Request, next Handler)
}

// Chain returns a handler that passes requests through the filters in the given order. The last filter must not call its
// next handler.
func Chain(filters ...Filter) Handler {
	var next Handler = HandlerFunc(func(*Request) { panic("filter: the last filter did not answer the request") })
	for i := len(filters) - 1; i >= 0; i-- {
		next = link{filters[i], next}
	}
	return next
}

// link is a filter with the handler that follows it in the chain.
type link struct {
	filter Filter
	next   Handler
}

func (l link) Handle(r *Request) { l.filter.Handle(r, l.next) }
