// Package filter defines the chain that each caller's request passes: authenticate, decode, deduplicate, validate,
// admit, dispatch. Each filter answers the request or hands it to the next one.
package filter

import (
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/registry"
)

// Action is what a request asks for.
type Action uint8

// The actions of the callers' interface.
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

// Request is a request on its way through the chain. A filter may fill the fields that the next ones read.
type Request struct {
	Arrived   time.Time
	Method    string
	Path      string
	Token     string
	Body      []byte // valid until the answer
	Forwarded bool   // from another entry instance, which has authenticated the caller

	Principal Principal
	Action    Action
	Wait      time.Duration // how long the caller waits for the answer; 0 answers at once
	Count     int           // identities to issue
	Identity  string
	ID        identity.ID
	Digest    registry.Digest
	Submit    *api.Submit
	Job       *engine.Job

	// OnAccepted answers a submission that does not wait, once the engine has queued it. It may be nil.
	OnAccepted func()
	// ClaimConnection counts the connection for the caller and returns false if it has its maximum of them. It is nil for a
	// forwarded request.
	ClaimConnection func(p Principal) bool
	// AnsweredRemotely says that the answer is that of the identity's home.
	AnsweredRemotely bool

	answered atomic.Bool
	timer    atomic.Pointer[time.Timer]
	reply    func(*api.Answer)
	issued   func(*api.Identities)
}

// NewRequest returns a request whose answer goes to reply, or to issued if it asks for identities.
func NewRequest(reply func(*api.Answer), issued func(*api.Identities)) *Request {
	return &Request{reply: reply, issued: issued}
}

// Answer answers the request. Only the first call counts: a waiting request may meet its time-out and its job's end at
// the same moment.
func (r *Request) Answer(a *api.Answer) {
	if r.answered.CompareAndSwap(false, true) {
		r.stopTimer()
		r.reply(a)
	}
}

// Answered implements registry.Waiter.
func (r *Request) Answered() bool { return r.answered.Load() }

// StopOnAnswer stops a timer once the request is answered.
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

// Refuse answers with an error.
func (r *Request) Refuse(err *api.Error) { r.Answer(err.Answer()) }

// AnswerIdentities answers a request for identities.
func (r *Request) AnswerIdentities(a *api.Identities) {
	if r.answered.CompareAndSwap(false, true) {
		r.issued(a)
	}
}

// Handler takes a request; it answers it now or later.
type Handler interface {
	Handle(r *Request)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(r *Request)

// Handle calls f.
func (f HandlerFunc) Handle(r *Request) { f(r) }

// Filter is one step of the chain.
type Filter interface {
	Name() string
	Handle(r *Request, next Handler)
}

// Chain returns a handler that passes a request through the filters in order.
func Chain(filters ...Filter) Handler {
	var next Handler = HandlerFunc(func(*Request) { panic("filter: the last filter must answer") })
	for i := len(filters) - 1; i >= 0; i-- {
		next = link{filters[i], next}
	}
	return next
}

type link struct {
	filter Filter
	next   Handler
}

func (l link) Handle(r *Request) { l.filter.Handle(r, l.next) }
