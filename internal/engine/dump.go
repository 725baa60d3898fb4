package engine

import (
	"sort"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// WorkerDump is the state of one worker.
type WorkerDump struct {
	Name      string                  `json:"name"`
	Zone      string                  `json:"zone"`
	Rack      string                  `json:"rack"`
	Address   string                  `json:"address"`
	State     string                  `json:"state"`
	Slots     int                     `json:"slots"`
	InFlight  int                     `json:"in_flight"`
	RenewedMS int64                   `json:"renewed_ms_ago"`
	Report    platform.EndpointStatus `json:"report"`
}

// JobDump is the state of one open job.
type JobDump struct {
	Identity   string `json:"identity"`
	Team       string `json:"team"`
	Service    string `json:"service"`
	Tasks      int    `json:"tasks"`
	Queued     int    `json:"queued"`
	Running    int    `json:"running"`
	Ended      int    `json:"ended"`
	AgeMS      int64  `json:"age_ms"`
	DeadlineMS int64  `json:"deadline_in_ms"`
}

// Dump is the engine's state.
type Dump struct {
	Draining  bool         `json:"draining"`
	Jobs      int          `json:"jobs"`
	Scheduler sched.Stats  `json:"scheduler"`
	Workers   []WorkerDump `json:"workers"`
	OpenJobs  []JobDump    `json:"open_jobs"` // at most maxDumpedJobs, oldest first
}

const maxDumpedJobs = 200

// Dump returns the state of the engine.
func (e *Engine) Dump() any { return e.State() }

// State returns the state of the engine.
func (e *Engine) State() Dump {
	var d Dump
	e.call(func(now time.Time) {
		d.Draining, d.Jobs, d.Scheduler = e.draining, len(e.jobs), e.opts.Scheduler.Stats()
		for _, w := range e.workers {
			d.Workers = append(d.Workers, w.dump(now))
		}
		for _, j := range e.jobs {
			d.OpenJobs = append(d.OpenJobs, j.dump(now))
		}
	})
	sort.Slice(d.Workers, func(i, k int) bool { return d.Workers[i].Name < d.Workers[k].Name })
	sort.Slice(d.OpenJobs, func(i, k int) bool { return d.OpenJobs[i].AgeMS > d.OpenJobs[k].AgeMS })
	d.OpenJobs = d.OpenJobs[:min(len(d.OpenJobs), maxDumpedJobs)]
	return d
}

// Stats returns the scheduler's summary and the number of open jobs.
func (e *Engine) Stats() (st sched.Stats, jobs int) {
	e.call(func(time.Time) { st, jobs = e.opts.Scheduler.Stats(), len(e.jobs) })
	return st, jobs
}

// Job returns the state of an open job.
func (e *Engine) Job(identity string) (d JobDump, ok bool) {
	e.call(func(now time.Time) {
		if j := e.byIdentity[identity]; j != nil {
			d, ok = j.dump(now), true
		}
	})
	return d, ok
}

func (w *worker) dump(now time.Time) WorkerDump {
	return WorkerDump{
		Name: w.instance.Name, Zone: w.instance.Zone, Rack: w.instance.Rack, Address: w.instance.Address,
		State: w.state.String(), Slots: w.slots, InFlight: len(w.flights),
		RenewedMS: now.Sub(w.renewedAt).Milliseconds(), Report: w.status,
	}
}

func (j *Job) dump(now time.Time) JobDump {
	d := JobDump{
		Identity: j.Identity, Team: j.Team, Service: j.Service, Tasks: len(j.phases),
		AgeMS: now.Sub(j.Arrived).Milliseconds(), DeadlineMS: j.Deadline.Sub(now).Milliseconds(),
	}
	for _, p := range j.phases {
		switch p {
		case queued:
			d.Queued++
		case running:
			d.Running++
		default:
			d.Ended++
		}
	}
	return d
}
