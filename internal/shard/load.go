package shard

import (
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// Load returns the load of the partition.
func (s *Shard) Load() relay.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updateLoad()
}

// LastLoad is like Load but does not wait for the shard's lock: while it is taken, the load is that of the last calculation.
func (s *Shard) LastLoad() relay.Load {
	if s.mu.TryLock() {
		defer s.mu.Unlock()
		return s.updateLoad()
	}
	if l := s.lastLoad.Load(); l != nil {
		return *l
	}
	return relay.Load{Partition: s.opts.Partition}
}

// updateLoad calculates the load. s.mu is held.
func (s *Shard) updateLoad() relay.Load {
	l := relay.Load{Partition: s.opts.Partition, Pressure: evacuatedPressure, Knowledge: s.knowledge.Load()}
	if !s.evacuated() {
		l = relay.NewLoad(s.opts.Partition, s.pool.Pressure(), s.knowledge.Load(), s.pool.Headroom())
	}
	l.Partitions = s.term.Partitions
	s.lastLoad.Store(&l)
	return l
}

// withLoad adds the present load to an answer: tasks take 50 ms and more, heartbeats come every 200 ms. s.mu is held.
func (s *Shard) withLoad(a *relay.Answer) *relay.Answer {
	l := s.updateLoad()
	a.Load = &l
	return a
}

// answer sends an answer with the present load to a submitter. s.mu is held.
func (s *Shard) answer(to *submitter, a *relay.Answer) { to.Answer(s.withLoad(a)) }

// startsNow reports whether a job that is submitted to start at once can do so. A job that this dispatcher knows already is none of
// those that may go elsewhere.
func (s *Shard) startsNow(m *relay.Submit) bool {
	id := m.Job.ID
	return s.pool.HasJob(id) || s.pool.HasStarted(id) || s.resumes(m) || s.pool.StartsNow(&m.Job, s.opts.Now())
}

// refuseToQueue refuses a job that is submitted to start at once and cannot. Its sender submits it elsewhere, or again to wait.
func (s *Shard) refuseToQueue(client *submitter, m *relay.Submit) {
	s.logVerdict(client, m, pool.Verdict{Reason: pool.ReasonWouldWait}, false)
	s.opts.Counts.WouldWait.Add(1)
	s.answer(client, s.refusal(m.Job.ID, pool.ReasonWouldWait, 0))
}
