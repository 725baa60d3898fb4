// Package validate checks a submission against the configuration in force and builds its job.
package validate

import (
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/sched"
)

// Filter implements filter.Filter.
type Filter struct {
	ViewSource filter.ViewSource
	Registry   *registry.Registry
}

// Name returns the filter's name.
func (Filter) Name() string { return "validate" }

// Handle refuses submissions that the configuration does not allow, and removes their records so that their identities can
// be submitted again. Only first submissions arrive here: a resubmission must not be refused because of a configuration
// that is newer than the one under which its job was accepted.
func (f Filter) Handle(r *filter.Request, next filter.Handler) {
	if r.Action != filter.Submit {
		next.Handle(r)
		return
	}
	v := f.ViewSource.View()
	if v == nil {
		f.refuse(r, api.Errorf(result.NotReady, "", "the instance has no configuration yet"))
		return
	}
	job, err := build(r, v)
	if err != nil {
		f.refuse(r, err)
		return
	}
	r.Job = job
	next.Handle(r)
}

func (f Filter) refuse(r *filter.Request, err *api.Error) {
	a := err.Answer()
	a.Identity = r.Identity
	f.Registry.Withdraw(r.ID.Seq, a)
}

// build returns the job of a submission.
func build(r *filter.Request, v *filter.View) (*engine.Job, *api.Error) {
	sub := r.Submit
	svc, ok := v.Services[sub.Service]
	if !ok {
		return nil, api.Errorf(result.UnknownService, "service", "service %q is not configured", sub.Service)
	}
	if len(sub.Tasks) > v.Limits.TasksPerJob {
		return nil, api.Errorf(result.TooManyTasks, "tasks", "tasks has %d entries, at most %d", len(sub.Tasks), v.Limits.TasksPerJob)
	}
	deadline := svc.Deadline
	if limit := svc.MaxDeadline; limit > 0 && sub.DeadlineMS > limit.Milliseconds() {
		return nil, api.Errorf(result.OutOfRange, "deadline_ms", "deadline_ms is %d, at most %d for service %q",
			sub.DeadlineMS, limit.Milliseconds(), sub.Service)
	}
	if sub.DeadlineMS > 0 {
		deadline = time.Duration(sub.DeadlineMS) * time.Millisecond
	}
	j := &engine.Job{
		Identity: sub.Identity, Team: r.Principal.Team, Service: sub.Service,
		Idempotent: sub.Idempotent && svc.Idempotent, Arrived: r.Arrived, Deadline: r.Arrived.Add(deadline),
		Payloads: make([]string, len(sub.Tasks)),
	}
	j.Shape = sched.Job{Team: j.Team, Service: j.Service, Deadline: j.Deadline, Tasks: make([]sched.Task, len(sub.Tasks))}
	for i := range sub.Tasks {
		t := &sub.Tasks[i]
		if limit := svc.MaxRunTime; limit > 0 && t.RunTimeMS > limit.Milliseconds() {
			return nil, api.Errorf(result.OutOfRange, "run_time_ms", "tasks[%d].run_time_ms is %d, at most %d for service %q",
				i, t.RunTimeMS, limit.Milliseconds(), sub.Service)
		}
		j.Payloads[i] = t.Payload
		j.Shape.Tasks[i] = taskWithDefaults(t, &svc)
	}
	return j, nil
}

// taskWithDefaults returns the scheduler's task, with the service's defaults for what the caller does not declare.
func taskWithDefaults(t *api.Task, svc *filter.Service) sched.Task {
	s := sched.Task{
		Size:     sched.Size{Cores: t.Cores, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators},
		Declared: time.Duration(t.RunTimeMS) * time.Millisecond,
	}
	if s.Size.Cores == 0 {
		s.Size.Cores = svc.Size.Cores
	}
	if s.Size.MemoryMB == 0 {
		s.Size.MemoryMB = svc.Size.MemoryMB
	}
	if s.Size.Accelerators == 0 {
		s.Size.Accelerators = svc.Size.Accelerators
	}
	if s.Declared == 0 {
		s.Declared = svc.RunTime
	}
	return s
}
