package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// unrecordedEnd is an end that its endpoint must not forget yet.
type unrecordedEnd struct {
	end   work.End
	since time.Duration // when it was passed to the ledger first
}

const (
	// maxListedEnds is the number of ends from which a report may be incomplete: an endpoint lists at most that many.
	maxListedEnds = 500
	// recordPause is the pause before the next poll while ends wait for the store, unless they are recorded before. An endpoint answers
	// a poll at once as long as it holds ends.
	recordPause = 10 * time.Millisecond
	// slowRecordTime is the time after which the store counts as slow, and slowRecordPause the pause then.
	slowRecordTime  = 400 * time.Millisecond
	slowRecordPause = 100 * time.Millisecond
)

// recordEnd passes an end to the ledger if it may belong to a stored job. Other ends than successes and failures change nothing in
// the state of a job. The shard's lock is held.
func (x *session) recordEnd(end work.End, now time.Duration) {
	s := x.shard
	if s.opts.Ledger == nil || s.clients[end.Task.Job] != nil || end.Reason != work.EndSucceeded && end.Reason != work.EndFailed {
		return
	}
	if x.unrecorded == nil {
		x.unrecorded = map[int64]unrecordedEnd{}
	}
	waiting := x.unrecorded
	switch s.opts.Ledger.RecordEnd(end, x.fencedAt, func() { x.endRecorded(waiting, end.Sequence) }) {
	case RecordedSoon:
		waiting[end.Sequence] = unrecordedEnd{end, now}
	case Undecided:
		waiting[end.Sequence] = unrecordedEnd{end, now}
		s.endsUndecided = true
		s.undecidedSince = max(s.undecidedSince, x.fencedAt)
	}
}

// decideEnds passes the undecided ends on once it is certain that there were no stored jobs when their tasks were started. The shard's lock
// is held.
func (s *Shard) decideEnds() {
	if s.endsUndecided && s.opts.Ledger.NoneStored(s.undecidedSince) {
		s.redeliverEnds()
	}
}

// releaseEndsOf lets endpoints forget the ends of a job whose caller waits: such a job is not stored. The shard's lock is held.
func (s *Shard) releaseEndsOf(id work.JobID) {
	for _, x := range s.sessions {
		released := false
		for sequence, e := range x.unrecorded {
			if e.end.Task.Job == id {
				delete(x.unrecorded, sequence)
				released = true
			}
		}
		x.wakeIf(released && len(x.unrecorded) == 0)
	}
}

// endRecorded removes an end from those that wait for the store, unless the session has started another collection of them.
func (x *session) endRecorded(waiting map[int64]unrecordedEnd, sequence int64) {
	x.shard.mu.Lock()
	delete(waiting, sequence)
	wake := len(x.unrecorded) == 0
	x.shard.mu.Unlock()
	x.wakeIf(wake)
}

// wakeIf ends the pause before the next poll if a condition holds.
func (x *session) wakeIf(condition bool) {
	if !condition {
		return
	}
	select {
	case x.recorded <- struct{}{}:
	default:
	}
}

// recordedUpTo returns the sequence number up to which the endpoint may forget its ends. The shard's lock is held.
func (x *session) recordedUpTo() int64 {
	upTo := x.acknowledged
	for sequence := range x.unrecorded {
		upTo = min(upTo, sequence-1)
	}
	return upTo
}

// recordPause returns the pause before the next poll. The shard's lock is held.
func (x *session) recordPause(now time.Duration) time.Duration {
	if len(x.unrecorded) == 0 {
		return 0
	}
	for _, e := range x.unrecorded {
		if now-e.since > slowRecordTime {
			return slowRecordPause
		}
	}
	return recordPause
}

// countRecorded counts a success of a stored job's task, whose record makes any further run of the task superfluous.
func (x *session) countRecorded(end work.End) {
	s := x.shard
	if end.Reason == work.EndSucceeded && s.stored[end.Task.Job] != nil {
		s.finish(s.pool.StoredSuccess(end.Task))
	}
}

// RedeliverEnds passes the ends that are not recorded to the ledger once more.
func (s *Shard) RedeliverEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.redeliverEnds()
}

// redeliverEnds passes the ends that are not recorded to the ledger and to the pool once more: the ledger may have been replaced, and
// the pool may hold their job anew. It uses the ends as they were reported, so that no task starts before they count. The shard's lock is
// held.
func (s *Shard) redeliverEnds() {
	s.endsUndecided, s.undecidedSince = false, 0
	now := s.opts.Now()
	for _, x := range s.sessions {
		unrecorded := x.unrecorded
		x.unrecorded = nil
		for _, sequence := range slices.Sorted(maps.Keys(unrecorded)) {
			end := unrecorded[sequence].end
			x.recordEnd(end, now)
			s.finish(s.pool.RunEnded(x.process(), end, now))
			x.countRecorded(end)
		}
		x.wakeIf(len(unrecorded) > 0)
	}
}
