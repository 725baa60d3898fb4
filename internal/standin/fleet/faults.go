package fleet

import (
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Restart ends all runs of an endpoint and replaces its process by a new one with the same registration.
func (f *Fleet) Restart(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(f.endpoints[address])
}

// restart replaces the process of an endpoint. The caller holds the fleet's mu, as for crash.
func (f *Fleet) restart(old *endpoint) {
	old.endAll()
	f.endpoints[old.registration.Address] = f.newEndpoint(old.registration)
}

// endAll ends all runs because the process has ended.
func (e *endpoint) endAll() {
	for task := range e.runs {
		e.finish(task, work.EndGangBroken, time.Now())
	}
}

// crash ends the process of an endpoint under a task's run and starts another one after DownTime.
func (f *Fleet) crash(e *endpoint, run *Start) {
	if e.runs[run.Task] != run {
		return
	}
	f.crashes[run.Task]++
	e.endAll()
	e.down = true
	time.AfterFunc(f.DownTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.restart(e)
	})
}

// SetCapacity changes the size of an endpoint while its process runs, as its registration then tells, and returns the new
// registration. OverCapacity counts only starts after the last change.
func (f *Fleet) SetCapacity(address string, size work.Size) work.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[address]
	e.registration.Size, e.maxRunning = size, 0
	return e.registration
}

// Resize changes the size of an endpoint and sets the start of the process in its registration, as if a new process on
// another machine had registered. It returns the new registration.
func (f *Fleet) Resize(address string, size work.Size) work.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[address]
	e.registration.Size, e.registration.StartedUnixMS = size, e.startedAt.UnixMilli()
	return e.registration
}

// SetSilent sets whether an endpoint is silent. A silent endpoint neither carries out calls nor answers them.
func (f *Fleet) SetSilent(address string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[address].silent = silent
}

// SetRefusing sets whether connections to an endpoint are refused although its process goes on.
func (f *Fleet) SetRefusing(address string, refusing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[address].refusing = refusing
}

// HangTasks makes the runs that an endpoint starts from now on hang: they make no progress and do not end by themselves.
func (f *Fleet) HangTasks(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[address].hangTasks = true
}

func (f *Fleet) crashTime(task work.TaskID) time.Duration {
	if f.CrashTime == nil {
		return 0
	}
	return f.CrashTime(task)
}
