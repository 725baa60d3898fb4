package worker

import (
	"sync"
	"time"
)

// Arrival is one request to start a task.
type Arrival struct {
	Time         time.Time `json:"time"`
	Started      bool      `json:"started"` // false: refused
	Leaving      bool      `json:"leaving"` // arrived while the worker was leaving
	LeavingForMS int64     `json:"leaving_for_ms,omitempty"`
}

// TaskStarts is the record of one task.
type TaskStarts struct {
	Count    int       `json:"count"` // starts
	Arrivals []Arrival `json:"arrivals"`
}

// Starts is the record of a worker.
type Starts struct {
	Name            string                `json:"name"`
	Total           int64                 `json:"total"`      // starts
	Refused         int64                 `json:"refused"`    // refusals before the start
	Repeated        int64                 `json:"repeated"`   // starts of a task that had been started here before
	MaxLeavingForMS int64                 `json:"leaving_ms"` // longest time after the begin of leaving at which a request arrived; -1 for none
	Dropped         int64                 `json:"dropped"`    // tasks whose record is no longer kept
	Tasks           map[string]TaskStarts `json:"tasks"`
}

// recorder keeps the start records of the latest tasks.
type recorder struct {
	keep int

	mu    sync.Mutex
	s     Starts
	order []string // tasks by first arrival
}

func newRecorder(name string, keep int) *recorder {
	return &recorder{keep: keep, s: Starts{Name: name, MaxLeavingForMS: -1, Tasks: map[string]TaskStarts{}}}
}

// add records an arrival. leavingSince is zero when the worker is not leaving.
func (r *recorder) add(now time.Time, id string, started bool, leavingSince time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := Arrival{Time: now, Started: started}
	if !leavingSince.IsZero() {
		a.Leaving = true
		a.LeavingForMS = now.Sub(leavingSince).Milliseconds()
		r.s.MaxLeavingForMS = max(r.s.MaxLeavingForMS, a.LeavingForMS)
	}
	t, known := r.s.Tasks[id]
	if !known {
		r.order = append(r.order, id)
	}
	r.count(&t, started)
	t.Arrivals = append(t.Arrivals, a)
	r.s.Tasks[id] = t
	r.trim()
}

func (r *recorder) count(t *TaskStarts, started bool) {
	if !started {
		r.s.Refused++
		return
	}
	r.s.Total++
	if t.Count > 0 {
		r.s.Repeated++
	}
	t.Count++
}

func (r *recorder) trim() {
	for len(r.order) > r.keep {
		delete(r.s.Tasks, r.order[0])
		r.order = r.order[1:]
		r.s.Dropped++
	}
}

// get returns the record with the tasks that were started at least min times.
func (r *recorder) get(min int) Starts {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.s
	s.Tasks = map[string]TaskStarts{}
	for id, t := range r.s.Tasks {
		if t.Count >= min {
			t.Arrivals = append([]Arrival(nil), t.Arrivals...)
			s.Tasks[id] = t
		}
	}
	return s
}
