package shard

import (
	"time"

	"github.com/savorypass/savorypass/internal/relay"
)

// noteDone records the tasks of a submitted job that have succeeded at a dispatcher which has given the job back. That dispatcher has told
// their endpoints to forget the ends. Without this the successor would run the tasks again once it knows that nothing runs.
func (s *Shard) noteDone(m *relay.Submit, known bool, now time.Duration) {
	if known {
		return
	}
	for _, task := range m.Done {
		if task.Job == m.Job.ID {
			s.pool.NoteSuccess(task, now)
		}
	}
}
