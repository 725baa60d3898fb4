package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

const (
	// checkInterval is the interval of the periodic checks.
	checkInterval = 50 * time.Millisecond
	// claimTime is how long a run of an earlier dispatcher may go on until its job is submitted here. Then it is stopped, so that
	// the lease of the endpoint's other runs can be extended again.
	claimTime = 300 * time.Millisecond
	// expiryCheckPause is the minimum time between two searches for expired jobs, which each poll and each start would repeat.
	expiryCheckPause = 10 * time.Millisecond
	// stallTimeout is the time without progress after which a run is stopped and its task starts elsewhere.
	stallTimeout = 900 * time.Millisecond
)

// runChecks makes the periodic checks until the term ends.
func (s *Shard) runChecks(ctx context.Context) {
	pause.Every(ctx, checkInterval, func() { s.check(ctx) })
}

func (s *Shard) check(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := s.opts.Now()
	s.settle(now)
	s.noteOutnumbered(now)
	s.checkStored(now)
	s.releaseResumed(now)
	s.refuseLate(now)
	s.giveBack(now)
	s.abandonExpired(now)
	for id, clients := range s.clients {
		s.pool.Hold(id, clients.silence() > abandonTime)
	}
	for _, x := range s.sessions {
		x.updateLease(now)
	}
	for _, r := range s.pool.Stalled(now-stallTimeout, now) {
		s.opts.Counts.Stalled.Add(1)
		s.opts.Log.WithFields(logrus.Fields{
			"event": "run_stalled", "task": r.Task.String(), "run": r.Number, "endpoint": r.Endpoint, "percent": r.Percent,
			"unchanged_ms": (now - r.ProgressedAt).Milliseconds(),
		}).Warn("run makes no progress; stopping it")
	}
	s.noteSpeedChanges(now)
	s.stopAll(s.pool.Unwanted(now-claimTime), stopUnwanted)
	s.decideEnds()
	if !s.endsUndecided {
		s.pool.ForgetSuccesses(now - successRetention)
	}
	s.pool.ForgetTimings()
	s.forgetHeld(now - successRetention)
	s.dispatch()
	s.checked.Store(int64(s.opts.Now()))
}

// SinceCheck returns how long ago the last periodic checks ended, 0 without a term. It does not wait for the shard's lock.
func (s *Shard) SinceCheck() time.Duration {
	if !s.leads.Load() {
		return 0
	}
	return s.opts.Now() - time.Duration(s.checked.Load())
}

// refuseLate refuses accepted jobs that have not started and whose result would come too late to be of use.
func (s *Shard) refuseLate(now time.Duration) {
	for _, id := range s.pool.Overdue(now) {
		s.clients[id].answer(s.refusal(id, pool.ReasonWaitedTooLong, time.Second))
		s.opts.Counts.Refused.Add(1)
		s.opts.Log.WithFields(logrus.Fields{"event": "refuse_waiting", "job": id}).Info("job refused: it did not start in time")
		s.abandon(id, stopJobEnded)
	}
}

// giveBack gives accepted jobs back to their instances that have not started, are expected to miss their objective here and could meet it
// elsewhere. Each answer is a refusal: the job has not run, and its instance submits it to other dispatchers or refuses the request.
func (s *Shard) giveBack(now time.Duration) {
	for _, id := range s.pool.GiveBack(now) {
		if s.pool.HasStarted(id) || len(s.clients[id]) != 1 {
			continue // runs of an earlier dispatcher are known, or another instance could submit the job again to this one
		}
		s.clients[id].answer(s.refusal(id, pool.ReasonGivenBack, time.Second))
		s.opts.Counts.GivenBack.Add(1)
		s.opts.Log.WithFields(logrus.Fields{"event": "give_back", "job": id}).Info("job given back: it has not started and would miss its objective here")
		s.abandon(id, stopJobEnded)
	}
}

// abandonExpired abandons the jobs whose callers wait no longer. Usually their instance has cancelled them before; it cannot if it
// is stopped or cut off. If the caller has meanwhile submitted the job again there, that instance submits it again, too.
func (s *Shard) abandonExpired(now time.Duration) {
	if now-s.expiryCheckedAt < expiryCheckPause {
		return
	}
	s.expiryCheckedAt = now
	for id, at := range s.expires {
		if now < at {
			continue
		}
		s.opts.Log.WithFields(logrus.Fields{"event": "cancel", "job": id}).Info("job cancelled: its caller waits no longer")
		s.clients[id].answer(&relay.Answer{Job: id, Refused: pool.ReasonNotLeader, Started: true})
		s.abandon(id, stopExpired)
	}
}
