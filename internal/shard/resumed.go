package shard

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// A resumed job comes from an instance that has lost the job's dispatcher. That dispatcher may go on: it may be cut off from the store, and
// from the endpoints that would refuse it. It orders nothing for the job later than abandonTime after the loss, since it no longer hears
// from the job's instance (see session.unattended), and nothing after it has given the job back itself. The tasks of a resumed job that have not been found therefore start when either
//
//   - the endpoints that it may have used until then have reported to the present fence, after which they refuse it, or
//   - the leases that it may have extended until then have expired.
//
// How long this dispatcher has held its fence says nothing about the other one.

// readRequestPause is the minimum time between two requests for a read of the registrations for resumed jobs. Calls to the store are
// priced, and the instances of a zone lose a dispatcher at slightly different times.
const readRequestPause = 100 * time.Millisecond

// noOrders stands for the time of the last order if no other dispatcher has ordered anything. It is before all times.
const noOrders = time.Duration(math.MinInt64 / 2)

// never is after all times.
const never = time.Duration(math.MaxInt64 / 4)

// holding records the submission with which this dispatcher has taken a job during its term. It outlives the job for successRetention.
type holding struct {
	request   uint64
	number    relay.SubmissionNumber
	lastOrder time.Duration // when another dispatcher may last have ordered runs of the job
	at        time.Duration // when the job was taken or given up
}

// precedes reports whether no other dispatcher can have got the job between this submission and another one: it is the next one of the same
// request.
func (h holding) precedes(m *relay.Submit) bool {
	return h.request != 0 && h.request == m.Request && h.number != 0 && h.number == m.Previous
}

// resumes reports whether another dispatcher, or an earlier term of this one, may have started tasks of a submitted job.
func (s *Shard) resumes(m *relay.Submit) bool {
	return m.Resumed || m.Knowledge != 0 && m.Knowledge != s.knowledge.Load()
}

// lastOrder returns the time after which other dispatchers order nothing for a submitted job. Without another one, as after a reset of the
// connection, this dispatcher knows all runs.
func (s *Shard) lastOrder(m *relay.Submit, now time.Duration) time.Duration {
	if !s.resumes(m) {
		return noOrders
	}
	if h, ok := s.held[m.Job.ID]; ok && h.precedes(m) {
		return h.lastOrder
	}
	return lastOrderBefore(m, now)
}

// hold records that this dispatcher has taken a job.
func (s *Shard) hold(m *relay.Submit, last, now time.Duration) {
	if h, ok := s.held[m.Job.ID]; ok {
		last = max(last, h.lastOrder)
	}
	s.held[m.Job.ID] = holding{m.Request, m.Number, last, now}
}

// forgetHeld deletes the records of jobs that were given up before a time.
func (s *Shard) forgetHeld(before time.Duration) {
	for id, h := range s.held {
		if h.at < before && !s.pool.HasJob(id) {
			delete(s.held, id)
		}
	}
}

// lastOrderBefore returns the time after which the earlier dispatcher of a resumed job orders nothing for it.
func lastOrderBefore(m *relay.Submit, now time.Duration) time.Duration {
	if m.GivenBack {
		return now - m.Lost
	}
	return now - m.Lost + abandonTime
}

// period is the time in which other dispatchers may have ordered runs of a job.
type period struct {
	arrived time.Duration // when the first request for the job arrived
	last    time.Duration // see lastOrder
	// open means that an earlier dispatcher may extend leases for the job after last, since another instance attends to it there. The end of
	// all leases is not known then.
	open bool
	// recent means that the job came to the other dispatcher while this one held its present fence. The other one may have had a higher fence and
	// have lost the partition again without this one's notice. The endpoints are asked then whether they still accept the present fence.
	recent bool
	// elsewhere means that runs may be on endpoints of other partitions, see usedOtherEndpoints.
	elsewhere bool
}

// usedOtherEndpoints reports whether the earlier dispatchers of a submitted job may have started it on endpoints that belong to another partition:
// they used another number of partitions, or it is not known which. An instance that has just started, for example, may have used a guess.
func (s *Shard) usedOtherEndpoints(m *relay.Submit) bool {
	if m.Shared && m.Partitions == 0 {
		return false // from an instance of an earlier version; the end of all leases is not known
	}
	return m.Partitions != s.term.Partitions
}

// over reports whether the leases that other dispatchers have extended have expired for certain.
func (s *Shard) over(p period, now time.Duration) bool {
	return !p.open && now >= p.last+s.leaseExpiryTime()
}

// notBefore returns the time until which the tasks of a job wait in any case, which is above 0 for a resumed job and 0 for a new one.
func (s *Shard) notBefore(resumed bool, orders period, now time.Duration) time.Duration {
	if !resumed {
		return 0
	}
	if s.knowsRunsOf(orders, now) && s.opts.Directory.covers(orders.arrived, now) {
		return 1 // above 0 because the job is resumed
	}
	if orders.open {
		return never // until ReleaseResumed
	}
	return max(orders.last+s.leaseExpiryTime(), 1)
}

// await makes a resumed job wait until the runs are known that other dispatchers may have ordered.
func (s *Shard) await(id work.JobID, orders period) {
	if before, ok := s.awaiting[id]; ok {
		orders = period{
			min(orders.arrived, before.arrived), max(orders.last, before.last), orders.open || before.open, orders.recent || before.recent,
			orders.elsewhere || before.elsewhere,
		}
	}
	s.awaiting[id] = orders
}

// releaseResumed lets the resumed jobs start whose runs are known. If only a read of the registrations is missing for that, it requests
// one.
func (s *Shard) releaseResumed(now time.Duration) {
	if len(s.awaiting) == 0 {
		return
	}
	asOf, known := s.knownAsOf(now)
	outdated := false
	for id, orders := range s.awaiting {
		outdated = s.releaseIfKnown(id, orders, asOf, known, now) || outdated
	}
	if outdated {
		s.requestRead(now)
	}
}

// releaseResumedJob is releaseResumed for one job.
func (s *Shard) releaseResumedJob(id work.JobID, now time.Duration) {
	asOf, known := s.knownAsOf(now)
	if s.releaseIfKnown(id, s.awaiting[id], asOf, known, now) {
		s.requestRead(now)
	}
}

// releaseIfKnown lets a resumed job start if its runs are known. asOf and known are those of knownAsOf. It returns whether only a read of the
// registrations is missing.
func (s *Shard) releaseIfKnown(id work.JobID, orders period, asOf time.Duration, known bool, now time.Duration) (outdated bool) {
	last := orders.last
	switch {
	case !s.pool.HasJob(id) || s.over(orders, now):
		delete(s.awaiting, id)
	case orders.elsewhere || s.dividedBefore(last) || !known || !s.opts.Directory.covers(orders.arrived, now):
	case asOf > last && !s.stillAccepted(orders):
		s.requestReports(last, now)
	case asOf > last:
		s.pool.ReleaseResumed(id)
		delete(s.awaiting, id)
	case now > last && s.readRequestedAt <= last:
		return true
	}
	return false
}

// requestRead requests a read of the registrations, unless that has just been done.
func (s *Shard) requestRead(now time.Duration) {
	if now-s.readRequestedAt < readRequestPause {
		return
	}
	s.readRequestedAt = now
	s.opts.OnOutdated()
}

// knowsRunsUntil reports whether all runs are known that another dispatcher with an earlier fence may have ordered until a time.
func (s *Shard) knowsRunsUntil(last, now time.Duration) bool {
	return s.knowsRunsOf(period{last: last}, now)
}

// knowsRunsOf reports whether all runs are known that another dispatcher may have ordered in a period.
func (s *Shard) knowsRunsOf(p period, now time.Duration) bool {
	asOf, known := s.knownAsOf(now)
	return known && asOf > p.last && !p.elsewhere && !s.dividedBefore(p.last) && s.stillAccepted(p)
}

// stillAccepted reports whether the endpoints have accepted the present fence since the end of a period, if the period is recent. One that does
// not answer cannot be asked.
func (s *Shard) stillAccepted(p period) bool {
	if !p.recent {
		return true
	}
	for _, x := range s.sessions {
		if x.refusedFence == s.term.Fence || x.mustAcceptAgain(p.last) {
			return false
		}
	}
	return true
}

// mustAcceptAgain reports whether the endpoint answers and has not accepted a request that was sent since a time.
func (x *session) mustAcceptAgain(since time.Duration) bool {
	return x.answering && x.acceptedAt < since
}

// requestReports requests a report from each endpoint whose last one is from before a time, unless that has just been done.
func (s *Shard) requestReports(since, now time.Duration) {
	if now-s.reportsRequestedAt < readRequestPause || now <= since {
		return
	}
	s.reportsRequestedAt = now
	for _, x := range s.sessions {
		if x.mustAcceptAgain(since) {
			go x.requestReport()
		}
	}
}

// dividedBefore reports whether the zone's number of partitions changed shortly before a time. A dispatcher that had not read of the change
// used endpoints that belong to another partition now.
func (s *Shard) dividedBefore(at time.Duration) bool {
	return s.term.DividedAt > 0 && at-s.term.DividedAt < divisionMemory
}
