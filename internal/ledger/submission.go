package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// submit stores a job and replies when that is certain.
func (h *holder) submit(w *work.Job, waited time.Duration, reply replyFunc) {
	h.mu.Lock()
	if !h.ready {
		h.mu.Unlock()
		reply(relay.StoredReply{Result: relay.StoredNoHolder})
		return
	}
	known, live := h.jobs.Get(w.ID), h.live[w.ID]
	switch {
	case known.Known():
		state := known.State
		h.mu.Unlock()
		reply(relay.StoredReply{Result: relay.StoredDone, State: state})
		return
	case live != nil:
		live.replies = append(live.replies, reply)
		h.mu.Unlock()
		return
	}
	job := &liveJob{replies: []replyFunc{reply}}
	h.live[w.ID] = job
	h.mu.Unlock()
	v, ok := h.ledger.dispatcher.OfferStored(h.fence, w, waited)
	switch {
	case !ok:
		h.withdraw(w.ID, job, relay.StoredReply{Result: relay.StoredNoHolder})
	case !v.Accepted():
		h.opts().Counts.Refused.Add(1)
		h.withdraw(w.ID, job, relay.StoredReply{Result: relay.StoredRefused, RetryAfter: v.RetryAfter, Reason: string(v.Reason)})
	default:
		go h.store(w, job, v)
	}
}

// withdraw deletes a job that is not stored and replies.
func (h *holder) withdraw(id work.JobID, job *liveJob, r relay.StoredReply) {
	h.mu.Lock()
	if h.live[id] == job {
		delete(h.live, id)
	}
	replies := job.replies
	job.replies = nil
	h.mu.Unlock()
	for _, reply := range replies {
		reply(r)
	}
}

// store appends the submission of a job that the dispatcher has taken, and lets it start.
func (h *holder) store(w *work.Job, job *liveJob, v pool.Verdict) {
	outcome, err := joblog.NeverStored, error(nil)
	r, err := joblog.Encode(joblog.Submission{Job: *w})
	if err == nil {
		ctx, cancel := context.WithTimeout(h.ctx, storeTimeout)
		outcome, err = h.currentWriter().Store(ctx, r)
		cancel()
	}
	h.logSubmission(w, outcome, err, v)
	h.mu.Lock()
	known := h.jobs.Get(w.ID)
	stored := outcome == joblog.Stored || known.Known() && h.ready
	cancelled := known != nil && known.Cancelled
	if stored {
		job.stored = true
	}
	h.mu.Unlock()
	switch {
	case stored && cancelled:
		h.ledger.dispatcher.DropStored(h.fence, w.ID)
		h.jobEnded(w.ID, work.Cancelled) // answers
	case stored:
		h.opts().Counts.Accepted.Add(1)
		h.startStored(w.ID, outcome)
		h.takeReplies(job, relay.StoredReply{Result: relay.StoredDone, State: work.Queued})
	case outcome == joblog.NeverStored && errors.Is(err, joblog.ErrClosed):
		h.ledger.dispatcher.DropStored(h.fence, w.ID)
		h.withdraw(w.ID, job, relay.StoredReply{Result: relay.StoredNoHolder}) // the next holder takes it
	case outcome == joblog.NeverStored:
		h.opts().Counts.NotSaved.Add(1)
		h.ledger.dispatcher.DropStored(h.fence, w.ID)
		h.withdraw(w.ID, job, relay.StoredReply{Result: relay.StoredNotSaved, Reason: reasonOf(err)})
	default:
		h.opts().Counts.NotKnown.Add(1)
		h.ledger.dispatcher.DropStored(h.fence, w.ID)
		h.withdraw(w.ID, job, relay.StoredReply{Result: relay.StoredNotKnown})
	}
}

// startStored lets a job start that is stored. outcome is that of its append by this holder; another instance may have stored the job.
func (h *holder) startStored(id work.JobID, outcome joblog.Outcome) {
	start := func() { h.ledger.dispatcher.StartStored(h.fence, id) }
	if outcome == joblog.Stored {
		start()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.afterProofOfHolding(start)
}

func (h *holder) currentWriter() *joblog.Writer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writer
}

func (h *holder) takeReplies(job *liveJob, r relay.StoredReply) {
	h.mu.Lock()
	replies := job.replies
	job.replies = nil
	h.mu.Unlock()
	for _, reply := range replies {
		reply(r)
	}
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, store.ErrFull):
		return "store_full"
	case errors.Is(err, joblog.ErrBacklog):
		return "store_backlog"
	}
	return "store_unavailable"
}

func (h *holder) logSubmission(w *work.Job, o joblog.Outcome, err error, v pool.Verdict) {
	entry := h.log().WithFields(logrus.Fields{
		"event": "stored_submit", "job": w.ID, "queue": w.Queue, "tasks": w.Tasks(), "outcome": o.String(), "wait_ms": v.ExpectedWait.Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("submission not certainly stored")
		return
	}
	entry.Info("submission stored")
}
