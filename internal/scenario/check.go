package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// leavingBound is the longest time after which a leaving endpoint may get new work.
const leavingBound = 3 * time.Second

// start is one start of a task.
type start struct {
	at     time.Time
	worker string
}

// Starts returns the records of all workers, those of ended lives included.
func (s *System) Starts() ([]worker.Starts, error) {
	var out []worker.Starts
	for _, w := range s.Workers {
		s.mu.Lock()
		out = append(out, w.starts...)
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

// ledger holds the starts of each task of each job.
type ledger map[string][][]start

func (s *System) ledger() (ledger, []worker.Starts, error) {
	records, err := s.Starts()
	if err != nil {
		return nil, nil, err
	}
	l := ledger{}
	for _, j := range s.History.Jobs() {
		l[j.Identity] = make([][]start, j.Tasks)
	}
	for _, r := range records {
		for name, t := range r.Tasks {
			cut := strings.LastIndexByte(name, '/')
			var i int
			if _, err := fmt.Sscan(name[cut+1:], &i); err != nil || len(l[name[:cut]]) <= i {
				return nil, nil, fmt.Errorf("worker %s has started %q, which nobody submitted", r.Name, name)
			}
			for _, a := range t.Arrivals {
				if a.Started {
					l[name[:cut]][i] = append(l[name[:cut]][i], start{a.Time, r.Name})
				}
			}
		}
	}
	return l, records, nil
}

// Check compares the history with the workers' records and returns every broken promise.
func (s *System) Check() []string {
	l, records, err := s.ledger()
	if err != nil {
		return []string{err.Error()}
	}
	var c checker
	for _, j := range s.History.Jobs() {
		c.once(j, l[j.Identity])
		reqs := s.History.Requests(j)
		for _, r := range reqs {
			if r.Ans != nil {
				c.answer(r, l[j.Identity])
				c.notRun(r, reqs, l[j.Identity])
			}
		}
		c.stable(j, reqs, s.ended(j.Home))
	}
	for _, r := range records {
		if bound := leavingBound.Milliseconds(); r.LeavingMax > bound {
			c.addf("worker %s got new work %d ms after it began to leave, at most %d", r.Name, r.LeavingMax, bound)
		}
		if r.Dropped > 0 {
			c.addf("worker %s has dropped %d records, so its starts are not known", r.Name, r.Dropped)
		}
	}
	s.History.checkVersions(&c)
	return c.broken
}

type checker struct{ broken []string }

func (c *checker) addf(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// once: no task starts twice.
func (c *checker) once(j *Job, tasks [][]start) {
	for i, starts := range tasks {
		if len(starts) > 1 {
			c.addf("task %s/%d was started %d times: %v", j.Identity, i, len(starts), starts)
		}
	}
}

// answer: an answer is complete, and then true and the job's own, or has no output at all; and the counts in it agree
// with the workers' records.
func (c *checker) answer(r *Request, tasks [][]start) {
	a, j := r.Ans, r.Job
	if a.Identity != "" && a.Identity != j.Identity {
		c.addf("%s of %s was answered for %s", r.Kind, j.Identity, a.Identity)
	}
	if info := a.Code.Info(); a.Execution != info.Execution || a.Final != info.Final {
		c.addf("%s of %s: %s says %q, final %t", r.Kind, j.Identity, a.Name, a.Execution, a.Final)
	}
	if a.Code != result.Complete && len(a.Outputs) > 0 {
		c.addf("%s of %s: %s with %d outputs", r.Kind, j.Identity, a.Name, len(a.Outputs))
	}
	if a.Code == result.Complete {
		c.complete(r, tasks)
	}
	if n := a.Tasks; n != nil && a.Final {
		began := 0
		for _, starts := range tasks {
			began += min(1, len(starts))
		}
		if n.Ran+n.NotRun+n.MayHaveRun != j.Tasks || began > j.Tasks-n.NotRun || began < n.Ran {
			c.addf("%s of %s: counts are %+v, and %d of %d tasks have started", r.Kind, j.Identity, *n, began, j.Tasks)
		}
	}
}

func (c *checker) complete(r *Request, tasks [][]start) {
	j := r.Job
	if len(r.Ans.Outputs) != j.Tasks {
		c.addf("%s of %s: complete with %d of %d outputs", r.Kind, j.Identity, len(r.Ans.Outputs), j.Tasks)
		return
	}
	for i, text := range r.Ans.Outputs {
		if text != output(j.Identity, i) {
			c.addf("%s of %s: output %d is %q", r.Kind, j.Identity, i, text)
		}
		if len(tasks[i]) == 0 {
			c.addf("%s of %s: complete, and task %d has not started", r.Kind, j.Identity, i)
		}
	}
}

// notRun: what says "not run" is true. A start before the request was sent contradicts it, and so does a later one when
// no other request could have caused it.
func (c *checker) notRun(r *Request, all []*Request, tasks [][]start) {
	if r.Ans.Execution != result.NotRun || r.Ans.Code == result.IdentityReused {
		return
	}
	other := slices.ContainsFunc(all, func(o *Request) bool {
		return o != r && o.Kind == Submit && (o.EndedAt.IsZero() || o.EndedAt.After(r.SentAt))
	})
	for i, starts := range tasks {
		for _, st := range starts {
			if st.at.Before(r.SentAt) || !other || r.Ans.Final {
				c.addf("%s at %s of %s was answered %s, not run, and task %d started at %s, %s after the request",
					r.Kind, r.Entry, r.Job.Identity, r.Ans.Name, i, st.worker, st.at.Sub(r.SentAt))
			}
		}
	}
}

// stable: a final answer does not change. The outputs of a complete answer may later be dropped. An answer may also be
// lost with its home and the copies of it, as the design page promises no more than best effort for copies; that is
// possible only if the home has ended.
func (c *checker) stable(j *Job, reqs []*Request, homeEnded bool) {
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

func (s *System) ended(entry string) bool {
	p, err := s.Find(entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	return err == nil && p.ends > 0
}

// LostAnswers counts the jobs that were answered and later reported as lost with their home.
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

// checkVersions: the configuration of an incarnation never goes back, and a version has one document.
func (h *History) checkVersions(c *checker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	type life struct {
		entry       string
		incarnation uint64
	}
	highest := map[life]int64{}
	for _, v := range h.versions {
		l := life{v.entry, v.incarnation}
		if v.version < highest[l] {
			c.addf("the configuration at %s went from version %d to %d", v.entry, highest[l], v.version)
		}
		highest[l] = max(highest[l], v.version)
	}
	documents := map[int64]string{}
	for _, p := range h.pubs {
		if p.err != nil {
			continue
		}
		if d, ok := documents[p.version]; ok && d != p.document {
			c.addf("two documents were accepted as version %d", p.version)
		}
		documents[p.version] = p.document
	}
}

// highestAccepted returns the newest publication that was accepted.
func (h *History) highestAccepted() (version int64, document string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pubs {
		if p.err == nil && p.version > version {
			version, document = p.version, p.document
		}
	}
	return version, document
}
