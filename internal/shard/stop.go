package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

// stopRetryPause is the minimum time between two requests to stop the same run.
const stopRetryPause = 150 * time.Millisecond

// stopReason is why a run is stopped. The values are part of the log.
type stopReason string

// The reasons.
const (
	stopCancelled   stopReason = "cancelled"   // nobody waits for the job any more
	stopClientGone  stopReason = "client_gone" // the connection to the instance that submitted the job has ended
	stopExpired     stopReason = "expired"     // the caller's timeout has passed
	stopJobEnded    stopReason = "job_ended"   // the job has ended or was refused
	stopUnanswered  stopReason = "unanswered"  // the request to start the run got no answer
	stopUnconfirmed stopReason = "unconfirmed" // another dispatcher may have the stored job
	stopUnwanted    stopReason = "unwanted"    // no job has claimed the run, it makes no progress, or an earlier stop is not confirmed
)

// stopAll requests the stop of runs, for each at most once per stopRetryPause, until the endpoint has confirmed it.
func (s *Shard) stopAll(runs []*pool.Run, why stopReason) {
	now := s.opts.Now()
	for _, r := range runs {
		x := s.sessions[r.Endpoint]
		if x == nil || x.stopConfirmed[r] || x.connectionRefused {
			continue
		}
		if last, ok := s.stopRequestedAt[r.Task]; ok && now-last < stopRetryPause {
			continue
		}
		if s.stopRequestedAt[r.Task] == 0 {
			x.logStop(r, why, now)
		}
		s.stopRequestedAt[r.Task] = now
		go x.stop(r, s.term.Fence)
	}
	for task, at := range s.stopRequestedAt {
		if now-at > successRetention {
			delete(s.stopRequestedAt, task)
		}
	}
}

// stop requests the stop of a run. If the endpoint confirms it, stop requests a report: if the report lacks the run, the run
// was never there or is over. If the report contains the run, another report is requested after maxStopTime, in case the poll
// that brings the end is lost.
func (x *session) stop(r *pool.Run, fence int64) {
	confirmed := repeat(func() bool { return x.sendStop(r, fence) })
	if !confirmed {
		return
	}
	repeat(x.requestReport)
	if x.follows(r) {
		time.Sleep(maxStopTime)
		x.requestReport()
	}
}

// logStop logs the first request to stop a run, and for how long the lease of its endpoint lasts if the stop is not carried out.
func (x *session) logStop(r *pool.Run, why stopReason, now time.Duration) {
	s := x.shard
	s.opts.Counts.StoppedRuns.Add(1)
	s.opts.Log.WithFields(logrus.Fields{
		"event": "stop", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID, "why": why,
		"lease_left_ms": (x.leaseExtendedAt + s.leaseExpiryTime() - now).Milliseconds(),
	}).Info("stopping a run")
}

// sendStop requests the stop of a run and returns whether the endpoint confirmed it.
func (x *session) sendStop(r *pool.Run, fence int64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), x.shard.opts.Window.Timeout())
	defer cancel()
	refusal, err := x.endpointClient.Stop(ctx, r.Task, r.Number, fence)
	return x.stopAnswered(r, refusal, err)
}

// follows reports whether a run may still be on the endpoint.
func (x *session) follows(r *pool.Run) bool {
	x.shard.mu.Lock()
	defer x.shard.mu.Unlock()
	return x.shard.pool.Run(r.Task) == r
}

// stopAnswered handles the answer to a stop request and returns whether the endpoint confirmed the stop.
func (x *session) stopAnswered(r *pool.Run, refusal work.Refusal, err error) bool {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || refusal != work.Done {
		s.opts.Log.WithFields(logrus.Fields{
			"event": "stop_failed", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID, "refusal": refusal.String(),
		}).WithError(err).Warn("endpoint did not confirm the stop; retrying")
		return false
	}
	if s.pool.Run(r.Task) == r && !x.stopConfirmed[r] {
		x.stopConfirmed[r] = true
		x.listedFromNowOn(r)
	}
	return true
}
