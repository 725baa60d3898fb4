package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// renewalTimeout is the shortest time that a lease renewal waits for its response beyond the wait that it requests. It is
	// short, since leases depend on renewals. It does not apply to the short polls after calls were lost.
	renewalTimeout = 100 * time.Millisecond
	// firstReportTimeout is the shortest time that the first poll of a term waits for its response. It covers a connection and a
	// request on any path within a region; nothing depends on the poll yet.
	firstReportTimeout = 400 * time.Millisecond
	// pollsPerLease is the number of polls in the time of a lease. A poll waits at an endpoint with runs for at most that part of
	// the lease, so that the lease is extended although single polls are lost.
	pollsPerLease = 5
	// idlePollWait is how long a poll may wait at an endpoint without runs.
	idlePollWait = 450 * time.Millisecond
	// lossyPollWait is the wait after calls were lost: when a poll is lost, an end is not reported before the next poll.
	lossyPollWait = 60 * time.Millisecond
	// callLostMemory is how long after a lost call polls use lossyPollWait.
	callLostMemory = 3 * time.Second
	// retryPause is the pause after a failed poll. It prevents a tight loop when an endpoint refuses connections, and spares an
	// endpoint that stays silent.
	retryPause = 50 * time.Millisecond
	// fencedPause is the pause after a poll that was refused because the endpoint has seen a higher fence. Further polls are
	// refused until this dispatcher gets a higher fence itself, and then it polls at once.
	fencedPause = 250 * time.Millisecond
	// unregisteredTimeout is how long an endpoint without a registration may be silent before it is dropped, if its lease has expired.
	unregisteredTimeout = 3 * time.Second
	// maxStopTime is how long an endpoint may take to stop a run. During that time its reports contain the run; the report of
	// the end comes with the next poll.
	maxStopTime = 60 * time.Millisecond
	// clockTolerance is how far an endpoint's clock may go back between reports before this counts as a restart of its
	// process.
	clockTolerance = 2 * time.Second
)

// requestNumber numbers the requests for reports of a session in the order in which they are prepared. Times cannot take its place: on a
// clock of low resolution a request and the event before it may have the same time.
type requestNumber int64

// session is the connection to one endpoint during a term. The shard's lock guards its fields.
type session struct {
	shard          *Shard
	endpoint       work.Endpoint
	endpointClient work.EndpointClient
	cancel         context.CancelFunc
	path           string // names the way to the endpoint in the window of start requests; constant

	registered      bool                    // the endpoint is registered
	reported        bool                    // the endpoint has reported during the term
	reportedTo      int64                   // highest fence of a poll that was answered with a report
	fencedAt        time.Duration           // when that report came; since then no other dispatcher has started a task there
	acceptedAt      time.Duration           // when the last poll was sent that was answered with a report
	refusedFence    int64                   // this dispatcher's fence when the endpoint last refused it because it had seen a higher one
	answering       bool                    // the endpoint answers; false also from a refusal that bars new runs until the next report
	failures        int                     // consecutive polls without an answer
	acknowledged    int64                   // sequence number of the last end that was received
	unrecorded      map[int64]unrecordedEnd // ends that the endpoint must not forget yet, by sequence number, see recordEnd
	recorded        chan struct{}           // a value ends the pause before the next poll
	startedUnixMS   int64                   // start of the endpoint's process, Unix milliseconds; 0 if not known
	clock           time.Duration           // the endpoint's clock at clockAt
	clockAt         time.Duration           // when the endpoint's clock was read, on this instance's clock
	reportClock     time.Duration           // the endpoint's clock in the newest report
	leaseExtendedAt time.Duration           // when a request that extends the lease was last sent
	movedAt         time.Duration           // when the endpoint moved to this address; 0 if it did not
	granted         time.Duration           // latest end of the lease that was requested, on the endpoint's clock
	lastAnswerAt    time.Duration           // time of the last answer
	leaseExpired    bool                    // the endpoint is silent, its lease has expired and the pool has ended its runs
	// connectionRefused is true if a connection was refused since the last answer.
	connectionRefused bool
	requests          requestNumber // number of the last request for a report
	// lost holds the runs that were ended when the lease of the silent endpoint expired, until it is known whether its process has
	// ended or was only cut off.
	lost []attempt.Attempt
	// visibleFrom holds for each run the first request whose report contains the run while it runs: if the report of that request or
	// a later one lacks the run, the run is over.
	visibleFrom   map[*pool.Run]requestNumber
	stopConfirmed map[*pool.Run]bool // runs whose stop the endpoint has confirmed
}

func newSession(s *Shard, e work.Endpoint) *session {
	return &session{
		shard: s, endpoint: e, endpointClient: s.opts.Dialer.Dial(e), path: string(e.ID), registered: true, lastAnswerAt: s.opts.Now(),
		leaseExtendedAt: s.opts.Now(), recorded: make(chan struct{}, 1), visibleFrom: map[*pool.Run]requestNumber{}, stopConfirmed: map[*pool.Run]bool{},
	}
}

// movedTo returns a session with the endpoint at another address that knows what this one knows of its process. Which requests at the
// earlier address a report from the other one follows is not known.
func (x *session) movedTo(e work.Endpoint) *session {
	moved := *x
	moved.endpoint, moved.registered, moved.endpointClient = e, true, x.shard.opts.Dialer.Dial(e)
	moved.answering, moved.reportedTo, moved.refusedFence = false, 0, 0
	moved.movedAt = x.shard.opts.Now()
	moved.visibleFrom, moved.stopConfirmed = map[*pool.Run]requestNumber{}, map[*pool.Run]bool{}
	return &moved
}

// endedBefore reports whether a registration shows that the process of the session has ended: it is that of a later process.
func (x *session) endedBefore(e work.Endpoint) bool {
	known := x.process().StartedUnixMS
	return known != 0 && e.StartedUnixMS != 0 && known != e.StartedUnixMS
}

// maxLoggedRuns bounds the runs that one log line names.
const maxLoggedRuns = 16

// runNames returns the endpoint's runs as TASK:NUMBER for a log line, at most maxLoggedRuns. The shard's lock is held.
func (x *session) runNames() []string {
	var names []string
	for _, r := range x.shard.pool.RunsOn(x.endpoint.ID) {
		if len(names) == maxLoggedRuns {
			break
		}
		names = append(names, fmt.Sprintf("%s:%d", r.Task, r.Number))
	}
	return names
}

// forget deletes the entries of a run that is over.
func (x *session) forget(r *pool.Run) {
	delete(x.visibleFrom, r)
	delete(x.stopConfirmed, r)
}

// usable reports whether the endpoint may get new runs. The shard's lock is held. The endpoint must have reported to the
// current fence, since another dispatcher may have used it under a fence in between.
func (x *session) usable() bool {
	return x.registered && x.reported && x.reportedTo == x.shard.term.Fence && x.answering && !x.endpoint.Draining &&
		x.registrationCurrent()
}

// registrationCurrent reports whether the registration belongs to the process that answers. A process that was restarted
// under the same name may have less capacity than the one before.
func (x *session) registrationCurrent() bool {
	return x.endpoint.StartedUnixMS == 0 || x.startedUnixMS == 0 || x.endpoint.StartedUnixMS == x.startedUnixMS
}

// run polls the endpoint until the term ends or the endpoint is dropped.
func (x *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, x.poll(ctx), x.recorded)
	}
	x.endpointClient.Close()
}

// poll requests one report, applies it and returns the pause before the next poll.
func (x *session) poll(ctx context.Context) time.Duration {
	request, ok := x.preparePoll()
	if !ok {
		return retryPause
	}
	report, refusal, err := x.renewLease(ctx, request)
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	now := s.opts.Now()
	switch {
	case err != nil:
		x.callFailed(now, err)
		if x.failures < maxAttempts && errors.Is(err, work.ErrTimeout) {
			return 0 // the timeout has been pause enough for a lost call
		}
		return retryPause
	case refusal != work.Done:
		return x.refused(refusal, request.Fence)
	}
	x.applyReport(report, request, now)
	s.dispatch()
	return x.recordPause(now)
}

// reportRequest is a lease renewal as a session sends it.
type reportRequest struct {
	work.LeaseRequest
	First  bool // the endpoint has not reported in this term, so its response time is not known
	sent   time.Duration
	number requestNumber
}

// newReportRequest returns the next request for a report. The shard's lock is held.
func (x *session) newReportRequest(now time.Duration) reportRequest {
	x.requests++
	return reportRequest{
		LeaseRequest: work.LeaseRequest{Fence: x.shard.term.Fence, Acknowledged: x.recordedUpTo()}, First: !x.reported, sent: now, number: x.requests,
	}
}

// listedFromNowOn records that the reports of all requests after this call list a run while it runs. The shard's lock is held.
func (x *session) listedFromNowOn(r *pool.Run) { x.visibleFrom[r] = x.requests + 1 }

// renewLease sends a renewal and waits for the report until its timeout.
func (x *session) renewLease(ctx context.Context, request reportRequest) (work.Report, work.Refusal, error) {
	timeout := x.shard.opts.Window.Timeout()
	switch {
	case request.First:
		timeout = max(timeout, firstReportTimeout)
	case request.Wait > lossyPollWait:
		timeout = max(timeout, renewalTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait+timeout)
	defer cancel()
	sent := x.shard.opts.Now()
	report, refusal, err := x.endpointClient.RenewLease(ctx, request.LeaseRequest)
	if err == nil && request.Wait == 0 {
		x.shard.opts.Window.Observe(x.path, x.shard.opts.Now()-sent)
	}
	return report, refusal, err
}

// requestReport requests a report in addition to the regular polls and returns whether one came. If none does, the next poll
// brings the report.
func (x *session) requestReport() bool {
	request, ok := x.prepareReport()
	if !ok {
		return false
	}
	report, refusal, err := x.renewLease(context.Background(), request)
	if err != nil {
		return false
	}
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case x.ended():
	case refusal == work.Done:
		now := s.opts.Now()
		x.applyReport(report, request, now)
		s.releaseResumed(now)
		s.dispatch()
	case refusal == work.Fenced:
		x.refused(refusal, request.Fence)
	}
	return refusal == work.Done
}

// ended reports whether the endpoint was dropped or the session's term has ended. The shard's fence may be that of another term then, in
// which the endpoint belongs to another partition. The shard's lock is held.
func (x *session) ended() bool { return x.shard.sessions[x.endpoint.ID] != x }

// prepareReport returns a request for a report that neither waits nor extends the lease. ok is false if the session has ended or does not poll yet.
func (x *session) prepareReport() (request reportRequest, ok bool) {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.ended() || s.opts.Now() < s.pollsFrom {
		return reportRequest{}, false
	}
	return x.newReportRequest(s.opts.Now()), true
}

// silentAfterPolls is the number of consecutive unanswered polls from which an endpoint gets no new runs.
const silentAfterPolls = 2

// maxExtendingPolls is the number of consecutive unanswered polls after which polls no longer extend the lease, so that the
// end of the lease of a silent endpoint is known.
const maxExtendingPolls = 2

// preparePoll returns the request of the next poll. The poll does not wait at an endpoint that did not answer
// the last one. ok is false if the session has ended or does not poll yet.
func (x *session) preparePoll() (request reportRequest, ok bool) {
	s := x.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	if x.ended() || now < s.pollsFrom {
		return reportRequest{}, false
	}
	s.abandonExpired(now) // this process may have been stopped; the lease must not be extended for jobs that expired meanwhile
	s.checkStored(now)
	request = x.newReportRequest(now)
	busy := s.pool.Busy(x.endpoint.ID)
	if x.reportedTo == s.term.Fence && busy && x.failures < maxExtendingPolls && !x.unattended() {
		request.LeaseEnd = x.extendLease(now)
	}
	switch {
	case !x.answering || x.failures > 0:
	case busy && s.callLost && now-s.callLostAt < callLostMemory:
		request.Wait = min(lossyPollWait, s.opts.Lease/pollsPerLease)
	case busy:
		request.Wait = s.opts.Lease / pollsPerLease
	default:
		request.Wait = idlePollWait
	}
	return request, true
}

// callFailed handles a poll without an answer. The shard's lock is held.
func (x *session) callFailed(now time.Duration, err error) {
	s := x.shard
	x.failures++
	s.callLost, s.callLostAt = true, now
	if x.answering && x.failures < silentAfterPolls && errors.Is(err, work.ErrTimeout) {
		return // a single timeout is weak evidence; a closed connection may mean that the process has ended
	}
	if x.answering {
		s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_silent", "endpoint": x.endpoint.ID, "tasks": x.runNames()}).WithError(err).
			Warn("endpoint does not answer; it gets no new runs")
	}
	if errors.Is(err, work.ErrRefused) && !x.connectionRefused {
		x.connectionRefused = true
		s.opts.Log.WithFields(logrus.Fields{"event": "endpoint_refuses", "endpoint": x.endpoint.ID, "tasks": x.runNames()}).WithError(err).
			Warn("no process listens at the endpoint's address, or a firewall rejects the connection")
	}
	x.answering = false
	s.pool.SetUsable(x.endpoint.ID, false)
	s.pool.SetSilent(x.endpoint.ID, true)
	if !x.leaseExpired && now-x.leaseExtendedAt > s.leaseExpiryTime() && now-x.lastAnswerAt > s.leaseExpiryTime() {
		x.leaseExpired = true
		s.opts.Log.WithFields(logrus.Fields{
			"event": "endpoint_lapsed", "endpoint": x.endpoint.ID, "runs": len(s.pool.RunsOn(x.endpoint.ID)),
			"silent_ms": (now - x.lastAnswerAt).Milliseconds(), "refused": x.connectionRefused, "tasks": x.runNames(),
		}).Warn("lease of a silent endpoint has expired; its runs are over")
		if x.connectionRefused && !x.endpoint.Draining {
			x.crashed(now)
		} else {
			x.lost = x.startedRuns()
			x.clear(now)
		}
		s.dispatch()
	}
	if !x.registered && x.leaseExpired && now-x.lastAnswerAt > unregisteredTimeout {
		s.drop(x, "silent and not registered", false)
	}
}

// refused handles the refusal of a poll that was sent with a fence. It returns the pause before the next poll.
func (x *session) refused(r work.Refusal, fence int64) time.Duration {
	s := x.shard
	switch {
	case r == work.Fenced && fence < s.term.Fence:
		return 0 // the higher fence is this dispatcher's own
	case r == work.Fenced:
		x.handleOutranked()
		return fencedPause
	case r == work.OtherProcess:
		s.drop(x, "another process answers at the address", true)
	}
	return retryPause
}

// handleOutranked handles a refusal by an endpoint that has seen a higher fence than this dispatcher's.
func (x *session) handleOutranked() {
	s := x.shard
	if x.refusedFence != s.term.Fence {
		s.opts.Log.WithFields(logrus.Fields{"event": "fenced", "endpoint": x.endpoint.ID, "fence": s.term.Fence}).
			Warn("endpoint has seen a higher fence; it gets no new runs")
	}
	x.refusedFence = s.term.Fence
	x.answering = false
	s.pool.SetUsable(x.endpoint.ID, false)
	s.endIfOutranked()
	s.opts.OnFenced()
}
