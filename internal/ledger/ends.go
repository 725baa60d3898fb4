package ledger

import (
	"time"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// recordEnd records the end of a task, which started before a time. The dispatcher's lock is held.
func (h *holder) recordEnd(end work.End, since time.Duration, recorded func()) shard.Recording {
	id := end.Task.Job
	h.mu.Lock()
	known, job := h.jobs.Get(id), h.live[id]
	switch {
	case !h.ready:
		h.mu.Unlock()
		return shard.Undecided
	case job != nil && job.stored:
		decided := job.note(end, recorded)
		h.mu.Unlock()
		if !decided {
			h.sendProgress(id, job)
		}
		return shard.RecordedSoon
	case known.Known(): // it has ended, or a record of it cannot be read
		h.mu.Unlock()
		return shard.NotStored
	case job == nil && h.confirmed >= since:
		h.mu.Unlock()
		return shard.NotStored
	}
	h.awaitProof(0, func() { h.recordProven(end, recorded) })
	h.mu.Unlock()
	return shard.RecordedSoon
}

// recordCrash records that an endpoint's process has crashed under a run of a task. The dispatcher's lock is held. Nothing is repeated if the record
// is lost with the holder: the count is then one lower.
func (h *holder) recordCrash(task work.TaskID, run int) {
	h.mu.Lock()
	job := h.live[task.Job]
	wanted := h.ready && job != nil && job.stored && job.final == "" && job.ends.Crash(task, run)
	h.mu.Unlock()
	if wanted {
		h.sendProgress(task.Job, job)
	}
}

// note notes an end of the job and returns whether the job's own end is decided. h.mu is held.
func (job *liveJob) note(end work.End, recorded func()) (decided bool) {
	if end.Reason == work.EndSucceeded {
		job.ends.Succeed(end.Task)
	} else {
		job.ends.Fail(end.Task, end.Run)
	}
	job.waiting = append(job.waiting, recorded)
	return job.final != ""
}

// recordProven records the end of a task after all records that precede its start are known.
func (h *holder) recordProven(end work.End, recorded func()) {
	id := end.Task.Job
	h.mu.Lock()
	job := h.live[id]
	switch {
	case job != nil && !job.stored: // its submission is being stored
		h.awaitProof(0, func() { h.recordProven(end, recorded) })
		h.mu.Unlock()
	case job != nil:
		decided := job.note(end, recorded)
		h.mu.Unlock()
		h.ledger.dispatcher.StoredEnd(h.fence, end, func() shard.Recording { return shard.RecordedSoon })
		if !decided {
			h.sendProgress(id, job)
		}
	default:
		h.mu.Unlock()
		recorded() // the task belongs to no stored job
	}
}

// sendProgress makes the ends of a job's tasks be stored.
func (h *holder) sendProgress(id work.JobID, job *liveJob) {
	h.mu.Lock()
	waiting := job.waiting
	job.waiting, job.unsent = nil, false
	r, err := joblog.Encode(joblog.Progress{Job: id, Ends: job.ends.Clone()})
	w := h.writer
	h.mu.Unlock()
	if err == nil {
		err = w.Keep(id, []store.Record{r}, func(o joblog.Outcome, _ error) { h.progressSettled(waiting, o) })
	}
	if err != nil {
		h.log().WithField("job", id).WithError(err).Warn("stored_progress_waits")
		h.mu.Lock()
		job.waiting, job.unsent = append(waiting, job.waiting...), true
		h.mu.Unlock()
	}
}

// progressSettled lets the endpoints forget ends that are stored. The others come again in the next term. The writer's lock is held.
func (h *holder) progressSettled(waiting []func(), o joblog.Outcome) {
	if o != joblog.Stored {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.post(func() { callAll(waiting) })
}

func callAll(all []func()) {
	for _, f := range all {
		f()
	}
}

// jobEnded makes the end of a job be stored. It returns false if the holder cannot record ends now. It may be called with the
// dispatcher's lock held.
func (h *holder) jobEnded(id work.JobID, s work.State) bool {
	h.mu.Lock()
	if !h.ready {
		h.mu.Unlock()
		return false
	}
	job := h.live[id]
	if job == nil || job.final != "" {
		h.mu.Unlock()
		return true
	}
	job.final = s
	h.mu.Unlock()
	h.sendEnd(id, job)
	return true
}

func (h *holder) sendEnd(id work.JobID, job *liveJob) {
	h.mu.Lock()
	job.unsent = false
	records, err := h.jobs.EndRecords(id, job.final)
	w := h.writer
	h.mu.Unlock()
	if err == nil {
		err = w.Keep(id, records, func(o joblog.Outcome, _ error) { h.endSettled(id, job, o) })
	}
	if err != nil {
		h.log().WithField("job", id).WithError(err).Warn("stored_end_waits")
		h.mu.Lock()
		job.unsent = true
		h.mu.Unlock()
	}
}

// endSettled answers those who wait for the end of a job that is stored. The writer's lock is held.
func (h *holder) endSettled(id work.JobID, job *liveJob, o joblog.Outcome) {
	if o != joblog.Stored {
		return
	}
	h.opts().Counts.Ended.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.live, id)
	waiting, replies := job.waiting, job.replies
	state := h.finalState(id, job)
	h.post(func() {
		callAll(waiting)
		for _, reply := range replies {
			reply(relay.StoredReply{Result: relay.StoredDone, State: state})
		}
	})
}

func (h *holder) finalState(id work.JobID, job *liveJob) work.State {
	if known := h.jobs.Get(id); known != nil && known.State != "" {
		return known.State
	}
	return job.final
}
