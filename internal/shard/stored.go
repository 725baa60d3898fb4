package shard

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

// A stored job has no caller whose leaving ends it: the dispatcher itself extends leases for its runs while it holds the term. The ends
// of its tasks are recorded in the store before the endpoints may forget them, so that no later dispatcher starts a task again.

// Ledger keeps the stored jobs of a shard. The shard calls it with its lock held, so its methods do not block and do not call the shard.
type Ledger interface {
	// RecordEnd takes a task's end of success or failure. since is a time after the task was started. If it returns RecordedSoon, it calls
	// recorded once the store has the end, or when it is certain that the task belongs to no stored job.
	RecordEnd(end work.End, since time.Duration, recorded func()) Recording
	// RecordCrash takes a run of a stored job's task under which an endpoint's process has crashed.
	RecordCrash(task work.TaskID, run int)
	// NoneStored reports whether it is certain that there were no stored jobs at a time.
	NoneStored(at time.Duration) bool
	// JobEnded takes the final state of a stored job.
	JobEnded(id work.JobID, s work.State)
}

// Recording tells what becomes of an end that was passed to a Ledger.
type Recording int

// The values.
const (
	NotStored    Recording = iota // the task belongs to no stored job; the endpoint may forget the end
	RecordedSoon                  // recorded is called when the endpoint may forget the end
	Undecided                     // not known yet; the end is passed again by RedeliverEnds, ResumeStored and once NoneStored
)

// finishStored handles the end of a stored job. It returns false for other jobs. The shard's lock is held.
func (s *Shard) finishStored(o pool.Outcome) bool {
	if s.stored[o.Job] == nil {
		return false
	}
	s.logEnd(o)
	s.abandon(o.Job, stopJobEnded)
	s.opts.Ledger.JobEnded(o.Job, o.State)
	return true
}

// holdStored holds all stored jobs until ResumeStored is called for the new fence: another dispatcher may have continued them. The
// shard's lock is held.
func (s *Shard) holdStored() {
	for id := range s.stored {
		s.pool.Hold(id, true)
	}
	clear(s.unreleased)
	s.released = nil
}

// dispatchesUnder reports whether the shard dispatches under a fence. The shard's lock is held.
func (s *Shard) dispatchesUnder(fence int64) bool { return s.leading && s.term.Fence == fence }

// OfferStored decides whether a job is to be stored. An accepted job takes its place in the queue and does not start before StartStored.
// ok is false if the shard does not dispatch under the fence.
func (s *Shard) OfferStored(fence int64, job *work.Job, waited time.Duration) (v pool.Verdict, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatchesUnder(fence) {
		return v, false
	}
	if s.evacuated() && !s.pool.HasJob(job.ID) {
		s.opts.Counts.Refused.Add(1)
		return pool.Verdict{Reason: pool.ReasonEvacuated, RetryAfter: evacuatedRetryAfter}, true
	}
	now := s.opts.Now()
	v = s.pool.OfferStored(job, now, now-waited)
	if v.Accepted() {
		s.stored[job.ID] = job
	} else {
		s.opts.Counts.Refused.Add(1)
	}
	return v, true
}

// StartStored lets an offered job start, which is stored now.
func (s *Shard) StartStored(fence int64, id work.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatchesUnder(fence) && s.stored[id] != nil {
		s.pool.Hold(id, false)
		s.dispatch()
	}
}

// DropStored deletes a stored job, which was cancelled or could not be stored, and stops its runs.
func (s *Shard) DropStored(fence int64, id work.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatchesUnder(fence) || s.stored[id] == nil {
		return
	}
	s.abandon(id, stopCancelled)
	s.dispatch()
}

// ResumedJob is a stored job that a ledger has read from the store.
type ResumedJob struct {
	Job          *work.Job
	Succeeded    []work.TaskID
	Unsuccessful []attempt.Attempt // recorded ones
	New          bool              // it is certain that no earlier dispatcher of the zone starts tasks of the job
}

// lastRuns returns the highest number of an unsuccessful run of each task.
func (r *ResumedJob) lastRuns() map[work.TaskID]int {
	last := map[work.TaskID]int{}
	for _, a := range r.Unsuccessful {
		last[a.Task] = max(last[a.Task], a.Run)
	}
	return last
}

// ResumeStored continues the stored jobs of a part of the ledger, which owns selects, and deletes those that the ledger does not name
// any more. Tasks that an earlier dispatcher may start wait until storedNotBefore and, in a zone with several dispatchers, until
// ReleaseStored is called. load returns the jobs; it is called with the shard's lock held, so that no end comes between it and their
// continuation. ResumeStored returns false if the shard does not dispatch under the fence.
func (s *Shard) ResumeStored(fence int64, load func() []ResumedJob, owns func(work.JobID) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatchesUnder(fence) {
		return false
	}
	all := load()
	named := map[work.JobID]bool{}
	for _, r := range all {
		named[r.Job.ID] = true
		s.resume(r)
	}
	for id := range s.stored {
		if owns(id) && !named[id] {
			s.abandon(id, stopJobEnded)
		}
	}
	s.redeliverEnds()
	s.opts.Log.WithFields(logrus.Fields{"event": "stored_resumed", "jobs": len(all), "fence": fence}).Info("stored jobs are continued")
	s.dispatch()
	return true
}

// resume continues a stored job. The shard's lock is held.
func (s *Shard) resume(r ResumedJob) {
	now, notBefore := s.opts.Now(), time.Duration(0)
	if !r.New {
		notBefore = s.storedNotBefore()
	}
	s.opts.History.Merge(r.Unsuccessful, now)
	s.stored[r.Job.ID] = r.Job
	outcomes := s.pool.ResumeStored(r.Job, r.Succeeded, r.lastRuns(), now, notBefore)
	if !r.New {
		s.awaitNeighbours(r.Job.ID)
	}
	s.finish(outcomes)
}

// awaitNeighbours holds a stored job that another dispatcher of the zone may have started until ReleaseStored.
func (s *Shard) awaitNeighbours(id work.JobID) {
	if s.term.Partitions <= 1 || slices.ContainsFunc(s.released, func(owns func(work.JobID) bool) bool { return owns(id) }) {
		return
	}
	s.pool.Hold(id, true)
	s.unreleased[id] = true
}

// ReleaseStored lets the jobs that owns selects start that ResumeStored has continued: the zone's other dispatchers have nothing to report on
// them.
func (s *Shard) ReleaseStored(fence int64, owns func(work.JobID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatchesUnder(fence) {
		return
	}
	s.released = append(s.released, owns)
	for id := range s.unreleased {
		if owns(id) {
			s.pool.Hold(id, false)
			delete(s.unreleased, id)
		}
	}
	s.dispatch()
}

// StoredEnd takes an end that an endpoint of another dispatcher has reported. record records it; it is called with the shard's lock held, so
// that no task starts between the two.
func (s *Shard) StoredEnd(fence int64, end work.End, record func() Recording) Recording {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatchesUnder(fence) {
		return Undecided
	}
	r := record()
	if s.stored[end.Task.Job] != nil { // the dispatcher that has reported the end counts those of other jobs
		s.finish(s.pool.EndElsewhere(end, s.opts.Now()))
		s.dispatch()
	}
	return r
}

// StoredSettled reports whether the shard has nothing to report on the jobs that owns selects, which another dispatcher of the zone with a
// number of partitions holds: the leases that earlier dispatchers may have extended for stored jobs are over, its endpoints run no task of these jobs, and all
// ends that they have listed are recorded.
func (s *Shard) StoredSettled(partitions int, owns func(work.JobID) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading || s.term.Partitions != partitions || s.opts.Now() < s.storedNotBefore() || s.pool.HasRunsWithoutJobOf(owns) {
		return false
	}
	for _, x := range s.sessions {
		for _, e := range x.unrecorded {
			if owns(e.end.Task.Job) {
				return false
			}
		}
	}
	return true
}

// AddStored adds a job that another instance has stored.
func (s *Shard) AddStored(fence int64, r ResumedJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatchesUnder(fence) || s.stored[r.Job.ID] != nil {
		return
	}
	s.resume(r)
	s.dispatch()
}

// StoredToMove returns the stored jobs, among those that owns selects, that cannot go on in the zone: their next tasks fit on no registered
// endpoint of the dispatcher, or the zone is evacuated. No run of them can go on.
func (s *Shard) StoredToMove(fence int64, owns func(work.JobID) bool) []work.JobID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storedToMove(fence, owns)
}

// storedToMove is StoredToMove for callers that hold the shard's lock.
func (s *Shard) storedToMove(fence int64, owns func(work.JobID) bool) []work.JobID {
	if !s.dispatchesUnder(fence) || len(s.stored) == 0 {
		return nil
	}
	var all []work.JobID
	for _, id := range s.pool.StoredToMove(s.mayTakeRuns, s.opts.Now()) {
		if s.stored[id] != nil && owns(id) {
			all = append(all, id)
		}
	}
	return all
}

// mayTakeRuns reports whether an endpoint may get runs, now or once it answers again.
func (s *Shard) mayTakeRuns(id work.EndpointID) bool {
	x := s.sessions[id]
	return x != nil && x.registered && !s.evacuated()
}

// TakeStored deletes and returns those stored jobs that wanted selects and StoredToMove still returns. No task of them starts here any more.
func (s *Shard) TakeStored(fence int64, wanted func(work.JobID) bool) []work.JobID {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.storedToMove(fence, wanted)
	for _, id := range taken {
		s.abandon(id, stopJobEnded)
	}
	return taken
}

// StoredStarted reports whether a task of a stored job is known to have started.
func (s *Shard) StoredStarted(id work.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.IsKnownToHaveStarted(id)
}

// StoredWaiting returns the number of stored jobs of a queue, among those that owns selects, of which no task is known to have started. Just
// after a takeover some of them may run at endpoints that have not reported yet. ok is false if the shard does not dispatch under the fence.
func (s *Shard) StoredWaiting(fence int64, queue string, owns func(work.JobID) bool) (n int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatchesUnder(fence) {
		return 0, false
	}
	for id, job := range s.stored {
		if job.Queue == queue && owns(id) && !s.pool.IsKnownToHaveStarted(id) {
			n++
		}
	}
	return n, true
}
