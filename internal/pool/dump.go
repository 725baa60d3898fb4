package pool

import "math"

// Dump is a snapshot of a pool for operators. Times are in milliseconds on the process's monotonic clock.
type Dump struct {
	Endpoints []EndpointDump `json:"endpoints"`
	Jobs      []JobDump      `json:"jobs"`
	Runs      []RunDump      `json:"runs"`
}

// EndpointDump is the state of one endpoint.
type EndpointDump struct {
	ID             string  `json:"id"`
	Usable         bool    `json:"usable"`
	Draining       bool    `json:"draining"`
	MilliCPU       int     `json:"milli_cpu"`
	UsedMilliCPU   int     `json:"used_milli_cpu"`
	Runs           int     `json:"runs"`
	Unsized        int     `json:"unsized"`
	Slowness       float64 `json:"slowness"`   // run time relative to the normal one
	SpeedRuns      int     `json:"speed_runs"` // number of runs that Slowness rests on
	Disturbed      bool    `json:"disturbed"`  // the last runs took much longer than Slowness tells
	HeldOffUntilMS int64   `json:"held_off_until_ms"`
}

// JobDump is the state of one job.
type JobDump struct {
	ID             string `json:"id"`
	Queue          string `json:"queue"`
	RemainingTasks int    `json:"left"`
	WaitingTasks   int    `json:"waiting"`
	Started        bool   `json:"started"`
	ArrivedMS      int64  `json:"arrived_ms"`
	LatestStartMS  int64  `json:"latest_start_ms"`
}

// RunDump is the state of one run.
type RunDump struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Endpoint string `json:"endpoint"`
	State    string `json:"state"`
	Wanted   bool   `json:"wanted"`
	Percent  int    `json:"percent"`
	Ordered  int64  `json:"ordered_ms"`
}

var stateNames = [...]string{"ordered", "confirmed", "stopping"}

// Dump returns a snapshot of the pool.
func (p *Pool) Dump() Dump {
	var d Dump
	for _, e := range p.order {
		d.Endpoints = append(d.Endpoints, EndpointDump{
			ID: string(e.ID), Usable: e.usable, Draining: e.Draining, MilliCPU: e.Size.MilliCPU, UsedMilliCPU: e.used.MilliCPU,
			Runs: len(e.runs), Unsized: e.unsized, Slowness: math.Exp(e.speed.shrunk), SpeedRuns: int(e.speed.runs), Disturbed: e.speed.reported, HeldOffUntilMS: e.health.heldOffUntil.Milliseconds(),
		})
		for _, r := range p.RunsOn(e.ID) {
			d.Runs = append(d.Runs, dumpRun(r))
		}
	}
	for _, j := range p.jobs {
		d.Jobs = append(d.Jobs, dumpJob(j))
	}
	return d
}

func dumpRun(r *Run) RunDump {
	return RunDump{
		Task: r.Task.String(), Run: r.Number, Endpoint: string(r.Endpoint), State: stateNames[r.State], Wanted: r.Wanted(),
		Percent: r.Percent, Ordered: r.Ordered.Milliseconds(),
	}
}

func dumpJob(j *job) JobDump {
	waiting := 0
	for i := range j.steps {
		waiting += len(j.steps[i].waiting)
	}
	return JobDump{
		ID: string(j.ID), Queue: j.Queue, RemainingTasks: j.remaining, WaitingTasks: waiting, Started: j.started,
		ArrivedMS: j.arrived.Milliseconds(), LatestStartMS: j.latestStart.Milliseconds(),
	}
}
