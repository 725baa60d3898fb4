package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

func storedJob() *work.Job {
	return &work.Job{
		ID: "a", Queue: "q", Service: "survey", Objective: work.Objective{Attempts: 2},
		Steps: []work.Step{{Count: 2, Size: work.Size{MilliCPU: 1000}}, {Count: 1, Size: work.Size{MilliCPU: 1000}, DependsOn: []int{0}}},
	}
}

// Guards against a stored job that fails because one failed run is on record twice: as the store knows it, and as another instance has
// observed it. It also guards against attempts that the crash of an endpoint uses up.
func TestStoredJobFailsByDistinctRuns(t *testing.T) {
	is := is.New(t)
	p := New(attempt.NewHistory())
	task := work.TaskID{Job: "a"}
	observed := attempt.Attempt{Task: task, Run: 1, Process: attempt.Process{Endpoint: "e"}, Outcome: attempt.Failed}
	recorded := attempt.Attempt{Task: task, Run: 1, Outcome: attempt.Failed}
	crash := attempt.Attempt{Task: task, Run: 2, Process: attempt.Process{Endpoint: "e"}, Outcome: attempt.Crashed}
	other := attempt.Attempt{Task: task, Run: 3, Process: attempt.Process{Endpoint: "f"}, Outcome: attempt.Crashed}
	p.history.Merge([]attempt.Attempt{observed, recorded, crash, other}, 0)
	is.Equal(len(p.ResumeStored(storedJob(), nil, nil, 0, 1)), 0)
	p.history.Add(attempt.Attempt{Task: task, Run: 4, Outcome: attempt.Failed}, 0)
	is.Equal(p.exhausted(p.jobs["a"], task)[0].State, work.Failed)
}

// Guards against recorded successes that count twice or not at all, and against run numbers that a failed run has used.
func TestResumeStoredCountsEachSuccessOnce(t *testing.T) {
	is := is.New(t)
	p := New(attempt.NewHistory())
	p.Update(work.Endpoint{ID: "e", Service: "survey", Size: work.Size{MilliCPU: 4000}})
	p.SetUsable("e", true)
	first, second, last := work.TaskID{Job: "a"}, work.TaskID{Job: "a", Index: 1}, work.TaskID{Job: "a", Step: 1}
	is.Equal(len(p.ResumeStored(storedJob(), []work.TaskID{first}, map[work.TaskID]int{second: 3}, 0, time.Second)), 0)
	is.Equal(len(p.Next(0)), 0) // waits until the earlier dispatcher's runs are known
	runs := p.Next(time.Second)
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Task, second)
	is.Equal(runs[0].Number, 4)
	is.Equal(len(p.ResumeStored(storedJob(), []work.TaskID{first, second}, nil, 0, 1)), 0) // the second by another run
	is.Equal(runs[0].State, Stopping)
	is.Equal(p.Next(time.Second)[0].Task, last)
	is.Equal(p.StoredSuccess(second), nil)
	is.Equal(p.StoredSuccess(last)[0].State, work.Completed)
	is.True(!p.HasJob("a"))
}

// Guards against a task that starts once more after all its attempts have failed: a failed run of which only the end was reported left its
// number to the next run, and two failures counted as one.
func TestFailureOfAnUnknownRunUsesItsNumber(t *testing.T) {
	is := is.New(t)
	p := New(attempt.NewHistory())
	p.Update(work.Endpoint{ID: "e", Service: "survey", Size: work.Size{MilliCPU: 1000}})
	p.SetUsable("e", true)
	is.Equal(len(p.ResumeStored(storedJob(), nil, nil, 0, 1)), 0)
	failed := work.End{Sequence: 1, Task: work.TaskID{Job: "a"}, Run: 1, Reason: work.EndFailed}
	is.Equal(len(p.RunEnded(attempt.Process{Endpoint: "e"}, failed, 0)), 0)
	is.True(p.IsKnownToHaveStarted("a"))
	next := p.Next(time.Second)[0]
	is.Equal(next.Task, failed.Task)
	is.Equal(next.Number, 2)
	failed.Run = next.Number
	is.Equal(p.RunEnded(attempt.Process{Endpoint: "e"}, failed, 0)[0].State, work.Failed)
}

// Guards against a stored task that crashes one endpoint after the other without end, and against a stored job that fails for crashes that another
// task may have caused.
func TestStoredJobIsGivenUpAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	p := New(attempt.NewHistory())
	task := work.TaskID{Job: "a"}
	for run := 1; run < attempt.MaxCrashesStored; run++ {
		p.history.Merge([]attempt.Attempt{{Task: task, Run: run, Outcome: attempt.Crashed}}, 0)
		is.Equal(len(p.ResumeStored(storedJob(), nil, nil, 0, 1)), 0)
	}
	p.history.Merge([]attempt.Attempt{{Task: task, Run: attempt.MaxCrashesStored, Outcome: attempt.Crashed}}, 0)
	is.Equal(p.Suspect(task), []Outcome{{Job: "a", State: work.Failed, Task: task, Why: GiveUpCrashes}})
	q := New(p.history)
	is.Equal(q.ResumeStored(storedJob(), nil, nil, 0, 1)[0].State, work.Failed) // at the next dispatcher
}
