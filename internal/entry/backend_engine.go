package entry

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
)

// engineBackend implements ops.Engine.
type engineBackend struct{ e *Entry }

// Load implements ops.Engine.
func (b engineBackend) Load(context.Context) (opsapi.Load, error) {
	d := b.e.engine.State()
	l := opsapi.Load{Jobs: d.Jobs, Queued: d.Scheduler.Queued, Running: d.Scheduler.Running}
	l.Workers.Owned, l.Workers.Slots, l.Workers.FreeSlots = len(d.Workers), d.Scheduler.Slots, d.Scheduler.FreeSlots
	for _, w := range d.Workers {
		switch workerState(&w) {
		case opsapi.WorkerLeaving:
			l.Workers.Leaving++
		case opsapi.WorkerSuspect:
			l.Workers.Suspect++
		case opsapi.WorkerHeldOff:
			l.Workers.HeldOff++
		default:
			l.Workers.Ready++
		}
	}
	l.Queues = queues(d.Teams)
	return l, nil
}

func queues(teams []engine.TeamDump) []opsapi.Queue {
	var out []opsapi.Queue
	for _, t := range teams {
		out = append(out, opsapi.Queue{Team: t.Name, Jobs: t.Jobs, Tasks: t.Queued, OldestMS: t.OldestMS})
	}
	return out
}

// Workers implements ops.Engine.
func (b engineBackend) Workers(context.Context) ([]opsapi.Worker, error) {
	var out []opsapi.Worker
	for _, w := range b.e.engine.State().Workers {
		out = append(out, opsapi.Worker{
			Name: w.Name, Zone: w.Zone, Rack: w.Rack, Owner: b.e.opts.Name, Address: w.Address,
			State: workerState(&w), Slots: w.Slots, Running: w.InFlight,
			Cores: w.Size.Cores, MemoryMB: w.Size.MemoryMB, Accelerators: w.Size.Accelerators,
			Failures: w.Failures, HeldOffMS: w.HeldOffMS,
		})
	}
	return out, nil
}

// workerState returns the state of a worker as operators see it: a ready worker that gets no tasks at present because of
// its recent failures counts as held off.
func workerState(w *engine.WorkerDump) opsapi.WorkerState {
	state := opsapi.WorkerState(w.State)
	if state == opsapi.WorkerReady && w.HeldOffMS > 0 {
		return opsapi.WorkerHeldOff
	}
	return state
}

// Teams implements ops.Engine.
func (b engineBackend) Teams(context.Context) ([]opsapi.Team, error) {
	s := b.e.current.Load()
	if s == nil {
		return nil, ops.ErrUnavailable
	}
	load := map[string]engine.TeamDump{}
	for _, t := range b.e.engine.State().Teams {
		load[t.Name] = t
	}
	var out []opsapi.Team
	for _, t := range s.config.Teams {
		teamLoad := load[t.Name]
		out = append(out, opsapi.Team{
			Name: t.Name, Weight: t.Weight, Quota: opsapi.Usage(t.Quota), Usage: opsapi.Usage(teamLoad.Usage),
			Queued: teamLoad.Queued, Running: teamLoad.Running,
		})
	}
	return out, nil
}

// Job implements ops.Engine. It finds open jobs, and finished jobs whose record is kept.
func (b engineBackend) Job(_ context.Context, id string) (opsapi.Job, error) {
	if d, ok := b.e.engine.Job(id); ok {
		return opsapi.Job{
			Identity: id, Team: d.Team, Service: d.Service, Code: result.Running, Name: result.Running.String(),
			AgeMS: d.AgeMS, DeadlineMS: d.DeadlineMS, Workers: d.Workers,
			Tasks: opsapi.TaskCounts{Queued: d.Queued, Running: d.Running, Delegated: d.Delegated, Done: d.Ended},
		}, nil
	}
	parsed, err := identity.Parse(id)
	if err != nil || parsed.Home != b.e.issuer.Home() {
		return opsapi.Job{}, ops.ErrNotFound
	}
	a, ok := b.e.registry.Answer(parsed.Seq)
	if !ok {
		return opsapi.Job{}, ops.ErrNotFound
	}
	return opsapi.Job{
		Identity: id, Code: a.Code, Name: a.Code.String(), Final: a.Final, Message: a.Message, Outcome: a.Tasks,
	}, nil
}

// cancelWait is how long Cancel waits for the outcome.
const cancelWait = time.Second

// Cancel implements ops.Engine. It returns the final outcome, or the state of the job after cancelWait.
func (b engineBackend) Cancel(ctx context.Context, id string) (opsapi.Job, error) {
	if _, err := b.Job(ctx, id); err != nil {
		return opsapi.Job{}, err
	}
	b.e.engine.Cancel(id)
	deadline := b.e.clock.Now().Add(cancelWait)
	for {
		j, err := b.Job(ctx, id)
		if err != nil || j.Final || b.e.clock.Now().After(deadline) {
			return j, err
		}
		b.e.clock.Sleep(pollInterval)
	}
}
