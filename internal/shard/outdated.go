package shard

import (
	"time"

	"github.com/sirupsen/logrus"
)

// An endpoint that is about to leave says so in its registration, and must get no new runs a deployment's drain time later. A
// dispatcher therefore starts runs only on registrations that are younger than that, however it has come to dispatch: a term that has
// just begun, a new fence, another number of partitions, a process that was stopped. While the store cannot be read, it goes on with
// the registrations that it has: no endpoint can announce then that it leaves, and callers need answers.

const (
	// maxStartTime is how long a start may take from the last look at the registrations to the endpoint: the time that the request
	// waits for its answer, and that of a process that is held up for a moment.
	maxStartTime = 500 * time.Millisecond
	// minAgeShare is the part of the drain time that registrations may be old in any case.
	minAgeShare = 0.5
	// defaultRegistrationAge applies to a deployment whose drain time is not known.
	defaultRegistrationAge = 1500 * time.Millisecond
	// readsPerAge is the number of reads of the registrations in the time of their greatest age. If one read gets no answer, the
	// next one comes in time.
	readsPerAge = 3
)

// RegistrationAgeWithin returns the greatest age of the registrations with which no run starts on an endpoint later than the drain
// time after it has announced that it leaves. A drain time of 0 is not known.
func RegistrationAgeWithin(drain time.Duration) time.Duration {
	if drain <= 0 {
		return defaultRegistrationAge
	}
	return max(drain-maxStartTime, time.Duration(minAgeShare*float64(drain)))
}

// ReadInterval returns the longest time from the beginning of one read of the registrations to that of the next with which they do
// not become older than an age.
func ReadInterval(age time.Duration) time.Duration { return age / readsPerAge }

// knowledge tells how old the registrations are that a dispatcher has applied.
type knowledge struct {
	complete bool          // all registrations have been read
	asOf     time.Duration // whatever the store held at this time has been applied
}

// read records that a read which began at a time has been applied.
func (k *knowledge) read(asOf time.Duration) {
	k.complete, k.asOf = true, max(k.asOf, asOf)
}

// registrationsUsable reports whether runs may start on the registrations that have been applied. s.mu is held.
func (s *Shard) registrationsUsable() bool {
	if s.opts.RegistrationAge <= 0 {
		return true
	}
	known := s.registrations
	if known.complete && s.opts.Now()-known.asOf <= s.opts.RegistrationAge {
		return true
	}
	return s.opts.Directory.Unreadable()
}

// checkRegistrations reports whether runs may start on the registrations that have been applied, and requests a read of them if not.
// s.mu is held.
func (s *Shard) checkRegistrations() bool {
	usable := s.registrationsUsable()
	if !usable {
		s.opts.OnOutdated()
	}
	if usable == s.startsWait {
		s.startsWait = !usable
		s.logStartsWait()
	}
	return usable
}

// logStartsWait logs that starts begin or cease to wait for a read of the registrations.
func (s *Shard) logStartsWait() {
	s.opts.Log.WithFields(logrus.Fields{
		"event": "registrations_outdated", "starts_wait": s.startsWait, "age_ms": (s.opts.Now() - s.registrations.asOf).Milliseconds(),
		"unreadable": s.opts.Directory.Unreadable(), "fence": s.term.Fence,
	}).Info("starts wait for a read of the endpoints' registrations, or go on")
}
