package scenario

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/api"
)

// Request is one request of a caller about a job.
type Request struct {
	Job     *Job
	Kind    string // Submit, Fetch or Cancel
	Entry   string // name of the instance to which the request was sent
	SentAt  time.Time
	EndedAt time.Time   // when the answer came or the request failed; zero: still open
	Ans     *api.Answer // nil: open or failed
	Err     error
}

// publication is one attempt to publish a configuration.
type publication struct {
	entry    string
	replaces int64
	document string
	version  int64
	err      error
	at       time.Time // when the outcome came
}

// versionReport is the configuration version that an incarnation of an entry instance reported.
type versionReport struct {
	entry       string
	incarnation uint64
	version     int64
}

// History records what a test run has done and observed. It is safe for concurrent use.
type History struct {
	mu           sync.Mutex
	startedAt    time.Time
	jobs         []*Job
	requests     []*Request
	notes        []string
	publications []publication
	versions     []versionReport
}

func newHistory() *History { return &History{startedAt: time.Now()} }

// Note records an event with the time since the start of the run.
func (h *History) Note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(time.Now(), format, args...)
}

// note is Note for an event at the given time. The caller holds h.mu.
func (h *History) note(at time.Time, format string, args ...any) {
	h.notes = append(h.notes, fmt.Sprintf("%8.3f ", at.Sub(h.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (h *History) addJob(j *Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs = append(h.jobs, j)
}

// Jobs returns the jobs in the order of their creation.
func (h *History) Jobs() []*Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.jobs)
}

// recordRequest records that a request is being sent. The returned function records its answer or error.
func (h *History) recordRequest(j *Job, kind, entry string) func(*api.Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &Request{Job: j, Kind: kind, Entry: entry, SentAt: time.Now()}
	h.requests = append(h.requests, r)
	return func(a *api.Answer, err error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		r.EndedAt, r.Ans, r.Err = time.Now(), a, err
		if err != nil {
			h.note(r.EndedAt, "%s at %s of %s: %v", kind, entry, j.Identity, err)
			return
		}
		h.note(r.EndedAt, "%s at %s of %s, sent %.3f: %s %s %+v", kind, entry, j.Identity, r.SentAt.Sub(h.startedAt).Seconds(), a.Name, a.Message, a.Tasks)
	}
}

func (h *History) recordPublication(entry string, replaces int64, document string, version int64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publications = append(h.publications, publication{entry, replaces, document, version, err, time.Now()})
	h.note(time.Now(), "publish at %s to replace version %d: version %d, error %v", entry, replaces, version, err)
}

func (h *History) recordVersion(entry string, incarnation uint64, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, versionReport{entry, incarnation, version})
}

// Requests returns the requests about a job in the order in which they were sent.
func (h *History) Requests(j *Job) []*Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*Request
	for _, r := range h.requests {
		if r.Job == j {
			out = append(out, r)
		}
	}
	return out
}

// Final returns the final answer to the most recently sent request about a job that got one, or nil.
func (h *History) Final(j *Job) *api.Answer {
	var last *api.Answer
	for _, r := range h.Requests(j) {
		if r.Ans != nil && r.Ans.Final {
			last = r.Ans
		}
	}
	return last
}

// Print writes all events, one a line, in the order in which they were recorded.
func (h *History) Print(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.notes {
		fmt.Fprintln(w, n)
	}
}
