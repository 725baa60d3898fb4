package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/ledger"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/work"
)

// StoredJobs keeps stored jobs. Its methods wait for the result, at most until ctx ends.
type StoredJobs interface {
	// Usage returns whether the deployment has had stored jobs until a short time ago.
	Usage() ledger.Usage
	Submit(ctx context.Context, job *work.Job, arrived time.Time) ledger.Answer
	State(ctx context.Context, id work.JobID) ledger.Answer
	Cancel(ctx context.Context, id work.JobID) ledger.Answer
	// Pending returns the number of a queue's stored jobs of which no task has started. ok is false if it is not known.
	Pending(ctx context.Context, queue string) (n int, ok bool)
}

const (
	// responseMargin is the part of a caller's timeout that is left for the response.
	responseMargin = 50 * time.Millisecond
	// submitShare is the part of a caller's timeout after which a submission that is not settled is answered with 504. The caller then
	// submits the job again, at another instance perhaps, and has lost less time.
	submitShare = 0.45
	// minStoredTimeout is how long a request for a stored job is worked on at least.
	minStoredTimeout = 100 * time.Millisecond
	// retryStore is the time after which a caller should retry when the store has not taken its job.
	retryStore = 2 * time.Second
	// retryHolder is the time after which a caller should retry when the holder of its job cannot be reached.
	retryHolder = time.Second
)

// storedUsage returns whether the deployment has stored jobs.
func (g *Gateway) storedUsage() ledger.Usage {
	if g.opts.Stored == nil {
		return ledger.Unused
	}
	return g.opts.Stored.Usage()
}

// denyJob responds that there is no such job, unless it may be a stored one that this instance does not know of.
func (g *Gateway) denyJob(x *server.Exchange) {
	if g.storedUsage() == ledger.UsageUnknown {
		g.reply(x, 503, g.opts.Codec.EncodeError("it is not known whether there are stored jobs"), retryHolder)
		return
	}
	g.reply(x, 410, g.opts.Codec.EncodeError("no such job"), 0)
}

// storedContext returns the context of a request for a stored job, which ends in time for the response.
func (g *Gateway) storedContext(x *server.Exchange) (context.Context, context.CancelFunc) {
	timeout, ok := g.opts.Codec.ResponseTimeout(x.Request.Header.Peek)
	if !ok {
		timeout = defaultResponseTimeout
	}
	return g.storedContextWithin(x.Arrived.Add(-x.Unread), timeout)
}

// storedContextWithin returns the context of a request for a stored job. It ends in time for the response within a timeout, and in time for
// the end of the process.
func (g *Gateway) storedContextWithin(sent time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.ending, max(time.Until(sent.Add(timeout-responseMargin)), minStoredTimeout))
}

// submitStored stores a job and responds when that is certain.
func (g *Gateway) submitStored(x *server.Exchange, job *work.Job, sent time.Time, timeout time.Duration) {
	if g.cancelled.isCancelled(job.ID) {
		g.reply(x, 200, g.opts.Codec.EncodeState(work.Cancelled), 0)
		return
	}
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed {
		g.refuse(x, 503, reasonStopping, retryStopping)
		return
	}
	ctx, cancel := g.storedContextWithin(sent, time.Duration(submitShare*float64(timeout)))
	go func() {
		defer cancel()
		a := g.opts.Stored.Submit(ctx, job, sent)
		g.logStored(job, a, sent)
		g.answerStored(x, a)
	}()
}

func (g *Gateway) logStored(job *work.Job, a ledger.Answer, sent time.Time) {
	g.opts.Log.WithFields(logrus.Fields{
		"event": "stored_request", "job": job.ID, "queue": job.Queue, "tasks": job.Tasks(), "result": int(a.Result), "reason": a.Reason,
		"ms": time.Since(sent).Milliseconds(),
	}).Info("request to store a job")
}

// answerStored responds with the result of a request for a stored job.
func (g *Gateway) answerStored(x *server.Exchange, a ledger.Answer) {
	encode := g.opts.Codec
	switch a.Result {
	case ledger.Done:
		if a.State == "" {
			a.State = work.Queued
		}
		g.opts.Metrics.Answered.Add(1)
		g.reply(x, 200, encode.EncodeState(a.State), 0)
	case ledger.Refused:
		g.refuse(x, 429, a.Reason, a.RetryAfter)
	case ledger.NotSaved:
		g.refuse(x, 503, a.Reason, retryStore)
	case ledger.NoJob:
		g.reply(x, 410, encode.EncodeError("no such job"), 0)
	case ledger.NoAnswer:
		g.reply(x, 503, encode.EncodeError("the holder of the job cannot be reached"), retryHolder)
	default:
		g.opts.Metrics.TimedOut.Add(1)
		g.reply(x, 504, encode.EncodeError("it is not known whether the request was carried out"), 0)
	}
}

// storedState responds with the state of a stored job.
func (g *Gateway) storedState(x *server.Exchange, id work.JobID) {
	ctx, cancel := g.storedContext(x)
	go func() {
		defer cancel()
		g.answerStored(x, g.opts.Stored.State(ctx, id))
	}()
}

// cancelStored cancels a stored job. If there is none of that name, or if that is not known, the job may be one whose caller waits at
// another instance.
func (g *Gateway) cancelStored(x *server.Exchange, id work.JobID) {
	ctx, cancel := g.storedContext(x)
	go func() {
		defer cancel()
		a := g.opts.Stored.Cancel(ctx, id)
		switch {
		case a.Result == ledger.Done:
			g.answerStored(x, a)
		case a.Result != ledger.NoJob && ctx.Err() != nil: // no time is left for a response after a search
			g.cancelled.spread(id, false)
			g.answerStored(x, a)
		default:
			g.findToCancel(waitingCancel{x, a}, id)
		}
	}()
}

// pending responds with the number of a queue's jobs that wait.
func (g *Gateway) pending(x *server.Exchange, queue string) {
	waiting := g.pendingCount(queue)
	switch g.storedUsage() {
	case ledger.Unused:
		g.reply(x, 200, g.opts.Codec.EncodePending(waiting), 0)
		return
	case ledger.UsageUnknown:
		g.reply(x, 503, g.opts.Codec.EncodeError("it is not known whether there are stored jobs"), retryHolder)
		return
	}
	ctx, cancel := g.storedContext(x)
	go func() {
		defer cancel()
		stored, ok := g.opts.Stored.Pending(ctx, queue)
		if !ok {
			g.reply(x, 503, g.opts.Codec.EncodeError("it is not known how many jobs wait"), retryHolder)
			return
		}
		g.reply(x, 200, g.opts.Codec.EncodePending(waiting+stored), 0)
	}()
}
