package worker

import (
	"sync"
	"time"
)

// Arrival describes one request to start a task.
type Arrival struct {
	Time         time.Time `json:"time"`
	Started      bool      `json:"started"`                  // false if the request was refused
	Leaving      bool      `json:"leaving"`                  // arrived while the worker was leaving
	LeavingForMS int64     `json:"leaving_for_ms,omitempty"` // time in ms since the worker began to leave
}

// TaskStarts is the record of the requests to start one task.
type TaskStarts struct {
	Count    int       `json:"count"` // number of starts; refused requests do not count
	Arrivals []Arrival `json:"arrivals"`
}

// Starts is a worker's record of all requests to start tasks, the response to GET /starts.
type Starts struct {
	Name            string                `json:"name"`
	Total           int64                 `json:"total"`      // number of starts
	Refused         int64                 `json:"refused"`    // number of refused requests
	Repeated        int64                 `json:"repeated"`   // number of starts of tasks that this worker had started before
	MaxLeavingForMS int64                 `json:"leaving_ms"` // longest time in ms from the beginning of leaving to the arrival of a request; -1 if none arrived while leaving
	Dropped         int64                 `json:"dropped"`    // number of tasks whose record is no longer kept
	Tasks           map[string]TaskStarts `json:"tasks"`
}

// recorder keeps the start records of the latest maxTasks tasks.
type recorder struct {
	maxTasks int

	mu     sync.Mutex
	starts Starts
	order  []string // IDs of the tasks in the order of their first arrival
}

func newRecorder(name string, maxTasks int) *recorder {
	return &recorder{maxTasks: maxTasks, starts: Starts{Name: name, MaxLeavingForMS: -1, Tasks: map[string]TaskStarts{}}}
}

// add records an arrival. leavingSince is when the worker began to leave, or zero if it is not leaving.
func (r *recorder) add(now time.Time, id string, started bool, leavingSince time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := Arrival{Time: now, Started: started}
	if !leavingSince.IsZero() {
		a.Leaving = true
		a.LeavingForMS = now.Sub(leavingSince).Milliseconds()
		r.starts.MaxLeavingForMS = max(r.starts.MaxLeavingForMS, a.LeavingForMS)
	}
	t, known := r.starts.Tasks[id]
	if !known {
		r.order = append(r.order, id)
	}
	r.count(&t, started)
	t.Arrivals = append(t.Arrivals, a)
	r.starts.Tasks[id] = t
	r.trim()
}

func (r *recorder) count(t *TaskStarts, started bool) {
	if !started {
		r.starts.Refused++
		return
	}
	r.starts.Total++
	if t.Count > 0 {
		r.starts.Repeated++
	}
	t.Count++
}

func (r *recorder) trim() {
	for len(r.order) > r.maxTasks {
		delete(r.starts.Tasks, r.order[0])
		r.order = r.order[1:]
		r.starts.Dropped++
	}
}

// snapshot returns a copy of the record that contains only the tasks with at least min starts.
func (r *recorder) snapshot(min int) Starts {
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := r.starts
	starts.Tasks = map[string]TaskStarts{}
	for id, t := range r.starts.Tasks {
		if t.Count >= min {
			t.Arrivals = append([]Arrival(nil), t.Arrivals...)
			starts.Tasks[id] = t
		}
	}
	return starts
}
