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
	// maxClockRatio is the factor by which an endpoint's clock may run slower than this instance's.
	maxClockRatio = 1.02
	// noticeTime is how long a dispatcher usually takes to detect that its term has ended. Only settle rests on it.
	noticeTime = 350 * time.Millisecond
	// divisionMemory is how long before the loss of a job's dispatcher a change of the zone's number of partitions is still taken
	// into account. A process that started less than this before has not followed the registrations long enough to
	// know all runs in any case.
	divisionMemory = minFollowTime
	// leaseMargin covers the delivery time of the last request that extended a lease.
	leaseMargin = 60 * time.Millisecond
	// abandonTime is how long a dispatcher may extend leases for a job after nobody waits for it any more. The longest is that of an
	// instance that is lost without a notice: one heartbeat, which it sends every 100 ms, and its delay.
	abandonTime = 200 * time.Millisecond
	// minLease is the shortest lease that polls can extend in time.
	minLease = 200 * time.Millisecond
)

// Term is an instance's right to dispatch for one partition, see the package comment. A lead.Term, in contrast,
// lists all partitions of a zone that an instance holds under one generation.
type Term struct {
	Fence      int64
	Partitions int // number of partitions of the zone
	// DividedAt is when the zone's number of partitions last changed, on the clock of Options.Now; 0 if it has not changed
	// since this process started.
	DividedAt time.Duration
	// Uninterrupted means that no other instance can have held the partition between the term before and this one.
	Uninterrupted bool
}

// Begin starts a term, or continues the current one with a higher fence. If the number of partitions has changed, it ends
// the current term and starts another.
func (s *Shard) Begin(t Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading && s.term.Partitions != t.Partitions {
		s.end()
	}
	if s.leading {
		s.raiseFence(t)
		return
	}
	if t.Fence <= s.outrankedFence {
		return
	}
	s.pollsFrom = 0
	if t.Fence <= s.endedFence {
		// Endpoints carry out late requests of the earlier term also after a report to this fence. Reports are complete once they are too late.
		s.pollsFrom = s.endedAt + s.leaseExpiryTime()
	}
	s.term = t
	s.divided.Store(int64(t.Partitions))
	s.leading, s.settled, s.fenceStart = true, false, s.opts.Now()
	s.began = s.fenceStart
	s.heldSince, s.outnumberedAt, s.confirmed = s.fenceStart, 0, Confirmation{}
	s.checked.Store(int64(s.fenceStart))
	s.startsWait = false
	s.registrations = s.opts.Directory.knowledge() // before the registrations themselves, which may be newer
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, e := range s.opts.Directory.matching(s.owns) {
		s.updateEndpoint(e.endpoint)
		if !e.present {
			s.unregister(e.endpoint.ID)
		}
	}
	s.opts.Log.WithFields(logrus.Fields{
		"event": "dispatching", "fence": t.Fence, "partitions": t.Partitions, "endpoints": len(s.sessions),
	}).Info("dispatching for the partition started")
	s.leads.Store(true)
	go s.runChecks(s.ctx)
}

// raiseFence continues the term with a higher fence. Another dispatcher may have held the partition in between, so an
// endpoint gets new runs only after a report to the new fence, and resumed jobs wait as at the start of a term.
func (s *Shard) raiseFence(t Term) {
	if t.Fence <= s.term.Fence {
		return
	}
	s.term, s.settled, s.fenceStart, s.pollsFrom = t, false, s.opts.Now(), 0
	if !t.Uninterrupted {
		s.heldSince, s.outnumberedAt = s.fenceStart, 0
	}
	s.holdStored()
	s.opts.Log.WithFields(logrus.Fields{"event": "fence_raised", "fence": t.Fence, "partitions": t.Partitions, "endpoints": len(s.sessions)}).
		Info("dispatching for the partition continues with a higher fence")
	for _, x := range s.sessions {
		x.updateUsable()
		go x.requestReport()
	}
}

// owns reports whether an endpoint belongs to this shard.
func (s *Shard) owns(e work.Endpoint) bool {
	return e.Zone == s.opts.Zone && PartitionOf(string(e.ID), s.term.Partitions) == s.opts.Partition
}

// End ends the term. Unfinished jobs are answered with pool.ReasonNotLeader, so that their instances submit them again.
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
	}).Info("dispatching for the partition ended")
	s.leading = false
	s.endedFence, s.endedAt = max(s.endedFence, s.term.Fence), s.opts.Now()
	s.cancel()
	for id, clients := range s.clients {
		clients.answer(&relay.Answer{
			Job: id, Refused: pool.ReasonNotLeader, Started: s.pool.HasStarted(id), Succeeded: s.pool.SucceededTasks(id), Partitions: s.term.Partitions,
		})
	}
	for _, x := range s.sessions {
		s.opts.Window.Forget(x.path)
		x.endpointClient.Close()
	}
	s.reset()
	s.leads.Store(false) // last, so that whoever sees the end of the term finds the jobs answered
}

// endIfOutranked ends the term when most endpoints have seen a higher fence: another instance holds the partition, even if
// this one has not yet read of the change in the store. The jobs then move to that instance instead of waiting here.
func (s *Shard) endIfOutranked() {
	n := s.refused()
	if 2*n <= len(s.sessions) {
		return
	}
	s.outrankedFence = s.term.Fence
	s.opts.Log.WithFields(logrus.Fields{
		"event": "outranked", "fence": s.term.Fence, "endpoints": len(s.sessions), "refusing": n,
	}).Warn("most endpoints have seen a higher fence; ending the term")
	s.end()
}

// Leading reports whether this instance holds the term. It does not wait for the shard's lock.
func (s *Shard) Leading() bool { return s.leads.Load() }

// leaseExpiryTime is the time after which a lease that is extended now has expired for certain, on any clock.
func (s *Shard) leaseExpiryTime() time.Duration {
	return time.Duration(float64(s.opts.Lease)*maxClockRatio) + leaseMargin
}

// LeaseWithin returns the longest lease with which all runs of a job are over within the retransmit time after nobody waits for the job
// any more. ok is false if the retransmit time is too short for any lease.
func LeaseWithin(retransmit time.Duration) (lease time.Duration, ok bool) {
	lease = time.Duration(float64(retransmit-abandonTime-leaseMargin) / maxClockRatio)
	return max(lease, minLease), lease >= minLease
}

// takeoverTime is the time from the start of a fence after which the runs of earlier dispatchers are known or their leases
// have expired, if those dispatchers have noticed the end of their terms within noticeTime. After a change of the zone's number of
// partitions, runs may also be on endpoints of another partition, whose dispatcher keeps them for claimTime before it stops them.
func (s *Shard) takeoverTime() time.Duration {
	t := s.leaseExpiryTime() + noticeTime
	if s.dividedBefore(s.fenceStart) {
		t += claimTime + stopRetryPause + maxStopTime
	}
	return t
}

// settle notes that a takeover is over, or that its usual time has passed: for operators, and for the answers to searches for jobs
// (Find). Resumed jobs do not depend on it, see notBefore.
func (s *Shard) settle(now time.Duration) {
	if s.settled {
		return
	}
	if now < s.fenceStart+s.takeoverTime() && !s.knowsRunsUntil(s.fenceStart, now) {
		return
	}
	s.settled = true
	s.opts.Log.WithFields(logrus.Fields{
		"event": "settled", "endpoints": len(s.sessions), "fence": s.term.Fence, "after_ms": (now - s.fenceStart).Milliseconds(),
	}).Info("all endpoints have reported to this fence, or the leases of dispatchers that ended before it have expired")
}
