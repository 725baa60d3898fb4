// Package dedup makes sure that one identity is carried out once: it sends a request to the identity's home, and at
// the home it attaches a resubmission to the first submission.
package dedup

import (
	"errors"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/result"
)

// Forwarder reaches the homes of other identities.
type Forwarder interface {
	// Forward sends the request to its home and answers it with what the home says, or with the answer that is true
	// when the home cannot be asked.
	Forward(r *filter.Request)
}

// Filter implements filter.Filter.
type Filter struct {
	Issuer    *identity.Issuer
	Registry  *registry.Registry
	Forwarder Forwarder // nil answers for foreign identities as if their homes were unreachable
	Now       func() time.Time
	// Fenced is true when others may have answered for this instance; it must not answer then. It may be nil.
	Fenced func(now time.Time) bool
	// Resubmitted counts the submissions of known jobs. It may be nil.
	Resubmitted func()
}

// Name returns the filter's name.
func (Filter) Name() string { return "dedup" }

// Handle forwards, attaches, or hands a first submission on.
func (f Filter) Handle(r *filter.Request, next filter.Handler) {
	if f.Fenced != nil && f.Fenced(f.Now()) {
		r.Answer(api.NewAnswer(result.HomeUnreachable, "the instance was paused for too long and ends"))
		return
	}
	if r.Action == filter.Issue {
		next.Handle(r)
		return
	}
	id, err := identity.Parse(r.Identity)
	if err != nil {
		r.Refuse(api.Errorf(result.IdentityMalformed, "identity", "the identity is malformed"))
		return
	}
	r.ID = id
	if id.Home != f.Issuer.Home() {
		f.forward(r)
		return
	}
	verifyErr := f.Issuer.Verify(id, r.Principal.Team)
	if errors.Is(verifyErr, identity.ErrForged) {
		r.Refuse(api.Errorf(result.IdentityMalformed, "identity", "the identity was not issued to this team"))
		return
	}
	if r.Action == filter.Submit {
		f.submit(r, next, verifyErr != nil)
		return
	}
	f.fetchOrCancel(r, next, verifyErr != nil)
}

func (f Filter) forward(r *filter.Request) {
	if r.Forwarded || f.Forwarder == nil {
		// The sender's view of this instance is out of date: it has been restarted since.
		r.Answer(api.NewAnswer(result.HomeUnreachable, "the instance that issued the identity is not this one"))
		return
	}
	f.Forwarder.Forward(r)
}

// submit claims the identity. An expired identity may only attach to a record that is still there.
func (f Filter) submit(r *filter.Request, next filter.Handler, expired bool) {
	// The reply is attached by the claim, so that the answer cannot be missed; the time-out answers a waiting caller.
	switch f.openRecord(r, expired) {
	case registry.Missing:
		f.refuseExpired(r)
	case registry.Reused:
		r.Refuse(api.Errorf(result.IdentityReused, "identity", "another body was submitted under this identity"))
	case registry.Attached:
		f.resubmitted()
		limitWait(r)
		if r.Wait == 0 {
			r.OnAccepted()
		}
	case registry.First:
		limitWait(r)
		next.Handle(r)
	}
}

func (f Filter) openRecord(r *filter.Request, expired bool) registry.OpenResult {
	if expired {
		return f.Registry.Join(r.ID.Seq, r.Digest, r)
	}
	return f.Registry.Open(f.Now(), r.ID.Seq, r.Digest, r)
}

func (f Filter) refuseExpired(r *filter.Request) {
	r.Refuse(api.Errorf(result.IdentityExpired, "identity", "the identity is older than %s", f.Issuer.Validity()))
}

func (f Filter) resubmitted() {
	if f.Resubmitted != nil {
		f.Resubmitted()
	}
}

func (f Filter) fetchOrCancel(r *filter.Request, next filter.Handler, expired bool) {
	if r.Action == filter.Cancel {
		limitWait(r)
		next.Handle(r)
		return
	}
	if f.Registry.Watch(r.ID.Seq, r.Wait > 0, r) {
		limitWait(r)
		return
	}
	if expired {
		f.refuseExpired(r)
		return
	}
	r.Answer(api.NewAnswer(result.NotSubmitted, "nothing was submitted under this identity so far"))
}

// limitWait answers with the state of the job when the caller's wait is over.
func limitWait(r *filter.Request) {
	running := func() {
		a := api.NewAnswer(result.Running, "")
		a.Identity = r.Identity
		r.Answer(a)
	}
	if r.Wait > 0 {
		r.StopOnAnswer(time.AfterFunc(r.Wait, running))
	} else if r.Action == filter.Submit {
		r.OnAccepted = running
	}
}
