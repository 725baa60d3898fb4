package ledger

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// state replies with the state of a job. While its end is being stored, the reply waits for it; while it runs, the reply waits for its
// end for a short time, since callers often ask just before the holder learns of an end.
func (h *holder) state(id work.JobID, reply replyFunc) {
	h.mu.Lock()
	known, live := h.jobs.Get(id), h.live[id]
	switch {
	case !h.ready, known.Unreadable():
		h.mu.Unlock()
		reply(relay.StoredReply{Result: relay.StoredNoHolder})
		return
	case !known.Known():
		h.replyIfUnknown(id, reply, func(reply replyFunc) { h.state(id, reply) })
		h.mu.Unlock()
		return
	case known.State != "":
		state := known.State
		h.mu.Unlock()
		reply(relay.StoredReply{Result: relay.StoredDone, State: state})
		return
	case live != nil && live.final != "":
		live.replies = append(live.replies, reply)
		h.mu.Unlock()
		return
	case known.Moved():
		zone := known.MovedTo
		h.mu.Unlock()
		go h.stateElsewhere(id, zone, reply)
		return
	}
	h.mu.Unlock()
	if live == nil || !h.ledger.dispatcher.StoredStarted(id) {
		reply(relay.StoredReply{Result: relay.StoredDone, State: work.Queued})
		return
	}
	h.awaitEnd(id, live, reply)
}

// awaitEnd replies when a running job has ended, or after stateWait.
func (h *holder) awaitEnd(id work.JobID, job *liveJob, reply replyFunc) {
	var once sync.Once
	first := func(r relay.StoredReply) { once.Do(func() { reply(r) }) }
	h.mu.Lock()
	if h.live[id] != job {
		state := h.finalState(id, job)
		h.mu.Unlock()
		first(relay.StoredReply{Result: relay.StoredDone, State: state})
		return
	}
	job.replies = append(job.replies, first)
	h.mu.Unlock()
	time.AfterFunc(stateWait, func() { first(relay.StoredReply{Result: relay.StoredDone, State: work.Running}) })
}

// cancelJob ends a job and replies when its end is stored. A job that has ended before keeps its state.
func (h *holder) cancelJob(id work.JobID, reply replyFunc) {
	h.mu.Lock()
	known, live := h.jobs.Get(id), h.live[id]
	switch {
	case !h.ready, known.Unreadable(), live != nil && !live.stored:
		h.mu.Unlock()
		reply(relay.StoredReply{Result: relay.StoredNoHolder})
		return
	case !known.Known():
		h.replyIfUnknown(id, reply, func(reply replyFunc) { h.cancelJob(id, reply) })
		h.mu.Unlock()
		return
	case known.State != "":
		state := known.State
		h.mu.Unlock()
		reply(relay.StoredReply{Result: relay.StoredDone, State: state})
		return
	case known.Moved():
		zone := known.MovedTo
		h.mu.Unlock()
		go h.cancelElsewhere(id, zone, reply)
		return
	}
	if live != nil {
		live.replies = append(live.replies, reply)
	}
	h.mu.Unlock()
	h.log().WithFields(logrus.Fields{"event": "stored_cancel", "job": id}).Info("stored job cancelled by its caller")
	h.ledger.dispatcher.DropStored(h.fence, id)
	h.jobEnded(id, work.Cancelled)
}

// pending replies with the number of jobs of a queue of which no task has started.
func (h *holder) pending(queue string, reply replyFunc) {
	h.mu.Lock()
	ready, moved := h.ready, h.movedWaiting(queue)
	h.mu.Unlock()
	waiting, ok := h.ledger.dispatcher.StoredWaiting(h.fence, queue, h.owns)
	if !ready || !ok {
		reply(relay.StoredReply{Result: relay.StoredNoHolder})
		return
	}
	reply(relay.StoredReply{Result: relay.StoredDone, Pending: waiting + moved})
}
