package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

// process identifies the process that the session has talked to.
func (x *session) process() attempt.Process {
	started := x.startedUnixMS
	if started == 0 {
		started = x.endpoint.StartedUnixMS
	}
	return attempt.Process{Endpoint: x.endpoint.ID, StartedUnixMS: started}
}

// crashed ends the runs of an endpoint whose process has ended without notice. The shard's lock is held.
func (x *session) crashed(now time.Duration) {
	s := x.shard
	clear(x.visibleFrom)
	clear(x.stopConfirmed)
	runs, outcomes := s.pool.EndpointCrashed(x.endpoint.ID, x.process(), now)
	if len(runs) > 0 {
		s.opts.Counts.Crashes.Add(1)
		s.opts.Counts.CrashedRuns.Add(int64(len(runs)))
	}
	for _, r := range runs {
		x.logCrash(r, crashOutcome(r))
		if r.Counted {
			s.recordCrash(r.Task, r.Run)
		}
	}
	s.finish(outcomes)
}

// recordCrash records a crash under a task of a stored job. The shard's lock is held.
func (s *Shard) recordCrash(task work.TaskID, run int) {
	if s.stored[task.Job] != nil {
		s.opts.Ledger.RecordCrash(task, run)
	}
}

// crashOutcome names for the log what becomes of the task of a run under which a process has crashed.
func crashOutcome(r pool.CrashedRun) string {
	switch {
	case !r.Wanted:
		return "not_wanted"
	case r.GivenUp != "":
		return "given_up_" + string(r.GivenUp)
	}
	return "starts_again_alone"
}

func (x *session) logCrash(r pool.CrashedRun, outcome string) {
	x.shard.opts.Log.WithFields(logrus.Fields{
		"event": "run_crashed", "task": r.Task.String(), "run": r.Run, "endpoint": x.endpoint.ID, "born": x.startedUnixMS,
		"crashes": r.Crashes, "outcome": outcome,
	}).Warn("the endpoint's process has ended under the run")
}

// processEnded handles the evidence that another process runs at the endpoint's address: the process that the session has talked to
// has ended, under its present runs or under those that were ended when its lease expired.
func (x *session) processEnded(now time.Duration) {
	s := x.shard
	s.opts.OnReplaced()
	if x.endpoint.Draining {
		x.lost = nil
		x.clear(now)
		return
	}
	for _, a := range x.lost {
		s.opts.History.Add(a, now)
		crashes := s.opts.History.Count(a.Task, attempt.Crashed)
		x.logCrash(pool.CrashedRun{Task: a.Task, Run: a.Run, Crashes: crashes}, "counted_late")
		s.recordCrash(a.Task, a.Run)
		s.finish(s.pool.Suspect(a.Task))
	}
	x.lost = nil
	x.crashed(now)
}

// startedRuns returns the endpoint's runs whose start was confirmed as attempts under which its process has crashed.
func (x *session) startedRuns() []attempt.Attempt {
	var all []attempt.Attempt
	for _, r := range x.shard.pool.RunsOn(x.endpoint.ID) {
		if r.HasStarted() {
			all = append(all, attempt.Attempt{Task: r.Task, Run: r.Number, Process: x.process(), Outcome: attempt.Crashed})
		}
	}
	return all
}

// withdrawCrashes deletes the crashes of a process that answers again: it was cut off and has not ended. started is the start that the
// answer names, or 0. It counts before the registration, which may be that of the process before.
func (x *session) withdrawCrashes(started int64) {
	answering := x.process()
	if started != 0 {
		answering.StartedUnixMS = started
	}
	for _, task := range x.shard.opts.History.Withdraw(answering) {
		x.shard.opts.Log.WithFields(logrus.Fields{"event": "crash_withdrawn", "task": task.String(), "endpoint": x.endpoint.ID}).
			Info("the process answers again; it was cut off and has not crashed")
	}
}
