package shard

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// busyWait and idleWait are the longest waits of a look at an endpoint. With the time of a lost call on top they stay
	// well below the lease.
	busyWait = 200 * time.Millisecond
	idleWait = 450 * time.Millisecond
	// lossyWait is the longest wait while orders get no answers: an end waits for the next look if a look is lost.
	lossyWait = 60 * time.Millisecond
	// lossyMemory is how long an unanswered order counts.
	lossyMemory = 3 * time.Second
	// retryPause keeps an endpoint that refuses connections from being called in a tight loop.
	retryPause = 50 * time.Millisecond
	// fencedPause is the pause after a look that was refused for a higher fence. It takes a rise of this dispatcher's own
	// fence, which looks at once, to change that.
	fencedPause = 250 * time.Millisecond
	// goneAfter is the silence after which an endpoint without a registration is dropped.
	goneAfter = 3 * time.Second
	// stopTime is how long an endpoint may take to stop a run. Until then a report may list neither the run nor its end.
	stopTime = 60 * time.Millisecond
	// clockSlack is how far an endpoint's clock may seem to go back without a restart of its process.
	clockSlack = 2 * time.Second
)

// session is the connection to one endpoint during a term. Fields are guarded by the shard's lock.
type session struct {
	shard    *Shard
	endpoint work.Endpoint
	orders   work.EndpointClient
	cancel   context.CancelFunc

	listed       bool  // registered
	reported     bool  // has reported during the term
	reportedTo   int64 // highest fence of a look that was answered with a report
	outrankedAt  int64 // this dispatcher's fence when the endpoint last refused it for a higher one
	answering    bool  // the last call was answered
	failures     int   // calls in a row that were not answered
	acknowledged int64
	born         int64
	clock        time.Duration // of the endpoint, at clockAt
	clockAt      time.Duration
	reportClock  time.Duration // clock of the newest report
	extended     time.Duration // when an order that extends the lease was last sent
	heard        time.Duration // last answer
	cleared      bool          // what ran there was given up after its lease
	// settledAt is the time from which a report without the run shows that it is over, by run.
	settledAt map[*pool.Run]time.Duration
	stopped   map[*pool.Run]bool // whose stop the endpoint has confirmed
}

func newSession(s *Shard, e work.Endpoint) *session {
	return &session{
		shard: s, endpoint: e, orders: s.opts.Dialer.Dial(e), listed: true, heard: s.opts.Now(),
		extended: s.opts.Now(), settledAt: map[*pool.Run]time.Duration{}, stopped: map[*pool.Run]bool{},
	}
}

// forget drops what is noted of a run that is over.
func (x *session) forget(r *pool.Run) {
	delete(x.settledAt, r)
	delete(x.stopped, r)
}

// usable reports whether the endpoint may get new runs. The shard's lock is held. A report to the present fence is needed:
// another dispatcher may have used the endpoint under a fence in between.
func (x *session) usable() bool {
	return x.listed && x.reported && x.reportedTo == x.shard.term.Fence && x.answering && !x.endpoint.Draining && x.registrationHolds()
}

// registrationHolds reports whether the registration is of the process that answers. A process that has started again
// under the same name may have less room than the one before.
func (x *session) registrationHolds() bool {
	return x.endpoint.StartedUnixMS == 0 || x.born == 0 || x.endpoint.StartedUnixMS == x.born
}

// run looks at the endpoint again and again until the term or the endpoint ends.
func (x *session) run(ctx context.Context) {
	x.shard.mu.Lock()
	ctx, x.cancel = context.WithCancel(ctx)
	x.shard.mu.Unlock()
	for ctx.Err() == nil {
		pause(ctx, x.look(ctx))
	}
	x.orders.Close()
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// look asks for one report and returns the pause before the next look.
func (x *session) look(ctx context.Context) time.Duration {
	sent, order := x.prepare()
	report, refusal, err := x.orders.RenewLease(ctx, order)
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	now := s.opts.Now()
	switch {
	case err != nil:
		x.silent(now, err)
		return retryPause
	case refusal != work.Done:
		return x.refused(refusal, order.Fence)
	}
	x.apply(report, order.Fence, sent, now)
	s.dispatch()
	return 0
}

// tolerated is the number of unanswered looks in a row from which an endpoint gets no new runs.
const tolerated = 2

// extendingTries is how many unanswered looks in a row still extend the lease. Later ones do not, so that it is known
// when what runs on a silent endpoint has lapsed.
const extendingTries = 2

// prepare returns the next order to report. One to an endpoint that does not answer does not wait.
func (x *session) prepare() (time.Duration, work.LeaseRequest) {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	order := work.LeaseRequest{Fence: s.term.Fence, Acknowledged: x.acknowledged}
	busy := s.pool.Busy(x.endpoint.ID)
	if x.reported && busy && x.failures < extendingTries {
		order.LeaseEnd = x.until(now)
		x.extended = now
	}
	switch {
	case !x.answering || x.failures > 0:
	case busy && s.lossy && now-s.lostAt < lossyMemory:
		order.Wait = lossyWait
	case busy:
		order.Wait = busyWait
	default:
		order.Wait = idleWait
	}
	return now, order
}

// until returns the end of a full lease on the endpoint's clock.
func (x *session) until(now time.Duration) time.Duration {
	return x.clock + (now - x.clockAt) + x.shard.opts.Lease
}

func (x *session) silent(now time.Duration, err error) {
	s := x.shard
	x.failures++
	s.lossy, s.lostAt = true, now
	if x.answering && x.failures < tolerated && errors.Is(err, work.ErrTimeout) {
		return // one lost answer says little; the end of a connection may be the end of the process
	}
	if x.answering {
		s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_silent", "endpoint": x.endpoint.ID}).WithError(err).
			Warn("the endpoint does not answer")
	}
	x.answering = false
	s.pool.SetUsable(x.endpoint.ID, false)
	if !x.cleared && now-x.extended > s.lapse() && now-x.heard > s.lapse() {
		x.cleared = true
		s.opts.Log.WithFields(logrus.Fields{
			"event": "endpoint_lapsed", "endpoint": x.endpoint.ID, "runs": len(s.pool.RunsOn(x.endpoint.ID)),
			"silent_ms": (now - x.heard).Milliseconds(),
		}).Warn("the lease of a silent endpoint has ended")
		x.clear(now)
		s.dispatch()
	}
	if !x.listed && now-x.heard > goneAfter {
		s.drop(x, "silent and not registered")
	}
}

// refused handles an answer without a report to a look with a fence. It returns the pause before the next look.
func (x *session) refused(r work.Refusal, fence int64) time.Duration {
	s := x.shard
	switch {
	case r == work.Fenced && fence < s.term.Fence:
		return 0 // refused for this instance's own newer fence
	case r == work.Fenced:
		x.outranked()
		return fencedPause
	case r == work.OtherProcess:
		s.drop(x, "another process answers at the address")
	}
	return retryPause
}

// outranked notes that the endpoint has seen a higher fence than this dispatcher's.
func (x *session) outranked() {
	s := x.shard
	if x.outrankedAt != s.term.Fence {
		s.opts.Log.WithFields(logrus.Fields{"event": "fenced", "endpoint": x.endpoint.ID, "fence": s.term.Fence}).
			Warn("the endpoint has seen a higher fence")
	}
	x.outrankedAt = s.term.Fence
	x.answering = false
	s.pool.SetUsable(x.endpoint.ID, false)
	s.endIfOutranked()
	s.opts.OnFenced()
}

// apply takes a report of the endpoint that was asked for with a fence at a time. Of a report that a newer one has
// overtaken only the ends count.
func (x *session) apply(report work.Report, fence int64, sent, now time.Duration) {
	s := x.shard
	if x.reborn(report) {
		s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_reborn", "endpoint": x.endpoint.ID, "born": report.StartedUnixMS}).
			Warn("the endpoint's process started again")
		x.acknowledged, x.reportClock = 0, 0
		x.clear(now)
	}
	if !x.answering {
		s.opts.Log.WithFields(logrus.Fields{
			"event": "endpoint_back", "endpoint": x.endpoint.ID, "running": len(report.Running), "fence": s.term.Fence,
		}).Info("the endpoint answers")
	}
	overtaken := report.Clock < x.reportClock
	x.born, x.heard = report.StartedUnixMS, now
	x.answering, x.cleared, x.failures = true, false, 0
	if !overtaken {
		x.clock, x.clockAt, x.reportClock = report.Clock, now, report.Clock
		x.reportedTo = max(x.reportedTo, fence)
		x.applyRuns(report, now)
	}
	for _, end := range report.Ended {
		if end.Sequence > x.acknowledged {
			x.acknowledged = end.Sequence
			x.applyEnd(end, now)
		}
	}
	if !overtaken {
		x.applyMissing(report, sent, now)
	}
	x.reported = true
	s.pool.SetUsable(x.endpoint.ID, x.usable())
}

// clear gives up all runs of an endpoint that is known to run nothing.
func (x *session) clear(now time.Duration) {
	clear(x.settledAt)
	clear(x.stopped)
	x.shard.finish(x.shard.pool.EndRunsOn(x.endpoint.ID, now))
}

func (x *session) reborn(report work.Report) bool {
	if x.born != 0 && report.StartedUnixMS != 0 {
		return report.StartedUnixMS != x.born
	}
	return x.reported && report.Clock+clockSlack < x.reportClock
}

func (x *session) applyRuns(report work.Report, now time.Duration) {
	p := x.shard.pool
	strays := 0
	for _, run := range report.Running {
		known := p.Run(run.Task)
		switch {
		case known == nil:
			if found := p.RunFound(x.endpoint.ID, run, now); found != nil {
				x.settledAt[found] = now
			}
		case known.Endpoint != x.endpoint.ID || known.Number != run.Run:
			strays++
			x.stopStray(run, known)
		default:
			p.RunProgressed(run.Task, run.Run, run.Percent, now)
		}
	}
	p.SetSupersededRuns(x.endpoint.ID, strays)
}

// stopStray stops a run beside the one that counts.
func (x *session) stopStray(run work.Run, known *pool.Run) {
	s := x.shard
	s.opts.Log.WithFields(logrus.Fields{
		"event": "stray_run", "task": run.Task.String(), "run": run.Run, "endpoint": x.endpoint.ID,
		"other_run": known.Number, "other_endpoint": known.Endpoint,
	}).Warn("a run that was given up still runs and is stopped")
	go x.stop(&pool.Run{Task: run.Task, Number: run.Run, Endpoint: x.endpoint.ID}, s.term.Fence)
}

func (x *session) applyEnd(end work.End, now time.Duration) {
	s := x.shard
	if r := s.pool.Run(end.Task); r != nil {
		x.forget(r)
		if end.Reason == work.EndSucceeded {
			s.opts.Counts.RunMS.AddDuration(now - r.Ordered)
		}
	}
	if end.Reason != work.EndSucceeded {
		s.opts.Counts.UnsuccessfulRuns.Add(1)
		s.opts.Log.WithFields(logrus.Fields{
			"event": "run_ended", "task": end.Task.String(), "run": end.Run, "endpoint": x.endpoint.ID, "reason": end.Reason,
		}).Info("a run ended without success")
	}
	s.finish(s.pool.RunEnded(x.endpoint.ID, end, now))
}

// applyMissing ends the runs that a report would list if they were there.
func (x *session) applyMissing(report work.Report, sent, now time.Duration) {
	s := x.shard
	listed := make(map[work.TaskID]int, len(report.Running))
	for _, run := range report.Running {
		listed[run.Task] = run.Run
	}
	for _, r := range s.pool.RunsOn(x.endpoint.ID) {
		if listed[r.Task] == r.Number {
			continue
		}
		at, ok := x.settledAt[r]
		if !ok {
			at = r.Ordered + s.lapse()
		}
		if sent < at {
			continue
		}
		x.forget(r)
		s.opts.Log.WithFields(logrus.Fields{
			"event": "run_missing", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID,
			"ordered_ms_ago": (now - r.Ordered).Milliseconds(),
		}).Info("the endpoint does not list the run any more")
		s.finish(s.pool.RunLost(r, now))
	}
}

// start orders a run.
func (x *session) start(r *pool.Run, spec string, fence int64) {
	s := x.shard
	s.mu.Lock()
	now := s.opts.Now()
	x.extended = now
	order := work.StartRequest{Task: r.Task, Run: r.Number, Spec: spec, LeaseEnd: x.until(now), Fence: fence}
	s.mu.Unlock()
	refusal, clock, err := x.orders.Start(context.Background(), order)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[x.endpoint.ID] != x || s.pool.Run(r.Task) != r {
		return
	}
	now = s.opts.Now()
	if clock > 0 && !errors.Is(err, work.ErrNoResponse) {
		x.clock, x.clockAt = clock, now
	}
	switch {
	case err != nil:
		x.unanswered(r, now, err)
	case refusal == work.Done:
		x.settledAt[r] = now
		s.pool.RunStarted(r)
	default:
		x.startRefused(r, refusal, fence, now)
	}
	s.dispatch()
}

// unanswered handles a start that may have been carried out, or may be later: it is stopped, and its task starts
// elsewhere when the endpoint has confirmed that.
func (x *session) unanswered(r *pool.Run, now time.Duration, err error) {
	s := x.shard
	s.opts.Counts.UnansweredStarts.Add(1)
	s.lossy, s.lostAt = true, now
	s.opts.Log.WithFields(logrus.Fields{
		"event": "start_unanswered", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID,
		"ordered_ms_ago": (now - r.Ordered).Milliseconds(),
	}).WithError(err).Warn("it is not known whether the run started")
	if r.State == pool.Ordered {
		s.stopAll([]*pool.Run{s.pool.Withdraw(r)})
	}
}

func (x *session) startRefused(r *pool.Run, refusal work.Refusal, fence int64, now time.Duration) {
	s := x.shard
	s.opts.Log.WithFields(logrus.Fields{
		"event": "start_refused", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID,
		"refusal": refusal.String(), "fence": fence,
	}).Info("the endpoint did not start the run")
	switch refusal {
	case work.Fenced:
		if fence < s.term.Fence {
			break // refused for this instance's own newer fence
		}
		x.outranked()
		if !s.leading {
			return // the term has ended, and with it the pool that the run is of
		}
	case work.NoRoom, work.TooLate:
		// The next report corrects what is believed of the endpoint.
		x.answering = false
		s.pool.SetUsable(x.endpoint.ID, false)
	case work.OtherProcess:
		s.drop(x, "another process answers at the address")
		return
	case work.InvalidRequest:
		s.finish(s.pool.RunImpossible(r))
		return
	}
	s.pool.RunRefused(r, refusal, now)
}

// stop orders the end of a run and asks for a report: one that does not list the run shows that it is over.
func (x *session) stop(r *pool.Run, fence int64) {
	refusal, err := x.orders.Stop(context.Background(), r.Task, r.Number, fence)
	if !x.stopAnswered(r, refusal, err) {
		return
	}
	time.Sleep(stopTime)
	x.check()
}

// check asks for a report beside the regular looks. If there is none, the next look brings it.
func (x *session) check() {
	sent, order := x.glance()
	report, refusal, err := x.orders.RenewLease(context.Background(), order)
	if err != nil || refusal != work.Done {
		return
	}
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[x.endpoint.ID] == x {
		x.apply(report, order.Fence, sent, s.opts.Now())
		s.dispatch()
	}
}

// stopAnswered notes the answer to a stop and returns whether it was confirmed.
func (x *session) stopAnswered(r *pool.Run, refusal work.Refusal, err error) bool {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || refusal != work.Done {
		s.opts.Log.WithFields(logrus.Fields{
			"event": "stop_failed", "task": r.Task.String(), "run": r.Number, "endpoint": x.endpoint.ID, "refusal": refusal.String(),
		}).WithError(err).Warn("the stop is not confirmed and is repeated")
		return false
	}
	if s.pool.Run(r.Task) == r && !x.stopped[r] {
		x.stopped[r] = true
		x.settledAt[r] = s.opts.Now() + stopTime
	}
	return true
}

// glance returns an order for a report that neither waits nor extends the lease.
func (x *session) glance() (time.Duration, work.LeaseRequest) {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Now(), work.LeaseRequest{Fence: s.term.Fence, Acknowledged: x.acknowledged}
}
