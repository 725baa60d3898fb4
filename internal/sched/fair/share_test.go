package fair

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// Guards against errors in the exchange of slots and tasks with peers: a wrong rank of the queue, handing over tasks
// that are not the most urgent ones, and teams that are not charged, or still charged after the end.
func TestSharing(t *testing.T) {
	is := is.New(t)
	r := newRig(2, 2, Options{ShortReserve: -1})
	s, now := r.s, r.now
	lent := s.Reserve(now, 3, sched.Size{Cores: 9})
	is.Equal(len(lent), 2) // one task of 9 cores per worker of 16
	is.True(s.Attach(now, lent[0], sched.PeerTask{Team: "a", Service: "x", Task: sched.Task{Size: sched.Size{Cores: 4}}}))
	is.True(!s.Attach(now, lent[1], sched.PeerTask{Team: "a", Service: "x", Task: sched.Task{Size: sched.Size{Cores: 17}}}))
	is.Equal(s.teams["a"].usage[dimCores], 4.0)
	s.Finish(now, lent[0], sched.Outcome{Kind: platform.Succeeded, RunTime: time.Second})
	s.Release(now, lent[1])
	s.Release(now, lent[1]) // a second release is ignored
	is.Equal(s.Stats().FreeSlots, 4)
	is.Equal(s.teams["a"].usage[dimCores], 0.0)

	lent = s.Reserve(now, 10, sched.Size{})
	is.Equal(len(lent), 4)
	slow := r.submit("a", "x", 20, sched.Task{Declared: 5 * time.Second, Size: sched.Size{Cores: 1}})
	quick := r.submit("a", "y", 2, sched.Task{Declared: 100 * time.Millisecond, Size: sched.Size{Cores: 1}})
	before := s.Backlog(now)
	is.Equal(before.Queued, 22)
	is.True(before.Wait > 10*time.Second)
	taken := s.TakeQueued(now, 3, anySize)
	is.Equal([]sched.JobID{taken[0].Job, taken[1].Job, taken[2].Job}, []sched.JobID{quick, quick, slow})
	is.Equal(s.teams["a"].usage[dimCores], 3.0)
	is.True(s.Backlog(now).BestRank > before.BestRank)
	is.Equal(len(s.Cancel(now, slow)), 19) // all but the one handed over
	s.Finish(now, taken[0], sched.Outcome{})
	s.Requeue(now, taken[1])
	is.Equal(s.Backlog(now).Queued, 1)
	s.Finish(now, taken[2], sched.Outcome{})
	is.Equal(s.teams["a"].usage[dimCores], 0.0)
}

// Guards against refusing a job that only another instance's worker is large enough for, and against estimates and
// shares that ignore the other instances.
func TestCapacityOfOtherInstances(t *testing.T) {
	is := is.New(t)
	r := newRig(1, 2, Options{})
	j := &sched.Job{ID: 100, Team: "a", Service: "x", Tasks: []sched.Task{{Size: sched.Size{Accelerators: 1}}}}
	is.True(!r.s.Estimate(r.now, j).Feasible)
	r.submit("a", "x", 100, sched.Task{Declared: time.Second})
	alone := r.s.Estimate(r.now, j)
	r.s.SetPeerState(r.now, sched.PeerState{
		Slots: 30, FreeSlots: 18, WorkerSizes: []sched.Size{{Accelerators: 2}},
		Usage: map[string]sched.Size{"a": {Cores: 8}},
	})
	e := r.s.Estimate(r.now, j)
	is.True(e.Feasible)
	is.True(e.Drain < alone.Drain/9)
	is.Equal(r.s.teams["a"].share, 0.5)
}

// Guards against queued tasks that start after their deadline, or that are dropped without being reported by Expire.
func TestExpire(t *testing.T) {
	is := is.New(t)
	r := newRig(1, 1, Options{})
	j := &sched.Job{ID: 1, Team: "a", Service: "x", Tasks: make([]sched.Task, 3), Deadline: r.now.Add(time.Second)}
	r.s.Submit(r.now, j)
	a, ok := r.s.Next(r.now)
	is.True(ok)
	at, ok := r.s.NextDeadline()
	is.True(ok && at.Equal(j.Deadline))
	r.s.Finish(j.Deadline, a, sched.Outcome{})
	_, ok = r.s.Next(j.Deadline) // the caller has not called Expire
	is.True(!ok)
	expired := r.s.Expire(j.Deadline)
	is.Equal(len(expired), 1)
	is.Equal(len(expired[0].Tasks), 2)
	_, ok = r.s.NextDeadline()
	is.True(!ok)
	is.Equal(len(r.s.jobs), 0)
}
