package shard

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/work"
)

// noteTiming counts the success of a job by its priority and punctuality, and adds its times to the fields of its log line.
func (s *Shard) noteTiming(id work.JobID, fields logrus.Fields) {
	t, now := s.pool.Timing(id), s.opts.Now()
	punctuality := t.Punctuality(now)
	s.opts.Counts.Punctuality.Add(metric.Kind(fmt.Sprintf("priority_%d_%s", t.Priority, punctuality)), 1)
	fields["priority"], fields["punctuality"], fields["milli_cpu"] = t.Priority, punctuality, t.MilliCPU
	fields["ms"], fields["objective_ms"] = (now - t.Arrived).Milliseconds(), t.Objective.Milliseconds()
	if t.LastStart > 0 {
		fields["first_start_ms"], fields["last_start_ms"] = (t.FirstStart - t.Arrived).Milliseconds(), (t.LastStart - t.Arrived).Milliseconds()
	}
}
