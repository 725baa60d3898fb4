package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/evacuation"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// The dispatcher of an evacuated zone starts nothing: it refuses new jobs, gives back those of which nothing has run, and hands over
// those in progress as soon as their present runs have ended, so that their instances place them in other zones. It goes on to renew leases,
// to collect ends and to keep placements. See docs/design/evacuation.md.

const (
	// evacuatedRetryAfter is the time after which a caller should retry when no other zone has taken its job.
	evacuatedRetryAfter = 2 * time.Second
	// evacuatedPressure is the pressure of a dispatcher that takes no jobs, as without an endpoint.
	evacuatedPressure = 1000
)

func (s *Shard) evacuation() evacuation.State {
	if s.opts.Evacuation == nil {
		return evacuation.Open
	}
	return s.opts.Evacuation()
}

// evacuated reports whether the zone is evacuated.
func (s *Shard) evacuated() bool { return s.evacuation() == evacuation.Evacuated }

// mayStartRuns reports whether runs may start in the zone: it is known not to be evacuated.
func (s *Shard) mayStartRuns() bool { return s.evacuation() == evacuation.Open }

// mustGoElsewhere reports whether a submitted job is refused because of an evacuation. A job that has runs here, or may have, is taken
// until they are over. s.mu is held.
func (s *Shard) mustGoElsewhere(m *relay.Submit) bool {
	return s.evacuated() && !s.resumes(m) && !s.pool.HasJob(m.Job.ID)
}

// moveEvacuated sends the jobs of an evacuated zone that have no run to other zones. s.mu is held.
func (s *Shard) moveEvacuated(now time.Duration) {
	if !s.leading || !s.evacuated() {
		return
	}
	for _, m := range s.pool.Movable(now) {
		clients := s.clients[m.Job]
		switch {
		case len(clients) == 0:
			continue
		case !m.HasRun:
			clients.answer(&relay.Answer{Job: m.Job, Refused: pool.ReasonEvacuated, RetryAfter: evacuatedRetryAfter})
			s.opts.Counts.Evacuated.Add(1)
		case len(clients) > 1:
			continue // only one of the instances may continue the job elsewhere; it waits until the others have left
		default:
			clients.answer(&relay.Answer{
				Job: m.Job, Refused: pool.ReasonNotLeader, Started: true, HandedOver: true, Succeeded: m.Succeeded,
				Attempts: s.opts.History.OfJob(m.Job),
			})
			s.opts.Counts.HandedOver.Add(1)
		}
		s.opts.Log.WithFields(logrus.Fields{
			"event": "evacuated_job", "job": m.Job, "in_progress": m.HasRun, "succeeded": len(m.Succeeded),
		}).Info("the zone is evacuated; the job goes to another zone")
		s.abandon(m.Job, stopJobEnded)
		s.pool.NoteSuccesses(m.Succeeded, now) // should the answer be lost, the job comes back as resumed
	}
}
