package joblog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// producerName is the same for all holders of a partition, so that a later one's epoch fences the earlier ones.
	producerName = "savorypass"
	// maxFirstSequence bounds the sequence number with which a writer begins.
	maxFirstSequence = 1 << 40
	// groupInterval is the shortest time between the beginnings of two appends: 40 a second and partition.
	groupInterval = 25 * time.Millisecond
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 400 * time.Millisecond // short, so that appending resumes soon after an outage
)

// Errors of a Writer.
var (
	// ErrBacklog means that too many records wait for the store.
	ErrBacklog = errors.New("joblog: too many records wait for the store")
	// ErrClosed means that the Writer has ended.
	ErrClosed = errors.New("joblog: the writer has ended")
)

// Options configures a Writer.
type Options struct {
	Log       Log
	Partition Partition
	Epoch     int64 // fence of the holder's term; later holders have higher ones
	// Appended is called after each append that was carried out, in order, before those who wait are informed. The offsets are
	// 0 if the store did not repeat them. It must not call the Writer.
	Appended func(records []store.Record, a store.Appended)
	Logger   logrus.FieldLogger
}

// Writer appends records of a holder to its partition, in groups, one append at a time. An append without a response is
// repeated until the store tells what became of it. Its methods may be called concurrently.
type Writer struct {
	opts Options
	wake chan struct{} // a value makes Run look for waiting records

	// opening is the sequence number of the append that sets the epoch. It is random, so that a second writer with the same
	// epoch is refused: with the same numbers, the store would take its appends for repeats of the first one's.
	opening int64

	mu     sync.Mutex
	queue  queue
	closed error // why the writer has ended; nil while it has not
	stats  Stats
}

// Stats counts a Writer's appends.
type Stats struct {
	Appends  int64 // carried out
	Records  int64 // appended
	Bytes    int64 // of the appended records
	Repeated int64 // appends that were sent again after no response
	Refused  int64 // appends that the store refused
	Waiting  int64 // bytes of the records that wait now
}

// NewWriter returns a Writer. Open and Run must be called.
func NewWriter(o Options) *Writer {
	opening := rand.Int64N(maxFirstSequence)
	return &Writer{
		opts: o, wake: make(chan struct{}, 1), opening: opening,
		queue: queue{byJob: map[work.JobID]*entry{}, sequence: opening + 1},
	}
}

// Open sets the epoch of the partition, so that earlier holders can append nothing more. It tries until it succeeds, ctx
// ends, or another holder uses this or a higher epoch; the error then wraps store.ErrConflict.
func (w *Writer) Open(ctx context.Context) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err := w.opts.Log.Append(ctx, w.request(nil, w.opening))
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("joblog: epoch not set: %w", ctx.Err())
		}
		if errors.Is(err, store.ErrConflict) {
			return err
		}
		w.log().WithError(err).Warn("job_log_epoch_not_set")
		pause.For(ctx, backoff, nil)
	}
}

// unheldEpoch is lower than the epochs of all holders.
const unheldEpoch = 1

// ProveUnheld reports whether it is certain that no holder of any version had set an epoch of the partition: the store has accepted a lower one.
// Without an answer it is not certain.
func ProveUnheld(ctx context.Context, l Log, p Partition) bool {
	_, err := l.Append(ctx, store.Append{
		Topic: p.Topic, Partition: p.Number, Producer: &store.Producer{Name: producerName, Epoch: unheldEpoch, Sequence: rand.Int64N(maxFirstSequence)},
	})
	return err == nil
}

func (w *Writer) request(records []store.Record, sequence int64) store.Append {
	return store.Append{
		Topic: w.opts.Partition.Topic, Partition: w.opts.Partition.Number, Records: records,
		Producer: &store.Producer{Name: producerName, Epoch: w.opts.Epoch, Sequence: sequence},
	}
}

func (w *Writer) log() logrus.FieldLogger {
	return w.opts.Logger.WithFields(w.opts.Partition.fields()).WithField("epoch", w.opts.Epoch)
}

// Store appends the record of a request and waits for the outcome. If ctx ends before, the outcome is NeverStored if no append
// of the record has begun, and NotKnown otherwise.
func (w *Writer) Store(ctx context.Context, r store.Record) (Outcome, error) {
	type result struct {
		outcome Outcome
		err     error
	}
	answered := make(chan result, 1)
	w.mu.Lock()
	if w.closed != nil {
		w.mu.Unlock()
		return NeverStored, w.closed
	}
	e, room := w.queue.request([]store.Record{r}, func(o Outcome, err error) { answered <- result{o, err} })
	w.mu.Unlock()
	if !room {
		return NeverStored, ErrBacklog
	}
	w.signal()
	select {
	case a := <-answered:
		return a.outcome, a.err
	case <-ctx.Done():
	}
	w.mu.Lock()
	withdrawn := w.queue.withdraw(e)
	w.mu.Unlock()
	if withdrawn {
		return NeverStored, ctx.Err()
	}
	select {
	case a := <-answered:
		return a.outcome, a.err
	default:
		return NotKnown, ctx.Err()
	}
}

// Keep appends records of the holder about a job. They are tried again until they are stored or the writer ends, and replace
// waiting records of the job with the same keys. done is called once, from another goroutine, unless Keep returns an error;
// it must not call the Writer.
func (w *Writer) Keep(id work.JobID, records []store.Record, done Done) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed != nil {
		return w.closed
	}
	if !w.queue.keep(id, records, done) {
		return ErrBacklog
	}
	w.signal()
	return nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Stats returns the counts since the writer began.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.Waiting = int64(w.queue.bytes)
	return s
}

// Run appends what is queued until ctx ends or a later holder has taken over; the error then wraps store.ErrConflict. All who
// still wait are informed.
func (w *Writer) Run(ctx context.Context) error {
	backoff := minBackoff
	for {
		begin := time.Now()
		v, err := w.attempt(ctx)
		switch {
		case ctx.Err() != nil:
			w.close(fmt.Errorf("%w: %w", ErrClosed, ctx.Err()))
			return ctx.Err()
		case v == holderReplaced:
			return err
		case v == groupRefused || v == groupUncertain:
			pause.For(ctx, backoff, nil)
			backoff = min(2*backoff, maxBackoff)
		case v == groupStored:
			backoff = minBackoff
			pause.For(ctx, groupInterval-time.Since(begin), nil)
		default:
			w.wait(ctx)
		}
	}
}

func (w *Writer) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.wake:
	}
}

// attempt appends the present or the next group once. The verdict is 0 if nothing waits.
func (w *Writer) attempt(ctx context.Context) (verdict, error) {
	w.mu.Lock()
	records := w.queue.next()
	sequence := w.queue.sequence
	if w.queue.uncertain {
		w.stats.Repeated++
	}
	w.mu.Unlock()
	if len(records) == 0 {
		return 0, nil
	}
	appended, err := w.opts.Log.Append(ctx, w.request(records, sequence))
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.queue.judge(err)
	if err != nil {
		w.log().WithError(err).WithFields(logrus.Fields{"sequence": sequence, "records": len(records)}).Warn("job_log_append_failed")
	}
	switch v {
	case groupStored:
		w.count(records)
		if w.opts.Appended != nil {
			w.opts.Appended(records, appended)
		}
	case groupRefused:
		w.stats.Refused++
	case holderReplaced:
		w.closed = fmt.Errorf("%w: %w", ErrClosed, err)
	}
	w.queue.settle(v, err)
	return v, err
}

func (w *Writer) count(records []store.Record) {
	w.stats.Appends++
	w.stats.Records += int64(len(records))
	w.stats.Bytes += int64(size(records))
}

func (w *Writer) close(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = err
	w.queue.close(err)
}
