package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

const (
	// loadRetryPause is the pause after a failed attempt to read the partition, and resumeRetryPause that while the dispatcher has not
	// begun to use the fence.
	loadRetryPause   = 100 * time.Millisecond
	resumeRetryPause = 10 * time.Millisecond
	// reopenPause is the pause before a partition is held again after its writer has ended under the same fence.
	reopenPause = 500 * time.Millisecond
	// epochsPerFence is the number of times that a partition can be held under one fence.
	epochsPerFence = 256
	// foreignInterval is the interval at which a holder that appends nothing reads what other instances have appended.
	foreignInterval = 500 * time.Millisecond
	// readPause is the minimum pause between two reads.
	readPause = 20 * time.Millisecond
	// storeTimeout is how long a submission may wait for its append to begin.
	storeTimeout = time.Second
	// appendTime is the time that an append may have taken, which the writer bounds by its timeout.
	appendTime = 700 * time.Millisecond
	// stateWait is how long a request for the state of a running job waits for the job's end. The end of a task is reported, applied and
	// stored within it.
	stateWait = 100 * time.Millisecond
	// maxExpired bounds the ended jobs whose records are deleted in one append.
	maxExpired = 500
	// expiryKey stands for a job in the writer's queue. It joins all deletions of ended jobs.
	expiryKey work.JobID = "#expired"
)

// Counts are the counters of all holders of an instance.
type Counts struct {
	Accepted metric.Counter // submissions that were stored
	Refused  metric.Counter // submissions that were refused for want of capacity
	NotSaved metric.Counter // submissions that the store refused
	NotKnown metric.Counter // submissions of which it is not known whether they are stored
	Found    metric.Counter // submissions that other instances have stored
	Resumed  metric.Counter // jobs that were continued after a change of the holder
	Ended    metric.Counter // jobs whose end is stored
	Loads    metric.Counter // partitions that were read
	Moved    metric.Counter // jobs that were moved to another zone
}

// holder holds one partition of the log under one fence.
//
// Locks are taken in the order of the shard's, the writer's and the holder's: the shard calls the holder with its lock held, the writer
// calls appended with its lock held, and the holder calls neither with its own lock held. What the writer's outcomes cause is therefore
// done by events, in a goroutine of the holder.
type holder struct {
	ledger    *Ledger
	share     Share
	fence     int64
	partition joblog.Partition
	ctx       context.Context
	cancel    context.CancelFunc
	wake      chan struct{}
	readNow   chan struct{} // a value makes the holder read the partition soon

	mu         sync.Mutex
	epoch      int64
	ready      bool // the jobs are known and were passed to the dispatcher
	jobs       *joblog.Jobs
	writer     *joblog.Writer
	live       map[work.JobID]*liveJob
	next       int64 // offset of the first record that was not applied
	appendedAt time.Duration
	confirmed  time.Duration // when the last read or append began after which all records of the partition were known
	unread     bool          // records of others may precede those that were appended last
	history    joblog.History
	expired    []store.Record // deletions of ended jobs that the writer has not taken yet
	proofs     []proof
	events     []func()
	heldBefore bool     // an earlier holder may have let tasks of the jobs start that were read first
	unproven   []func() // see afterProofOfHolding
}

// liveJob is a job that is being stored, or that was stored and whose end is not.
type liveJob struct {
	stored  bool
	ends    joblog.Ends // also those that are not stored yet
	final   work.State  // decided, and being stored; empty before
	unsent  bool        // the writer had no room for the job's last record
	waiting []func()    // called when the job's next record of ends, or its end, is stored
	replies []func(relay.StoredReply)
	moving  movingState
}

type replyFunc = func(relay.StoredReply)

func (h *holder) opts() *Options { return &h.ledger.opts }

func (h *holder) log() logrus.FieldLogger {
	return h.opts().Logger.WithFields(logrus.Fields{"topic": h.partition.Topic, "log_partition": h.partition.Number, "fence": h.fence})
}

// owns reports whether a job belongs to the partition.
func (h *holder) owns(id work.JobID) bool {
	return PartitionOf(id, h.opts().LogPartitions) == h.partition.Number
}

// run holds the partition until the fence is replaced.
func (h *holder) run() {
	for n := range int64(epochsPerFence) {
		err := h.hold(h.fence*epochsPerFence + n)
		if h.ctx.Err() != nil {
			return
		}
		h.log().WithError(err).Warn("job_log_lost")
		pause.For(h.ctx, reopenPause, nil)
	}
}

// hold opens, reads and serves the partition until its writer ends or the fence is replaced.
func (h *holder) hold(epoch int64) error {
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	begun := h.opts().Now()
	w := joblog.NewWriter(joblog.Options{
		Log: h.opts().Log, Partition: h.partition, Epoch: epoch, Appended: h.appended, Logger: h.opts().Logger,
	})
	unheld := joblog.ProveUnheld(ctx, h.opts().Log, h.partition)
	if err := w.Open(ctx); err != nil {
		return err
	}
	if err := h.load(ctx, w, epoch, unheld); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		ended <- w.Run(ctx)
		cancel()
	}()
	if err := h.recordHolding(ctx, w); err != nil {
		return err
	}
	for !h.ledger.dispatcher.ResumeStored(h.fence, h.begin, h.owns) {
		pause.For(ctx, resumeRetryPause, nil)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	h.log().WithFields(logrus.Fields{
		"event": "job_log_held", "epoch": epoch, "held_before": h.heldBefore, "ms": (h.opts().Now() - begun).Milliseconds(),
	}).
		Info("a partition of the job log is held")
	go func() {
		h.awaitNeighbours(ctx)
		h.ledger.dispatcher.ReleaseStored(h.fence, h.owns)
	}()
	go h.follow(ctx)
	moving := make(chan struct{})
	go func() {
		defer close(moving)
		h.moveJobs(ctx)
	}()
	h.runEvents(ctx)
	h.end()
	<-moving // a decision on a move must not outlast the epoch: the next one continues the job
	return <-ended
}

// load reads the partition. unheld means that no holder had begun shortly before this one.
func (h *holder) load(ctx context.Context, w *joblog.Writer, epoch int64, unheld bool) error {
	for {
		begun := h.opts().Now()
		jobs, next, err := joblog.Load(ctx, h.opts().Log, h.partition, h.opts().Now(), h.opts().Logger)
		if err == nil {
			h.opts().Counts.Loads.Add(1)
			h.mu.Lock()
			h.jobs, h.next, h.writer, h.epoch, h.unread = jobs, next, w, epoch, false
			h.live, h.confirmed, h.proofs, h.unproven = map[work.JobID]*liveJob{}, begun, nil, nil
			h.heldBefore = !unheld || jobs.WasHeld()
			h.mu.Unlock()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		h.log().WithError(err).Warn("job_log_unreadable")
		pause.For(ctx, loadRetryPause, nil)
	}
}

// begin returns the jobs that the dispatcher has to continue, and begins to record ends. The dispatcher's lock is held.
func (h *holder) begin() []shard.ResumedJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
	var all []shard.ResumedJob
	for _, id := range h.jobs.Live() {
		job := h.jobs.Get(id)
		if !job.Runnable() && !job.Cancelled && !job.Moved() {
			h.log().WithFields(logrus.Fields{"event": "stored_job_held", "job": id}).Error("a record of the job cannot be read; the job is not continued")
			continue
		}
		h.live[id] = &liveJob{stored: true, ends: job.Ends.Clone()}
		switch final := h.ledger.takeEnded(id); {
		case job.Moved(): // see moveJobs
		case job.Cancelled:
			h.postEnd(id, work.Cancelled)
		case final != "":
			h.postEnd(id, final)
		default:
			r := resumed(job)
			r.New = !h.heldBefore
			all = append(all, r)
		}
	}
	h.ledger.forgetEnded(h.owns)
	h.opts().Counts.Resumed.Add(int64(len(all)))
	return all
}

func resumed(job *joblog.Job) shard.ResumedJob {
	r := shard.ResumedJob{Job: job.Work}
	for step := range job.Work.Steps {
		for index := range job.Work.Steps[step].Count {
			if task := (work.TaskID{Job: job.Work.ID, Step: step, Index: index}); job.Ends.HasSucceeded(task) {
				r.Succeeded = append(r.Succeeded, task)
			}
		}
	}
	r.Unsuccessful = append(attempts(job.Work.ID, job.Ends.Failed, attempt.Failed), attempts(job.Work.ID, job.Ends.Crashed, attempt.Crashed)...)
	return r
}

// attempts returns recorded runs of a job as attempts with an outcome.
func attempts(id work.JobID, runs []joblog.TaskRun, o attempt.Outcome) []attempt.Attempt {
	var all []attempt.Attempt
	for _, r := range runs {
		all = append(all, attempt.Attempt{Task: work.TaskID{Job: id, Step: r.Step, Index: r.Index}, Run: r.Run, Outcome: o})
	}
	return all
}

// end stops recording. What waits for the store is not known any more to be stored.
func (h *holder) end() {
	h.mu.Lock()
	h.ready = false
	var replies []replyFunc
	for _, job := range h.live {
		replies = append(replies, job.replies...)
		job.replies = nil
	}
	h.mu.Unlock()
	for _, reply := range replies {
		reply(relay.StoredReply{Result: relay.StoredNotKnown})
	}
}

// post queues an event. h.mu is held.
func (h *holder) post(event func()) {
	h.events = append(h.events, event)
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *holder) runEvents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		}
		h.mu.Lock()
		events := h.events
		h.events = nil
		h.mu.Unlock()
		for _, event := range events {
			event()
		}
	}
}

// appended applies the records that the writer has appended. The writer's lock is held.
func (h *holder) appended(records []store.Record, a store.Appended) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts().Now()
	h.appendedAt = now
	h.apply(records, now)
	if a.End > 0 && a.Offset == h.next {
		h.next = a.End
		if !h.unread {
			h.confirmed = max(h.confirmed, now-appendTime)
			h.settleProofs()
		}
	} else {
		h.unread = true
	}
	if a.End > 0 {
		h.history.Appended(a, now)
	}
}

// apply folds records and passes on what they have changed. h.mu is held.
func (h *holder) apply(records []store.Record, now time.Duration) {
	h.jobs.ApplyAll(records, now, h.log())
	for _, r := range records {
		id, ok := joblog.RequestOf(r)
		if !ok {
			continue
		}
		job, live := h.jobs.Get(id), h.live[id]
		switch {
		case job == nil || job.Work == nil || job.State != "" || job.Moved():
		case live == nil && job.Runnable():
			h.live[id] = &liveJob{stored: true, ends: job.Ends.Clone()}
			h.opts().Counts.Found.Add(1)
			h.afterProofOfHolding(func() { h.addFound(id) })
		case live == nil && job.Cancelled: // one batch had its submission and its cancel
			h.live[id] = &liveJob{stored: true, ends: job.Ends.Clone()}
			h.opts().Counts.Found.Add(1)
			h.postEnd(id, work.Cancelled)
		case live != nil && live.stored && job.Cancelled && live.final == "":
			h.post(func() { h.ledger.dispatcher.DropStored(h.fence, id) })
			h.postEnd(id, work.Cancelled)
		}
	}
}

// addFound lets a job start that another instance has stored, unless it was cancelled meanwhile.
func (h *holder) addFound(id work.JobID) {
	h.mu.Lock()
	job, live := h.jobs.Get(id), h.live[id]
	if !h.ready || live == nil || live.final != "" || !job.Runnable() {
		h.mu.Unlock()
		return
	}
	r := resumed(job)
	h.mu.Unlock()
	r.New = true
	h.ledger.dispatcher.AddStored(h.fence, r)
}

// postEnd makes the end of a job be stored. h.mu is held.
func (h *holder) postEnd(id work.JobID, s work.State) {
	h.post(func() { h.jobEnded(id, s) })
}

func (h *holder) dump() Dump {
	h.mu.Lock()
	d := Dump{Partition: h.partition.Number, Epoch: h.epoch, Ready: h.ready, Live: len(h.live), Known: h.jobs.Len()}
	w := h.writer
	h.mu.Unlock()
	if w != nil {
		d.Log = w.Stats()
	}
	return d
}
