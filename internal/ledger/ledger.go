// Package ledger keeps the stored jobs of a dispatcher: jobs whose callers get their response once the job is in the store, and that
// survive the loss of all instances. A zone's log has several partitions, see package joblog; a job's name determines zone and partition.
// The dispatcher of a part of the zone holds some of the log's partitions. A holder reads its partition, passes the jobs that have not
// ended to the dispatcher, appends new submissions, ends of tasks and ends of jobs, and answers for the state of its jobs. A Client sends
// callers' requests to the holders.
package ledger

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/joblog"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// maxLogPartitions is the largest number of partitions of a zone's log.
const maxLogPartitions = 16

// appendsPerPartition is the number of appends a second that a holder makes at most, see package joblog.
const appendsPerPartition = 40

// defaultLogPartitions applies where the deployment does not tell how many writes its store takes.
const defaultLogPartitions = 4

// PartitionsFor returns the number of partitions of each zone's log: the largest power of two with which the holders' appends stay below
// the number of writes a second that the store takes. topicPartitions is the number of partitions of a topic; 0 if unknown.
func PartitionsFor(writesPerSecond float64, zones, topicPartitions int) int {
	most := maxLogPartitions
	if topicPartitions > 0 {
		most = min(most, topicPartitions)
	}
	if writesPerSecond <= 0 {
		return min(defaultLogPartitions, most)
	}
	n := 1
	for 2*n <= most && float64(2*n*max(zones, 1)*appendsPerPartition) <= writesPerSecond {
		n *= 2
	}
	return n
}

func hash(seed string, id work.JobID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(seed))
	h.Write([]byte(id))
	sum := h.Sum32()
	return sum ^ sum>>16
}

// ZoneOf returns the zone to which a job belongs. zones is sorted, so that all instances agree.
func ZoneOf(id work.JobID, zones []string) string {
	return zones[hash("zone/", id)%uint32(len(zones))]
}

// PartitionOf returns the partition of its zone's log to which a job belongs.
func PartitionOf(id work.JobID, logPartitions int) int {
	return int(hash("log/", id) % uint32(logPartitions))
}

// DispatcherOf returns which of a zone's dispatchers holds a partition of the log.
func DispatcherOf(logPartition, logPartitions, dispatchers int) int {
	return logPartition * dispatchers / logPartitions
}

// Dispatcher runs the tasks of stored jobs. It is implemented by shard.Shard.
type Dispatcher interface {
	OfferStored(fence int64, job *work.Job, waited time.Duration) (pool.Verdict, bool)
	StartStored(fence int64, id work.JobID)
	AddStored(fence int64, r shard.ResumedJob)
	DropStored(fence int64, id work.JobID)
	StoredToMove(fence int64, owns func(work.JobID) bool) []work.JobID
	TakeStored(fence int64, wanted func(work.JobID) bool) []work.JobID
	ResumeStored(fence int64, load func() []shard.ResumedJob, owns func(work.JobID) bool) bool
	ReleaseStored(fence int64, owns func(work.JobID) bool)
	StoredEnd(fence int64, end work.End, record func() shard.Recording) shard.Recording
	StoredSettled(partitions int, owns func(work.JobID) bool) bool
	StoredStarted(id work.JobID) bool
	StoredWaiting(fence int64, queue string, owns func(work.JobID) bool) (n int, ok bool)
}

// Usage tells whether the deployment has stored jobs.
type Usage int

// The values.
const (
	UsageUnknown Usage = iota // the store could not be read yet
	Unused
	Used
)

// Options configures a Ledger.
type Options struct {
	Log           joblog.Log
	Zone          string
	Topic         string // of the zone's log
	LogPartitions int
	Retention     time.Duration                // for how long ended jobs are kept
	Usage         func(at time.Duration) Usage // at a time on the clock of Now
	// Belongs reports whether a job belongs to the zone if it is stored and has not moved; see ZoneOf.
	Belongs func(id work.JobID) bool
	// Ask sends a request about a partition of the zone's log to its holder, or to another dispatcher of the zone, and waits for the reply;
	// nil if there is none.
	Ask func(ctx context.Context, r relay.StoredRequest) *relay.StoredReply
	// Others are the deployment's other zones; nil if jobs do not move.
	Others OtherZones
	Counts *Counts
	Now    func() time.Duration // monotonic clock
	Logger logrus.FieldLogger
}

// Ledger holds the log partitions of one dispatcher. It implements shard.Ledger. It starts nothing before Sync names a partition.
type Ledger struct {
	opts       Options
	dispatcher Dispatcher

	mu      sync.Mutex
	share   Share
	ctx     context.Context    // ends with the share
	cancel  context.CancelFunc // ends ctx
	holders map[int]*holder    // by partition of the log
	// ended holds the jobs that have ended while their holder could not record it. Their ends are recorded by its next term.
	ended map[work.JobID]work.State
}

// New returns a ledger without partitions. SetDispatcher must be called before use.
func New(o Options) *Ledger {
	l := &Ledger{opts: o, holders: map[int]*holder{}, ended: map[work.JobID]work.State{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// SetDispatcher sets the dispatcher, which needs the ledger for its own making.
func (l *Ledger) SetDispatcher(d Dispatcher) { l.dispatcher = d }

// Share is the part of a zone's log that a dispatcher holds under a fence.
type Share struct {
	Fence      int64
	Partition  int // of the zone, that of the dispatcher
	Partitions int // number of partitions of the zone; 0 if the dispatcher has no term
}

// Sync makes the ledger hold its share of the log and no other partitions. It is called before the dispatcher begins to use the fence, so
// that no end of a task is taken for one of another job.
func (l *Ledger) Sync(s Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s != l.share {
		l.cancel()
		l.ctx, l.cancel = context.WithCancel(context.Background())
	}
	l.share = s
	for p := range l.opts.LogPartitions {
		wanted := s.Partitions > 0 && DispatcherOf(p, l.opts.LogPartitions, s.Partitions) == s.Partition
		h := l.holders[p]
		if h != nil && (!wanted || h.share != s) {
			h.cancel()
			delete(l.holders, p)
			h = nil
		}
		if h == nil && wanted {
			l.holders[p] = l.newHolder(p, s)
		}
	}
}

func (l *Ledger) newHolder(partition int, s Share) *holder {
	ctx, cancel := context.WithCancel(l.ctx)
	h := &holder{
		ledger: l, share: s, fence: s.Fence, partition: joblog.Partition{Topic: l.opts.Topic, Number: partition},
		ctx: ctx, cancel: cancel, jobs: joblog.NewJobs(), live: map[work.JobID]*liveJob{},
		wake: make(chan struct{}, 1), readNow: make(chan struct{}, 1),
	}
	go h.run()
	return h
}

func (l *Ledger) holderOf(id work.JobID) *holder {
	return l.holder(PartitionOf(id, l.opts.LogPartitions))
}

func (l *Ledger) holder(partition int) *holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders[partition]
}

// RecordEnd implements shard.Ledger. A stored job is announced, and its submission appended, before its first task starts. Whether a task
// belongs to a stored job is therefore known from reads that began after the task was started. since is a time after that.
func (l *Ledger) RecordEnd(end work.End, since time.Duration, recorded func()) shard.Recording {
	if l.opts.Others == nil && !l.opts.Belongs(end.Task.Job) {
		return shard.NotStored
	}
	switch l.opts.Usage(l.usedBefore(end.Task.Job, since)) {
	case Unused:
		return shard.NotStored
	case UsageUnknown:
		return shard.Undecided
	}
	if h := l.holderOf(end.Task.Job); h != nil {
		return h.recordEnd(end, since, recorded)
	}
	l.passOn(end, recorded)
	return shard.RecordedSoon
}

// RecordCrash implements shard.Ledger.
func (l *Ledger) RecordCrash(task work.TaskID, run int) {
	if h := l.holderOf(task.Job); h != nil {
		h.recordCrash(task, run)
	}
}

// usedBefore returns the time before which the deployment must have had stored jobs if a task that started until since is of one. A job of another
// zone has been stored for moveDelay before it can have moved here.
func (l *Ledger) usedBefore(id work.JobID, since time.Duration) time.Duration {
	if l.opts.Belongs(id) {
		return since
	}
	return since - moveDelay
}

// NoneStored implements shard.Ledger.
func (l *Ledger) NoneStored(at time.Duration) bool { return l.opts.Usage(at) == Unused }

// JobEnded implements shard.Ledger.
func (l *Ledger) JobEnded(id work.JobID, s work.State) {
	if h := l.holderOf(id); h != nil && h.jobEnded(id, s) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[id] = s
}

// takeEnded returns and forgets the final state of a job that ended while its holder could not record it; "" if there is none.
func (l *Ledger) takeEnded(id work.JobID) work.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.ended[id]
	delete(l.ended, id)
	return s
}

// forgetEnded forgets the final states of the jobs that owns selects.
func (l *Ledger) forgetEnded(owns func(work.JobID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.ended {
		if owns(id) {
			delete(l.ended, id)
		}
	}
}

// Handle carries out a request. It implements relay.StoredHandler.
func (l *Ledger) Handle(r *relay.StoredRequest, reply func(*relay.StoredReply)) {
	answer := func(a relay.StoredReply) {
		a.Number = r.Number
		reply(&a)
	}
	if r.Operation == relay.StoredSettled {
		answer(relay.StoredReply{Result: l.settled(r)})
		return
	}
	h := l.holder(r.Partition)
	if h == nil {
		answer(relay.StoredReply{Result: relay.StoredNoHolder})
		return
	}
	switch r.Operation {
	case relay.StoredEnd:
		h.takeEnd(r.End, answer)
	case relay.StoredSubmit:
		h.submit(r.Job, r.Waited, answer)
	case relay.StoredState:
		h.state(r.ID, answer)
	case relay.StoredCancel:
		h.cancelJob(r.ID, answer)
	case relay.StoredPending:
		h.pending(r.Queue, answer)
	default:
		answer(relay.StoredReply{Result: relay.StoredNoHolder})
	}
}

// Dump is a snapshot of one held partition of the log for operators.
type Dump struct {
	Partition int          `json:"partition"`
	Epoch     int64        `json:"epoch"`
	Ready     bool         `json:"ready"`
	Live      int          `json:"live"`  // jobs that have not ended
	Known     int          `json:"known"` // ended ones included
	Log       joblog.Stats `json:"log"`
}

// Dump returns a snapshot of all held partitions.
func (l *Ledger) Dump() []Dump {
	var all []Dump
	for p := range l.opts.LogPartitions {
		if h := l.holder(p); h != nil {
			all = append(all, h.dump())
		}
	}
	return all
}
