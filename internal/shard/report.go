package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

// applyReport applies a report that answers a request. If a newer
// report has been applied already, only the ends of runs are taken from this report.
func (x *session) applyReport(report work.Report, request reportRequest, now time.Duration) {
	s := x.shard
	if x.restarted(report) {
		s.opts.Log.WithFields(logrus.Fields{
			"event": "endpoint_reborn", "endpoint": x.endpoint.ID, "born": report.StartedUnixMS, "tasks": x.runNames(),
		}).Warn("endpoint's process was restarted; its runs are lost")
		x.acknowledged, x.reportClock, x.granted, x.fencedAt = 0, 0, 0, now
		x.unrecorded = nil
		s.pool.ForgetSpeed(x.endpoint.ID)
		x.processEnded(now)
	} else if x.leaseExpired {
		x.withdrawCrashes(report.StartedUnixMS)
	}
	if !x.answering {
		s.opts.Log.WithFields(logrus.Fields{
			"event": "endpoint_back", "endpoint": x.endpoint.ID, "running": len(report.Running), "fence": s.term.Fence,
		}).Info("endpoint answers")
	}
	overtaken := report.Clock < x.reportClock
	x.startedUnixMS, x.lastAnswerAt = report.StartedUnixMS, now
	x.answering, x.leaseExpired, x.connectionRefused, x.failures, x.lost = true, false, false, 0, nil
	s.pool.SetSilent(x.endpoint.ID, false)
	s.pool.SetProcess(x.endpoint.ID, report.StartedUnixMS)
	if !overtaken {
		x.clock, x.clockAt, x.reportClock = report.Clock, now, report.Clock
		x.noteFence(request.Fence, now)
		x.acceptedAt = max(x.acceptedAt, request.sent)
		x.noteReport(report, request.Fence, now)
		x.applyRuns(report, now)
	}
	for _, end := range report.Ended {
		if end.Sequence > x.acknowledged {
			x.acknowledged = end.Sequence
			x.recordEnd(end, now)
			x.applyEnd(end, now)
		}
	}
	if !overtaken && len(report.Ended) < maxListedEnds {
		x.applyMissing(report, request, now)
	}
	x.reported = true
	x.updateLease(now)
	x.updateUsable()
}

// noteFence records a report to a request with a fence.
func (x *session) noteFence(fence int64, now time.Duration) {
	if fence > x.reportedTo {
		x.reportedTo, x.fencedAt = fence, now
	}
}

// clear ends all runs of an endpoint that is known to run nothing.
func (x *session) clear(now time.Duration) {
	clear(x.visibleFrom)
	clear(x.stopConfirmed)
	x.shard.finish(x.shard.pool.EndRunsOn(x.endpoint.ID, now))
}

// restarted reports whether a report comes from another process than the reports before.
func (x *session) restarted(report work.Report) bool {
	if x.startedUnixMS != 0 && report.StartedUnixMS != 0 {
		return report.StartedUnixMS != x.startedUnixMS
	}
	return x.reported && report.Clock+clockTolerance < x.reportClock
}

func (x *session) applyRuns(report work.Report, now time.Duration) {
	p := x.shard.pool
	superseded := 0
	for _, run := range report.Running {
		known := p.Run(run.Task)
		switch {
		case known == nil:
			if found := p.RunFound(x.endpoint.ID, run, now); found != nil {
				x.listedFromNowOn(found)
				x.logFound(found)
			}
		case known.Endpoint != x.endpoint.ID || known.Number != run.Run:
			superseded++
			x.stopSuperseded(run, known)
		default:
			p.RunProgressed(run.Task, run.Run, run.Percent, now)
		}
	}
	p.SetSupersededRuns(x.endpoint.ID, superseded)
}

// logFound logs a run that another dispatcher, or an earlier term of this one, has started.
func (x *session) logFound(r *pool.Run) {
	s := x.shard
	s.opts.Counts.FoundRuns.Add(1)
	s.opts.Log.WithFields(logrus.Fields{
		"event": "run_found", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID, "fence": s.term.Fence,
		"claimed": r.Wanted(),
	}).Info("endpoint reports a run of another dispatcher")
}

// stopSuperseded stops a run that the pool has replaced by another run of its task.
func (x *session) stopSuperseded(run work.Run, known *pool.Run) {
	s := x.shard
	s.opts.Log.WithFields(logrus.Fields{
		"event": "stray_run", "task": run.Task.String(), "run": run.Run, "endpoint": x.endpoint.ID,
		"other_run": known.Number, "other_endpoint": known.Endpoint,
	}).Warn("endpoint reports a superseded run; stopping it")
	go x.stop(&pool.Run{Task: run.Task, Number: run.Run, Endpoint: x.endpoint.ID}, s.term.Fence)
}

func (x *session) applyEnd(end work.End, now time.Duration) {
	s := x.shard
	if r := s.pool.Run(end.Task); r != nil {
		x.forget(r)
		if r.Unanswered {
			s.opts.Window.Late()
		}
		if end.Reason == work.EndSucceeded {
			s.opts.Counts.RunMS.AddDuration(now - r.Ordered)
		}
	}
	if end.Reason != work.EndSucceeded {
		s.opts.Counts.UnsuccessfulRuns.Add(1)
		s.opts.Log.WithFields(logrus.Fields{
			"event": "run_ended", "task": end.Task.String(), "run": end.Run, "endpoint": x.endpoint.ID, "reason": end.Reason,
		}).Info("run ended without success")
	}
	s.finish(s.pool.RunEnded(x.process(), end, now))
	x.countRecorded(end)
}

// mustList reports whether the report of a request lists a run if it still runs. A run that was ordered at an earlier address may go on there
// until the lease has expired, whatever the process at this one answers.
func (x *session) mustList(r *pool.Run, request reportRequest) bool {
	if x.movedAt > 0 && r.Ordered <= x.movedAt && request.sent <= x.movedAt+x.shard.leaseExpiryTime() {
		return false
	}
	if first, ok := x.visibleFrom[r]; ok {
		return request.number >= first
	}
	return request.sent > r.Ordered+x.shard.leaseExpiryTime()
}

// applyMissing ends the runs that are missing from a report and would be in it if they were still running.
func (x *session) applyMissing(report work.Report, request reportRequest, now time.Duration) {
	s := x.shard
	listed := make(map[work.TaskID]int, len(report.Running))
	for _, run := range report.Running {
		listed[run.Task] = run.Run
	}
	for _, r := range s.pool.RunsOn(x.endpoint.ID) {
		if listed[r.Task] == r.Number {
			continue
		}
		if !x.mustList(r, request) {
			continue
		}
		x.forget(r)
		if r.Unanswered {
			s.opts.Window.Lost()
		}
		s.opts.Log.WithFields(logrus.Fields{
			"event": "run_missing", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID,
			"ordered_ms_ago": (now - r.Ordered).Milliseconds(),
		}).Info("run is missing from the endpoint's report; it is over")
		s.finish(s.pool.RunLost(r, now))
	}
}
