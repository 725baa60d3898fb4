package ledger

import (
	"context"
	"errors"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// follow reads what other instances append, deletes the records of jobs that ended long ago, and trims the partition.
func (h *holder) follow(ctx context.Context) {
	for ctx.Err() == nil {
		h.readForeign(ctx)
		h.sendUnsent()
		h.proveHolding()
		h.expire()
		h.trim(ctx)
		pause.For(ctx, readPause, nil)
		pause.For(ctx, foreignInterval-readPause, h.readNow)
	}
}

func (h *holder) readForeign(ctx context.Context) {
	h.mu.Lock()
	from := h.next
	h.settleProofs()
	needed := h.unread || len(h.proofs) > 0 || h.opts().Now()-h.appendedAt >= foreignInterval
	h.mu.Unlock()
	if !needed {
		return
	}
	begun := h.opts().Now()
	b, err := h.opts().Log.Read(ctx, h.partition.Topic, h.partition.Number, from, 0)
	if errors.Is(err, store.ErrTruncated) {
		b, err = h.opts().Log.Newest(ctx, h.partition.Topic, h.partition.Number)
	}
	if err != nil {
		if ctx.Err() == nil {
			h.log().WithError(err).Info("job_log_read_failed")
		}
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(b.Records, h.opts().Now())
	h.unread = h.unread && b.Next < b.End
	if b.Next >= b.End {
		h.confirmed = max(h.confirmed, begun)
		h.settleProofs()
	}
	h.next = max(h.next, b.Next)
}

// sendUnsent passes on what the writer had no room for.
func (h *holder) sendUnsent() {
	h.mu.Lock()
	ends, progress := map[work.JobID]*liveJob{}, map[work.JobID]*liveJob{}
	for id, job := range h.live {
		switch {
		case !job.unsent:
		case job.final != "":
			ends[id] = job
		default:
			progress[id] = job
		}
	}
	h.mu.Unlock()
	for id, job := range ends {
		h.sendEnd(id, job)
	}
	for id, job := range progress {
		h.sendProgress(id, job)
	}
}

func (h *holder) expire() {
	h.mu.Lock()
	h.expired = append(h.expired, h.jobs.Expired(h.opts().Now(), h.opts().Retention, maxExpired)...)
	expired, w := h.expired, h.writer
	h.mu.Unlock()
	if len(expired) == 0 {
		return
	}
	if err := w.Keep(expiryKey, expired, func(joblog.Outcome, error) {}); err != nil {
		return // tried again
	}
	h.mu.Lock()
	h.expired = h.expired[len(expired):]
	h.mu.Unlock()
}

func (h *holder) trim(ctx context.Context) {
	h.mu.Lock()
	before, ok := h.history.Trim(h.opts().Now())
	h.mu.Unlock()
	if !ok {
		return
	}
	if err := h.opts().Log.Trim(ctx, h.partition.Topic, h.partition.Number, before); err != nil && ctx.Err() == nil {
		h.log().WithError(err).Info("job_log_trim_failed")
	}
}
