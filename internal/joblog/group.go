package joblog

import (
	"errors"

	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// Outcome tells what became of records that were to be stored.
type Outcome int

// The outcomes.
const (
	Stored      Outcome = 1 + iota
	NeverStored         // not stored, and cannot be stored later
	NotKnown            // may be stored now or later
)

func (o Outcome) String() string {
	switch o {
	case Stored:
		return "stored"
	case NeverStored:
		return "never_stored"
	}
	return "not_known"
}

// Done is called once with the outcome of records, and with the cause unless they were stored.
type Done func(Outcome, error)

// entry is a set of records that are stored together.
type entry struct {
	records []store.Record
	job     work.JobID // holder's records: the job, whose later records join the entry; empty for a submission or a cancel
	done    []Done
	bytes   int
}

// kept reports whether the entry is tried again after a refusal.
func (e *entry) kept() bool { return e.job != "" }

func (e *entry) finish(o Outcome, err error) {
	for _, done := range e.done {
		done(o, err)
	}
}

const (
	maxGroupBytes   = 512 << 10 // 25 ms at 20 MB/s; a call takes up to 2 MiB
	maxQueuedBytes  = 8 << 20
	maxRequestBytes = maxQueuedBytes / 2 // submissions and cancels are refused beyond it, so that ends have room
	lengthBytes     = 5                  // lengths of a record and of its key
)

// queue holds entries that wait, and the group that is being appended. Its methods decide and call nothing but the entries'
// Done functions.
type queue struct {
	waiting []*entry
	byJob   map[work.JobID]*entry // waiting entries with the holder's records
	bytes   int                   // of the waiting entries

	group     []*entry // being appended; nil if none
	uncertain bool     // an append of the group got no response, so it may be carried out later
	sequence  int64    // of the group, or of the next one
}

// request queues records that are refused if the store refuses them. It reports whether there was room.
func (q *queue) request(records []store.Record, done Done) (*entry, bool) {
	e := newEntry(records, "", done)
	if q.bytes+e.bytes > maxRequestBytes {
		return nil, false
	}
	q.push(e)
	return e, true
}

// keep queues a holder's records, which are tried again until they are stored. They replace waiting records with the same
// keys. It reports whether there was room.
func (q *queue) keep(id work.JobID, records []store.Record, done Done) bool {
	e := newEntry(records, id, done)
	if q.bytes+e.bytes > maxQueuedBytes {
		return false
	}
	if waiting := q.byJob[id]; waiting != nil {
		q.bytes -= waiting.bytes
		waiting.join(e)
		q.bytes += waiting.bytes
		return true
	}
	q.push(e)
	return true
}

func newEntry(records []store.Record, id work.JobID, done Done) *entry {
	return &entry{records: records, job: id, done: []Done{done}, bytes: size(records)}
}

func size(records []store.Record) int {
	n := 0
	for _, r := range records {
		n += lengthBytes + len(r.Key) + len(r.Value)
	}
	return n
}

// join adds the records of later, which replace those with the same keys.
func (e *entry) join(later *entry) {
	replaced := map[string]bool{}
	for _, r := range later.records {
		replaced[r.Key] = true
	}
	var records []store.Record
	for _, r := range e.records {
		if !replaced[r.Key] {
			records = append(records, r)
		}
	}
	e.records = append(records, later.records...)
	e.done = append(e.done, later.done...)
	e.bytes = size(e.records)
}

func (q *queue) push(e *entry) {
	q.waiting = append(q.waiting, e)
	q.bytes += e.bytes
	if e.kept() {
		q.byJob[e.job] = e
	}
}

// withdraw removes a waiting entry. It returns false if the entry is being appended or was answered.
func (q *queue) withdraw(e *entry) bool {
	for i, other := range q.waiting {
		if other == e {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.bytes -= e.bytes
			return true
		}
	}
	return false
}

// next returns the records of the group to append, which is the present one until it is settled; nil if nothing waits.
func (q *queue) next() []store.Record {
	if q.group == nil {
		q.take()
	}
	var records []store.Record
	for _, e := range q.group {
		records = append(records, e.records...)
	}
	return records
}

func (q *queue) take() {
	bytes, n := 0, 0
	for n < len(q.waiting) && (n == 0 || bytes+q.waiting[n].bytes <= maxGroupBytes) {
		bytes += q.waiting[n].bytes
		n++
	}
	if n == 0 {
		return
	}
	q.group = append([]*entry(nil), q.waiting[:n]...)
	q.waiting = append([]*entry(nil), q.waiting[n:]...)
	q.bytes -= bytes
	for _, e := range q.group {
		if e.kept() {
			delete(q.byJob, e.job)
		}
	}
}

// verdict is what an attempt to append the group showed.
type verdict int

const (
	groupStored    verdict = 1 + iota
	groupRefused           // certainly not stored
	groupUncertain         // to be repeated
	holderReplaced         // the store admits no more appends of this holder
)

// judge returns what the error of an attempt shows.
func (q *queue) judge(err error) verdict {
	var sequence *store.SequenceError
	switch {
	case err == nil:
		return groupStored
	case errors.As(err, &sequence) && q.uncertain && sequence.Expected == q.sequence+1:
		return groupStored
	case errors.Is(err, store.ErrConflict):
		return holderReplaced // by a higher epoch, or another writer uses this epoch
	case errors.Is(err, store.ErrUnavailable) && !q.uncertain:
		return groupRefused
	}
	return groupUncertain
}

// settle ends the attempt to append the group and informs those whose records are settled.
func (q *queue) settle(v verdict, err error) {
	switch v {
	case groupStored:
		q.sequence++
		q.finishGroup(Stored, nil)
	case groupRefused:
		q.requeue(err)
	case groupUncertain:
		q.uncertain = true
	case holderReplaced:
		q.close(err)
	}
}

func (q *queue) finishGroup(o Outcome, err error) {
	group := q.group
	q.group, q.uncertain = nil, false
	for _, e := range group {
		e.finish(o, err)
	}
}

// requeue refuses the requests of the group and puts the holder's records back in front. Later records of the same job that
// wait already replace them where their keys are the same.
func (q *queue) requeue(err error) {
	group := q.group
	q.group = nil
	waiting := q.waiting
	q.waiting, q.bytes, q.byJob = nil, 0, map[work.JobID]*entry{}
	for _, e := range group {
		if e.kept() {
			q.push(e)
		}
	}
	for _, e := range waiting {
		if front := q.byJob[e.job]; e.kept() && front != nil {
			q.bytes -= front.bytes
			front.join(e)
			q.bytes += front.bytes
			continue
		}
		q.push(e)
	}
	for _, e := range group {
		if !e.kept() {
			e.finish(NeverStored, err)
		}
	}
}

// close ends all entries. The group's records may be stored if an append of them got no response.
func (q *queue) close(err error) {
	if q.uncertain {
		q.finishGroup(NotKnown, err)
	} else {
		q.finishGroup(NeverStored, err)
	}
	waiting := q.waiting
	q.waiting, q.bytes, q.byJob = nil, 0, map[work.JobID]*entry{}
	for _, e := range waiting {
		e.finish(NeverStored, err)
	}
}
