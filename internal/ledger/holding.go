package ledger

import (
	"context"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// The store refuses appends of an earlier holder, not its reads. A holder that has been replaced could therefore read jobs that were stored
// after its successor began, and start them. So a holder lets jobs start that it has read only after an append of a joblog.Holding, which the store
// accepts only if no later holder has begun. Then
//
//   - a holder that finds no Holding in its first read of the partition knows that no earlier one lets any job start, and
//   - a job that is missing from its first read is one that no earlier holder lets start.
//
// The tasks of both start without a wait for earlier dispatchers. Holders of earlier versions append no Holding. The first rule therefore also asks that
// the store knew of no holder when this one began (joblog.ProveUnheld).

// holdingEntry stands for a job in the writer's queue. It joins all waiting appends of a Holding.
const holdingEntry work.JobID = "#holding"

// sendHolding makes a Holding be stored. done is called as the writer's Keep says.
func (h *holder) sendHolding(w *joblog.Writer, epoch int64, done joblog.Done) error {
	r, err := joblog.Encode(joblog.Holding{Epoch: epoch})
	if err != nil {
		return err
	}
	return w.Keep(holdingEntry, []store.Record{r}, done)
}

// recordHolding returns once a Holding is stored. The writer must run.
func (h *holder) recordHolding(ctx context.Context, w *joblog.Writer) error {
	type result struct {
		outcome joblog.Outcome
		err     error
	}
	settled := make(chan result, 1)
	h.mu.Lock()
	epoch := h.epoch
	h.mu.Unlock()
	if err := h.sendHolding(w, epoch, func(o joblog.Outcome, err error) { settled <- result{o, err} }); err != nil {
		return err
	}
	select {
	case r := <-settled:
		if r.outcome == joblog.Stored {
			return nil
		}
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// afterProofOfHolding calls start, in the holder's goroutine, once an append that begins later has shown that no later holder has begun. If a
// later one has, it is not called. h.mu is held.
func (h *holder) afterProofOfHolding(start func()) {
	h.unproven = append(h.unproven, start)
	if len(h.unproven) == 1 {
		h.post(h.proveHolding)
	}
}

// proveHolding appends a Holding for all that waits for one. What the writer has no room for is tried again by follow.
func (h *holder) proveHolding() {
	h.mu.Lock()
	starts, w, epoch := h.unproven, h.writer, h.epoch
	h.unproven = nil
	h.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	err := h.sendHolding(w, epoch, func(o joblog.Outcome, _ error) {
		if o != joblog.Stored {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.post(func() { callAll(starts) })
	})
	if err != nil {
		h.log().WithError(err).Warn("stored_holding_waits")
		h.mu.Lock()
		h.unproven = append(starts, h.unproven...)
		h.mu.Unlock()
	}
}
