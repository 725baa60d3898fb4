package ledger

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/joblog"
)

// An instance that cannot reach the holder of a partition reads the partition itself. That costs the store more than an append, so requests
// that come at the same time share a read.

const (
	// readTimeout is how long a read of a partition may take.
	readTimeout = 700 * time.Millisecond
	// maxReadAge is how long ago the read may have begun that waiting jobs are counted from.
	maxReadAge = time.Second
)

// partitionRead is a read of a partition, in progress or ended. Its result is set before done is closed, and not changed afterwards.
type partitionRead struct {
	begun time.Time
	done  chan struct{}
	jobs  *joblog.Jobs
	err   error
}

// jobsSince returns the jobs of a partition from a read of the store that began at a time or later. The caller must not change them.
func (c *Client) jobsSince(ctx context.Context, at place, since time.Time) (*joblog.Jobs, error) {
	for {
		r := c.currentRead(at, since)
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !r.begun.Before(since) {
			return r.jobs, r.err
		}
	}
}

// currentRead returns the read of a partition that is in progress, or the last one if it began at a time or later. Otherwise it begins one.
func (c *Client) currentRead(at place, since time.Time) *partitionRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reads[at]
	if r == nil || r.ended() && r.begun.Before(since) {
		r = &partitionRead{begun: time.Now(), done: make(chan struct{})}
		c.reads[at] = r
		go c.read(at, r)
	}
	return r
}

func (r *partitionRead) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// read reads a partition. A failed read is used only by those who wait for it.
func (c *Client) read(at place, r *partitionRead) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	partition := joblog.Partition{Topic: c.opts.Topic(at.zone), Number: at.partition}
	r.jobs, _, r.err = joblog.Load(ctx, c.opts.Log, partition, 0, c.opts.Logger)
	if r.err != nil {
		c.forgetRead(at, r)
	} else {
		time.AfterFunc(maxReadAge, func() { c.forgetRead(at, r) })
	}
	close(r.done)
}

// forgetRead frees the memory of a read that is not used again.
func (c *Client) forgetRead(at place, r *partitionRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reads[at] == r {
		delete(c.reads, at)
	}
}

// foldPending counts a partition's jobs of a queue without an ended task in the store. Some of them may run, so the number may be too
// high.
func (c *Client) foldPending(ctx context.Context, at place, queue string) (waiting int, ok bool) {
	jobs, err := c.jobsSince(ctx, at, time.Now().Add(-maxReadAge))
	if err != nil {
		c.opts.Logger.WithFields(logrus.Fields{"event": "stored_pending_unknown", "zone": at.zone, "log_partition": at.partition}).WithError(err).
			Info("waiting jobs cannot be counted")
		return 0, false
	}
	for _, id := range jobs.Live() {
		job := jobs.Get(id)
		if job.Work.Queue == queue && !job.Cancelled && !job.Ends.Any() {
			waiting++
		}
	}
	return waiting, true
}
