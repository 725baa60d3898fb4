package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// No caller's leaving ends a stored job, so an earlier dispatcher that is cut off from the store, and from endpoints that would refuse it,
// could extend the leases of stored runs for as long as they take. Both sides therefore keep to a bound.
//
// A dispatcher starts tasks of stored jobs and extends leases for them only as long as no endpoint has refused its fence, and
//
//   - the store has confirmed its term within confirmationTime, or
//   - the store has confirmed it within maxUnconfirmedTime, and more than half of the endpoints that it knows have accepted its fence within
//     confirmationTime. So stored jobs go on through a short outage of the store.
//
// Otherwise it stops the runs of its stored jobs. It goes on when the store confirms its term again.
//
// A successor starts tasks of stored jobs that an earlier dispatcher may have started when the leases have expired that this one may have
// extended. It may have done so until maxUnconfirmedTime after the successor's term was given, or, if fewer endpoints than the earlier
// dispatcher needs for more than half can still accept its fence, until confirmationTime after that was so.

const (
	// confirmationTime is how long the answer of the store, or of an endpoint, proves that the term may go on. The store is asked each
	// 250 ms, and polls of endpoints without runs wait for 450 ms.
	confirmationTime = 1250 * time.Millisecond
	// maxUnconfirmedTime is how long stored jobs go on without the store. It also is the longest time for which a successor that has not
	// followed the registrations waits in addition to a lease. It is shorter than minFollowTime and divisionMemory, see outnumbers.
	maxUnconfirmedTime = 6 * time.Second
)

// Confirmation tells what the store has confirmed of a term, on the clock of Options.Now.
type Confirmation struct {
	Held    time.Duration // the store knew this instance as the holder of the partition at this time or later
	Divided time.Duration // the zone's number of partitions was that of the term at this time or later
}

// confirmation returns what the store has confirmed of the term. The shard's lock is held.
func (s *Shard) confirmation(now time.Duration) Confirmation {
	if s.opts.TermConfirmed == nil {
		return Confirmation{Held: now, Divided: now}
	}
	if c, ok := s.opts.TermConfirmed(s.term.Fence); ok {
		s.confirmed = c
	}
	return s.confirmed
}

// mayRunStored reports whether tasks of stored jobs may start, and leases be extended for them: no other dispatcher starts these tasks before
// the leases have expired. The shard's lock is held.
func (s *Shard) mayRunStored(now time.Duration) bool {
	c := s.confirmation(now)
	switch {
	case s.refused() > 0 || now-c.Divided >= maxUnconfirmedTime:
		return false
	case now-c.Held < confirmationTime:
		return true
	case now-min(c.Held, s.registrations.asOf) >= maxUnconfirmedTime:
		return false
	}
	return s.acceptedByMost(c.Held, now)
}

// refused returns the number of endpoints that have refused the present fence because they had seen a higher one.
func (s *Shard) refused() int {
	n := 0
	for _, x := range s.sessions {
		if x.refusedFence == s.term.Fence {
			n++
		}
	}
	return n
}

// acceptedByMost reports whether more than half of the endpoints have accepted the present fence within confirmationTime. An endpoint
// counts only if its process had reported when the store last confirmed the term: a successor knows of it then, and a later process would
// not know of the successor's fence.
func (s *Shard) acceptedByMost(confirmed, now time.Duration) bool {
	known := s.opts.Directory.matching(s.owns)
	accepting := 0
	for _, e := range known {
		x := s.sessions[e.endpoint.ID]
		if e.present && x != nil && x.reportedTo == s.term.Fence && x.fencedAt <= confirmed && now-x.acceptedAt < confirmationTime {
			accepting++
		}
	}
	return 2*accepting > len(known)
}

// checkStored stops the runs of stored jobs and holds their tasks if they must not go on, or lets them go on. The shard's lock is held.
func (s *Shard) checkStored(now time.Duration) {
	paused := len(s.stored) > 0 && !s.mayRunStored(now)
	if paused == s.storedPaused {
		return
	}
	s.storedPaused = paused
	s.opts.Log.WithFields(logrus.Fields{
		"event": "stored_paused", "paused": paused, "jobs": len(s.stored), "fence": s.term.Fence, "refusing": s.refused(),
		"unconfirmed_ms": (now - s.confirmed.Held).Milliseconds(),
	}).Warn("stored jobs pause because it is not certain that this dispatcher still holds their zone, or go on")
	s.stopAll(s.pool.PauseStored(paused), stopUnconfirmed)
}

// storedNotBefore returns the time until which tasks of a stored job wait that an earlier dispatcher may have started. It is above 0.
func (s *Shard) storedNotBefore() time.Duration {
	t := s.heldSince + inOwnTime(maxUnconfirmedTime)
	if s.outnumberedAt > 0 {
		t = min(t, max(s.heldSince, s.outnumberedAt)+inOwnTime(confirmationTime))
	}
	return t + s.leaseExpiryTime()
}

// inOwnTime returns how long a time on the clock of another instance may take on that of this one.
func inOwnTime(d time.Duration) time.Duration { return time.Duration(float64(d) * maxClockRatio) }

// noteOutnumbered lets tasks of stored jobs start sooner once too few endpoints are left that can accept the fence of an earlier dispatcher.
func (s *Shard) noteOutnumbered(now time.Duration) {
	if s.outnumberedAt > 0 {
		return
	}
	at, ok := s.outnumbers(now)
	if !ok {
		return
	}
	s.outnumberedAt = at
	for id := range s.stored {
		s.pool.StartStoredFrom(id, s.storedNotBefore())
	}
}

// outnumbers returns since when endpoints that have not reported to the present fence cannot be more than half of those that an earlier
// dispatcher knows. ok is false if they can.
//
// An earlier dispatcher that goes on without the store has read the registrations within maxUnconfirmedTime. It knows all endpoints that
// have been registered for longer, and those that accept its fence were registered before the present term was given: if the registrations
// have been followed since before its read, and read again in this term, this dispatcher knows them all. Let r be the number of endpoints
// that have been registered for longer and have reported to the present fence, and u that of all that have not reported. No more than u
// endpoints accept the earlier fence, and r others that it knows do not, so they are not more than half if r >= u.
func (s *Shard) outnumbers(now time.Duration) (at time.Duration, ok bool) {
	v := s.opts.Directory.view(s.owns, now)
	if !v.complete || v.asOf <= s.heldSince || len(v.registrations) == 0 || s.dividedBefore(s.heldSince) {
		return 0, false
	}
	reported, unreported := 0, 0
	for _, e := range v.registrations {
		if !s.hasReported(e.endpoint) {
			unreported++
			continue
		}
		at = max(at, s.reports[e.endpoint.ID].at)
		if e.present && now-e.since > maxUnconfirmedTime {
			reported++
		}
	}
	return at, reported >= unreported
}
