package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/sched"
)

func succeed(output string) platform.RunResult {
	return platform.RunResult{Outcome: platform.Succeeded, Output: output}
}

// Guards against answers that lack outputs or have them in the wrong order when tasks end out of order.
func TestAnswerIsWholeAndInOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1", "w2")
	h.submit("a", 4, time.Minute)
	for range 4 {
		select {
		case <-h.workers["w1"].started:
		case <-h.workers["w2"].started:
		}
	}
	for _, task := range []string{"a/3", "a/1", "a/0"} {
		h.workers["w1"].end(task, succeed(task))
		h.workers["w2"].end(task, succeed(task))
	}
	h.engine.call(func(time.Time) {})
	is.Equal(len(h.answers), 0) // no answer before the last task
	h.workers["w1"].end("a/2", succeed("a/2"))
	h.workers["w2"].end("a/2", succeed("a/2"))
	a := <-h.answers
	is.Equal(a.Code, result.Complete)
	is.Equal(a.Outputs, []string{"a/0", "a/1", "a/2", "a/3"})
}

// Guards against losing a task that the worker refused before starting it, and against a second start of a task that may
// have started.
func TestOnlyARefusedTaskIsRetried(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	h.submit("a", 1, time.Minute)
	is.Equal(<-h.workers["w1"].started, "a/0")
	h.workers["w1"].end("a/0", platform.RunResult{Outcome: platform.Refused})
	is.Equal(<-h.workers["w1"].started, "a/0")
	h.workers["w1"].end("a/0", platform.RunResult{Outcome: platform.Lost})
	a := h.waitForAnswer()
	is.Equal(a.Code, result.WorkerLost)
	is.Equal(a.Execution, result.MayHaveRun)
	is.Equal(len(a.Outputs), 0)
	is.Equal(h.workers["w1"].starts["a/0"], 2) // one refused, one started
}

// Guards against a wrong or missing answer when an open connection stops delivering data while new connections work.
func TestSilentConnectionIsResolvedByFetch(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	h.submit("a", 1, time.Minute)
	<-h.workers["w1"].started
	h.workers["w1"].set(func() {
		h.workers["w1"].fetch["a/0"] = platform.TaskStatus{Task: "a/0", State: platform.TaskDone, Output: "kept"}
	})
	before := h.clock.Now()
	a := h.waitForAnswer()
	is.Equal(a.Code, result.Complete)
	is.Equal(a.Outputs, []string{"kept"})
	is.True(h.clock.Since(before) <= 4*time.Second)
	is.Equal(h.counts.replaced.Load(), int64(1))
}

// Guards against a job that waits forever for a worker that no longer answers, and against an answer that reports that its
// tasks did not run.
func TestDeadWorkerLosesItsTasksOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	h.submit("a", 1, time.Minute)
	<-h.workers["w1"].started
	h.workers["w1"].set(func() { h.workers["w1"].renew = errors.New("no route") })
	a := h.waitForAnswer()
	is.Equal(a.Code, result.WorkerLost)
	is.Equal(a.Tasks.MayHaveRun, 1)
	is.Equal(h.engine.State().Workers[0].State, "suspect")
}

// Guards against starting a task after the answer has reported that the job did not run.
func TestExpiredInQueueNeverStarts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.submit("a", 3, time.Second)
	a := h.waitForAnswer()
	is.Equal(a.Code, result.DeadlineExpired)
	is.Equal(a.Execution, result.NotRun)
	h.workers["late"] = newFakeEndpoint()
	h.engine.SetWorker(platform.Instance{Name: "late", Address: "late", Slots: 8, State: platform.StateLive}, 8)
	h.advance(time.Second)
	is.Equal(len(h.workers["late"].started), 0)
}

// Guards against an answer to a cancellation that counts a started task as not run.
func TestCancelTellsStartedFromQueued(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	h.submit("a", 5, time.Minute)
	<-h.workers["w1"].started
	<-h.workers["w1"].started
	h.engine.Cancel("a")
	a := <-h.answers
	is.Equal(a.Code, result.Cancelled)
	is.Equal(a.Tasks.MayHaveRun, 2)
	is.Equal(a.Tasks.NotRun, 3)
	for len(h.stopped()) < 2 {
		h.advance(50 * time.Millisecond)
	}
	is.Equal(len(h.workers["w1"].starts), 2)
}

func (h *harness) stopped() []string {
	w := h.workers["w1"]
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.stopped...)
}

// Guards against new tasks on a worker that reports that it is leaving while the instance list still shows it as live.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	h.workers["w1"].set(func() { h.workers["w1"].status.Leaving = true })
	for h.engine.State().Workers[0].State != "leaving" {
		h.advance(50 * time.Millisecond)
	}
	h.submit("a", 1, time.Second)
	a := h.waitForAnswer()
	is.Equal(a.Code, result.DeadlineExpired)
	is.Equal(len(h.workers["w1"].started), 0)
}

// Guards against a crash when a worker returns with more slots at the same address.
func TestWorkerWithMoreSlots(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	h.engine.SetWorker(platform.Instance{Name: "w1", Address: "w1", Slots: 4, State: platform.StateLive, Size: platform.Size{Cores: 16}}, 4)
	h.submit("a", 4, time.Minute)
	for range 4 {
		<-h.workers["w1"].started
	}
	for _, task := range []string{"a/0", "a/1", "a/2", "a/3"} {
		h.workers["w1"].end(task, succeed(task))
	}
	is.Equal(h.waitForAnswer().Code, result.Complete)
}

// Guards against memory use that grows with the number of recent jobs: an ended job must not stay in the heap of deadlines
// until its deadline.
func TestEndedJobsAreForgotten(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	for _, id := range []string{"a", "b"} {
		h.submit(id, 1, 10*time.Minute)
		h.workers["w1"].end(<-h.workers["w1"].started, succeed(""))
		is.Equal(h.waitForAnswer().Code, result.Complete)
	}
	h.engine.call(func(time.Time) { is.Equal(h.engine.deadlines.Len(), 0) })
}

// Guards against a cancelled task that keeps its slot until it ends because the stop message was lost or arrived before the
// task.
func TestStopIsRepeatedWhileTheTaskRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, "w1")
	h.submit("a", 1, time.Minute)
	<-h.workers["w1"].started
	h.engine.Cancel("a")
	<-h.answers
	h.advance(5 * time.Second)
	is.True(len(h.stopped()) > 1)
}

// idlePeer accepts delegated tasks and never reports their outcomes.
type idlePeer struct{}

func (idlePeer) Delegate(uint64, []Delegated, ResultFunc) {}
func (idlePeer) Stop(context.Context, []string) error     { return nil }
func (idlePeer) Status(context.Context, []string) ([]platform.TaskStatus, error) {
	return nil, errors.New("no route")
}

// Guards against peers that are kept, and polled for their tasks, forever after they were dropped.
func TestDeadPeerIsForgottenAfterItsTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	e := h.engine
	e.AddPeer("z/idle", idlePeer{})
	e.AddPeer("z/busy", idlePeer{})
	h.submit("a", 1, time.Minute)
	e.call(func(now time.Time) {
		e.beginAttempt(now, e.byIdentity["a"], e.workers["z/busy"], sched.Assignment{Job: 1})
	})
	e.DropPeer("z/idle")
	e.DropPeer("z/busy")
	is.Equal(len(e.State().Peers), 1)
	is.Equal(h.waitForAnswer().Code, result.WorkerLost)
	is.Equal(len(e.State().Peers), 0)
}
