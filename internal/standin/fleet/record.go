package fleet

import (
	"fmt"

	"github.com/savorypass/savorypass/internal/work"
)

// Registration returns the registration of the endpoint at an address, or the zero value if there is none.
func (f *Fleet) Registration(address string) work.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[address]; e != nil {
		return e.registration
	}
	return work.Endpoint{}
}

// Crashes returns how many processes a task has crashed.
func (f *Fleet) Crashes(task work.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[task]
}

// OverCapacity returns a description of an endpoint that has run more tasks at the same time than its CPU capacity allows,
// or "" if there is none. It assumes that every task has the size taskSize.
func (f *Fleet) OverCapacity(taskSize work.Size) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, e := range f.endpoints {
		if e.maxRunning*taskSize.MilliCPU > e.registration.Size.MilliCPU {
			return fmt.Sprintf("endpoint %s ran %d tasks of size %+v at the same time, its size is %+v", address, e.maxRunning, taskSize, e.registration.Size)
		}
	}
	return ""
}

// Starts returns a copy of the record of all starts, oldest first.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Start, len(f.starts))
	for i, s := range f.starts {
		all[i] = *s
	}
	return all
}

// Renewals returns the number of lease renewals that endpoints have received, refused ones included.
func (f *Fleet) Renewals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewals
}

// Running returns the number of runs in progress on all endpoints.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.endpoints {
		n += len(e.runs)
	}
	return n
}

// OverlappingRuns returns a description of the first two runs of a task that overlapped in time, or "" if there are none.
func (f *Fleet) OverlappingRuns() string {
	starts := f.Starts()
	for i, a := range starts {
		for _, b := range starts[i+1:] {
			if a.Task == b.Task && (a.EndedAt.IsZero() || b.StartedAt.Before(a.EndedAt)) {
				return fmt.Sprintf("%v: run %d on %s from %v to %v, run %d on %s from %v", a.Task, a.Run, a.Endpoint, a.StartedAt, a.EndedAt, b.Run, b.Endpoint, b.StartedAt)
			}
		}
	}
	return ""
}

// Unacknowledged returns the number of ends that the dispatchers have not acknowledged.
func (f *Fleet) Unacknowledged() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.endpoints {
		n += len(e.unacknowledged)
	}
	return n
}
