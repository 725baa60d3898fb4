// Package attempt keeps the unsuccessful runs of tasks: those that endpoints reported as failed and those under which the
// endpoint's process crashed. A task is given up after a number of them, whichever dispatcher started the runs, so the
// record outlives a dispatcher's term and a job's submission.
//
// An attempt is identified by its task, its endpoint's process and the number of its run. Instances that learn of the same
// attempt in different ways therefore count it once. They may know its process differently well: the store keeps neither the endpoint nor
// the start of its process, and a registration may lack the start. Attempts that differ in nothing else are the same, see Process.matches.
package attempt

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	// retention is how long an attempt is kept. No caller repeats a submission later than that.
	retention = 5 * time.Minute
	// maxTasks bounds the tasks on record; beyond it the oldest are deleted.
	maxTasks = 20_000
	// recentTime is how long Recent returns an attempt. It covers several heartbeats between instances.
	recentTime = time.Second
	// sweepInterval is the pause between two searches for attempts that are older than retention.
	sweepInterval = time.Minute
	// maxRecent bounds the attempts that Recent returns.
	maxRecent = 500
)

// MaxCrashes is the number of crashed processes after which a task is given up. One crash may be due to another task that ran
// on the same endpoint; a task that has crashed one is started alone afterwards.
const MaxCrashes = 2

// MaxCrashesStored is MaxCrashes for tasks of stored jobs. It is higher, since a job that was accepted must not fail for a crash that another
// task has caused.
const MaxCrashesStored = 3

// Outcome is how a run ended without success.
type Outcome int

// The outcomes.
const (
	Failed  Outcome = 1 + iota // the endpoint reported the run as failed
	Crashed                    // the endpoint's process ended under the run
)

// Process identifies a process of an endpoint, as far as it is known.
type Process struct {
	Endpoint      work.EndpointID `msgpack:"e"`           // empty if not known
	StartedUnixMS int64           `msgpack:"s,omitempty"` // Unix milliseconds; 0 if not known
}

// matches reports whether two processes are the same as far as both are known. Two processes that match a third one need not match each
// other.
func (p Process) matches(q Process) bool {
	sameStart := p.StartedUnixMS == 0 || q.StartedUnixMS == 0 || p.StartedUnixMS == q.StartedUnixMS
	return p.Endpoint == "" || q.Endpoint == "" || p.Endpoint == q.Endpoint && sameStart
}

// moreKnownThan compares two processes that match.
func (p Process) moreKnownThan(q Process) bool {
	return p.Endpoint != "" && (q.Endpoint == "" || p.StartedUnixMS != 0 && q.StartedUnixMS == 0)
}

// Attempt is an unsuccessful run of a task.
type Attempt struct {
	Task    work.TaskID `msgpack:"t"`
	Run     int         `msgpack:"r"`
	Process Process     `msgpack:"p"`
	Outcome Outcome     `msgpack:"o"`
}

// same reports whether two attempts are the same one as far as their processes are known.
func (a Attempt) same(b Attempt) bool {
	return a.Task == b.Task && a.Run == b.Run && a.Outcome == b.Outcome && a.Process.matches(b.Process)
}

// History is the record of an instance. It is safe for concurrent use. Times are on the instance's monotonic clock.
type History struct {
	mu    sync.Mutex
	jobs  map[work.JobID]*jobRecord
	tasks int           // number of tasks on record
	swept time.Duration // time of the last search for old attempts
	own   []observed    // attempts that this instance observed, oldest first, for recentTime
}

type jobRecord struct {
	tasks   map[work.TaskID][]Attempt
	changed time.Duration
}

type observed struct {
	attempt Attempt
	at      time.Duration
}

// NewHistory returns an empty record.
func NewHistory() *History { return &History{jobs: map[work.JobID]*jobRecord{}} }

// Add records an attempt that this instance has observed. It returns false if the attempt was on record.
func (h *History) Add(a Attempt, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.insert(a, now) {
		return false
	}
	h.own = append(h.own, observed{a, now})
	return true
}

// Merge records attempts that another instance has observed and returns how many were not on record.
func (h *History) Merge(attempts []Attempt, now time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	added := 0
	for _, a := range attempts {
		if h.insert(a, now) {
			added++
		}
	}
	return added
}

// insert adds an attempt unless it is on record. If its process is better known now, that is recorded: it tells the attempt from those of
// other processes, so that the count does not depend on the order in which they become known. h.mu is held.
func (h *History) insert(a Attempt, now time.Duration) bool {
	j := h.jobs[a.Task.Job]
	if j == nil {
		h.sweep(now)
		j = &jobRecord{tasks: map[work.TaskID][]Attempt{}}
		h.jobs[a.Task.Job] = j
	}
	j.changed = now
	known := j.tasks[a.Task]
	if i := slices.IndexFunc(known, a.same); i >= 0 {
		if a.Process.moreKnownThan(known[i].Process) {
			known[i].Process = a.Process
		}
		return false
	}
	if known == nil {
		h.tasks++
	}
	j.tasks[a.Task] = append(known, a)
	return true
}

// sweep deletes the jobs whose last attempt is older than retention and, if the record is full, the oldest ones.
// h.mu is held.
func (h *History) sweep(now time.Duration) {
	full := h.tasks >= maxTasks
	if !full && now-h.swept < sweepInterval {
		return
	}
	h.swept = now
	ids := make([]work.JobID, 0, len(h.jobs))
	for id := range h.jobs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b work.JobID) int { return cmp.Compare(h.jobs[a].changed, h.jobs[b].changed) })
	for _, id := range ids {
		if (!full || h.tasks < maxTasks/2) && now-h.jobs[id].changed < retention {
			return
		}
		h.tasks -= len(h.jobs[id].tasks)
		delete(h.jobs, id)
	}
}

// Withdraw deletes the crashes of a process, which has answered again and therefore has not ended. It returns their tasks. A crash of its
// endpoint counts as one of the process if the start of the crashed process is not known. An answering process whose start is not known may
// be a later one, so it takes back no crash of a process whose start is known.
func (h *History) Withdraw(p Process) []work.TaskID {
	h.mu.Lock()
	defer h.mu.Unlock()
	crashOf := func(a Attempt) bool {
		return a.Outcome == Crashed && a.Process.Endpoint == p.Endpoint && (a.Process.StartedUnixMS == 0 || a.Process.StartedUnixMS == p.StartedUnixMS)
	}
	h.own = slices.DeleteFunc(h.own, func(o observed) bool { return crashOf(o.attempt) })
	var withdrawn []work.TaskID
	for _, j := range h.jobs {
		for task, attempts := range j.tasks {
			if slices.ContainsFunc(attempts, crashOf) {
				withdrawn = append(withdrawn, task)
				h.keep(task, slices.DeleteFunc(attempts, crashOf))
			}
		}
	}
	return withdrawn
}

// keep replaces the attempts of a task that is on record. A task without attempts, and a job without tasks, leave the record.
// h.mu is held.
func (h *History) keep(task work.TaskID, attempts []Attempt) {
	j := h.jobs[task.Job]
	if len(attempts) > 0 {
		j.tasks[task] = attempts
		return
	}
	delete(j.tasks, task)
	h.tasks--
	if len(j.tasks) == 0 {
		delete(h.jobs, task.Job)
	}
}

// Count returns how many runs of a task have ended with an outcome.
func (h *History) Count(task work.TaskID, o Outcome) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	if j := h.jobs[task.Job]; j != nil {
		for _, a := range j.tasks[task] {
			if a.Outcome == o {
				n++
			}
		}
	}
	return n
}

// OfJob returns the attempts on record for the tasks of a job.
func (h *History) OfJob(id work.JobID) []Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return nil
	}
	var all []Attempt
	for _, attempts := range j.tasks {
		all = append(all, attempts...)
	}
	return all
}

// Recent returns the attempts that this instance has observed within the last second, so that heartbeats pass them on.
func (h *History) Recent(now time.Duration) []Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.own = slices.DeleteFunc(h.own, func(o observed) bool { return now-o.at > recentTime })
	var recent []Attempt
	for _, o := range h.own[max(0, len(h.own)-maxRecent):] {
		recent = append(recent, o.attempt)
	}
	return recent
}

// Tasks returns the number of tasks on record.
func (h *History) Tasks() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tasks
}
