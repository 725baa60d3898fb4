package shard

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// noteSucceeded records the tasks of a submitted job that have succeeded at a dispatcher which has given the job back. That dispatcher has told
// their endpoints to forget the ends. Without this the successor would run the tasks again once it knows that nothing runs.
func (s *Shard) noteSucceeded(m *relay.Submit, known bool, now time.Duration) {
	if known {
		return
	}
	others := func(task work.TaskID) bool { return task.Job != m.Job.ID }
	s.pool.NoteSuccesses(slices.DeleteFunc(slices.Clone(m.Succeeded), others), now)
}
