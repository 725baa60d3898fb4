package shard

import "time"

// minStartShare is the part of a lease that an endpoint with unattended runs must have left for new runs.
const minStartShare = 0.5

// endpointTime returns the time on the endpoint's clock.
func (x *session) endpointTime(now time.Duration) time.Duration { return x.clock + (now - x.clockAt) }

// extendLease records that a request with a full lease from now is sent, and returns the end of the lease on the endpoint's
// clock.
func (x *session) extendLease(now time.Duration) time.Duration {
	x.leaseExtendedAt = now
	x.granted = max(x.granted, x.endpointTime(now)+x.shard.opts.Lease)
	return x.granted
}

// mayStart reports whether a run that starts now has any lease.
func (x *session) mayStart(now time.Duration) bool {
	return !x.unattended() || x.granted > x.endpointTime(now)
}

// startLease returns the end of the lease for a new run. An endpoint with unattended runs gets no more time than it has.
func (x *session) startLease(now time.Duration) time.Duration {
	if x.unattended() {
		return x.granted
	}
	return x.extendLease(now)
}

// updateLease tells the pool whether the endpoint's lease is about to end because it has unattended runs.
func (x *session) updateLease(now time.Duration) {
	s := x.shard
	left := x.granted - x.endpointTime(now)
	ending := left < time.Duration(minStartShare*float64(s.opts.Lease)) && x.unattended()
	s.pool.SetLeaseEnding(x.endpoint.ID, ending)
}

// unattended reports whether the endpoint may have runs for which nobody waits: no job does, or the instance that holds the job's caller
// has been silent for longer than abandonTime, or another dispatcher may have the stored job. The lease must not be extended for them.
func (x *session) unattended() bool {
	s := x.shard
	if s.pool.HasRunsWithoutJob(x.endpoint.ID) {
		return true
	}
	for _, id := range s.pool.JobsOn(x.endpoint.ID) {
		if s.stored[id] != nil {
			if !s.mayRunStored(s.opts.Now()) {
				return true
			}
			continue // this dispatcher itself wants the run
		}
		if clients := s.clients[id]; clients == nil || clients.silence() > abandonTime {
			return true
		}
	}
	return false
}
