package shard

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// FindResult is what a dispatcher knows of a job that another request may have placed.
type FindResult int

// The results.
const (
	NotHeld     FindResult = iota // neither the job nor a run of it is at this dispatcher
	Held                          // the job or a run of it is here
	NotKnownYet                   // a run of the job is being stopped, or endpoints may have runs that this dispatcher does not know
)

// Finding is the answer to a search for a job.
type Finding struct {
	Result FindResult
	// Knowledge is that of the dispatcher if it has a request for the job that it holds; 0 if it knows of runs only, since runs of an earlier
	// dispatcher may be unknown.
	Knowledge  uint64
	Partitions int           // number of partitions of the zone that the dispatcher uses
	Waited     time.Duration // since the first request for the job arrived; 0 if that is not known
}

// Find reports what this dispatcher knows of a job. Until its takeover of the partition is over, or its usual time has passed, nothing is
// certain of a job that is not found. A read of the registrations is requested then, since a takeover ends with a later read.
func (s *Shard) Find(id work.JobID) Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	switch {
	case len(s.clients[id]) > 0:
		return Finding{Held, s.knowledge.Load(), s.term.Partitions, now - s.pool.Arrived(id)}
	case s.pool.HasFoundRun(id):
		return Finding{Result: Held, Partitions: s.term.Partitions}
	case s.leading && s.settled && !s.pool.HasStarted(id):
		return Finding{Result: NotHeld}
	}
	s.requestRead(now)
	return Finding{Result: NotKnownYet}
}
