package shard

import "github.com/savorypass/savorypass/internal/work"

// FindResult is what a dispatcher knows of a job that another request may have placed.
type FindResult int

// The results.
const (
	NotHeld     FindResult = iota // neither the job nor a run of it is at this dispatcher
	Held                          // the job or a run of it is here
	NotKnownYet                   // endpoints of the partition may have runs that this dispatcher does not know
)

// Find reports what this dispatcher knows of a job. For a job that is held it also returns the dispatcher's knowledge, or 0 if only runs are
// known and no request: runs of an earlier dispatcher may be unknown. While the takeover of the partition goes on, nothing is certain of a job
// that is not found, and a read of the registrations is requested, since a takeover ends with a later read.
func (s *Shard) Find(id work.JobID) (result FindResult, knowledge uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.clients[id]) > 0:
		return Held, s.knowledge.Load()
	case s.pool.HasStarted(id):
		return Held, 0
	case s.leading && s.settled:
		return NotHeld, 0
	}
	s.requestRead(s.opts.Now())
	return NotKnownYet, 0
}
