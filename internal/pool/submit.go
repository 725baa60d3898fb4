package pool

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Reason tells why a job was not taken.
type Reason string

// The reasons.
const (
	ReasonNone          Reason = ""
	ReasonNoRoom        Reason = "no_room"     // its objective cannot be met behind the work that is waiting
	ReasonTooLarge      Reason = "too_large"   // no endpoint could ever run one of its tasks
	ReasonNoEndpoint    Reason = "no_endpoint" // no endpoint of its service is usable now
	ReasonNotLeader     Reason = "not_leader"  // this instance does not dispatch for the shard
	ReasonWaitedTooLong Reason = "waited"      // it was taken, and did not start in time
)

// Verdict is the decision on a submission.
type Verdict struct {
	Reason           Reason        // ReasonNone if it was taken
	RetryAfter       time.Duration // after which room is expected, for a refusal
	ExpectedWait     time.Duration // expected wait of its last task
	Slack            time.Duration // wait that its objective allows
	Endpoints        int           // endpoints of its service that take new runs now
	FreeMilliCPU     int           // their free room in thousandths of a core, in pieces of the job's largest task
	JobsAhead        int           // jobs that go before it
	ReservedMilliCPU int           // room that it has to leave to other queues, in thousandths of a core
}

// Taken reports whether the job was taken.
func (v Verdict) Taken() bool { return v.Reason == ReasonNone }

const (
	// waitShare is the part of a job's slack that the expected wait may take; the rest is for work that arrives later
	// and goes first.
	waitShare = 0.8
	// minRetryAfter keeps refused callers from coming back within the same burst.
	minRetryAfter = time.Second
)

// Submit decides on a job whose caller's request arrived at a time, and takes it or not. mayRun, for a job that another dispatcher may have started, is the time
// until which its tasks may run on endpoints that have not reported yet; 0 for a new job.
//
// It answers demand that swings above capacity within seconds: a job that would miss its objective behind the work that
// goes before it is refused at once, so that the work that was taken is still worth its run time. A job that need not
// wait is taken even if it comes late, as from an instance that was slow, unless its answer would be of no use any more.
func (p *Pool) Submit(w *work.Job, now, arrived, mayRun time.Duration) (Verdict, []Outcome) {
	if p.jobs[w.ID] != nil {
		return Verdict{}, nil
	}
	j := p.newJob(w, arrived, mayRun)
	v := p.judge(j, now, j.resumed)
	if !j.resumed && (v.Taken() || v.Reason == ReasonNoRoom) { // room that others leave does not help the rest
		p.noteDemand(j, v.Taken(), now)
	}
	if !v.Taken() {
		return v, nil
	}
	p.jobs[w.ID] = j
	p.adopt(j)
	if j.left == 0 {
		p.finish(j)
		return v, []Outcome{{Job: j.ID, State: work.Completed}}
	}
	if j.hasWaiting() {
		p.enqueue(j)
	}
	return v, nil
}

// ReleaseResumed lets the jobs start that waited for endpoints to report.
func (p *Pool) ReleaseResumed() {
	for _, j := range p.jobs {
		j.mayRun = 0
	}
}

func (p *Pool) newJob(w *work.Job, arrived, mayRun time.Duration) *job {
	j := &job{Job: w, arrived: arrived, mayRun: mayRun, resumed: mayRun > 0, runs: map[work.TaskID]*Run{}, failures: map[work.TaskID]int{}}
	for i, s := range w.Steps {
		st := stepState{left: s.Count}
		for index := 0; index < s.Count; index++ {
			st.waiting = append(st.waiting, index)
		}
		j.left += s.Count
		j.steps = append(j.steps, st)
		j.expected = max(j.expected, p.chain(w, i))
	}
	p.setAfter(j)
	j.latest = arrived + slack(w.Objective, j.expected)
	return j
}

// setAfter computes the run time that follows each step. Steps depend on earlier ones only.
func (p *Pool) setAfter(j *job) {
	for i := len(j.steps) - 1; i >= 0; i-- {
		run := p.estimates.of(j.Queue, j.Steps[i].Estimate) + j.steps[i].after
		for _, d := range j.Steps[i].DependsOn {
			j.steps[d].after = max(j.steps[d].after, run)
		}
	}
}

// chain returns the expected run time of the longest chain of steps that ends with a step.
func (p *Pool) chain(w *work.Job, step int) time.Duration {
	longest := time.Duration(0)
	for _, d := range w.Steps[step].DependsOn {
		longest = max(longest, p.chain(w, d))
	}
	return longest + p.estimates.of(w.Queue, w.Steps[step].Estimate)
}

// slack returns how long a job may wait without missing its objective.
func slack(o work.Objective, expected time.Duration) time.Duration {
	return time.Duration(math.Max(o.Stretch-1, 0)*float64(expected)) + o.Extra
}

func (j *job) hasWaiting() bool {
	for i := range j.steps {
		if len(j.steps[i].waiting) > 0 {
			return true
		}
	}
	return false
}

// hasReady reports whether a task of the job may start now.
func (j *job) hasReady() bool {
	for i := range j.steps {
		if len(j.steps[i].waiting) > 0 && j.ready(i) {
			return true
		}
	}
	return false
}

func (p *Pool) judge(j *job, now time.Duration, resumed bool) Verdict {
	v := Verdict{Slack: j.latest - now}
	possible, total := p.room(j)
	if possible != ReasonNone {
		v.Reason, v.RetryAfter = possible, minRetryAfter
		return v
	}
	if resumed {
		return v
	}
	f := p.forecast(j.Service, j.largest(), now)
	f.reserve(j.Service, now, now+j.expected)
	v.ReservedMilliCPU = p.kept(j, total.MilliCPU, now)
	f.free -= v.ReservedMilliCPU
	v.Endpoints, v.FreeMilliCPU = f.endpoints, f.free
	for _, q := range p.queue {
		if q.Service == j.Service && q.hasReady() && before(q, j) {
			f.add(q)
			v.JobsAhead++
		}
	}
	v.ExpectedWait = f.add(j) - now
	if v.ExpectedWait > 0 && float64(v.ExpectedWait) > waitShare*float64(v.Slack) || now-j.arrived > maxLate(j) {
		v.Reason = ReasonNoRoom
		v.RetryAfter = max(minRetryAfter, time.Duration(p.queuedWork()/float64(total.MilliCPU)))
	}
	return v
}

// largest returns the size of a job's largest task.
func (j *job) largest() work.Size {
	var largest work.Size
	for i := range j.Steps {
		if j.Steps[i].Size.MilliCPU > largest.MilliCPU {
			largest = j.Steps[i].Size
		}
	}
	return largest
}

// Pressure returns the processors that are taken or waited for, in percent of the usable ones. Without any it is high.
func (p *Pool) Pressure() int {
	const noRoom = 1000
	total, wanted := 0, 0
	for _, e := range p.order {
		if e.usable && !e.Draining {
			total += e.Size.MilliCPU
			wanted += e.used.MilliCPU
		}
	}
	for _, j := range p.queue {
		for i := range j.steps {
			if j.ready(i) {
				wanted += len(j.steps[i].waiting) * j.Steps[i].Size.MilliCPU
			}
		}
	}
	if total == 0 {
		return noRoom
	}
	return 100 * wanted / total
}

// room checks that each step fits some endpoint, and returns the size of the endpoints of the job's service.
func (p *Pool) room(j *job) (Reason, work.Size) {
	var total work.Size
	for _, e := range p.order {
		if e.Service == j.Service && e.usable && !e.Draining {
			total = total.Plus(e.Size)
		}
	}
	if total.MilliCPU == 0 {
		return ReasonNoEndpoint, total
	}
	for i := range j.Steps {
		if !p.possible(j, &j.Steps[i]) {
			return ReasonTooLarge, total
		}
	}
	return ReasonNone, total
}

func (p *Pool) possible(j *job, s *work.Step) bool {
	for _, e := range p.order {
		if e.Service == j.Service && s.Size.Fits(e.Size) && e.HasLabel(s.Label) {
			return true
		}
	}
	return false
}

// waitingWork returns the work of a job's unstarted tasks, in thousandths of a core times nanoseconds.
func (p *Pool) waitingWork(j *job) float64 {
	sum := 0.0
	for i := range j.steps {
		s := &j.Steps[i]
		run := p.estimates.of(j.Queue, s.Estimate)
		sum += float64(len(j.steps[i].waiting)) * float64(s.Size.MilliCPU) * float64(run)
	}
	return sum
}

// queuedWork returns the work of all unstarted tasks, in thousandths of a core times nanoseconds.
func (p *Pool) queuedWork() float64 {
	sum := 0.0
	for _, q := range p.queue {
		sum += p.waitingWork(q)
	}
	return sum
}

// adopt attaches runs that another dispatcher has started.
func (p *Pool) adopt(j *job) {
	for task, r := range p.runs {
		if task.Job == j.ID && r.State != Stopping {
			p.attach(j, r)
		}
	}
	p.adoptEnds(j)
}

// attach gives a job the run of one of its tasks that another dispatcher has started.
func (p *Pool) attach(j *job, r *Run) {
	if !j.has(r.Task) || !j.removeWaiting(r.Task) {
		return
	}
	s := &j.Steps[r.Task.Step]
	p.resize(r, s.Size)
	r.job, r.Expected = j, p.estimates.of(j.Queue, s.Estimate)
	j.runs[r.Task] = r
	j.started = true
}

// adoptEnds counts the tasks that have succeeded under another dispatcher.
func (p *Pool) adoptEnds(j *job) {
	for task := range p.past {
		if task.Job == j.ID {
			j.countPast(task)
		}
	}
}

// countPast counts a task that has succeeded under another dispatcher, and returns whether the job waited for it.
func (j *job) countPast(task work.TaskID) bool {
	if !j.has(task) || !j.removeWaiting(task) {
		return false
	}
	j.started = true
	j.left--
	j.steps[task.Step].left--
	return true
}

// resize sets the room that a found run takes.
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

func (j *job) has(task work.TaskID) bool {
	return task.Occurrence == 0 && task.Step < len(j.Steps) && task.Index < j.Steps[task.Step].Count
}

func (j *job) removeWaiting(task work.TaskID) bool {
	waiting := j.steps[task.Step].waiting
	for i, index := range waiting {
		if index == task.Index {
			j.steps[task.Step].waiting = append(waiting[:i], waiting[i+1:]...)
			return true
		}
	}
	return false
}

// RunFound records a run that an endpoint lists and that this pool has not ordered. While its job is not here its size is not
// known, so the endpoint takes nothing more until the run has ended or its job is submitted.
func (p *Pool) RunFound(id work.EndpointID, found work.Run, now time.Duration) *Run {
	e := p.endpoints[id]
	if e == nil || p.runs[found.Task] != nil {
		return nil
	}
	r := &Run{
		Task: found.Task, Number: found.Run, Endpoint: id, State: Confirmed, Ordered: now, Percent: found.Percent, ProgressedAt: now,
		unsized: true,
	}
	p.runs[found.Task] = r
	p.numbers[found.Task] = max(p.numbers[found.Task], found.Run)
	e.runs++
	e.unsized++
	if j := p.jobs[found.Task.Job]; j != nil {
		p.attach(j, r)
	}
	return r
}

// Overdue returns the jobs that were taken and can no longer meet three times their objective without having started.
// Resumed jobs are not among them: whether they have run elsewhere is not known.
func (p *Pool) Overdue(now time.Duration) []work.JobID {
	var late []work.JobID
	for _, j := range p.queue {
		if !j.started && !j.resumed && now-j.arrived > maxLate(j) {
			late = append(late, j.ID)
		}
	}
	return late
}

// lateFactor is the multiple of the objective up to which a late answer is still of use to a caller.
const lateFactor = 3

func maxLate(j *job) time.Duration {
	objective := j.expected + slack(j.Objective, j.expected)
	return lateFactor*objective - j.expected
}
