package scenario

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/api"
)

// Request is one request of a caller.
type Request struct {
	Job     *Job
	Kind    string
	Entry   string
	SentAt  time.Time
	EndedAt time.Time // zero: still open
	Ans     *api.Answer
	Err     error
}

// publication is one attempt to publish.
type publication struct {
	entry    string
	replaces int64
	document string
	version  int64
	err      error
	at       time.Time
}

// seen is a configuration version that an incarnation reported.
type seen struct {
	entry       string
	incarnation uint64
	version     int64
}

// History is what a run has done and seen. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	began    time.Time
	jobs     []*Job
	requests []*Request
	notes    []string
	pubs     []publication
	versions []seen
}

func newHistory() *History { return &History{began: time.Now()} }

// Note records an event.
func (h *History) Note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(time.Now(), format, args...)
}

func (h *History) note(at time.Time, format string, args ...any) {
	h.notes = append(h.notes, fmt.Sprintf("%8.3f ", at.Sub(h.began).Seconds())+fmt.Sprintf(format, args...))
}

func (h *History) add(j *Job) {
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

// asked records a request. The returned function records its end.
func (h *History) asked(j *Job, kind, entry string) func(*api.Answer, error) {
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
		h.note(r.EndedAt, "%s at %s of %s, sent %.3f: %s %s %+v", kind, entry, j.Identity, r.SentAt.Sub(h.began).Seconds(), a.Name, a.Message, a.Tasks)
	}
}

func (h *History) published(entry string, replaces int64, document string, version int64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pubs = append(h.pubs, publication{entry, replaces, document, version, err, time.Now()})
	h.note(time.Now(), "publish at %s over %d: version %d %v", entry, replaces, version, err)
}

func (h *History) sawVersion(entry string, incarnation uint64, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, seen{entry, incarnation, version})
}

// Requests returns the requests about a job, in the order in which they were sent.
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

// Final returns the last final answer to a job, or nil.
func (h *History) Final(j *Job) *api.Answer {
	var last *api.Answer
	for _, r := range h.Requests(j) {
		if r.Ans != nil && r.Ans.Final {
			last = r.Ans
		}
	}
	return last
}

// Print writes all events.
func (h *History) Print(w io.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.notes {
		fmt.Fprintln(w, n)
	}
}
