package attempt

import (
	"fmt"
	"iter"
	"slices"
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

// Guards against one run that counts twice because instances know its process differently well, whichever they learn of first: the store
// knows neither the endpoint nor the start of its process, a registration may lack the start. Also against runs of different processes that
// count as one because of it.
func TestAttemptsOfLessKnownProcessesCountOnce(t *testing.T) {
	unknown, startless := Process{}, Process{Endpoint: "e"}
	first, later, other := Process{Endpoint: "e", StartedUnixMS: 1}, Process{Endpoint: "e", StartedUnixMS: 2}, Process{Endpoint: "f", StartedUnixMS: 1}
	for _, c := range []struct {
		name      string
		processes []Process
		want      int
	}{
		{"start not known", []Process{startless, first}, 1},
		{"endpoint not known", []Process{unknown, first}, 1},
		{"neither is certain", []Process{unknown, startless}, 1},
		{"all of one process", []Process{unknown, startless, first}, 1},
		{"two processes of an endpoint", []Process{startless, first, later}, 2},
		{"two endpoints, one without a start", []Process{unknown, startless, other}, 2},
		{"three processes", []Process{unknown, startless, first, later, other}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			for order := range permutations(c.processes) {
				for _, outcome := range []Outcome{Failed, Crashed} {
					h := NewHistory()
					task := work.TaskID{Job: "j"}
					added := 0
					for _, p := range order {
						added += h.Merge([]Attempt{{Task: task, Run: 1, Process: p, Outcome: outcome}}, 0)
					}
					if n := h.Count(task, outcome); n != c.want || added != n || len(h.OfJob("j")) != n {
						t.Fatalf("run with outcome %d of processes %v counts %d times, want %d; %d were added, %d are passed on", outcome, order, n, c.want, added, len(h.OfJob("j")))
					}
				}
			}
		})
	}
}

// permutations yields all orders of a list.
func permutations[T any](list []T) iter.Seq[[]T] {
	return func(yield func([]T) bool) {
		if len(list) == 0 {
			yield(nil)
			return
		}
		for i, first := range list {
			rest := slices.Concat(list[:i], list[i+1:])
			for order := range permutations(rest) {
				if !yield(append([]T{first}, order...)) {
					return
				}
			}
		}
	}
}

// Guards against another run of the task, or another outcome, that is taken for the attempt of a process that is not known.
func TestOtherRunsOfUnknownProcessesCount(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	known := Attempt{Task: work.TaskID{Job: "j"}, Run: 1, Process: Process{Endpoint: "e", StartedUnixMS: 1}, Outcome: Failed}
	run, index, outcome := known, known, known
	run.Run, index.Task.Index, outcome.Outcome = 2, 1, Crashed
	run.Process, index.Process, outcome.Process = Process{}, Process{}, Process{}
	is.Equal(h.Merge([]Attempt{known, run, index, outcome}, 0), 4)
	is.Equal(h.Count(known.Task, Failed), 2)
	is.Equal(h.Count(known.Task, Crashed), 1)
}

// Guards against the crash of a process that has only been cut off and stays on record because the start of the process was not known
// when the crash was recorded, and against the crashes of other processes that are deleted with it.
func TestWithdrawProcessesOfUnknownStart(t *testing.T) {
	is := is.New(t)
	startless, first, later := Process{Endpoint: "e"}, Process{Endpoint: "e", StartedUnixMS: 1}, Process{Endpoint: "e", StartedUnixMS: 2}
	for _, c := range []struct {
		recorded []Process
		answers  Process
		left     int
	}{
		{[]Process{startless}, first, 0},
		{[]Process{startless}, startless, 0},
		{[]Process{startless, first}, first, 0},
		{[]Process{first}, startless, 1}, // a later process may answer
		{[]Process{first, later}, first, 1},
		{[]Process{{Endpoint: "f"}}, first, 1},
		{[]Process{{}}, first, 1}, // of an endpoint that is not known
	} {
		h := NewHistory()
		a := crashOf("j", "")
		for _, p := range c.recorded {
			a.Process = p
			h.Add(a, 0)
		}
		h.Withdraw(c.answers)
		is.Equal(h.Count(a.Task, Crashed), c.left)
		is.Equal(len(h.Recent(0)), c.left)
	}
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
