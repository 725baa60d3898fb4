package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/sched"
)

var refusalCodes = map[sched.Reason]result.Code{
	sched.NoFit:       result.NeverFits,
	sched.NoSlots:     result.NotReady,
	sched.QueueFull:   result.QueueFull,
	sched.TooLate:     result.DeadlineUnreachable,
	sched.WaitTooLong: result.QueueFull,
	sched.Backlogged:  result.QueueFull,
}

var refusalTexts = map[sched.Reason]string{
	sched.NoFit:       "a task asks for more cores, memory or accelerators than any worker has",
	sched.NoSlots:     "there is no usable worker at present",
	sched.QueueFull:   "the queue is at limits.queued_tasks",
	sched.TooLate:     "the expected wait and run time exceed the deadline",
	sched.WaitTooLong: "the expected wait exceeds admission.max_wait",
	sched.Backlogged:  "the queued work exceeds what may wait",
}

// admitJob decides on a new job with the scheduler's estimate of this moment.
func (e *Entry) admitJob(now time.Time, j *engine.Job, est sched.Estimate) *api.Answer {
	s := e.current.Load()
	if s == nil {
		return api.NewAnswer(result.NotReady, "the instance has no configuration yet")
	}
	bounds := sched.Bounds{MaxQueued: s.config.Limits.QueuedTasks, MaxWait: s.config.Admission.MaxWait}
	est.Wait = time.Duration(float64(est.Wait) * s.config.Admission.SafetyFactor)
	if !est.Feasible && e.fitsElsewhere(j) {
		est.Feasible = true
	}
	v := sched.Admit(now, est, len(j.Payloads), j.Deadline, bounds, rand.Float64)
	if v.OK() {
		return nil
	}
	a := api.NewAnswer(refusalCodes[v.Reason], refusalTexts[v.Reason])
	a.RetryAfterMS = v.Retry.Milliseconds()
	return a
}

// fitsElsewhere reports whether each task fits some worker of the instance list that peers may lend slots of. A job is
// refused as never fitting only if no worker is large enough.
func (e *Entry) fitsElsewhere(j *engine.Job) bool {
	s := e.current.Load()
	list := e.members.View().Instances
	for i := range j.Shape.Tasks {
		need := j.Shape.Tasks[i].Size
		if !slices.ContainsFunc(list, func(in platform.Instance) bool {
			near := in.Zone == e.opts.Zone || s.config.Spill.Enabled
			return in.Kind == platform.KindEndpoint && near && sched.Fits(need, in.Size)
		}) {
			return false
		}
	}
	return true
}
