package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Reason is the reason why a job was not accepted. The values are part of the protocol and of the log.
type Reason string

// The reasons.
const (
	ReasonNone          Reason = ""
	ReasonNoRoom        Reason = "no_room"     // the job would miss its objective behind the jobs that start first
	ReasonTooLarge      Reason = "too_large"   // a task of the job fits on no endpoint, not even on an idle one
	ReasonNoEndpoint    Reason = "no_endpoint" // no endpoint of the job's service takes new runs now
	ReasonNotLeader     Reason = "not_leader"  // this instance does not dispatch for the shard
	ReasonWaitedTooLong Reason = "waited"      // the job was accepted and did not start in time
	// ReasonGivenBack gives back a job that was accepted, has not started, and would miss its objective behind the jobs that start first.
	ReasonGivenBack Reason = "given_back"
	ReasonExpired   Reason = "expired" // the submission waited for longer than its caller does
	// ReasonPlacedElsewhere refuses a submission by the home of the job: another request has placed the job at another dispatcher.
	ReasonPlacedElsewhere Reason = "placed_elsewhere"
	// ReasonEvacuated refuses a job in an evacuated zone: nothing of it has run there, and another zone may take it.
	ReasonEvacuated Reason = "evacuated"
	// ReasonRepeated refuses a job that its caller has sent before and that would end too late to be of use, see RepeatedInVain.
	ReasonRepeated Reason = "repeated"
	// ReasonUnsettled answers a search for a job by a dispatcher that does not know yet what runs on all its endpoints.
	ReasonUnsettled  Reason = "unsettled"
	ReasonSuperseded Reason = "superseded" // another instance has submitted the job and attends to its caller; in the log only
)

// Verdict is the decision on a submission, with the figures that it rests on.
type Verdict struct {
	Reason           Reason        // ReasonNone if the job was accepted
	RetryAfter       time.Duration // time after which capacity is expected, for a refusal
	ExpectedWait     time.Duration // expected time until the job's last task starts; a lower bound after ReasonNoRoom
	Slack            time.Duration // wait that the job's objective still allows
	Endpoints        int           // number of endpoints of the service that take new runs now
	Isolated         int           // number of endpoints of the service that are kept for suspects
	FreeMilliCPU     int           // free capacity of Endpoints in 1/1000 core, counted in multiples of the job's largest task
	JobsAhead        int           // number of queued jobs that start before the job; a lower bound after ReasonNoRoom
	ReservedMilliCPU int           // capacity that is reserved for other queues, in thousandths of a core
}

// Accepted reports whether the job was accepted.
func (v Verdict) Accepted() bool { return v.Reason == ReasonNone }

const (
	// waitShare is the share of a job's slack that its expected wait may use. The rest covers jobs that arrive later and
	// overtake it.
	waitShare = 0.8
	// minRetryAfter keeps refused callers from retrying within the same burst.
	minRetryAfter = time.Second
)

// Submit accepts or refuses a job whose request arrived at the time arrived. A notBefore above 0 marks a resumed job, which
// another dispatcher may have started: its tasks do not start before that time, since until then they may run on endpoints
// that have not reported. It is 0 for a new job. A job that the pool already holds counts as accepted; its tasks that have not started
// wait until notBefore, too.
// The outcome is that of a resumed job whose tasks have all succeeded already.
//
// Demand can exceed capacity within seconds. A job that would miss its objective behind the jobs that start first is refused
// at once, so that accepted jobs end in time. A job that starts without waiting is accepted even if it arrives late, as from
// a slow instance, unless it is so late that its result would be of no use.
func (p *Pool) Submit(w *work.Job, now, arrived, notBefore time.Duration) (Verdict, []Outcome) {
	if known := p.jobs[w.ID]; known != nil {
		known.resume(notBefore)
		return Verdict{}, nil
	}
	j := p.newJob(w, arrived, notBefore)
	if out := p.givenUpBefore(j); out != nil {
		return Verdict{}, out
	}
	v := p.decide(j, now, j.resumed)
	if !j.resumed && (v.Accepted() || v.Reason == ReasonNoRoom) {
		// Jobs refused for other reasons could not use reserved capacity.
		p.recordDemand(j, v.Accepted(), now)
	}
	if !v.Accepted() {
		return v, nil
	}
	p.jobs[w.ID] = j
	p.adopt(j)
	if j.remaining == 0 {
		p.finish(j)
		return v, []Outcome{{Job: j.ID, State: work.Completed}}
	}
	if j.hasWaiting() {
		p.enqueue(j)
	}
	return v, nil
}

// ReleaseResumed lets a resumed job start that waited until the runs of its tasks were known.
func (p *Pool) ReleaseResumed(id work.JobID) {
	if j := p.jobs[id]; j != nil {
		j.notBefore = 0
	}
}

func (p *Pool) decide(j *job, now time.Duration, resumed bool) Verdict {
	v := Verdict{Slack: j.latestStart - now}
	reason, total := p.capacity(j)
	if reason != ReasonNone {
		v.Reason, v.RetryAfter = reason, minRetryAfter
		return v
	}
	if resumed {
		return v
	}
	f := p.forecast(j.Service, j.largest(), now)
	f.reserve(j.Service, now, now+j.expected)
	v.ReservedMilliCPU = p.reservedForOthers(j, total.MilliCPU, now)
	f.free -= v.ReservedMilliCPU
	v.Endpoints, v.Isolated, v.FreeMilliCPU = f.endpoints, f.isolated, f.usable-v.ReservedMilliCPU
	for _, q := range p.queue {
		if q.Service == j.Service && q.hasReady() && precedes(q, j, now) && !endsBefore(j, q, now) {
			f.add(q)
			v.JobsAhead++
			if waitsTooLong(j, f.at, now) {
				break // the jobs behind can only make it wait longer
			}
		}
	}
	v.ExpectedWait = f.add(j) - now
	if waitsTooLong(j, now+v.ExpectedWait, now) || now-j.arrived > maxWait(j) {
		v.Reason = ReasonNoRoom
		v.RetryAfter = max(minRetryAfter, time.Duration(p.queuedWork()/float64(total.MilliCPU)))
	}
	return v
}

// waitsTooLong reports whether a job that starts at a time uses more of its slack for its wait than it may.
func waitsTooLong(j *job, start, now time.Duration) bool {
	return start > now && float64(start-now) > waitShare*float64(j.latestStart-now)
}

// endsBefore reports whether a new job, started with its last slack, is expected to end before a resumed job may start. The resumed job
// then needs no capacity that the new one would use.
//
// Without this, all capacity of a partition would be free and refused for a second after a takeover at a crest.
func endsBefore(j, resumed *job, now time.Duration) bool {
	return max(j.latestStart, now)+j.expected <= resumed.notBefore
}

// Pressure returns the processors that are in use or waited for, in percent of those of the endpoints that are usable or awaited. Without
// such an endpoint it returns 1000.
func (p *Pool) Pressure() int {
	const noEndpoint = 1000
	total, wanted := 0, 0
	for _, e := range p.order {
		if e.counts() {
			total += e.Size.MilliCPU
			wanted += e.used.MilliCPU
		}
	}
	if total == 0 {
		return noEndpoint
	}
	return 100 * (wanted + p.waitingMilliCPU()) / total
}

// capacity checks that each step of a job fits on some endpoint. It returns the reason if not, and the total size of the
// endpoints of the job's service that are usable or awaited.
func (p *Pool) capacity(j *job) (Reason, work.Size) {
	var total work.Size
	for _, e := range p.order {
		if e.Service == j.Service && e.counts() {
			total = total.Plus(e.Size)
		}
	}
	if total.MilliCPU == 0 {
		return ReasonNoEndpoint, total
	}
	for i := range j.Steps {
		if !p.fitsSomeEndpoint(j, &j.Steps[i]) {
			return ReasonTooLarge, total
		}
	}
	return ReasonNone, total
}

func (p *Pool) fitsSomeEndpoint(j *job, s *work.Step) bool {
	for _, e := range p.order {
		if e.Fits(j.Service, s) {
			return true
		}
	}
	return false
}

// queuedWork returns the expected work of all unstarted tasks, in thousandths of a core times nanoseconds.
func (p *Pool) queuedWork() float64 {
	sum := 0.0
	for _, q := range p.queue {
		sum += q.waitingWork()
	}
	return sum
}

// adopt attaches to a job the runs that another dispatcher has started, and counts the tasks that have succeeded there.
func (p *Pool) adopt(j *job) {
	for task, r := range p.runs {
		if task.Job == j.ID && r.State != Stopping {
			p.attach(j, r)
		}
	}
	p.adoptSuccesses(j)
}

// attach assigns to a job the run of one of its tasks that another dispatcher has started.
func (p *Pool) attach(j *job, r *Run) {
	if !j.hasTask(r.Task) || !j.removeWaiting(r.Task) {
		return
	}
	s := &j.Steps[r.Task.Step]
	p.resize(r, s.Size)
	r.job, j.sent = j, true
	p.expect(r, j, p.endpoints[r.Endpoint], r.Ordered)
	j.addRun(r)
}

// adoptSuccesses counts the job's tasks that succeeded under another dispatcher.
func (p *Pool) adoptSuccesses(j *job) {
	for task := range p.unclaimed {
		if task.Job == j.ID {
			j.countSuccess(task)
		}
	}
}

// resize sets the size of a run that was found on an endpoint, once its job is known.
func (p *Pool) resize(r *Run, size work.Size) {
	if !r.unsized {
		return
	}
	if e := p.endpoints[r.Endpoint]; e != nil {
		e.used = e.used.Plus(size)
		e.unsized--
	}
	r.Size, r.unsized = size, false
}

// RunFound records a run that an endpoint reports and that this pool has not ordered, and returns it; nil if the endpoint
// is unknown or the task already has a run. The size of the run is not known until its job is submitted, so the endpoint
// gets no new runs until then, or until the run has ended.
func (p *Pool) RunFound(id work.EndpointID, found work.Run, now time.Duration) *Run {
	e := p.endpoints[id]
	if e == nil || p.runs[found.Task] != nil {
		return nil
	}
	r := &Run{
		Task: found.Task, Number: found.Run, Endpoint: id, State: Confirmed, Ordered: now, Percent: found.Percent, ProgressedAt: now,
		unsized: true, sent: true, started: true,
	}
	p.runs[found.Task] = r
	p.numbers[found.Task] = max(p.numbers[found.Task], found.Run)
	e.runs[r.Task] = r
	e.unsized++
	if j := p.jobs[found.Task.Job]; j != nil {
		p.attach(j, r)
	}
	return r
}

// Overdue returns the accepted jobs that have not started and can no longer end within lateFactor times their objective.
// Resumed jobs are left out, since tasks of them may have run elsewhere, and so are stored ones, which wait.
func (p *Pool) Overdue(now time.Duration) []work.JobID {
	var late []work.JobID
	for _, j := range p.queue {
		if !j.started && !j.resumed && !j.stored && now-j.arrived > maxWait(j) {
			late = append(late, j.ID)
		}
	}
	return late
}

// lateFactor is the multiple of the objective within which a result is still of use to the caller.
const lateFactor = 3

// maxWait returns the longest time from a job's arrival to its start with which its result is still of use.
func maxWait(j *job) time.Duration {
	return lateFactor*j.objective() - j.expected
}
