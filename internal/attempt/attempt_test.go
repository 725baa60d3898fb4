package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

func crashOf(job string, process string) Attempt {
	return Attempt{Task: work.TaskID{Job: work.JobID(job)}, Run: 1, Process: Process{Endpoint: work.EndpointID(process)}, Outcome: Crashed}
}

// Guards against an attempt that counts twice because its instance observed it and others passed it on, and against attempts of
// different processes or outcomes that count as one.
func TestAttemptsCountOnce(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	a, b := crashOf("j", "p1"), crashOf("j", "p2")
	failed := a
	failed.Outcome = Failed
	is.True(h.Add(a, 0))
	is.True(!h.Add(a, 0))
	is.Equal(h.Merge([]Attempt{a, b, failed}, 0), 2)
	is.Equal(h.Merge([]Attempt{b}, 0), 0)
	is.Equal(h.Count(a.Task, Crashed), 2)
	is.Equal(h.Count(a.Task, Failed), 1)
	is.Equal(h.Count(work.TaskID{Job: "other"}, Crashed), 0)
	is.Equal(len(h.OfJob("j")), 3)
}

// Guards against crashes that are passed on without end between instances, and against those that are passed on too briefly to survive
// their instance.
func TestOnlyOwnAttemptsArePassedOn(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	h.Add(crashOf("own", "p"), 0)
	h.Merge([]Attempt{crashOf("others", "p")}, 0)
	is.Equal(h.Recent(recentTime), []Attempt{crashOf("own", "p")})
	is.Equal(len(h.Recent(recentTime+1)), 0)
	is.Equal(h.Count(work.TaskID{Job: "own"}, Crashed), 1) // it stays on record
}

// Guards against crashes of a process that has only been cut off and answers again.
func TestWithdraw(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	h.Add(crashOf("j", "p1"), 0)
	h.Add(crashOf("j", "p2"), 0)
	is.Equal(h.Withdraw(Process{Endpoint: "p1"}), []work.TaskID{{Job: "j"}})
	is.Equal(h.Count(work.TaskID{Job: "j"}, Crashed), 1)
	is.Equal(len(h.Recent(0)), 1)
}

// Guards against a task that stays on record, and is counted, after its only crash was withdrawn, and against one that is counted
// twice when it crashes again.
func TestWithdrawnTaskIsNotOnRecord(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	h.Add(crashOf("j", "p1"), 0)
	h.Add(crashOf("other", "p2"), 0)
	h.Withdraw(Process{Endpoint: "p1"})
	is.Equal(h.Tasks(), 1)
	is.Equal(len(h.jobs), 1)
	is.True(h.Add(crashOf("j", "p2"), 0))
	is.Equal(h.Tasks(), 2)
}

// Guards against a record that grows without bound, and against one that loses the newest attempts.
func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	for i := range 2 * maxTasks {
		h.Add(crashOf(fmt.Sprint(i), "p"), time.Duration(i))
	}
	is.True(h.Tasks() <= maxTasks)
	is.Equal(h.Count(work.TaskID{Job: work.JobID(fmt.Sprint(2*maxTasks - 1))}, Crashed), 1)
	h.Add(crashOf("late", "p"), retention+sweepInterval)
	is.Equal(h.Tasks(), 1) // the others are older than the retention
}
