package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"context"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	storingPart  = 3 // the jobs of one caller in so many are stored
	cancelPart   = 8 // one stored job in so many is cancelled
	followTime   = 6 * time.Second
	followPause  = 250 * time.Millisecond
	visibleBound = 3 * time.Second  // from the acceptance of a stored job until no instance in touch denies it
	cancelBound  = 3 * time.Second  // from the acknowledgement of a cancel until nothing starts
	finishBound  = 14 * time.Second // from the end of the load until all accepted jobs have ended
)

// storedState is what the caller of a stored job has been told.
type storedState struct {
	Accepted  time.Time // zero while the job is not accepted
	Cancel    time.Time // when a cancel was sent first; zero for none
	Cancelled time.Time // when it was acknowledged; zero if it was not
	Answers   []stateAnswer
}

// stateAnswer is the answer to a request for the state of a job.
type stateAnswer struct {
	Instance    string
	Sent, Ended time.Time
	Status      int
	State       work.State
}

func (s *storedState) clone() *storedState {
	if s == nil {
		return nil
	}
	c := *s
	c.Answers = slices.Clone(s.Answers)
	return &c
}

func (s *storedState) final() bool {
	return slices.ContainsFunc(s.Answers, func(a stateAnswer) bool {
		return a.Status == 200 && (a.State == work.Completed || a.State == work.Failed || a.State == work.Cancelled)
	})
}

func (r *record) accepted(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.Stored.Accepted.IsZero() {
		j.Stored.Accepted = time.Now()
	}
}

// follow asks for the state of an accepted job until it has ended, and cancels some.
func (c *caller) follow(ctx context.Context, j *job) {
	cancels := c.rand.IntN(cancelPart) == 0
	if cancels {
		time.Sleep(between(c.rand, 0, 300*time.Millisecond))
	}
	for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < followTime && !j.Stored.Accepted.IsZero(); time.Sleep(followPause) {
		if cancels && c.ask("DELETE", j) {
			cancels = false
		}
		if c.ask("GET", j); j.Stored.final() {
			return
		}
	}
}

// ask makes a request about a stored job and records the answer. It returns whether it was carried out.
func (c *caller) ask(method string, j *job) bool {
	if c.conn == nil && !c.connect() {
		return false
	}
	a := stateAnswer{Instance: c.at.spec.Name, Sent: time.Now()}
	record := c.run.record
	if method == "DELETE" && j.Stored.Cancel.IsZero() {
		record.mu.Lock()
		j.Stored.Cancel = a.Sent
		record.mu.Unlock()
	}
	c.left--
	c.conn.SetDeadline(time.Now().Add(shortDeadline + deadlineSlack))
	resp, err := c.exchange(method, j, nil, shortDeadline)
	if err != nil {
		c.disconnect()
		return false
	}
	defer fasthttp.ReleaseResponse(resp)
	if c.left <= 0 || resp.ConnectionClose() {
		c.disconnect()
	}
	var answer struct {
		State work.State `json:"state"`
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		record.problem("%s %s: unreadable answer %d %q", method, j.ID, resp.StatusCode(), resp.Body())
	}
	a.Ended, a.Status, a.State = time.Now(), resp.StatusCode(), answer.State
	record.mu.Lock()
	defer record.mu.Unlock()
	j.Stored.Answers = append(j.Stored.Answers, a)
	done := method == "DELETE" && a.Status == 200
	if done && j.Stored.Cancelled.IsZero() {
		j.Stored.Cancelled = a.Ended
	}
	return done
}

// awaitStored asks for all accepted jobs until they have ended, for at most finishBound.
func (r *run) awaitStored() {
	c := &caller{run: r, rand: rand.New(rand.NewPCG(r.seed, 1)), only: r.instances[0]}
	defer c.disconnect()
	began := time.Now()
	r.record.mu.Lock()
	jobs := slices.Clone(r.record.jobs)
	r.record.mu.Unlock()
	open := slices.DeleteFunc(jobs, func(j *job) bool { return j.Stored == nil || j.Stored.Accepted.IsZero() || j.Stored.final() })
	asked := len(open)
	for len(open) > 0 && time.Since(began) < finishBound+r.record.slackSince(began) {
		open = slices.DeleteFunc(open, func(j *job) bool {
			c.ask("GET", j)
			return j.Stored.final()
		})
		time.Sleep(followPause)
	}
	for _, j := range open {
		r.record.problem("stored job %s has not ended %v after the load", j.ID, finishBound)
	}
	r.record.note("%d stored jobs were open at the end of the load; all have ended after %v", asked, time.Since(began).Round(time.Millisecond))
}

// storedTasks calls check with the runs of each task of a stored job, in the order of their starts.
func (v *view) storedTasks(check func(j *job, task work.TaskID, runs []fleet.Start)) {
	runs := v.runsOf()
	for i := range v.jobs {
		if j := &v.jobs[i]; j.Stored != nil {
			for _, task := range j.tasks() {
				check(j, task, runs[task])
			}
		}
	}
}

func startsAfterSuccess(v *view) (found []string) {
	v.storedTasks(func(_ *job, task work.TaskID, runs []fleet.Start) {
		for _, a := range runs {
			for _, b := range runs {
				if a.Noted && a.Reason == work.EndSucceeded && b.StartedAt.After(a.EndedAt) {
					found = append(found, fmt.Sprintf("%s: run %d at %s started %v after the success of run %d at %s", task, b.Run, b.Endpoint,
						b.StartedAt.Sub(a.EndedAt), a.Run, a.Endpoint))
				}
			}
		}
	})
	return found
}

func startsAfterAttempts(v *view) (found []string) {
	v.storedTasks(func(_ *job, task work.TaskID, runs []fleet.Start) {
		for _, b := range runs {
			noted := slices.DeleteFunc(slices.Clone(runs), func(a fleet.Start) bool { return !a.Noted })
			if n := count(noted, work.EndFailed, b.StartedAt); n >= taskAttempts {
				found = append(found, fmt.Sprintf("%s: run %d at %s started after %d failed runs", task, b.Run, b.Endpoint, n))
			}
		}
	})
	return found
}

// lostJobs finds accepted jobs that an instance denies, or that are shown as cancelled without a cancel.
func lostJobs(v *view) (found []string) {
	for _, j := range v.jobs {
		if j.Stored == nil || j.Stored.Accepted.IsZero() || !j.Stored.Cancel.IsZero() {
			continue
		}
		for _, a := range j.Stored.Answers {
			if a.State == work.Cancelled || a.Status == 410 && a.Sent.Sub(j.Stored.Accepted) > visibleBound {
				found = append(found, fmt.Sprintf("%s: %s answered %d %s %v after the job was accepted", j.ID, a.Instance, a.Status, a.State, a.Sent.Sub(j.Stored.Accepted)))
			}
		}
	}
	return found
}

func falseStates(v *view) (found []string) {
	runs := v.runsOf()
	for _, j := range v.jobs {
		if j.Stored == nil {
			continue
		}
		for _, a := range j.Stored.Answers {
			if a.State != work.Completed && a.State != work.Failed {
				continue
			}
			if problem := answerProblem(j, attempt{Status: a.Status, State: a.State, Ended: a.Ended}, runs); problem != "" {
				found = append(found, fmt.Sprintf("%s at %s: %s", j.ID, a.Instance, problem))
			}
		}
	}
	return found
}

// startsAfterCancel finds starts that an undisturbed instance has ordered too long after a cancel.
func startsAfterCancel(v *view) (found []string) {
	for _, o := range v.orders {
		i := slices.IndexFunc(v.jobs, func(j job) bool { return j.ID == o.Task.Job })
		if !o.Start || o.Refusal != work.Done || i < 0 || v.jobs[i].Stored == nil || v.jobs[i].Stored.Cancelled.IsZero() {
			continue
		}
		late := o.At.Sub(v.jobs[i].Stored.Cancelled)
		if late > cancelBound+v.slack(v.jobs[i].Stored.Cancelled, o.At) && !v.disturbed(v.callers[o.Caller], o.At, o.At) {
			found = append(found, fmt.Sprintf("%s: run %d started %v after the cancel", o.Task, o.Run, late))
		}
	}
	return found
}
