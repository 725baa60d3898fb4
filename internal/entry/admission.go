package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/sched"
)

// refusalCodes maps the scheduler's reasons to result codes.
var refusalCodes = map[sched.Reason]result.Code{
	sched.NoFit:       result.NeverFits,
	sched.NoSlots:     result.NotReady,
	sched.QueueFull:   result.QueueFull,
	sched.TooLate:     result.DeadlineUnreachable,
	sched.WaitTooLong: result.QueueFull,
	sched.Backlogged:  result.QueueFull,
}

// refusalTexts are the messages of refusals that callers receive.
var refusalTexts = map[sched.Reason]string{
	sched.NoFit:       "a task needs more cores, memory or accelerators than any worker has",
	sched.NoSlots:     "there is no usable worker at present",
	sched.QueueFull:   "the queue is at limits.queued_tasks",
	sched.TooLate:     "the expected wait and run time exceed the deadline",
	sched.WaitTooLong: "the expected wait exceeds admission.max_wait",
	sched.Backlogged:  "the queued work exceeds admission.max_drain",
}

// admitJob decides on a new job by the scheduler's current estimate. It returns nil to admit the job, or the refusal.
func (e *Entry) admitJob(now time.Time, j *engine.Job, est sched.Estimate) *api.Answer {
	s := e.current.Load()
	if s == nil {
		return api.NewAnswer(result.NotReady, "the instance has no configuration yet")
	}
	if team := s.teams[j.Team]; team != nil && team.HardLimit != nil {
		for i := range j.Shape.Tasks {
			if exceeds(j.Shape.Tasks[i].Size, team.HardLimit.Platform()) {
				return api.NewAnswer(result.QuotaExceeded, fmt.Sprintf("task %d alone exceeds hard_limit of team %s", i, j.Team))
			}
		}
	}
	bounds := sched.Bounds{
		MaxQueued: s.config.Limits.QueuedTasks, MaxWait: s.config.Admission.MaxWait,
		MaxDrain: s.config.Admission.MaxDrain,
	}
	est.Wait = time.Duration(float64(est.Wait) * s.config.Admission.SafetyFactor)
	v := sched.Admit(now, est, len(j.Payloads), j.Deadline, bounds, rand.Float64)
	if v.OK() {
		return nil
	}
	a := api.NewAnswer(refusalCodes[v.Reason], refusalTexts[v.Reason])
	a.RetryAfterMS = v.RetryAfter.Milliseconds()
	return a
}

// exceeds reports whether a task is larger than a team's hard limit, so that it could never start. A dimension that is
// zero in the limit is not limited.
func exceeds(task, limit sched.Size) bool {
	return limit.Cores > 0 && task.Cores > limit.Cores ||
		limit.MemoryMB > 0 && task.MemoryMB > limit.MemoryMB ||
		limit.Accelerators > 0 && task.Accelerators > limit.Accelerators
}
