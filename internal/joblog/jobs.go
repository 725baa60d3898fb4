package joblog

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// Jobs is the state that the records of one partition fold to. Records may come repeatedly and in any order of kinds; an end
// is final. Times are on the holder's monotonic clock. It is not safe for concurrent use.
type Jobs struct {
	byID     map[work.JobID]*Job
	expiry   []learned    // jobs that leave when their time has come, in the order in which that was learned
	received []work.JobID // jobs from other zones that have ended and leave after Release
	held     bool         // see WasHeld
}

// Job is the state of one job.
type Job struct {
	Work      *work.Job // nil until the submission was read, and after the end
	Cancelled bool      // the caller has cancelled the job; it may have ended otherwise before
	Ends      Ends      // ends of tasks; empty after the job's end
	State     work.State
	// MovedTo is the zone in which the job goes on; empty if that is the zone of the log. Passed lists the zones that the job has moved from.
	MovedTo string
	Passed  []string

	keys       keySet // keys of the job that exist in the store
	unreadable keySet // keys whose newest record cannot be read
	// expiresFrom is when it was last learned that the job leaves after its retention; doneExpiring after its deletion was returned.
	expiresFrom time.Duration
	released    bool // see Release
}

// doneExpiring is before all times.
const doneExpiring time.Duration = math.MinInt64

type learned struct {
	id work.JobID
	at time.Duration
}

// keySet is a set of kinds.
type keySet byte

func bit(k kind) keySet {
	for i, other := range kinds {
		if other == k {
			return 1 << i
		}
	}
	return 0
}

// NewJobs returns the state of a partition without records.
func NewJobs() *Jobs { return &Jobs{byID: map[work.JobID]*Job{}} }

// Len returns the number of jobs, ended ones included.
func (j *Jobs) Len() int { return len(j.byID) }

// WasHeld reports whether the partition has been held: a holder may have let tasks start of the jobs that are known.
func (j *Jobs) WasHeld() bool { return j.held }

// Get returns the state of a job; nil if no such job is known. The caller must not change it.
func (j *Jobs) Get(id work.JobID) *Job { return j.byID[id] }

// Known reports whether the job was accepted. A cancel or a record that cannot be read may exist without a job.
func (j *Job) Known() bool {
	return j != nil && (j.Work != nil || j.State != "" || j.unreadable&bit(submission) != 0)
}

// Runnable reports whether tasks of the job may start. A job of which a record cannot be read is not started: its tasks or the
// job itself may have ended.
func (j *Job) Runnable() bool {
	return j != nil && j.Work != nil && j.State == "" && !j.Cancelled && !j.Moved() && j.unreadable == 0
}

// Moved reports whether the job goes on in another zone.
func (j *Job) Moved() bool { return j != nil && j.MovedTo != "" }

// Ended reports whether the job's end is in the log.
func (j *Job) Ended() bool { return j != nil && j.State != "" }

// Unreadable reports whether a record of the job cannot be read, so that its state is not known.
func (j *Job) Unreadable() bool { return j != nil && j.State == "" && j.unreadable != 0 }

// Live returns the names of the jobs that were accepted and have not ended, in no particular order.
func (j *Jobs) Live() []work.JobID {
	var ids []work.JobID
	for id, job := range j.byID {
		if job.Work != nil && job.State == "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// Apply folds one record. The error reports a record that cannot be read; the other records of the job still count.
func (j *Jobs) Apply(r store.Record, now time.Duration) error {
	if r.Key == holdingKey {
		j.held = true // also if its value cannot be read
		_, err := Decode(r)
		return err
	}
	k, id, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		j.dropped(k, id, now)
		return nil
	}
	job := j.byID[id]
	if job == nil {
		job = &Job{}
		j.byID[id] = job
	}
	job.keys |= bit(k)
	decoded, err := Decode(r)
	if err != nil {
		job.unreadable |= bit(k)
		j.expire(id, job, now)
		return err
	}
	job.unreadable &^= bit(k)
	hadEnded := job.State != ""
	job.apply(decoded)
	if !hadEnded {
		j.expire(id, job, now)
	}
	return nil
}

// apply folds a record that could be read.
func (j *Job) apply(record any) {
	if h, ok := record.(Handover); ok {
		j.Passed = h.Passed // also after the end, see Release
	}
	if j.State != "" {
		return
	}
	switch r := record.(type) {
	case Submission:
		if j.Work == nil {
			j.Work = &r.Job
		}
	case Cancel:
		j.Cancelled = true
	case Progress:
		j.Ends.Merge(r.Ends)
	case Move:
		j.MovedTo = r.To
	case Handover:
		j.Ends.Merge(r.Ends)
	case End:
		j.State = r.State
		j.Work, j.Ends = nil, Ends{}
	}
}

// dropped notes that a key was deleted. A job leaves with its last key.
func (j *Jobs) dropped(k kind, id work.JobID, now time.Duration) {
	job := j.byID[id]
	if job == nil {
		return
	}
	job.keys &^= bit(k)
	job.unreadable &^= bit(k)
	if job.keys == 0 {
		delete(j.byID, id)
	} else if k == end {
		j.expire(id, job, now)
	}
}

// expire schedules the deletion of a job that has ended, or that has records but was never accepted.
func (j *Jobs) expire(id work.JobID, job *Job, now time.Duration) {
	if job.State != "" || !job.Known() {
		job.expiresFrom = now
		j.expiry = append(j.expiry, learned{id, now})
	}
}

// EndRecords returns the records that end a job: its final state, and the deletion of its other keys. That of the Handover stays as long as the
// final state, see Release.
func (j *Jobs) EndRecords(id work.JobID, s work.State) ([]store.Record, error) {
	if err := validateFinal(s); err != nil {
		return nil, err
	}
	r, err := Encode(End{Job: id, State: s})
	if err != nil {
		return nil, err
	}
	job := j.byID[id]
	if !job.Known() {
		return nil, errNotKnown
	}
	if job.State != "" {
		return nil, errEnded
	}
	return append([]store.Record{r}, job.drops(id, job.keys&^(bit(end)|bit(handover)))...), nil
}

var (
	errNotKnown = errors.New("joblog: no such job")
	errEnded    = errors.New("joblog: the job has ended")
)

// drops returns the records that delete some of the job's keys.
func (j *Job) drops(id work.JobID, keys keySet) []store.Record {
	var records []store.Record
	for _, k := range kinds {
		if keys&bit(k) != 0 {
			records = append(records, k.drop(id))
		}
	}
	return records
}

// Received returns the jobs from other zones that have ended and could leave, but for Release.
func (j *Jobs) Received() []work.JobID { return slices.Clone(j.received) }

func (j *Jobs) addReceived(id work.JobID) {
	if !slices.Contains(j.received, id) {
		j.received = append(j.received, id)
	}
}

// Release lets a job from another zone leave after its retention. It is called once that zone's log has the job's end, or nothing of the job any
// more: until then that zone may write the job's submission again, which must not start the job anew.
func (j *Jobs) Release(id work.JobID, now time.Duration) {
	j.received = slices.DeleteFunc(j.received, func(other work.JobID) bool { return other == id })
	if job := j.byID[id]; job != nil {
		job.released = true
		j.expire(id, job, now)
	}
}

// Expired returns the records that delete all keys of the jobs whose end was learned at least retention ago, at most limit
// jobs. It returns a job once; the caller keeps the records until they are stored.
func (j *Jobs) Expired(now, retention time.Duration, limit int) []store.Record {
	var records []store.Record
	for n := 0; n < limit && len(j.expiry) > 0 && now-j.expiry[0].at >= retention; {
		id, at := j.expiry[0].id, j.expiry[0].at
		j.expiry = j.expiry[1:]
		job := j.byID[id]
		if job == nil || job.State == "" && job.Known() || job.expiresFrom != at {
			continue // it has left, it was accepted meanwhile, or it has ended later
		}
		if len(job.Passed) > 0 && !job.released {
			j.addReceived(id)
			continue
		}
		job.expiresFrom = doneExpiring
		records = append(records, job.drops(id, job.keys)...)
		n++
	}
	return records
}
