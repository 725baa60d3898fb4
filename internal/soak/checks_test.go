package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

// Time bounds of the users' platform.
const (
	contact         = 3 * time.Second        // after a disturbance, before a program must keep bounds
	configBound     = 2 * time.Second        // from the acknowledgement of a configuration until all instances use it
	revertSlack     = 250 * time.Millisecond // between a use of a configuration and requests that must not meet an older one
	disturbedFactor = 8                      // factor on revertSlack for instances that are disturbed
	drainBound      = 2 * time.Second        // from the acknowledgement that an endpoint leaves until it gets no new runs
	cutSlack        = 200 * time.Millisecond // a request that is sent so shortly before a planned stop closes its connection may be cut
	recoveryBound   = 12 * time.Second       // from the restart of all instances until they serve
	grace           = 6 * time.Second        // from SIGTERM to SIGKILL
	lease           = time.Second            // longest lease of runs
	stopTime        = 50 * time.Millisecond  // time that the stop of a run takes
	lateSend        = 3 * time.Second        // a request sent this long after SIGTERM, or earlier, may be cut by the kill if its tasks still run
)

// rule is a promise that is checked against what callers and endpoints have seen.
type rule struct {
	name  string
	check func(v *view) []string
}

var rules = []rule{
	{"one run of a task at a time", overlappingRuns},
	{"refusals are true", falseRefusals},
	{"answers are whole", partialAnswers},
	{"only tasks of submitted jobs run", unaskedRuns},
	{"steps run in order", earlySteps},
	{"capacity is never exceeded", exceededCapacity},
	{"fences never fall", fallingFences},
	{"one holder for each fence", sharedFences},
	{"leaving endpoints get no new runs", startsWhileDraining},
	{"evacuated zones get no new runs", startsWhileEvacuated},
	{"configuration is in force in time", lateConfigs},
	{"configuration never goes back", revertedConfigs},
	{"planned stops cut no request", cutRequests},
	{"no stored task starts after a noted success", startsAfterSuccess},
	{"no stored task starts after its attempts", startsAfterAttempts},
	{"stored jobs are not lost", lostJobs},
	{"stored states are true", falseStates},
	{"cancelled jobs stop", startsAfterCancel},
}

// maxSlack is the longest pause of the soak itself that only extends bounds. During a longer one the stand-ins and relays, which
// run in the soak's process, are an outage for all instances.
const maxSlack = 250 * time.Millisecond

// disturbed reports whether a program, or the store, was disturbed at any time from contact before from until to.
func (v *view) disturbed(who string, from, to time.Time) bool {
	near := func(s span) bool { return s.From.Before(to) && (s.To.IsZero() || s.To.Add(contact).After(from)) }
	return slices.ContainsFunc(v.spans, func(s span) bool { return (s.Who == who || s.Who == storeName) && near(s) }) ||
		slices.ContainsFunc(v.pauses, func(s span) bool { return s.To.Sub(s.From) > maxSlack && near(s) })
}

// slack returns for how long the soak itself did not get the processor in a time.
func (v *view) slack(from, to time.Time) time.Duration { return sumOf(v.pauses, from, to) }

func sumOf(pauses []span, from, to time.Time) time.Duration {
	var sum time.Duration
	for _, p := range pauses {
		if p.From.Before(to) && p.To.After(from) {
			sum += p.To.Sub(p.From)
		}
	}
	return sum
}

// runsOf returns the runs of each task in the order of their starts.
func (v *view) runsOf() map[work.TaskID][]fleet.Start {
	runs := map[work.TaskID][]fleet.Start{}
	for _, s := range v.starts {
		runs[s.Task] = append(runs[s.Task], s)
	}
	return runs
}

func overlappingRuns(v *view) (found []string) {
	for task, runs := range v.runsOf() {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.EndedAt.IsZero() || b.StartedAt.Before(a.EndedAt) {
					found = append(found, fmt.Sprintf("%s: %s, %s%s", task, v.describeRun(a), v.describeRun(b), v.describeSubmissions(task.Job)))
				}
			}
		}
	}
	return found
}

// describeRun returns a run with the instance that has ordered it.
func (v *view) describeRun(s fleet.Start) string {
	by := "an order without an answer"
	for _, o := range v.orders {
		if o.Start && o.Refusal == work.Done && o.Task == s.Task && o.Run == s.Run && o.Endpoint == s.Endpoint {
			by = fmt.Sprintf("%s fence %d", v.callers[o.Caller], o.Fence)
		}
	}
	return fmt.Sprintf("run %d at %s by %s from %s to %s %s", s.Run, s.Endpoint, by, v.since(s.StartedAt), v.since(s.EndedAt), s.Reason)
}

// describeSubmissions returns the submissions of a job, each on a line.
func (v *view) describeSubmissions(id work.JobID) (text string) {
	for _, j := range v.jobs {
		if j.ID != id {
			continue
		}
		for _, a := range j.Attempts {
			text += "\n  " + a.describe(v.since)
		}
	}
	return text
}

func refused(a attempt) bool { return a.Status == 429 || a.Status == 503 }

// falseRefusals finds jobs of which a task ran although every submission was refused.
func falseRefusals(v *view) (found []string) {
	ran := v.jobsThatRan()
	for _, j := range v.jobs {
		if len(j.Attempts) > 0 && !slices.ContainsFunc(j.Attempts, func(a attempt) bool { return !refused(a) }) && ran[j.ID] {
			found = append(found, fmt.Sprintf("%s: refused with status %d, and a task ran", j.ID, j.Attempts[0].Status))
		}
	}
	return found
}

func (v *view) jobsThatRan() map[work.JobID]bool {
	ran := map[work.JobID]bool{}
	for _, s := range v.starts {
		ran[s.Task.Job] = true
	}
	return ran
}

func partialAnswers(v *view) (found []string) {
	runs := v.runsOf()
	for _, j := range v.jobs {
		for _, a := range j.Attempts {
			if problem := answerProblem(j, a, runs); problem != "" {
				found = append(found, fmt.Sprintf("%s at %s: %s", j.ID, a.Instance, problem))
			}
		}
	}
	return found
}

func answerProblem(j job, a attempt, runs map[work.TaskID][]fleet.Start) string {
	switch {
	case a.Status == 0, refused(a), a.Status == 502, a.Status == 504:
		return ""
	case j.Stored != nil && a.Status == 200 && a.State != work.Completed && a.State != work.Failed:
		return ""
	case a.Status == 200 && a.State == work.Completed:
		for _, task := range j.tasks() {
			if count(runs[task], work.EndSucceeded, a.Ended) == 0 {
				return fmt.Sprintf("completed, but task %s had not succeeded", task)
			}
		}
		return ""
	case a.Status == 200 && a.State == work.Failed:
		for _, task := range j.tasks() {
			if count(runs[task], work.EndFailed, a.Ended) >= taskAttempts || count(runs[task], work.EndGangBroken, a.Ended) >= taskCrashes {
				return ""
			}
		}
		return "failed, but no task had failed often enough"
	}
	return fmt.Sprintf("unexpected answer %d %s", a.Status, a.State)
}

// count returns how many runs had ended for a reason at a time.
func count(runs []fleet.Start, reason work.EndReason, at time.Time) int {
	n := 0
	for _, r := range runs {
		if r.Reason == reason && !r.EndedAt.IsZero() && !r.EndedAt.After(at) {
			n++
		}
	}
	return n
}

func (j *job) tasks() (tasks []work.TaskID) {
	for step := range j.Steps {
		tasks = append(tasks, j.stepTasks(step)...)
	}
	return tasks
}

func (j *job) stepTasks(step int) (tasks []work.TaskID) {
	for index := range j.Steps[step] {
		tasks = append(tasks, work.TaskID{Job: j.ID, Step: step, Index: index})
	}
	return tasks
}

func unaskedRuns(v *view) (found []string) {
	asked := map[work.TaskID]bool{}
	for _, j := range v.jobs {
		for _, task := range j.tasks() {
			asked[task] = true
		}
	}
	for _, s := range v.starts {
		if !asked[s.Task] && s.StartedAt.Before(v.at) { // later jobs are not in the view
			found = append(found, fmt.Sprintf("%s: no job with this task was submitted", s.Task))
		}
	}
	return found
}

func earlySteps(v *view) (found []string) {
	runs := v.runsOf()
	for _, j := range v.jobs {
		for step := 1; step < len(j.Steps); step++ {
			for _, task := range j.stepTasks(step) {
				for _, run := range runs[task] {
					for _, before := range j.stepTasks(step - 1) {
						if count(runs[before], work.EndSucceeded, run.StartedAt) == 0 {
							found = append(found, fmt.Sprintf("%s: run %d began before %s had succeeded", task, run.Run, before))
						}
					}
				}
			}
		}
	}
	return found
}

func exceededCapacity(v *view) (found []string) {
	running := map[work.EndpointID][]fleet.Start{}
	for _, s := range v.starts {
		still := slices.DeleteFunc(running[s.Endpoint], func(r fleet.Start) bool { return !r.EndedAt.IsZero() && !r.EndedAt.After(s.StartedAt) })
		running[s.Endpoint] = append(still, s)
		if n := len(running[s.Endpoint]); n > endpointSlots {
			found = append(found, fmt.Sprintf("%s: %d runs at the same time with the start of %s", s.Endpoint, n, s.Task))
		}
	}
	return found
}

// endpointProcess identifies a process of an endpoint.
type endpointProcess struct {
	address       string
	startedUnixMS int64
}

// overtaking is how much later than an order of a higher fence an order may be recorded that was carried out before it.
const overtaking = 50 * time.Millisecond

func fallingFences(v *view) (found []string) {
	type accepted struct {
		fence int64
		at    time.Time
	}
	highest := map[endpointProcess]accepted{}
	for _, o := range v.orders {
		if o.Refusal == work.Fenced {
			continue
		}
		key := endpointProcess{o.Address, o.StartedUnixMS}
		if h := highest[key]; o.Fence < h.fence && o.At.Sub(h.at) > overtaking {
			found = append(found, fmt.Sprintf("%s accepted fence %d of %s %v after fence %d", o.Address, o.Fence, v.callers[o.Caller], o.At.Sub(h.at), h.fence))
		} else if o.Fence > h.fence {
			highest[key] = accepted{o.Fence, o.At}
		}
	}
	return found
}

func sharedFences(v *view) (found []string) {
	type key struct {
		address string
		fence   int64
	}
	holders := map[key]string{}
	for _, o := range v.orders {
		k := key{o.Address, o.Fence}
		if holder, ok := holders[k]; ok && holder != o.Caller {
			found = append(found, fmt.Sprintf("%s got orders of %s and of %s with fence %d", o.Address, v.callers[holder], v.callers[o.Caller], o.Fence))
		}
		holders[k] = o.Caller
	}
	return found
}

func startsWhileDraining(v *view) (found []string) {
	drains := map[work.EndpointID]time.Time{}
	for _, d := range v.drains {
		drains[d.Endpoint] = d.Acked
	}
	for _, o := range firstStarts(v.orders) {
		acked, draining := drains[o.Endpoint]
		late := o.At.Sub(acked) - drainBound - v.slack(acked, o.At)
		if draining && late > 0 && !v.disturbed(v.callers[o.Caller], acked, o.At) {
			found = append(found, fmt.Sprintf("%s started %s for %s, %v after it began to leave", o.Endpoint, o.Task, v.callers[o.Caller], o.At.Sub(acked)))
		}
	}
	return found
}

// firstStarts returns the orders that began a run, without their repetitions.
func firstStarts(orders []standin.Order) (first []standin.Order) {
	type key struct {
		address string
		task    work.TaskID
		run     int
	}
	seen := map[key]bool{}
	for _, o := range orders {
		k := key{o.Address, o.Task, o.Run}
		if o.Start && o.Refusal == work.Done && !seen[k] {
			seen[k] = true
			first = append(first, o)
		}
	}
	return first
}

// revisionsKept is the number of revisions of the configuration that keep the route of one: its own and the next ones.
const revisionsKept = 3

// lateConfigs finds probes of a route that were answered as only an older configuration allows.
func lateConfigs(v *view) (found []string) {
	for _, p := range v.probes {
		due := func(revision int) bool {
			if revision >= len(v.published) {
				return false
			}
			acked := v.published[revision]
			return p.Sent.After(acked.Add(configBound + v.slack(acked, p.Answered)))
		}
		mustKnow := due(p.Revision) && p.Newest < p.Revision+revisionsKept
		mustNotKnow := due(p.Revision + revisionsKept)
		if (mustKnow && !p.Known || mustNotKnow && p.Known) && !v.disturbed(p.Instance, p.Sent.Add(-configBound), p.Answered) {
			found = append(found, fmt.Sprintf("%s: route of revision %d known: %v, newest revision %d", p.Instance, p.Revision, p.Known, p.Newest))
		}
	}
	return found
}

// revertedConfigs finds probes that one process answered as only an older configuration allows than an earlier probe.
func revertedConfigs(v *view) (found []string) {
	type process struct {
		instance    string
		incarnation int
	}
	known := map[process][]probe{} // probes that show the newest revision so far, in the order of their answers
	for _, p := range v.probes {
		slack := revertSlack + v.slack(p.Sent, p.Answered)
		if v.disturbed(p.Instance, p.Sent, p.Answered) {
			slack *= disturbedFactor
		}
		key := process{p.Instance, p.Incarnation}
		floor := -1
		for _, earlier := range known[key] {
			if earlier.Answered.Add(slack).Before(p.Sent) {
				floor = max(floor, earlier.Revision)
			}
		}
		dropped := !p.Known && floor >= p.Revision && p.Newest < p.Revision+revisionsKept
		back := p.Known && floor >= p.Revision+revisionsKept
		if dropped || back {
			found = append(found, fmt.Sprintf("%s: route of revision %d known: %v, after the route of revision %d was known", p.Instance, p.Revision, p.Known, floor))
		}
		if at := len(known[key]); p.Known && (at == 0 || known[key][at-1].Revision < p.Revision) {
			known[key] = append(known[key], p)
		}
	}
	return found
}

// cutRequests finds requests that ended without an answer because of a planned stop.
func cutRequests(v *view) (found []string) {
	runs := v.runsOf()
	for _, s := range v.stops {
		for _, j := range v.jobs {
			for _, a := range j.Attempts {
				if a.Instance == s.Instance && a.Broken && !a.TimedOut && v.cut(s, j, a, runs) {
					found = append(found, fmt.Sprintf("%s at %s: cut %v after it was sent and %v after the stop began", j.ID, a.Instance, a.Ended.Sub(a.Sent), a.Ended.Sub(s.At)))
				}
			}
		}
	}
	return found
}

const closeTime = 300 * time.Millisecond // from the end of a process until its callers have noticed

func (v *view) cut(s stop, j job, a attempt, runs map[work.TaskID][]fleet.Start) bool {
	if a.Ended.Before(s.At) || !s.Ended.IsZero() && a.Ended.After(s.Ended.Add(closeTime)) || v.disturbed(callersOf(s.Instance), s.At, a.Ended) {
		return false
	}
	ran, working := false, false
	for _, task := range j.tasks() {
		for _, r := range runs[task] {
			ran = ran || !r.StartedAt.Before(a.Sent) && r.StartedAt.Before(a.Ended)
			working = working || r.StartedAt.Before(a.Ended) && (r.EndedAt.IsZero() || r.EndedAt.After(s.At.Add(grace-grace/6)))
		}
	}
	if working && !a.Sent.After(s.At.Add(lateSend)) {
		return false
	}
	return ran || a.Ended.Sub(a.Sent) > cutSlack+v.slack(a.Sent, a.Ended)
}
