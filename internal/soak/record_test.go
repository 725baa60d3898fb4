package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
	"github.com/savorypass/savorypass/platform/standin"
)

// attempt is one submission of a job.
type attempt struct {
	Instance string
	Sent     time.Time
	Ended    time.Time // zero while the caller waits
	Status   int       // 0 without a complete answer
	State    work.State
	Broken   bool // the connection ended without a complete answer, not at the caller's wish
	TimedOut bool // the caller closed it after its time limit
	Copy     bool // the path delivered an earlier request again; no caller waits for the answer
	Error    string
}

// job is a job with all its submissions.
type job struct {
	ID       work.JobID
	Steps    []int // number of tasks of each step
	Attempts []attempt
	Stored   *storedState // nil for a job whose caller waits
}

// probe is a request that tells whether an instance knows the route that came with a configuration.
type probe struct {
	Instance       string
	Incarnation    int
	Sent, Answered time.Time
	Revision       int
	Known          bool
	Newest         int // newest revision whose publication had begun when the answer came
}

// span is a time during which a program was disturbed. To is zero while it lasts.
type span struct {
	Who      string // name of an instance, or storeName
	From, To time.Time
}

const storeName = "store"

// callersOf is the name under which the link between the callers and an instance is disturbed.
func callersOf(instance string) string { return "callers of " + instance }

// stop is a planned stop of an instance.
type stop struct {
	Instance string
	At       time.Time
	Ended    time.Time // zero while it lasts
	Killed   bool      // the process had not ended after the grace time
}

// drain is an endpoint that has announced that it leaves.
type drain struct {
	Endpoint work.EndpointID
	Acked    time.Time
}

// record is what callers and stand-ins have seen in a run.
type record struct {
	mu        sync.Mutex
	began     time.Time
	notes     []string
	jobs      []*job
	orders    []standin.Order
	probes    []probe
	published []time.Time // acknowledgement of each revision of the configuration, by its number
	begun     int         // publications that have begun
	spans     []*span
	pauses    []span // of the soak itself
	stops     []*stop
	drains    []drain
	// evacuations are those of zones, in the order of their acknowledgement.
	evacuations []*zoneEvacuation
	zones       map[work.EndpointID]string // zone of each endpoint
	faults      map[string]int
	problems    []string // broken rules that are noticed when they happen
}

func newRecord() *record {
	return &record{began: time.Now(), faults: map[string]int{}, zones: map[work.EndpointID]string{}}
}

// note records an event with the time since the start of the run.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) problem(format string, args ...any) {
	r.note("PROBLEM "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// disturb records that programs are disturbed until the returned function is called.
func (r *record) disturb(who ...string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var begun []*span
	for _, name := range who {
		s := &span{Who: name, From: time.Now()}
		r.spans = append(r.spans, s)
		begun = append(begun, s)
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, s := range begun {
			s.To = time.Now()
		}
	}
}

func (r *record) addJob(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, j)
}

// job returns the job with an ID, or nil.
func (r *record) job(id work.JobID) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// addAttempt records that a job is being submitted. The returned function records what came of it.
func (r *record) addAttempt(j *job, instance string, isCopy bool) func(outcome attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.Attempts = append(j.Attempts, attempt{Instance: instance, Sent: time.Now(), Copy: isCopy})
	at := len(j.Attempts) - 1
	return func(outcome attempt) {
		r.mu.Lock()
		defer r.mu.Unlock()
		outcome.Instance, outcome.Sent, outcome.Ended, outcome.Copy = instance, j.Attempts[at].Sent, time.Now(), isCopy
		j.Attempts[at] = outcome
	}
}

func (r *record) addOrder(o standin.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// beginPublication returns the number of the next revision of the configuration.
func (r *record) beginPublication() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun++
	return r.begun - 1
}

func (r *record) endPublication() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = append(r.published, time.Now())
}

// newestBegun returns the newest revision whose publication has begun.
func (r *record) newestBegun() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun - 1
}

func (r *record) addStop(instance string) (ended func(killed bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &stop{Instance: instance, At: time.Now()}
	r.stops = append(r.stops, s)
	return func(killed bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.Ended, s.Killed = time.Now(), killed
	}
}

func (r *record) addEndpoint(e work.EndpointID, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones[e] = zone
}

func (r *record) addDrain(e work.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = append(r.drains, drain{e, time.Now()})
}

func (r *record) countFault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind]++
}

// newest returns the newest revision that is published.
func (r *record) newest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.published) - 1
}

func (r *record) addProbe(p probe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes = append(r.probes, p)
}

const (
	pauseTick = 5 * time.Millisecond
	minPause  = 20 * time.Millisecond // shorter pauses are no slack
)

// measurePauses records times during which the soak itself did not get the processor, until stop is closed.
func (r *record) measurePauses(stop <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pauseTick):
		}
		now := time.Now()
		if now.Sub(last) > minPause {
			r.mu.Lock()
			r.pauses = append(r.pauses, span{From: last, To: now})
			r.mu.Unlock()
		}
		last = now
	}
}

// slackSince returns for how long the soak itself did not get the processor since a time.
func (r *record) slackSince(from time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return sumOf(r.pauses, from, time.Now())
}

// view is a copy of a record that checks read, with the starts at the endpoints.
type view struct {
	began, at time.Time
	jobs      []job
	orders    []standin.Order
	probes    []probe
	published []time.Time
	spans     []span
	pauses    []span
	stops     []stop
	drains    []drain
	// evacuations and zones are those of the record.
	evacuations []zoneEvacuation
	zones       map[work.EndpointID]string
	starts      []fleet.Start
	callers     map[string]string // name of the instance by IP address
}

// view returns a copy. The starts are read after everything else, so that they contain those of all answered jobs.
func (r *record) view(starts func() []fleet.Start, callers map[string]string) *view {
	r.mu.Lock()
	v := &view{
		began: r.began, at: time.Now(), orders: slices.Clone(r.orders), probes: slices.Clone(r.probes), published: slices.Clone(r.published), pauses: slices.Clone(r.pauses),
		drains: slices.Clone(r.drains), callers: callers, zones: maps.Clone(r.zones),
	}
	for _, j := range r.jobs {
		v.jobs = append(v.jobs, job{j.ID, j.Steps, slices.Clone(j.Attempts), j.Stored.clone()})
	}
	for _, s := range r.spans {
		v.spans = append(v.spans, *s)
	}
	for _, s := range r.stops {
		v.stops = append(v.stops, *s)
	}
	for _, e := range r.evacuations {
		v.evacuations = append(v.evacuations, *e)
	}
	r.mu.Unlock()
	v.starts = starts()
	return v
}

// sinceBegin returns the seconds from the start of the run, or "open" for a time that has not come.
func (r *record) sinceBegin(t time.Time) string { return secondsSince(r.began, t) }

func (v *view) since(t time.Time) string { return secondsSince(v.began, t) }

func secondsSince(began, t time.Time) string {
	if t.IsZero() {
		return "open"
	}
	return fmt.Sprintf("%.3f", t.Sub(began).Seconds())
}

// describe returns a submission with its times as at formats them.
func (a attempt) describe(at func(time.Time) string) string {
	kind := ""
	if a.Copy {
		kind = "copy "
	}
	return fmt.Sprintf("%sat %s from %s to %s: status %d %s broken %v %s", kind, a.Instance, at(a.Sent), at(a.Ended), a.Status, a.State, a.Broken, a.Error)
}

// print writes the history of a run.
func (r *record) print(w io.Writer, v *view) {
	at := r.sinceBegin
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.notes {
		fmt.Fprintln(w, n)
	}
	for _, j := range v.jobs {
		fmt.Fprintln(w, "job", j.ID, j.Steps)
		for _, a := range j.Attempts {
			fmt.Fprintln(w, " ", a.describe(at))
		}
	}
	for _, s := range v.starts {
		fmt.Fprintf(w, "run %s %d at %s from %s to %s %s\n", s.Task, s.Run, s.Endpoint, at(s.StartedAt), at(s.EndedAt), s.Reason)
	}
	for _, o := range v.orders {
		if o.Start {
			fmt.Fprintf(w, "start %s run %d at %s by %s fence %d: %s, %s\n", o.Task, o.Run, o.Address, v.callers[o.Caller], o.Fence, o.Refusal, at(o.At))
		}
	}
}
