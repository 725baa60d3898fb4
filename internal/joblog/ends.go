package joblog

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/savorypass/savorypass/internal/work"
)

// maxTasks bounds the number of a step's tasks and of a job's steps, so that a malformed record cannot use up the memory.
const maxTasks = 100_000

// Ends are the ends of a job's tasks: which tasks have succeeded, which runs have failed, and under which an endpoint's process has crashed.
type Ends struct {
	// Succeeded has a bit for each task of a step, by step; the lowest bit of a step's first byte is the task with index 0.
	Succeeded [][]byte `msgpack:"s,omitempty"`
	// Failed lists the failed runs, each once, in order of step, index and run.
	Failed []TaskRun `msgpack:"f,omitempty"`
	// Crashed lists the runs under which an endpoint's process has crashed, like Failed.
	Crashed []TaskRun `msgpack:"c,omitempty"`
}

// TaskRun is a run of a task.
type TaskRun struct {
	Step  int `msgpack:"s,omitempty"`
	Index int `msgpack:"i,omitempty"`
	Run   int `msgpack:"r,omitempty"`
}

func compareRuns(a, b TaskRun) int {
	return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run))
}

const bitsPerByte = 8

// Succeed notes that a task has succeeded. It returns false if that was noted, or if the ends cannot hold the task.
func (e *Ends) Succeed(task work.TaskID) bool {
	if !valid(task) || e.HasSucceeded(task) {
		return false
	}
	for len(e.Succeeded) <= task.Step {
		e.Succeeded = append(e.Succeeded, nil)
	}
	bits := e.Succeeded[task.Step]
	for len(bits) <= task.Index/bitsPerByte {
		bits = append(bits, 0)
	}
	bits[task.Index/bitsPerByte] |= 1 << (task.Index % bitsPerByte)
	e.Succeeded[task.Step] = bits
	return true
}

// HasSucceeded reports whether a task has succeeded.
func (e *Ends) HasSucceeded(task work.TaskID) bool {
	if !valid(task) || task.Step >= len(e.Succeeded) {
		return false
	}
	bits := e.Succeeded[task.Step]
	return task.Index/bitsPerByte < len(bits) && bits[task.Index/bitsPerByte]&(1<<(task.Index%bitsPerByte)) != 0
}

// Fail notes that a run of a task has failed. It returns false if that was noted, or if the ends cannot hold the task.
func (e *Ends) Fail(task work.TaskID, run int) bool {
	if !valid(task) {
		return false
	}
	return insertRun(&e.Failed, TaskRun{task.Step, task.Index, run})
}

// Crash notes that an endpoint's process has crashed under a run of a task. It returns false if that was noted, or if the ends cannot hold the task.
func (e *Ends) Crash(task work.TaskID, run int) bool {
	if !valid(task) {
		return false
	}
	return insertRun(&e.Crashed, TaskRun{task.Step, task.Index, run})
}

// insertRun adds a run to an ordered list. It returns false if the list has it.
func insertRun(list *[]TaskRun, r TaskRun) bool {
	at, found := slices.BinarySearchFunc(*list, r, compareRuns)
	if !found {
		*list = slices.Insert(*list, at, r)
	}
	return !found
}

// Failures returns how many runs of a task have failed.
func (e *Ends) Failures(task work.TaskID) int {
	n := 0
	for _, r := range e.Failed {
		if r.Step == task.Step && r.Index == task.Index {
			n++
		}
	}
	return n
}

// Any reports whether a run of a task has ended.
func (e *Ends) Any() bool { return len(e.Succeeded)+len(e.Failed)+len(e.Crashed) > 0 }

// Merge adds the ends of o, which it does not change.
func (e *Ends) Merge(o Ends) {
	for step, bits := range o.Succeeded {
		if step >= len(e.Succeeded) {
			e.Succeeded = append(e.Succeeded, nil)
		}
		own := e.Succeeded[step]
		for i, b := range bits {
			if i >= len(own) {
				own = append(own, 0)
			}
			own[i] |= b
		}
		e.Succeeded[step] = own
	}
	for _, r := range o.Failed {
		insertRun(&e.Failed, r)
	}
	for _, r := range o.Crashed {
		insertRun(&e.Crashed, r)
	}
}

// Clone returns a copy that later changes of e do not affect.
func (e *Ends) Clone() Ends {
	var c Ends
	c.Merge(*e)
	return c
}

// valid reports whether the ends can hold the task. They have no place for the occurrences of repeating jobs.
func valid(task work.TaskID) bool { return task.Occurrence == 0 && inRange(task.Step, task.Index) }

func inRange(step, index int) bool {
	return step >= 0 && step < maxTasks && index >= 0 && index < maxTasks
}

func (e *Ends) validate() error {
	if len(e.Succeeded) > maxTasks {
		return fmt.Errorf("joblog: progress of %d steps", len(e.Succeeded))
	}
	for _, r := range slices.Concat(e.Failed, e.Crashed) {
		if !inRange(r.Step, r.Index) {
			return fmt.Errorf("joblog: unsuccessful run of task %d of step %d", r.Index, r.Step)
		}
	}
	return nil
}
