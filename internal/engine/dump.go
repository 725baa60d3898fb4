package engine

import (
	"slices"
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
	RenewedMS int64                   `json:"renewed_ms_ago"` // since the last answer to a lease renewal
	Failures  int                     `json:"failures"`       // consecutive failures
	HeldOffMS int64                   `json:"held_off_ms"`    // remaining time without new tasks because of these failures
	Size      sched.Size              `json:"size"`
	Report    platform.EndpointStatus `json:"report"`
}

// JobDump is the state of one open job.
type JobDump struct {
	Identity   string   `json:"identity"`
	Team       string   `json:"team"`
	Service    string   `json:"service"`
	Tasks      int      `json:"tasks"`
	Queued     int      `json:"queued"`
	Running    int      `json:"running"`
	Ended      int      `json:"ended"`
	Delegated  int      `json:"delegated"`
	Workers    []string `json:"workers"` // names of the workers and peers that run its tasks
	AgeMS      int64    `json:"age_ms"`
	DeadlineMS int64    `json:"deadline_in_ms"`
}

// TeamDump is the load of one team's open jobs.
type TeamDump struct {
	Name     string     `json:"name"`
	Jobs     int        `json:"jobs"`
	Queued   int        `json:"queued"`
	Running  int        `json:"running"`
	OldestMS int64      `json:"oldest_ms"` // age of the oldest open job
	Usage    sched.Size `json:"usage"`     // declared sizes of the running tasks
}

// PeerDump is the number of tasks delegated to one peer.
type PeerDump struct {
	Name      string `json:"name"`
	Delegated int    `json:"delegated"` // tasks in progress at the peer
}

// Dump is the engine's state.
type Dump struct {
	Draining  bool         `json:"draining"`
	Jobs      int          `json:"jobs"`
	Scheduler sched.Stats  `json:"scheduler"`
	Workers   []WorkerDump `json:"workers"`
	Peers     []PeerDump   `json:"peers"`
	Grants    int          `json:"grants"`  // offers of slots to peers that are neither used nor expired
	Demands   int          `json:"demands"` // peers that have reported a backlog
	Teams     []TeamDump   `json:"teams"`
	OpenJobs  []JobDump    `json:"open_jobs"` // at most maxDumpedJobs, oldest first
}

// maxDumpedJobs bounds the size of a dump.
const maxDumpedJobs = 200

// Dump returns the result of State, for dump handlers.
func (e *Engine) Dump() any { return e.State() }

// State returns the state of the engine, or an empty one if the engine has stopped.
func (e *Engine) State() Dump {
	var d Dump
	e.call(func(now time.Time) {
		d.Draining, d.Jobs, d.Scheduler = e.draining, len(e.jobs), e.opts.Scheduler.Stats()
		for _, w := range e.workers {
			if w.peer {
				d.Peers = append(d.Peers, PeerDump{Name: w.instance.Name, Delegated: len(w.attempts)})
				continue
			}
			d.Workers = append(d.Workers, e.dumpWorker(now, w))
		}
		d.Grants, d.Demands = len(e.grants), len(e.demands)
		teams := map[string]*TeamDump{}
		for _, j := range e.jobs {
			d.OpenJobs = append(d.OpenJobs, j.dump(now))
			j.addToTeam(now, teams)
		}
		for _, t := range teams {
			d.Teams = append(d.Teams, *t)
		}
	})
	sort.Slice(d.Teams, func(i, k int) bool { return d.Teams[i].Name < d.Teams[k].Name })
	sort.Slice(d.Workers, func(i, k int) bool { return d.Workers[i].Name < d.Workers[k].Name })
	sort.Slice(d.OpenJobs, func(i, k int) bool { return d.OpenJobs[i].AgeMS > d.OpenJobs[k].AgeMS })
	d.OpenJobs = d.OpenJobs[:min(len(d.OpenJobs), maxDumpedJobs)]
	return d
}

// Stats returns the scheduler's summary and the number of open jobs. It waits for the loop; Load does not.
func (e *Engine) Stats() (st sched.Stats, jobs int) {
	e.call(func(time.Time) { st, jobs = e.opts.Scheduler.Stats(), len(e.jobs) })
	return st, jobs
}

// OpenCounts returns the number of open jobs, and the number of peers' tasks that run here plus the number of open grants.
func (e *Engine) OpenCounts() (jobs, foreign int) {
	e.call(func(time.Time) {
		jobs = len(e.jobs)
		for _, w := range e.workers {
			for f := range w.attempts {
				if f.foreign != nil {
					foreign++
				}
			}
		}
		foreign += len(e.grants)
	})
	return jobs, foreign
}

// Job returns the state of an open job. ok is false if there is none with the identity.
func (e *Engine) Job(identity string) (d JobDump, ok bool) {
	e.call(func(now time.Time) {
		if j := e.byIdentity[identity]; j != nil {
			d, ok = j.dump(now), true
		}
	})
	return d, ok
}

func (e *Engine) dumpWorker(now time.Time, w *worker) WorkerDump {
	d := WorkerDump{
		Name: w.instance.Name, Zone: w.instance.Zone, Rack: w.instance.Rack, Address: w.instance.Address,
		State: w.state.String(), Slots: w.slots, InFlight: len(w.attempts),
		Size: w.instance.Size, RenewedMS: now.Sub(w.renewedAt).Milliseconds(), Report: w.status,
	}
	if s, ok := e.opts.Scheduler.(sched.HealthReporter); ok {
		h := s.Health(now, w.instance.Name)
		d.Failures, d.HeldOffMS = h.ConsecutiveFailures, h.HoldOffRemaining.Milliseconds()
	}
	return d
}

func (j *Job) dump(now time.Time) JobDump {
	d := JobDump{
		Identity: j.Identity, Team: j.Team, Service: j.Service, Tasks: len(j.phases),
		AgeMS: now.Sub(j.Arrived).Milliseconds(), DeadlineMS: j.Deadline.Sub(now).Milliseconds(),
	}
	for i, p := range j.phases {
		switch p {
		case queued:
			d.Queued++
		case running:
			d.addRunning(j.runningOn[i])
		default:
			d.Ended++
		}
	}
	return d
}

func (d *JobDump) addRunning(w *worker) {
	d.Running++
	if w.peer {
		d.Delegated++
	}
	if !slices.Contains(d.Workers, w.instance.Name) {
		d.Workers = append(d.Workers, w.instance.Name)
	}
}

// addToTeam adds the job to the load of its team. Running tasks count with their declared sizes.
func (j *Job) addToTeam(now time.Time, teams map[string]*TeamDump) {
	t := teams[j.Team]
	if t == nil {
		t = &TeamDump{Name: j.Team}
		teams[j.Team] = t
	}
	t.Jobs++
	t.OldestMS = max(t.OldestMS, now.Sub(j.Arrived).Milliseconds())
	for i, p := range j.phases {
		switch p {
		case queued:
			t.Queued++
		case running:
			t.Running++
			t.Usage = t.Usage.Plus(j.Shape.Tasks[i].Size)
		}
	}
}
