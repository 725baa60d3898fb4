package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// maxLeavingDelay is how long after an endpoint has begun to leave it may still receive new tasks.
const maxLeavingDelay = 3 * time.Second

// taskStart is one start of a task at a worker.
type taskStart struct {
	at     time.Time
	worker string
}

// Starts returns the start records of all workers. A worker that was killed and restarted has one record for each
// process.
func (s *System) Starts() ([]worker.Starts, error) {
	var out []worker.Starts
	for _, w := range s.Workers {
		s.mu.Lock()
		out = append(out, w.savedStarts...)
		down := w.down
		s.mu.Unlock()
		if down {
			continue
		}
		st, err := s.readStarts(w)
		if err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}

// startsByJob maps the identity of each job to the starts of its tasks, indexed by task number.
type startsByJob map[string][][]taskStart

// startsByJob combines the records of all workers, which it returns as well. It fails if a worker has started a task that
// belongs to no submitted job.
func (s *System) startsByJob() (startsByJob, []worker.Starts, error) {
	records, err := s.Starts()
	if err != nil {
		return nil, nil, err
	}
	byJob := startsByJob{}
	for _, j := range s.History.Jobs() {
		byJob[j.Identity] = make([][]taskStart, j.Tasks)
	}
	for _, r := range records {
		for name, t := range r.Tasks {
			slash := strings.LastIndexByte(name, '/')
			var i int
			if _, err := fmt.Sscan(name[slash+1:], &i); err != nil || len(byJob[name[:slash]]) <= i {
				return nil, nil, fmt.Errorf("worker %s has started task %q, which belongs to no submitted job", r.Name, name)
			}
			for _, a := range t.Arrivals {
				if a.Started {
					byJob[name[:slash]][i] = append(byJob[name[:slash]][i], taskStart{a.Time, r.Name})
				}
			}
		}
	}
	return byJob, records, nil
}

// Check compares the history with the workers' records and returns a description of every broken guarantee.
func (s *System) Check() []string {
	byJob, records, err := s.startsByJob()
	if err != nil {
		return []string{err.Error()}
	}
	var c checker
	for _, j := range s.History.Jobs() {
		c.checkStartedOnce(j, byJob[j.Identity])
		reqs := s.History.Requests(j)
		for _, r := range reqs {
			if r.Ans != nil {
				c.checkAnswer(r, byJob[j.Identity])
				c.checkNotRun(r, reqs, byJob[j.Identity])
			}
		}
		c.checkFinalStable(j, reqs, s.hasEnded(j.Home))
	}
	for _, r := range records {
		if bound := maxLeavingDelay.Milliseconds(); r.MaxLeavingForMS > bound {
			c.addf("worker %s received a task %d ms after it started to leave, must be at most %d ms", r.Name, r.MaxLeavingForMS, bound)
		}
		if r.Dropped > 0 {
			c.addf("worker %s has dropped the records of %d tasks, so its starts cannot be checked", r.Name, r.Dropped)
		}
	}
	s.History.checkVersions(&c)
	return c.violations
}

// checker collects the broken guarantees of a run.
type checker struct{ violations []string }

func (c *checker) addf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkStartedOnce checks that no task of a job was started more than once.
func (c *checker) checkStartedOnce(j *Job, tasks [][]taskStart) {
	for i, starts := range tasks {
		if len(starts) > 1 {
			c.addf("task %s/%d was started %d times: %v", j.Identity, i, len(starts), starts)
		}
	}
}

// checkAnswer checks that an answer belongs to the requested job, that it has outputs only if it is complete, and that its
// task counts agree with the workers' records.
func (c *checker) checkAnswer(r *Request, tasks [][]taskStart) {
	a, j := r.Ans, r.Job
	if a.Identity != "" && a.Identity != j.Identity {
		c.addf("%s of %s: the answer has the identity %s", r.Kind, j.Identity, a.Identity)
	}
	if info := a.Code.Info(); a.Execution != info.Execution || a.Final != info.Final {
		c.addf("%s of %s: %s has execution %q and final %t, which differs from the definition of its code", r.Kind, j.Identity, a.Name, a.Execution, a.Final)
	}
	if a.Code != result.Complete && len(a.Outputs) > 0 {
		c.addf("%s of %s: %s has %d outputs, must have none", r.Kind, j.Identity, a.Name, len(a.Outputs))
	}
	if a.Code == result.Complete {
		c.checkOutputs(r, tasks)
	}
	if n := a.Tasks; n != nil && a.Final {
		started := 0
		for _, starts := range tasks {
			started += min(1, len(starts))
		}
		if n.Ran+n.NotRun+n.MayHaveRun != j.Tasks || started > j.Tasks-n.NotRun || started < n.Ran {
			c.addf("%s of %s: the answer counts %+v, but %d of %d tasks have started", r.Kind, j.Identity, *n, started, j.Tasks)
		}
	}
}

// checkOutputs checks that a complete answer has the right output of every task and that every task has started.
func (c *checker) checkOutputs(r *Request, tasks [][]taskStart) {
	j := r.Job
	if len(r.Ans.Outputs) != j.Tasks {
		c.addf("%s of %s: complete, but has %d of %d outputs", r.Kind, j.Identity, len(r.Ans.Outputs), j.Tasks)
		return
	}
	for i, text := range r.Ans.Outputs {
		if text != expectedOutput(j.Identity, i) {
			c.addf("%s of %s: output %d is %q, which is not the output of this task", r.Kind, j.Identity, i, text)
		}
		if len(tasks[i]) == 0 {
			c.addf("%s of %s: complete, but task %d has not started", r.Kind, j.Identity, i)
		}
	}
}

// checkNotRun checks that an answer that says "not run" is true. The answer is false if a task of the job started before the
// request was sent. It is also false if a task started later and no other submission of the job was open that could have
// started the task. After a final "not run" answer, no task may start at all.
func (c *checker) checkNotRun(r *Request, all []*Request, tasks [][]taskStart) {
	if r.Ans.Execution != result.NotRun || r.Ans.Code == result.IdentityReused {
		return
	}
	other := slices.ContainsFunc(all, func(o *Request) bool {
		return o != r && o.Kind == Submit && (o.EndedAt.IsZero() || o.EndedAt.After(r.SentAt))
	})
	for i, starts := range tasks {
		for _, st := range starts {
			if st.at.Before(r.SentAt) || !other || r.Ans.Final {
				c.addf("%s at %s of %s was answered with %s, not run, but task %d started at %s, %s after the request was sent",
					r.Kind, r.Entry, r.Job.Identity, r.Ans.Name, i, st.worker, st.at.Sub(r.SentAt))
			}
		}
	}
}

// checkFinalStable checks that the final answer to a job does not change. Two changes are allowed: the outputs of a complete
// answer may be dropped later, and the answer may be lost if its home, the instance that issued the job's identity, has
// ended, since the copies of answers on other instances are best effort.
func (c *checker) checkFinalStable(j *Job, reqs []*Request, homeEnded bool) {
	var first *Request
	answered := slices.Clone(reqs)
	slices.SortFunc(answered, func(a, b *Request) int { return a.EndedAt.Compare(b.EndedAt) })
	for _, r := range answered {
		if r.Ans == nil || !r.Ans.Final {
			continue
		}
		if first == nil {
			first = r
			continue
		}
		was, now := first.Ans.Code, r.Ans.Code
		dropped := was == result.Complete && now == result.AnswerDropped
		lost := homeEnded && now == result.HomeLost
		if now != was && !dropped && !lost {
			c.addf("the answer to %s changed from %s (%s at %s) to %s (%s at %s)", j.Identity,
				first.Ans.Name, first.Kind, first.Entry, r.Ans.Name, r.Kind, r.Entry)
		}
	}
}

// hasEnded reports whether the named entry instance was marked as down at least once.
func (s *System) hasEnded(entry string) bool {
	p, err := s.Find(entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	return err == nil && p.endCount > 0
}

// LostAnswers returns the number of jobs that had a final answer and were later reported as lost with their home.
func (s *System) LostAnswers() int {
	n := 0
	for _, j := range s.History.Jobs() {
		known := false
		for _, r := range s.History.Requests(j) {
			if r.Ans == nil || !r.Ans.Final {
				continue
			}
			if known && r.Ans.Code == result.HomeLost {
				n++
				break
			}
			known = r.Ans.Code != result.HomeLost
		}
	}
	return n
}

// checkVersions checks that the configuration version of an incarnation never decreases, and that no two documents were
// accepted as the same version.
func (h *History) checkVersions(c *checker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	type entryIncarnation struct {
		entry       string
		incarnation uint64
	}
	highest := map[entryIncarnation]int64{}
	for _, v := range h.versions {
		key := entryIncarnation{v.entry, v.incarnation}
		if v.version < highest[key] {
			c.addf("the configuration at %s went back from version %d to %d", v.entry, highest[key], v.version)
		}
		highest[key] = max(highest[key], v.version)
	}
	documents := map[int64]string{}
	for _, p := range h.publications {
		if p.err != nil {
			continue
		}
		if d, ok := documents[p.version]; ok && d != p.document {
			c.addf("two documents were accepted as version %d", p.version)
		}
		documents[p.version] = p.document
	}
}

// newestAccepted returns the accepted publication with the highest version, or 0 and "" if there is none.
func (h *History) newestAccepted() (version int64, document string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.publications {
		if p.err == nil && p.version > version {
			version, document = p.version, p.document
		}
	}
	return version, document
}
