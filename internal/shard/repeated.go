package shard

import (
	"time"

	"github.com/savorypass/savorypass/internal/relay"
)

// repetitionTime returns for how long after the beginning of a term callers repeat the requests of the time before: those that reached no
// instance at the end of a gap come back one retransmit time later, and instances start at different times.
func (s *Shard) repetitionTime() time.Duration { return 2 * s.opts.Retransmit }

// repeatedInVain reports whether a submitted job is to be refused because its caller has sent it before and its result would come too late.
// It applies at the beginning of a term only. s.mu is held.
func (s *Shard) repeatedInVain(m *relay.Submit, arrived, now time.Duration) bool {
	if s.opts.Retransmit <= 0 || m.Remaining <= 0 || s.resumes(m) || m.InProgress || m.Shared || now-s.began > s.repetitionTime() {
		return false
	}
	declared := m.Waited + m.Remaining
	return s.pool.Repeated(m.Job.Queue, declared, s.opts.Retransmit, now) && s.pool.RepeatedInVain(&m.Job, arrived, s.opts.Retransmit, now)
}
