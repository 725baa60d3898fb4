package joblog

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/store"
)

// Log is the part of a store that holds the log.
type Log interface {
	Append(ctx context.Context, a store.Append) (store.Appended, error)
	Newest(ctx context.Context, topic string, partition int) (store.Batch, error)
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (store.Batch, error)
	Trim(ctx context.Context, topic string, partition int, before int64) error
}

// Partition names a partition of the log.
type Partition struct {
	Topic  string
	Number int
}

// Load folds all records of a partition, and returns the offset at which the next read must begin. A holder loads after
// Writer.Open, so that no earlier holder can append any more. Records that cannot be read are logged and skipped.
func Load(ctx context.Context, l Log, p Partition, now time.Duration, log logrus.FieldLogger) (*Jobs, int64, error) {
	for {
		jobs, next, err := load(ctx, l, p, now, log)
		if !errors.Is(err, store.ErrTruncated) {
			return jobs, next, err
		}
		log.WithFields(p.fields()).WithError(err).Info("job_log_read_again") // the history went while it was read
	}
}

func load(ctx context.Context, l Log, p Partition, now time.Duration, log logrus.FieldLogger) (*Jobs, int64, error) {
	jobs := NewJobs()
	b, err := l.Newest(ctx, p.Topic, p.Number)
	if err != nil {
		return nil, 0, err
	}
	jobs.ApplyAll(b.Records, now, log.WithFields(p.fields()))
	// The newest records were not read at one moment; the records since then complete them.
	for next := b.Next; ; {
		b, err := l.Read(ctx, p.Topic, p.Number, next, 0)
		if err != nil {
			return nil, 0, err
		}
		jobs.ApplyAll(b.Records, now, log.WithFields(p.fields()))
		next = b.Next
		if next >= b.End {
			return jobs, next, nil
		}
	}
}

// ApplyAll folds records and logs those that cannot be read.
func (j *Jobs) ApplyAll(records []store.Record, now time.Duration, log logrus.FieldLogger) {
	for _, r := range records {
		if err := j.Apply(r, now); err != nil {
			log.WithFields(logrus.Fields{"key": r.Key, "offset": r.Offset, "bytes": len(r.Value)}).WithError(err).
				Error("job_record_unreadable")
		}
	}
}

func (p Partition) fields() logrus.Fields {
	return logrus.Fields{"topic": p.Topic, "partition": p.Number}
}
