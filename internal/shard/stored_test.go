package shard_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// jobLedger is a shard.Ledger that records ends when it is told to.
type jobLedger struct {
	mu       sync.Mutex
	answer   shard.Recording
	recorded []func()
	ends     int
	ended    map[work.JobID]work.State
	crashes  []work.TaskID
	// noneStored is what NoneStored returns.
	noneStored atomic.Bool
}

func (l *jobLedger) RecordEnd(_ work.End, _ time.Duration, recorded func()) shard.Recording {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends++
	l.recorded = append(l.recorded, recorded)
	return l.answer
}

func (l *jobLedger) RecordCrash(task work.TaskID, _ int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, task)
}

func (l *jobLedger) NoneStored(time.Duration) bool { return l.noneStored.Load() }

func (l *jobLedger) JobEnded(id work.JobID, s work.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[id] = s
}

// takeEnded returns and forgets the final state of a job.
func (l *jobLedger) takeEnded(id work.JobID) work.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.ended[id]
	delete(l.ended, id)
	return s
}

func (l *jobLedger) set(answer shard.Recording) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer = answer
}

func (l *jobLedger) record() {
	l.mu.Lock()
	recorded := l.recorded
	l.recorded = nil
	l.mu.Unlock()
	for _, f := range recorded {
		f()
	}
}

func newStoredShard(n int, run time.Duration) (*fleet.Fleet, *dispatcher, *jobLedger) {
	f, all := newFleet(n, run)
	l := &jobLedger{answer: shard.RecordedSoon, ended: map[work.JobID]work.State{}}
	s := newShardWith(f, func(o *shard.Options) { o.Ledger = l })
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	s.register(all)
	time.Sleep(time.Second)
	return f, s, l
}

func (d *dispatcher) offer(fence int64, id string, tasks int) (pool.Verdict, bool) {
	job := jobOf(id, tasks, 30*time.Millisecond)
	return d.OfferStored(fence, &job, 0)
}

func ownsAll(work.JobID) bool { return true }

// Guards against a job that starts before it is stored, or after it could not be stored. The clock is virtual.
func TestStoredJobWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, l := newStoredShard(3, 30*time.Millisecond)
		for _, id := range []string{"a", "b"} {
			v, ok := s.offer(1, id, 2)
			is.True(ok && v.Accepted())
		}
		time.Sleep(time.Second)
		is.Equal(len(f.Starts()), 0)
		s.StartStored(1, "a")
		s.DropStored(1, "b")
		time.Sleep(time.Second)
		is.Equal(len(f.Starts()), 2)
		is.Equal(l.takeEnded("a"), work.Completed)
		is.Equal(l.takeEnded("b"), work.State(""))
		_, ok := s.offer(2, "c", 1)
		is.True(!ok) // another fence
		s.End()
		time.Sleep(time.Second)
	})
}

// Guards against a task that starts again because the fence rose after its end was reported and before the end was recorded: the
// ledger names its job as one that has not ended.
func TestUnrecordedEndsCountUnderTheNextFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, l := newStoredShard(3, 30*time.Millisecond)
		_, ok := s.offer(1, "a", 4)
		is.True(ok)
		s.StartStored(1, "a")
		time.Sleep(300 * time.Millisecond)
		is.Equal(l.takeEnded("a"), work.Completed)
		l.set(shard.Undecided)
		s.Begin(shard.Term{Fence: 2, Partitions: 1})
		time.Sleep(8 * time.Second) // an earlier dispatcher extends no lease any more, so tasks may start
		l.set(shard.RecordedSoon)
		job := jobOf("a", 4, 30*time.Millisecond)
		is.True(s.ResumeStored(2, func() []shard.ResumedJob { return []shard.ResumedJob{{Job: &job}} }, ownsAll))
		time.Sleep(time.Second)
		is.Equal(len(f.Starts()), 4)
		is.Equal(l.takeEnded("a"), work.Completed)
		s.End()
		time.Sleep(time.Second)
	})
}

// Guards against an endpoint that forgets an end before it is recorded: another dispatcher would start the task again. It also guards
// against runs of stored jobs whose lease expires because no caller waits for them.
func TestEndsWaitForTheirRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, l := newStoredShard(1, 3*time.Second)
		_, ok := s.offer(1, "a", 1)
		is.True(ok)
		s.StartStored(1, "a")
		time.Sleep(10 * time.Second)
		is.Equal(l.takeEnded("a"), work.Completed)
		is.Equal(len(f.Starts()), 1)
		is.Equal(f.Unacknowledged(), 1)
		polls := f.Renewals()
		time.Sleep(time.Second)
		is.True(f.Renewals()-polls <= 12) // no tight loop while the store is slow
		l.record()
		time.Sleep(time.Second)
		is.Equal(f.Unacknowledged(), 0)
		s.End()
		time.Sleep(time.Second)
	})
}

// Guards against an endpoint that has to keep the ends of a job whose caller waits, for as long as it is not known whether there are stored
// jobs: the job is submitted again after a takeover. It also guards against ends that stay undecided after that is known.
func TestUndecidedEndsOfJobsWhoseCallersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, l := newStoredShard(1, 30*time.Millisecond)
		l.set(shard.Undecided)
		for _, id := range []string{"a", "b"} {
			_, ok := s.offer(1, id, 1)
			is.True(ok)
			s.StartStored(1, work.JobID(id))
			time.Sleep(time.Second)
		}
		is.Equal(f.Unacknowledged(), 2)
		s.Submit(newClient(), &relay.Submit{Job: jobOf("a", 1, 30*time.Millisecond), Remaining: time.Minute})
		time.Sleep(time.Second)
		is.Equal(f.Unacknowledged(), 2) // that of b, and that of the new run of a, which comes behind it
		l.set(shard.NotStored)
		l.noneStored.Store(true)
		time.Sleep(time.Second)
		is.Equal(f.Unacknowledged(), 0)
		s.End()
		time.Sleep(time.Second)
	})
}

// Guards against waiting jobs that count as started, for as long as they wait, because another dispatcher might have started them before
// (review/10), and against a count of a shard that does not dispatch.
func TestResumedJobsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, s, _ := newStoredShard(1, 3*time.Second)
		s.Begin(shard.Term{Fence: 2, Partitions: 1})
		var all []shard.ResumedJob
		for _, id := range []string{"a", "b", "c"} {
			job := jobOf(id, 4, 3*time.Second)
			all = append(all, shard.ResumedJob{Job: &job})
		}
		all[2].Succeeded = []work.TaskID{{Job: "c"}}
		is.True(s.ResumeStored(2, func() []shard.ResumedJob { return all }, ownsAll))
		n, ok := s.StoredWaiting(2, "q", ownsAll)
		is.True(ok)
		is.Equal(n, 2) // before tasks may start that an earlier dispatcher may have started
		is.True(!s.StoredStarted("a") && s.StoredStarted("c"))
		time.Sleep(8 * time.Second) // the tasks of one job fill the endpoint
		n, _ = s.StoredWaiting(2, "q", ownsAll)
		is.Equal(n, 1)
		_, ok = s.StoredWaiting(1, "q", ownsAll)
		is.True(!ok)
		s.End()
		_, ok = s.StoredWaiting(2, "q", ownsAll)
		is.True(!ok)
		time.Sleep(time.Second)
	})
}

// Guards against a failed run that counts twice, for a job whose caller waits: its end was passed on to the holder of the log, since nobody
// knew yet that the job is not stored, and the holder's record of it lacked the endpoint.
func TestEndOfAnotherDispatchersJobIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, time.Second)
		history := attempt.NewHistory()
		s := newShardWith(f, func(o *shard.Options) { o.Ledger, o.History = &jobLedger{}, history })
		s.Begin(shard.Term{Fence: 1, Partitions: 2})
		s.register(all)
		time.Sleep(time.Second)
		failed := work.End{Sequence: 1, Task: work.TaskID{Job: "a"}, Run: 1, Reason: work.EndFailed}
		record := func() shard.Recording { return shard.RecordedSoon }
		is.Equal(s.StoredEnd(1, failed, record), shard.RecordedSoon)
		is.Equal(history.Count(failed.Task, attempt.Failed), 0)
		job := jobOf("a", 2, time.Second)
		is.True(s.ResumeStored(1, func() []shard.ResumedJob { return []shard.ResumedJob{{Job: &job}} }, ownsAll))
		is.Equal(s.StoredEnd(1, failed, record), shard.RecordedSoon)
		is.Equal(history.Count(failed.Task, attempt.Failed), 1)
		s.End()
		time.Sleep(time.Second)
	})
}

// Guards against a stored task that is started without end although it crashes each endpoint that runs it, and against crashes that a successor does
// not learn of. The clock is virtual.
func TestStoredTaskThatCrashesItsEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s, l := newStoredShard(8, 100*time.Millisecond)
		f.DownTime = 3 * time.Second
		f.CrashTime = func(work.TaskID) time.Duration { return 50 * time.Millisecond }
		v, ok := s.offer(1, "a", 1)
		is.True(ok && v.Accepted())
		s.StartStored(1, "a")
		time.Sleep(time.Minute)
		is.Equal(len(f.Starts()), 3)
		is.Equal(l.takeEnded("a"), work.Failed)
		is.Equal(l.crashes, []work.TaskID{{Job: "a"}, {Job: "a"}, {Job: "a"}})
		endAndSettle(s)
	})
}
