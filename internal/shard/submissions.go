package shard

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// Submissions of jobs by instances, from the decision to the answer or the cancel.

// Submit implements relay.Dispatcher.
func (s *Shard) Submit(from relay.Client, m *relay.Submit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := &submitter{from, m.Number, m.Request}
	if !s.leading {
		client.Answer(&relay.Answer{Job: m.Job.ID, Refused: pool.ReasonNotLeader})
		return
	}
	s.opts.Counts.AgeMS.AddDuration(m.Age())
	switch {
	case m.Expired():
		s.refuse(client, m, pool.Verdict{Reason: pool.ReasonExpired, RetryAfter: time.Second})
	case s.hasNewerSubmitter(client, m.Job.ID):
		s.logVerdict(client, m, pool.Verdict{Reason: pool.ReasonSuperseded}, true)
		client.Answer(&relay.Answer{Job: m.Job.ID, Refused: pool.ReasonNotLeader, Started: true})
	case m.StartOnly && !s.startsNow(m):
		s.refuseToQueue(client, m)
	default:
		s.decide(client, m)
	}
}

// hasNewerSubmitter reports whether another instance attends to the caller of a job while the one that submits it now has been silent: its
// submission is late, and its connection may end at any time.
func (s *Shard) hasNewerSubmitter(client *submitter, id work.JobID) bool {
	others := s.clients[id].without(func(c *submitter) bool { return c.Client == client.Client })
	return len(others) > 0 && client.Silence() > abandonTime && others.silence() <= abandonTime
}

// decide takes or refuses a submitted job.
func (s *Shard) decide(client *submitter, m *relay.Submit) {
	job, now := &m.Job, s.opts.Now()
	s.opts.History.Merge(m.Attempts, now)
	if s.mustGoElsewhere(m) {
		s.refuse(client, m, pool.Verdict{Reason: pool.ReasonEvacuated, RetryAfter: evacuatedRetryAfter})
		return
	}
	known := s.pool.HasJob(job.ID)
	s.noteSucceeded(m, known, now)
	last := s.lastOrder(m, now)
	arrived := now - m.Age() - m.Waited
	if s.repeatedInVain(m, arrived, now) {
		s.opts.Counts.RepeatedInVain.Add(1)
		s.refuse(client, m, pool.Verdict{Reason: pool.ReasonRepeated, RetryAfter: time.Second})
		return
	}
	orders := period{
		arrived: arrived - m.Earlier, last: last, open: m.Shared, recent: arrived > s.fenceStart, elsewhere: last != noOrders && s.usedOtherEndpoints(m),
	}
	notBefore := s.notBefore(s.resumes(m), orders, now)
	if m.InProgress {
		notBefore = max(notBefore, 1) // as for a resumed job whose runs are known
	}
	verdict, outcomes := s.pool.Submit(job, now, arrived, notBefore)
	if !verdict.Accepted() {
		s.refuse(client, m, verdict)
		return
	}
	s.logVerdict(client, m, verdict, known)
	if s.resumes(m) {
		s.await(job.ID, orders)
		s.releaseResumedJob(job.ID, now)
	}
	s.hold(m, last, now)
	s.clients[job.ID] = s.clients[job.ID].with(client)
	s.releaseEndsOf(job.ID)
	s.pool.Hold(job.ID, false)
	if m.Last {
		s.pool.KeepHere(job.ID)
	}
	s.noteExpiry(m, now)
	s.finish(outcomes)
	s.dispatch()
}

// noteExpiry records until when the caller of a submission waits. A job with several submitters expires with the last of their callers.
func (s *Shard) noteExpiry(m *relay.Submit, now time.Duration) {
	id := m.Job.ID
	before, limited := s.expires[id]
	others := len(s.clients[id]) > 1
	switch at := now - m.Age() + m.Remaining + expiryMargin; {
	case m.Remaining <= 0:
		delete(s.expires, id)
	case !others:
		s.expires[id] = at
	case limited:
		s.expires[id] = max(at, before)
	}
}

// refuse refuses a submitted job.
func (s *Shard) refuse(client *submitter, m *relay.Submit, v pool.Verdict) {
	s.logVerdict(client, m, v, s.pool.HasJob(m.Job.ID))
	s.opts.Counts.Refused.Add(1)
	a := s.refusal(m.Job.ID, v.Reason, v.RetryAfter)
	if s.mayRunUnknown(m) {
		a.Started, a.Knowledge = true, m.Knowledge
	}
	s.answer(client, a)
}

// mayRunUnknown reports whether another dispatcher knows of runs of a submitted job that this one may not know yet.
func (s *Shard) mayRunUnknown(m *relay.Submit) bool {
	return !s.settled && !m.Shared && m.Knowledge != 0 && m.Knowledge != s.knowledge.Load()
}

// refusal returns the refusal of a job by a dispatcher that leads. It tells whether the dispatcher knows of runs of the job.
func (s *Shard) refusal(id work.JobID, why pool.Reason, retryAfter time.Duration) *relay.Answer {
	a := &relay.Answer{Job: id, Refused: why, RetryAfter: retryAfter, Started: s.pool.HasStarted(id)}
	if a.Started {
		a.Knowledge = s.knowledge.Load()
	}
	return a
}

func (s *Shard) logVerdict(from relay.Client, m *relay.Submit, v pool.Verdict, known bool) {
	job, resumed, waited := &m.Job, s.resumes(m), m.Waited
	outcome := "taken"
	if !v.Accepted() {
		outcome = string(v.Reason)
	}
	s.opts.Log.WithFields(logrus.Fields{
		"event": "submit", "job": job.ID, "request": relay.RequestName(m.Request), "number": m.Number, "queue": job.Queue, "tasks": job.Tasks(), "outcome": outcome, "resumed": resumed,
		"known": known, "wait_ms": v.ExpectedWait.Milliseconds(), "slack_ms": v.Slack.Milliseconds(), "fence": s.term.Fence,
		"knowledge": fmt.Sprintf("%016x", s.knowledge.Load()), "settled": s.settled,
		"endpoints": v.Endpoints, "isolated": v.Isolated, "free_milli_cpu": v.FreeMilliCPU, "ahead": v.JobsAhead, "kept_milli_cpu": v.ReservedMilliCPU,
		"waited_ms": waited.Milliseconds(), "age_ms": m.Age().Milliseconds(), "silence_ms": from.Silence().Milliseconds(), "from": from.Name(),
	}).Info("submission decided")
}

// Cancel implements relay.Dispatcher.
func (s *Shard) Cancel(from relay.Client, c *relay.Cancel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancels := func(o *submitter) bool { return o.Client == from && o.submission.Matches(c.Number) }
	others := s.clients[c.Job].without(cancels)
	if !s.leave(c.Job, stopCancelled, cancels) {
		return
	}
	if c.Whole && len(others) > 0 {
		others.answer(&relay.Answer{Job: c.Job, State: work.Cancelled})
		s.abandon(c.Job, stopCancelled)
	}
	s.opts.Log.WithFields(logrus.Fields{"event": "cancel", "job": c.Job, "others": len(s.clients[c.Job])}).Info("job cancelled by its caller")
	s.dispatch()
}

// ClientGone implements relay.Dispatcher.
func (s *Shard) ClientGone(from relay.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.clients {
		if !s.leave(id, stopClientGone, func(c *submitter) bool { return c.Client == from }) {
			continue
		}
		s.opts.Log.WithFields(logrus.Fields{"event": "cancel", "job": id, "client": from.Name(), "others": len(s.clients[id])}).
			Info("job cancelled: the connection to the instance that submitted it ended")
	}
	if s.leading {
		s.dispatch()
	}
}

// abandon deletes a job and stops its runs.
func (s *Shard) abandon(id work.JobID, why stopReason) {
	delete(s.clients, id)
	delete(s.expires, id)
	if h, ok := s.held[id]; ok {
		h.at = s.opts.Now()
		s.held[id] = h
	}
	delete(s.stored, id)
	delete(s.unreleased, id)
	s.stopAll(s.pool.Cancel(id), why)
}

// finish answers and deletes the jobs that have ended.
func (s *Shard) finish(outcomes []pool.Outcome) {
	for _, o := range outcomes {
		if s.finishStored(o) {
			continue
		}
		clients := s.clients[o.Job]
		if clients == nil && !s.pool.HasJob(o.Job) {
			continue // the end of another task has ended the job already
		}
		clients.answer(s.withLoad(answerOf(o)))
		s.logEnd(o)
		s.abandon(o.Job, stopJobEnded)
	}
}

// answerOf returns the answer for a job that has ended.
func answerOf(o pool.Outcome) *relay.Answer {
	if o.State == "" {
		return &relay.Answer{Job: o.Job, Refused: pool.ReasonNotLeader, Started: true, GaveUp: true}
	}
	return &relay.Answer{Job: o.Job, State: o.State}
}

func (s *Shard) logEnd(o pool.Outcome) {
	fields := logrus.Fields{"event": "job_ended", "job": o.Job, "state": o.State}
	if o.State == work.Completed {
		s.noteTiming(o.Job, fields)
	}
	if o.Why == "" {
		s.opts.Log.WithFields(fields).Info("job ended")
		return
	}
	s.opts.Counts.GivenUp.Add(1)
	fields["task"], fields["why"] = o.Task.String(), o.Why
	fields["crashes"] = s.opts.History.Count(o.Task, attempt.Crashed)
	fields["failures"] = s.opts.History.Count(o.Task, attempt.Failed)
	s.opts.Log.WithFields(fields).Warn("job given up: one of its tasks is not started again")
}
