package shard

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// submitter is an instance that has submitted a job for a request of its caller. All answers to the job name its submission.
type submitter struct {
	relay.Client
	submission relay.SubmissionNumber
	request    uint64
}

// Answer sends the final answer to the submission. It does not block.
func (c *submitter) Answer(a *relay.Answer) {
	a.Number = c.submission
	c.Client.Answer(a)
}

// submitters are the instances whose callers wait for a job, each with the last submission of its request. A job has several if its caller
// has submitted it again and the end of the earlier request is not known.
type submitters []*submitter

// with returns the submitters after a submission, which takes the place of an earlier one of the same instance or the same request.
func (all submitters) with(c *submitter) submitters {
	others := slices.DeleteFunc(slices.Clone(all), func(o *submitter) bool {
		return o.Client == c.Client || o.request == c.request && c.request != 0
	})
	return append(others, c)
}

// without returns the submitters except those that match.
func (all submitters) without(match func(*submitter) bool) submitters {
	return slices.DeleteFunc(slices.Clone(all), match)
}

// silence returns for how long it is not known that a caller waits: the shortest time among the submitters.
func (all submitters) silence() time.Duration {
	shortest := all[0].Silence()
	for _, c := range all[1:] {
		shortest = min(shortest, c.Silence())
	}
	return shortest
}

// answer sends an answer to all submitters.
func (all submitters) answer(a *relay.Answer) {
	for _, c := range all {
		copied := *a
		c.Answer(&copied)
	}
}

// leave removes the submitters of a job that match, and abandons the job when none is left. It returns false if none matches.
func (s *Shard) leave(id work.JobID, why stopReason, match func(*submitter) bool) bool {
	all := s.clients[id]
	left := all.without(match)
	if len(left) == len(all) {
		return false
	}
	if len(left) == 0 {
		s.abandon(id, why)
	} else {
		s.clients[id] = left
	}
	return true
}
