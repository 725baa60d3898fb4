package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

// errRepeatRefused reports that an endpoint refused the repetition of a start request. The request before may have been carried out.
var errRepeatRefused = errors.New("the repetition of an unanswered start request was refused")

// start sends the start request of a run to the endpoint as soon as the window admits it, and handles the answer. A request that
// times out is repeated as it is, at most maxAttempts times in all: the endpoint starts the run only once, and its lease ends when that
// of the first request does.
func (x *session) start(r *pool.Run, fence int64) {
	s := x.shard
	s.opts.Window.Acquire()
	request, ok := x.prepareStart(r, fence)
	if !ok {
		s.opts.Window.Forgo()
		return
	}
	refusal, clock, err := x.sendStart(request)
	for sent := 1; sent < maxAttempts && errors.Is(err, work.ErrTimeout); sent++ {
		x.noteLostCall()
		s.opts.Window.Acquire()
		if !x.mayRepeatStart(r, fence) {
			s.opts.Window.Forgo()
			break
		}
		refusal, clock, err = x.sendStart(request)
		if err == nil && refusal != work.Done || errors.Is(err, work.ErrRefused) {
			err = fmt.Errorf("%w: %w: %s", work.ErrNoResponse, errRepeatRefused, refusal)
		}
	}
	x.startAnswered(r, fence, refusal, clock, err)
}

// sendStart sends a start request that the window has admitted.
func (x *session) sendStart(request work.StartRequest) (work.Refusal, time.Duration, error) {
	window := x.shard.opts.Window
	ctx, cancel := context.WithTimeout(context.Background(), window.Timeout())
	defer cancel()
	sent := x.shard.opts.Now()
	refusal, clock, err := x.endpointClient.Start(ctx, request)
	window.Release(x.path, x.shard.opts.Now()-sent, err == nil)
	return refusal, clock, err
}

// noteLostCall records that a call got no answer, so that polls report the ends of runs sooner.
func (x *session) noteLostCall() {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callLost, s.callLostAt = true, s.opts.Now()
}

// mayRepeatStart reports whether a start request without an answer is to be sent again: the run is still wanted under the same fence, no
// report has listed it, and its endpoint still takes it.
func (x *session) mayRepeatStart(r *pool.Run, fence int64) bool {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[x.endpoint.ID] != x || s.pool.Run(r.Task) != r || r.State != pool.Ordered || fence != s.term.Fence {
		return false
	}
	return s.pool.Fits(r) && x.registered && !x.endpoint.Draining && s.registrationsUsable() && s.mayStartRuns()
}

// prepareStart returns the start request of a run. It returns false if the run must not start any more: its job has ended,
// or the endpoint must not get new runs or has not reported to the current fence. The request was never sent, so the run is
// over.
func (x *session) prepareStart(r *pool.Run, fence int64) (work.StartRequest, bool) {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	s.abandonExpired(now) // as in preparePoll
	s.checkStored(now)
	x.holdIfSilent(r)
	if s.sessions[x.endpoint.ID] != x || s.pool.Run(r.Task) != r {
		return work.StartRequest{}, false
	}
	fits, current, open := s.pool.Fits(r), s.registrationsUsable(), s.mayStartRuns()
	if r.State != pool.Ordered || s.pool.Held(r) || fence != s.term.Fence || !x.usable() || !x.mayStart(now) || !fits || !current || !open {
		s.opts.Log.WithFields(logrus.Fields{
			"event": "start_withheld", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID, "fits": fits, "current": current, "open": open,
		}).Info("start request not sent: the job has ended, its instance is silent, the endpoint gets no new runs, its capacity has shrunk, its registration is outdated, or its zone is evacuated")
		s.finish(s.pool.RunLost(r, now))
		s.dispatch()
		return work.StartRequest{}, false
	}
	s.pool.RunSent(r, now)
	s.opts.Counts.Starts.Add(1)
	s.opts.Counts.WaitMS.AddDuration(s.pool.QueueWait(r))
	return work.StartRequest{Task: r.Task, Run: r.Number, Spec: s.pool.Spec(r), LeaseEnd: x.startLease(now), Fence: fence}, true
}

// holdIfSilent holds the job of a run that is about to be ordered if it is not known that its caller still waits.
func (x *session) holdIfSilent(r *pool.Run) {
	s := x.shard
	clients := s.clients[r.Task.Job]
	if clients == nil {
		return
	}
	silence := clients.silence()
	s.opts.Counts.SilenceMS.AddDuration(silence)
	if silence > abandonTime {
		s.opts.Counts.HeldStarts.Add(1)
		s.pool.Hold(r.Task.Job, true)
	}
}

// startAnswered handles the answer to a start request.
func (x *session) startAnswered(r *pool.Run, fence int64, refusal work.Refusal, clock time.Duration, err error) {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[x.endpoint.ID] != x || s.pool.Run(r.Task) != r {
		return
	}
	now := s.opts.Now()
	if clock > 0 && !errors.Is(err, work.ErrNoResponse) {
		x.clock, x.clockAt = clock, now
	}
	switch {
	case errors.Is(err, work.ErrRefused):
		x.neverSent(r, now, err)
	case err != nil:
		x.unanswered(r, now, err)
	case refusal == work.Done:
		x.listedFromNowOn(r)
		s.pool.RunStarted(r)
	default:
		x.startRefused(r, refusal, fence, now)
	}
	s.dispatch()
}

// neverSent handles a start request whose connection was refused: the run was not started. The endpoint gets no new runs until it
// answers a poll.
func (x *session) neverSent(r *pool.Run, now time.Duration, err error) {
	s := x.shard
	s.opts.Log.WithFields(logrus.Fields{"event": "start_not_sent", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID}).
		WithError(err).Warn("connection refused; the run was not started")
	x.answering = false
	s.pool.SetUsable(x.endpoint.ID, false)
	s.finish(s.pool.RunLost(r, now))
}

// unanswered handles a start request that may have been carried out, or may be carried out later: the run is stopped, and
// its task starts again once the run is known not to run.
func (x *session) unanswered(r *pool.Run, now time.Duration, err error) {
	s := x.shard
	s.opts.Counts.UnansweredStarts.Add(1)
	s.callLost, s.callLostAt = true, now
	s.opts.Log.WithFields(logrus.Fields{
		"event": "start_unanswered", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID,
		"ordered_ms_ago": (now - r.Ordered).Milliseconds(),
	}).WithError(err).Warn("start request got no answer; the run may have started")
	if r.State == pool.Ordered {
		s.stopAll([]*pool.Run{s.pool.Withdraw(r)}, stopUnanswered)
	}
}

func (x *session) startRefused(r *pool.Run, refusal work.Refusal, fence int64, now time.Duration) {
	s := x.shard
	s.opts.Log.WithFields(logrus.Fields{
		"event": "start_refused", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID,
		"refusal": refusal.String(), "fence": fence,
	}).Info("endpoint refused to start the run")
	switch refusal {
	case work.Fenced:
		if fence < s.term.Fence {
			break // the higher fence is this dispatcher's own
		}
		x.handleOutranked()
		if !s.leading {
			return // the term has ended, and the pool that the run belongs to was replaced
		}
	case work.NoRoom, work.TooLate:
		// The next report corrects this dispatcher's view of the endpoint.
		x.answering = false
		s.pool.SetUsable(x.endpoint.ID, false)
	case work.OtherProcess:
		s.finish(s.pool.RunRefused(r, refusal, now))
		s.drop(x, "another process answers at the address", true)
		return
	case work.InvalidRequest:
		s.finish(s.pool.RunImpossible(r))
		return
	}
	s.finish(s.pool.RunRefused(r, refusal, now))
}

// maxAttempts is how often a request that may be repeated without harm is sent at once when it gets no answer.
const maxAttempts = 3

// repeat calls send until it returns true, at most maxAttempts times, and returns the last result.
func repeat(send func() bool) bool {
	for range maxAttempts {
		if send() {
			return true
		}
	}
	return false
}
