// Package registry keeps a record of each identity that was submitted to its home, the instance that issued the identity. A
// resubmission attaches to the first submission or gets its answer, and never starts tasks again.
package registry

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
)

// Waiter is a request that waits for the answer of a job.
type Waiter interface {
	// Answer delivers the answer. It is called at most once and must not block.
	Answer(a *api.Answer)
	// Answered reports whether the request has been answered by other means, such as its timeout, and can be dropped.
	Answered() bool
}

// AnswerFunc is a Waiter that calls a function with the answer. It is never answered by other means.
type AnswerFunc func(a *api.Answer)

// Answer implements Waiter.
func (r AnswerFunc) Answer(a *api.Answer) { r(a) }

// Answered implements Waiter.
func (AnswerFunc) Answered() bool { return false }

// Digest identifies the content of a submission.
type Digest [16]byte

// Options configures a Registry.
type Options struct {
	// RecordTTL is how long a record is kept. It must be at least the validity of an identity, so that the lack of a
	// record proves that a valid identity was never submitted.
	RecordTTL time.Duration
	// AnswerTTL is how long the outputs of a finished job are kept; the outcome is kept for RecordTTL.
	AnswerTTL time.Duration
}

type record struct {
	seq        uint64
	digest     Digest
	created    time.Time
	finished   time.Time
	answer     *api.Answer // nil while the job is open
	waiters    []Waiter
	hasOutputs bool          // the answer holds outputs and is in byFinish
	ageElement *list.Element // the record's element in byAge
}

// Registry holds the records. Its methods are safe for concurrent use.
type Registry struct {
	opts Options

	mu       sync.Mutex
	records  map[uint64]*record // by sequence number of the identity
	byAge    *list.List         // all records by creation time, oldest first
	byFinish *list.List         // finished records whose answer holds outputs, by finish time, oldest first
	open     int                // number of records without an answer
}

// New returns an empty registry.
func New(opts Options) *Registry {
	return &Registry{opts: opts, records: map[uint64]*record{}, byAge: list.New(), byFinish: list.New()}
}

// SetRetention changes how long records and outputs are kept. The retention of records never becomes shorter, because
// an identity may just have been verified with the longer validity.
func (r *Registry) SetRetention(records, answers time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.RecordTTL = max(r.opts.RecordTTL, records)
	r.opts.AnswerTTL = answers
}

// OpenResult is the result of Open and Join.
type OpenResult int

// The results of Open and Join.
const (
	First    OpenResult = iota // the caller of Open must carry the submission out and call Finish or Withdraw
	Attached                   // the waiter gets the answer of the first submission
	Reused                     // another body was submitted before under the identity
	Missing                    // there is no record; only Join returns it
)

// Open claims an identity for a submission. If the identity is new, or its job is open, Finish or Withdraw answers w.
// If the job has finished, w is answered at once. With Reused, w is not answered. w may be nil.
func (r *Registry) Open(now time.Time, seq uint64, d Digest, w Waiter) OpenResult {
	r.mu.Lock()
	if r.records[seq] != nil {
		return r.joinLocked(seq, d, w)
	}
	rec := &record{seq: seq, digest: d, created: now}
	rec.attach(w)
	r.records[seq] = rec
	rec.ageElement = r.byAge.PushBack(rec)
	r.open++
	r.mu.Unlock()
	return First
}

// Join is like Open but creates no record. It is for an identity that must not start a job any more.
func (r *Registry) Join(seq uint64, d Digest, w Waiter) OpenResult {
	r.mu.Lock()
	return r.joinLocked(seq, d, w)
}

// joinLocked is called with mu held and releases it, before it answers w.
func (r *Registry) joinLocked(seq uint64, d Digest, w Waiter) OpenResult {
	rec := r.records[seq]
	if rec == nil {
		r.mu.Unlock()
		return Missing
	}
	if rec.digest != d {
		r.mu.Unlock()
		return Reused
	}
	answer := rec.answer
	if answer == nil {
		rec.attach(w)
	}
	r.mu.Unlock()
	if answer != nil && w != nil {
		w.Answer(answer)
	}
	return Attached
}

// Watch gives w the answer of an identity's job. If the job is open, w is answered when the job finishes or, with wait
// false, with result.Running at once. ok is false if there is no record; w is not answered then.
func (r *Registry) Watch(seq uint64, wait bool, w Waiter) (ok bool) {
	r.mu.Lock()
	rec := r.records[seq]
	if rec == nil {
		r.mu.Unlock()
		return false
	}
	answer := rec.answer
	if answer == nil && wait {
		rec.attach(w)
		r.mu.Unlock()
		return true
	}
	r.mu.Unlock()
	if answer == nil {
		answer = api.NewAnswer(result.Running, "")
	}
	w.Answer(answer)
	return true
}

// Answer returns the answer of a job, which is result.Running for an open one. ok is false if there is no record.
func (r *Registry) Answer(seq uint64) (a *api.Answer, ok bool) {
	ok = r.Watch(seq, false, AnswerFunc(func(found *api.Answer) { a = found }))
	return a, ok
}

// Finish sets the answer of an open record and passes it to all waiters. It has no effect if there is no open record.
func (r *Registry) Finish(now time.Time, seq uint64, a *api.Answer) {
	r.mu.Lock()
	rec := r.records[seq]
	if rec == nil || rec.answer != nil {
		r.mu.Unlock()
		return
	}
	rec.answer = a
	rec.finished = now
	rec.hasOutputs = len(a.Outputs) > 0
	if rec.hasOutputs {
		r.byFinish.PushBack(rec)
	}
	waiters := rec.close()
	r.open--
	r.mu.Unlock()
	answer(waiters, a)
}

// Withdraw removes an open record whose submission was refused before any task ran, so that the identity may be
// submitted again. All waiters get the refusal.
func (r *Registry) Withdraw(seq uint64, a *api.Answer) {
	r.mu.Lock()
	rec := r.records[seq]
	if rec == nil || rec.answer != nil {
		r.mu.Unlock()
		return
	}
	delete(r.records, seq)
	r.byAge.Remove(rec.ageElement)
	waiters := rec.close()
	r.open--
	r.mu.Unlock()
	answer(waiters, a)
}

// Expire drops outputs and records that are older than their retention.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for e := r.byFinish.Front(); e != nil; e = r.byFinish.Front() {
		rec := e.Value.(*record)
		if now.Sub(rec.finished) < r.opts.AnswerTTL {
			break
		}
		dropped := api.NewAnswer(result.AnswerDropped, "the job completed and its answer is no longer kept")
		dropped.Identity, dropped.Tasks = rec.answer.Identity, rec.answer.Tasks
		rec.answer, rec.hasOutputs = dropped, false
		r.byFinish.Remove(e)
	}
	for e := r.byAge.Front(); e != nil; e = r.byAge.Front() {
		rec := e.Value.(*record)
		if now.Sub(rec.created) <= r.opts.RecordTTL {
			break
		}
		// The record of an open job is kept. The deadline of the job bounds how long.
		if rec.answer == nil {
			r.byAge.MoveToBack(e)
			rec.created = now
			continue
		}
		delete(r.records, rec.seq)
		r.byAge.Remove(e)
	}
}

// Stats holds the numbers of records, for operators.
type Stats struct {
	Records int `json:"records"`              // all records
	Open    int `json:"open"`                 // records of open jobs
	Answers int `json:"answers_with_outputs"` // finished records that hold outputs
}

// Stats returns the current numbers of records.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Records: len(r.records), Open: r.open, Answers: r.byFinish.Len()}
}

// attach adds a waiter. Before the slice would grow, waiters that were answered by other means are removed, so that its
// size stays in proportion to the requests that still wait.
func (rec *record) attach(w Waiter) {
	if w == nil {
		return
	}
	if len(rec.waiters) == cap(rec.waiters) {
		rec.waiters = slices.DeleteFunc(rec.waiters, Waiter.Answered)
	}
	rec.waiters = append(rec.waiters, w)
}

// close returns the waiters and detaches them from the record.
func (rec *record) close() []Waiter {
	waiters := rec.waiters
	rec.waiters = nil
	return waiters
}

func answer(waiters []Waiter, a *api.Answer) {
	for _, w := range waiters {
		w.Answer(a)
	}
}
