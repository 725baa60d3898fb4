package fair

import (
	"cmp"
	"slices"

	"github.com/savorypass/savorypass/internal/sched"
)

// State is a summary of a scheduler's state for operators.
type State struct {
	Stats      sched.Stats   `json:"stats"`
	Long       int           `json:"long"`                  // running tasks that count as long
	MaxLong    int           `json:"long_max"`              // slots that such tasks may use; 0 if there is no short reserve
	Overruns   int           `json:"overrun"`               // running tasks that take far longer than expected
	HeldWorker string        `json:"held_worker,omitempty"` // worker kept free for a large task
	Teams      []TeamState   `json:"teams"`
	Workers    []WorkerState `json:"workers"`
}

// TeamState is a team's use of the resources.
type TeamState struct {
	Name    string  `json:"name"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
	Share   float64 `json:"share"` // dominant share, 0 to 1
}

// WorkerState is the scheduler's view of a worker.
type WorkerState struct {
	Name           string     `json:"name"`
	Usable         int        `json:"usable"` // slots that may be used
	Running        int        `json:"running"`
	Used           sched.Size `json:"used"`
	Quarantined    bool       `json:"quarantined"`
	HoldOffSeconds float64    `json:"hold_off_s"` // length of the last quarantine; 0 if none or reset
	FailureRate    float64    `json:"failure_rate"`
	Slowness       float64    `json:"slowness"` // ratio of the worker's run times to the average worker's
}

// Dump returns the scheduler's state, with teams and workers sorted by name.
func (s *Scheduler) Dump() State {
	d := State{Stats: s.Stats(), Long: s.long, Overruns: s.stuck}
	if s.opts.ShortReserve > 0 {
		d.MaxLong = s.longLimit()
	}
	if s.heldWorker != nil {
		d.HeldWorker = s.heldWorker.Name
	}
	for _, t := range s.teamList {
		d.Teams = append(d.Teams, TeamState{Name: t.name, Queued: t.queued, Running: t.running, Share: t.share})
	}
	for _, w := range s.workers {
		d.Workers = append(d.Workers, WorkerState{
			Name:           w.Name,
			Usable:         w.usable,
			Running:        w.running,
			Used:           w.used,
			Quarantined:    w.health.quarantined,
			HoldOffSeconds: w.health.holdOff,
			FailureRate:    w.health.failureRate,
			Slowness:       w.slowness.Factor(),
		})
	}
	slices.SortFunc(d.Teams, func(a, b TeamState) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Workers, func(a, b WorkerState) int { return cmp.Compare(a.Name, b.Name) })
	return d
}
