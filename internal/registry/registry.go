// Package registry keeps a record of every identity that was submitted to its home, so that a resubmission attaches to
// the first submission or gets its answer and never starts anything.
package registry

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
)

// Waiter is a request that waits for an answer.
type Waiter interface {
	// Answer gives the answer. It is called at most once and must not block.
	Answer(a *api.Answer)
	// Answered reports whether the request has been answered by other means, so that it need not be kept.
	Answered() bool
}

// AnswerFunc is a Waiter that waits until it gets the answer.
type AnswerFunc func(a *api.Answer)

// Answer implements Waiter.
func (r AnswerFunc) Answer(a *api.Answer) { r(a) }

// Answered implements Waiter.
func (AnswerFunc) Answered() bool { return false }

// Digest identifies the content of a submission.
type Digest [16]byte

// Options configures a Registry.
type Options struct {
	// RecordTTL is how long a record is kept. It must be at least the validity of an identity, so that a valid
	// identity without a record was never submitted.
	RecordTTL time.Duration
	// AnswerTTL is how long the outputs of a finished job are kept; the outcome is kept for RecordTTL.
	AnswerTTL time.Duration
}

type record struct {
	seq      uint64
	digest   Digest
	created  time.Time
	finished time.Time
	answer   *api.Answer // nil while the job is open
	waiters  []Waiter
	hasBody  bool          // the answer still holds its outputs
	age      *list.Element // in byAge
}

// Registry is safe for concurrent use.
type Registry struct {
	opts Options

	mu       sync.Mutex
	records  map[uint64]*record
	byAge    *list.List // records by creation, oldest first
	byFinish *list.List // finished records that hold outputs, oldest first
	open     int
}

// New returns an empty registry.
func New(opts Options) *Registry {
	return &Registry{opts: opts, records: map[uint64]*record{}, byAge: list.New(), byFinish: list.New()}
}

// SetRetention changes how long records and answers are kept. Records are never kept shorter than before, because an
// identity may have been verified under the longer validity a moment ago.
func (r *Registry) SetRetention(records, answers time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.RecordTTL = max(r.opts.RecordTTL, records)
	r.opts.AnswerTTL = answers
}

// OpenResult is the result of opening a record.
type OpenResult int

// The results of Open and Join.
const (
	First    OpenResult = iota // the caller of Open must carry the submission out and call Finish or Withdraw
	Attached                   // the waiter gets the answer of the first submission
	Reused                     // another body was submitted under the identity
	Missing                    // there is no record; only Join returns it
)

// Open claims an identity for a submission. w is kept and answered by Finish, or answered at once when the job has
// ended. A nil w attaches nobody.
func (r *Registry) Open(now time.Time, seq uint64, d Digest, w Waiter) OpenResult {
	r.mu.Lock()
	if r.records[seq] != nil {
		return r.joinLocked(seq, d, w)
	}
	rec := &record{seq: seq, digest: d, created: now}
	rec.attach(w)
	r.records[seq] = rec
	rec.age = r.byAge.PushBack(rec)
	r.open++
	r.mu.Unlock()
	return First
}

// Join is Open for an identity that may no longer start anything: it attaches w to the record, if there is one.
func (r *Registry) Join(seq uint64, d Digest, w Waiter) OpenResult {
	r.mu.Lock()
	return r.joinLocked(seq, d, w)
}

// joinLocked is called with mu held and releases it before it replies.
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

// Watch attaches w to the record of an identity. ok is false when there is none. With wait false an open job gets
// result.Running at once.
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

// Answer returns the answer of a record; an open job gives result.Running.
func (r *Registry) Answer(seq uint64) (a *api.Answer, ok bool) {
	ok = r.Watch(seq, false, AnswerFunc(func(found *api.Answer) { a = found }))
	return a, ok
}

// Finish sets the answer of an open record and gives it to all who wait.
func (r *Registry) Finish(now time.Time, seq uint64, a *api.Answer) {
	r.mu.Lock()
	rec := r.records[seq]
	if rec == nil || rec.answer != nil {
		r.mu.Unlock()
		return
	}
	rec.answer = a
	rec.finished = now
	rec.hasBody = len(a.Outputs) > 0
	if rec.hasBody {
		r.byFinish.PushBack(rec)
	}
	waiters := rec.close()
	r.open--
	r.mu.Unlock()
	answer(waiters, a)
}

// Withdraw removes an open record whose submission was refused before anything ran, so that it may be submitted again.
// All who wait get the refusal.
func (r *Registry) Withdraw(seq uint64, a *api.Answer) {
	r.mu.Lock()
	rec := r.records[seq]
	if rec == nil || rec.answer != nil {
		r.mu.Unlock()
		return
	}
	delete(r.records, seq)
	r.byAge.Remove(rec.age)
	waiters := rec.close()
	r.open--
	r.mu.Unlock()
	answer(waiters, a)
}

// Expire drops outputs and records that have passed their time.
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
		rec.answer, rec.hasBody = dropped, false
		r.byFinish.Remove(e)
	}
	for e := r.byAge.Front(); e != nil; e = r.byAge.Front() {
		rec := e.Value.(*record)
		if now.Sub(rec.created) <= r.opts.RecordTTL {
			break
		}
		// A job still open keeps its record; it is bounded by its deadline.
		if rec.answer == nil {
			r.byAge.MoveToBack(e)
			rec.created = now
			continue
		}
		delete(r.records, rec.seq)
		r.byAge.Remove(e)
	}
}

// Stats counts records.
type Stats struct {
	Records int `json:"records"`
	Open    int `json:"open"`
	Answers int `json:"answers_with_outputs"`
}

// Stats returns the number of records by kind.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Records: len(r.records), Open: r.open, Answers: r.byFinish.Len()}
}

// attach keeps a waiter. Those that have left are forgotten whenever the list would grow, so that its length follows the
// waiters that are still there.
func (rec *record) attach(w Waiter) {
	if w == nil {
		return
	}
	if len(rec.waiters) == cap(rec.waiters) {
		rec.waiters = slices.DeleteFunc(rec.waiters, Waiter.Answered)
	}
	rec.waiters = append(rec.waiters, w)
}

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
