// Package dedup ensures that the job of an identity is run only once: it forwards requests to the identity's home, which is
// the instance that issued the identity, and at the home it attaches resubmissions to the first submission.
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

// Forwarder forwards requests to other instances.
type Forwarder interface {
	// Forward forwards the request to its identity's home and answers it with the home's answer. If the home cannot be
	// reached, the request gets an answer that is correct whatever the home has done with the job.
	Forward(r *filter.Request)
}

// Filter implements filter.Filter.
type Filter struct {
	Issuer    *identity.Issuer
	Registry  *registry.Registry
	Forwarder Forwarder // if nil, identities of other instances are answered as if their homes were unreachable
	Now       func() time.Time
	// Fenced reports whether other instances may have answered in place of this one, which must then not answer any more.
	// It may be nil.
	Fenced func(now time.Time) bool
	// Resubmitted is called for each submission that is attached to an earlier one. It may be nil.
	Resubmitted func()
}

// Name returns the filter's name.
func (Filter) Name() string { return "dedup" }

// Handle forwards a request if its identity's home is another instance. It attaches a resubmission or a fetch to the
// identity's record, and passes first submissions, cancellations and requests for identities to the next filter.
func (f Filter) Handle(r *filter.Request, next filter.Handler) {
	if f.Fenced != nil && f.Fenced(f.Now()) {
		r.Answer(api.NewAnswer(result.HomeUnreachable, "the instance was paused for too long and is shutting down"))
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
		// If another instance forwarded the request, its view of this instance is out of date: this instance has been
		// restarted since.
		r.Answer(api.NewAnswer(result.HomeUnreachable, "the identity was issued by another instance, or by this one before its last restart"))
		return
	}
	f.Forwarder.Forward(r)
}

// submit opens the record of the identity. An expired identity can only be attached to an existing record.
func (f Filter) submit(r *filter.Request, next filter.Handler, expired bool) {
	// openRecord attaches the request, so that it cannot miss the final answer. limitWait answers it when its wait ends.
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

// fetchOrCancel passes a cancellation to the next filter and attaches a fetch to the record of its identity.
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

// limitWait arranges that the request is answered with result.Running when the caller's wait ends before the job does. A
// submission with no wait gets this answer as soon as its job has been queued.
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
