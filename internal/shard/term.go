package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// clockRate is how much slower an endpoint's clock may run than ours.
	clockRate = 1.02
	// noticeTime is the time in which a dispatcher whose term has ended learns of it.
	noticeTime = 350 * time.Millisecond
	// divisionMemory is how long a change of the zone's number of partitions counts at the start of a fence. A process
	// that is younger has followed the registrations for too short a time to settle early.
	divisionMemory = minMemory
	// leaseMargin covers the delivery of the order that extended a lease last.
	leaseMargin = 60 * time.Millisecond
)

// Term is what an instance's right to dispatch for a partition rests on.
type Term struct {
	Fence      int64
	Partitions int // of the zone
	// DividedAt is when the zone's number of partitions last changed, on the clock of Options.Now; 0 if it has not changed
	// in this process's life.
	DividedAt time.Duration
}

// Begin starts a term, or goes on with a higher fence.
func (s *Shard) Begin(t Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading && s.term.Partitions != t.Partitions {
		s.end()
	}
	if s.leading {
		s.raise(t)
		return
	}
	if t.Fence <= s.outranked {
		return
	}
	s.term = t
	s.leading, s.settled, s.since = true, false, s.opts.Now()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, e := range s.opts.Directory.known(s.owns) {
		s.update(e.endpoint)
		if !e.present {
			s.unlist(e.endpoint.ID)
		}
	}
	s.opts.Log.WithFields(logrus.Fields{
		"event": "dispatching", "fence": t.Fence, "partitions": t.Partitions, "endpoints": len(s.sessions),
	}).Info("this instance dispatches for the partition")
	go s.watch(s.ctx)
}

// raise goes on with a higher fence. Another dispatcher may have had the partition meanwhile, so each endpoint is looked at
// with it before it gets new runs, and jobs that may have started elsewhere wait as at the start of a term.
func (s *Shard) raise(t Term) {
	if t.Fence <= s.term.Fence {
		return
	}
	s.term, s.settled, s.since = t, false, s.opts.Now()
	s.opts.Log.WithFields(logrus.Fields{"event": "fence_raised", "fence": t.Fence, "partitions": t.Partitions, "endpoints": len(s.sessions)}).
		Info("this instance dispatches with a higher fence")
	for id, x := range s.sessions {
		s.pool.SetUsable(id, x.usable())
		go x.check()
	}
}

// owns reports whether an endpoint belongs to this shard.
func (s *Shard) owns(e work.Endpoint) bool {
	return e.Zone == s.opts.Zone && PartitionOf(string(e.ID), s.term.Partitions) == s.opts.Partition
}

// End ends the term. Jobs in progress are answered as not led here, so that their instances submit them again.
func (s *Shard) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading {
		s.end()
	}
}

func (s *Shard) end() {
	s.opts.Log.WithFields(logrus.Fields{
		"event": "dispatching_ended", "fence": s.term.Fence, "partitions": s.term.Partitions, "jobs": len(s.clients),
	}).Info("this instance does not dispatch for the partition any more")
	s.leading = false
	s.cancel()
	for id, client := range s.clients {
		client.Answer(&relay.Answer{Job: id, Refused: pool.ReasonNotLeader, Started: s.pool.HasStarted(id)})
	}
	for _, x := range s.sessions {
		x.orders.Close()
	}
	s.reset()
}

// endIfOutranked ends the term when most endpoints have seen a higher fence: another instance has the partition, also if
// the store does not tell this one. The jobs move to the other one instead of waiting here.
func (s *Shard) endIfOutranked() {
	n := 0
	for _, x := range s.sessions {
		if x.outrankedAt == s.term.Fence {
			n++
		}
	}
	if 2*n <= len(s.sessions) {
		return
	}
	s.outranked = s.term.Fence
	s.opts.Log.WithFields(logrus.Fields{
		"event": "outranked", "fence": s.term.Fence, "endpoints": len(s.sessions), "refusing": n,
	}).Warn("most endpoints have seen a higher fence")
	s.end()
}

// Leading reports whether this instance has the term.
func (s *Shard) Leading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading
}

// mayRun returns the time until which a resumed job waits for endpoints that have not reported.
func (s *Shard) mayRun(resumed bool) time.Duration {
	if !resumed {
		return 0
	}
	if s.settled {
		return 1 // resumed, but nothing is left to wait for
	}
	return s.since + s.takeover()
}

// takeover is the time after the start of a fence at which runs of an earlier dispatcher have reported or lapsed, on
// endpoints that are not registered or not reached as well. After a change of the zone's number of partitions they may be on
// endpoints of another partition, whose dispatcher keeps them for as long as their job may still come to it.
func (s *Shard) takeover() time.Duration {
	t := s.lapse() + noticeTime
	if s.divided() {
		t += orphanGrace + stopRepeat + stopTime
	}
	return t
}

// divided reports whether the zone's number of partitions changed shortly before the present fence.
func (s *Shard) divided() bool {
	return s.term.DividedAt > 0 && s.since-s.term.DividedAt < divisionMemory
}

// lapse is the time after which a lease that was extended now has surely ended.
func (s *Shard) lapse() time.Duration {
	return time.Duration(float64(s.opts.Lease)*clockRate) + leaseMargin
}

// settle notes when all that ran before the present fence has reported or lapsed. An endpoint that has seen the fence
// takes no more orders of an earlier one. Registrations can be missing while their endpoints run, so those of the last
// half minute count.
func (s *Shard) settle(now time.Duration) {
	if s.settled {
		return
	}
	if now < s.since+s.takeover() && !s.allReported(now) {
		return
	}
	s.settled = true
	s.pool.ReleaseResumed()
	s.opts.Log.WithFields(logrus.Fields{
		"event": "settled", "endpoints": len(s.sessions), "fence": s.term.Fence, "after_ms": (now - s.since).Milliseconds(),
	}).Info("what ran before this fence is known")
}

// allReported reports whether every endpoint that an earlier dispatcher may have used for this partition has reported.
func (s *Shard) allReported(now time.Duration) bool {
	if s.divided() || len(s.sessions) == 0 || !s.opts.Directory.complete(s.since, now) {
		return false
	}
	for _, e := range s.opts.Directory.known(s.owns) {
		if x := s.sessions[e.endpoint.ID]; x != nil && x.reportedTo != s.term.Fence {
			return false
		}
	}
	return true
}
