package setup

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/savorypass/savorypass/internal/config"
)

// Priorities, the values of Answers.TopPriority.
const (
	priorityCrest     = "crest"
	priorityShortWork = "short_work"
	priorityBalanced  = "balanced"
)

// deadlines holds the default deadline by urgency: callers repeat an emergency call after ten seconds, a customer at a
// counter leaves after half a minute, and other work only has to end within a few minutes.
var deadlines = map[string]time.Duration{
	UrgencyNow: 10 * time.Second, UrgencyWaiting: 30 * time.Second, UrgencyToday: 5 * time.Minute,
}

// shortReserves holds, by priority, the fraction of the slots that long tasks may not use, before the percentage of long
// work is added. It is smallest for crest, because at the peak of a burst a large reserve would keep slots idle that the
// backlog of long work needs.
var shortReserves = map[string]float64{priorityCrest: 0.1, priorityBalanced: 0.2, priorityShortWork: 0.4}

// maxWaits holds the maximum expected wait by priority. It is shorter for crest, so that less work is queued: the backlog
// of a burst must be gone 2 s after its end.
var maxWaits = map[string]time.Duration{
	priorityCrest: 10 * time.Second, priorityBalanced: 30 * time.Second, priorityShortWork: 30 * time.Second,
}

const (
	maxShortReserve      = 0.6 // a larger reserve would leave long tasks too few slots to keep up
	longTaskFactor       = 4   // tasks above this multiple of the median run time are long
	minShortThreshold    = 100 * time.Millisecond
	crestMaxDrain        = 700 * time.Millisecond // with priority crest; see maxDrain
	defaultMaxDrain      = 10 * time.Second       // with other priorities
	minQueueJobs         = 100                    // the queue has room for at least this number of jobs with the default maximum of tasks
	maxQueuedTasks       = 1_000_000              // upper bound of queued_tasks
	longAnswerRetention  = 5 * time.Minute        // if a lost answer does harm; see answerRetention
	cautiousSafetyFactor = 1.2                    // if a late answer does harm, refuse 20% earlier: a refusal is better than a late answer
	minRequestsPerCaller = 10                     // per second
)

// derived is a value of the configuration and the answers from which it was derived.
type derived[T any] struct {
	value  T
	source string
}

// derivedFrom returns a derived value. Format and args describe its source; durations are written in their short form.
func derivedFrom[T any](v T, format string, args ...any) derived[T] {
	for i, arg := range args {
		if d, ok := arg.(time.Duration); ok {
			args[i] = config.FormatDuration(d)
		}
	}
	return derived[T]{v, fmt.Sprintf(format, args...)}
}

// idempotent returns whether running a task of the service twice does no harm.
func (a *Answers) idempotent(s *Service) derived[bool] {
	return derivedFrom(s.Doubled == HarmNone, "doubled: %s", s.Doubled)
}

// deadline returns the deadline for the service's urgency, which is halved if a late answer is dangerous and the service is
// not an emergency. It is at least twice the run time, unless that exceeds deadlineLimit.
func (a *Answers) deadline(s *Service) derived[time.Duration] {
	v := derivedFrom(deadlines[s.Urgency], "urgency: %s", s.Urgency)
	if minimum := 2 * s.RunTime; minimum > v.value {
		v = derivedFrom(minimum, "twice run_time: %s, above the deadline of the urgency", s.RunTime)
	}
	if s.Late == HarmDangerous && s.Urgency != UrgencyNow {
		v = derivedFrom(max(v.value/2, 2*s.RunTime), "urgency: %s, halved by late: %s", s.Urgency, s.Late)
	}
	return a.beforeClosing(v)
}

// maxDeadline returns the longest deadline that callers may ask for. With closing hours, it ends before closing time.
func (a *Answers) maxDeadline() derived[time.Duration] {
	return a.beforeClosing(derivedFrom(maxDeadline, "longest that the schema allows"))
}

// beforeClosing bounds a duration by deadlineLimit.
func (a *Answers) beforeClosing(v derived[time.Duration]) derived[time.Duration] {
	if limit := a.deadlineLimit(); v.value > limit && !a.Closing.NightShift {
		return derivedFrom(limit, "%s, bounded by closing.last_request: %s", v.source, limit)
	}
	v.value = min(v.value, maxDeadline)
	return v
}

func (a *Answers) maxRunTime(s *Service) derived[time.Duration] {
	return a.beforeClosing(derivedFrom(s.Longest, "longest_run_time: %s", s.Longest))
}

// zoneShare returns a percentage of the workers' resources in one availability zone, if all zones have equal numbers of
// workers.
func (a *Answers) zoneShare(percent int) config.Size {
	scale := float64(a.Workers.Count) * float64(percent) / 100 / float64(len(a.Zones))
	return config.Size{
		Cores:        math.Round(scale*a.Workers.Cores*10) / 10,
		MemoryMB:     int64(scale * float64(a.Workers.MemoryMB)),
		Accelerators: int(scale * float64(a.Workers.Accelerators)),
	}
}

// quota returns the resources that are guaranteed to a team in each availability zone.
func (a *Answers) quota(t *Team) derived[config.Size] {
	return derivedFrom(a.zoneShare(t.Share), "share_percent: %d of %d workers in %d availability zones", t.Share, a.Workers.Count, len(a.Zones))
}

// teamRate returns the maximum number of requests per second of a team at each entry instance.
func (a *Answers) teamRate(t *Team) derived[float64] {
	return derivedFrom(t.PeakRate*a.Bursts.Factor, "peak_requests_per_second: %g, times bursts.factor: %g", t.PeakRate, a.Bursts.Factor)
}

// teamBurst returns the number of requests that a team may send at once, one second of requests at the peak rate.
func (a *Answers) teamBurst(t *Team) derived[int] {
	return derivedFrom(int(math.Ceil(t.PeakRate*a.Bursts.Factor)), "one second at requests_per_second")
}

// callerRate returns the maximum number of requests per second of each caller at each entry instance. It is the peak rate of the busiest team, so
// that a single caller can send all requests of its team.
func (a *Answers) callerRate() derived[float64] {
	peak := 0.0
	for _, t := range a.Teams {
		peak = max(peak, t.PeakRate)
	}
	return derivedFrom(max(peak*a.Bursts.Factor, minRequestsPerCaller), "largest peak_requests_per_second: %g, times bursts.factor: %g", peak, a.Bursts.Factor)
}

// queuedTasks returns the maximum number of queued tasks of an entry instance: the number of tasks that its share of the
// slots can run within the maximum wait, times the burst factor, because the load balancer may send one instance far more
// than its share of the requests.
func (a *Answers) queuedTasks() derived[int] {
	slots := float64(a.Workers.Count*a.Workers.Slots) / float64(a.EntryInstances)
	wait := a.maxWait().value
	n := slots * wait.Seconds() / a.typicalRunTime().Seconds() * a.Bursts.Factor
	minimum := float64(minQueueJobs * config.Default().Limits.TasksPerJob)
	n = min(max(n, minimum), maxQueuedTasks)
	return derivedFrom(int(n), "%d workers with %d slots, %d entry_instances, median run_time: %s, max_wait: %s, bursts.factor: %g",
		a.Workers.Count, a.Workers.Slots, a.EntryInstances, a.typicalRunTime(), wait, a.Bursts.Factor)
}

// typicalRunTime returns the median of the services' run times.
func (a *Answers) typicalRunTime() time.Duration {
	var times []time.Duration
	for _, s := range a.Services {
		times = append(times, s.RunTime)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}

// shortReserve returns the fraction of the slots that long tasks may not use. It increases with the percentage of long
// work, because short tasks wait more often if there are more long ones.
func (a *Answers) shortReserve() derived[float64] {
	v := shortReserves[a.TopPriority] + float64(a.LongWorkPercent)/100
	v = math.Round(min(v, maxShortReserve)*100) / 100
	return derivedFrom(v, "top_priority: %s, long_work_percent: %d", a.TopPriority, a.LongWorkPercent)
}

// shortThreshold returns the run time above which a task counts as long.
func (a *Answers) shortThreshold() derived[time.Duration] {
	typical := a.typicalRunTime()
	return derivedFrom(min(max(longTaskFactor*typical, minShortThreshold), maxDeadline), "%d times the median run_time: %s", longTaskFactor, typical)
}

// safetyFactor returns the factor by which admission multiplies expected waits and run times.
func (a *Answers) safetyFactor() derived[float64] {
	for _, s := range a.Services {
		if s.Late == HarmCostly || s.Late == HarmDangerous {
			return derivedFrom(cautiousSafetyFactor, "late: %s for %s", s.Late, s.Name)
		}
	}
	return derivedFrom(1.0, "late: no service above %s", HarmNuisance)
}

func (a *Answers) maxWait() derived[time.Duration] {
	return a.beforeClosing(derivedFrom(maxWaits[a.TopPriority], "top_priority: %s", a.TopPriority))
}

// maxDrain returns the bound on the time for which a burst delays jobs after its end. With priority crest it is the longest
// queue that is gone within 2 s at a load of 30%. With other priorities it is longer, because it is better that jobs wait
// than that they are refused and submitted again.
func (a *Answers) maxDrain() derived[time.Duration] {
	v := defaultMaxDrain
	if a.TopPriority == priorityCrest {
		v = crestMaxDrain
	}
	return a.beforeClosing(derivedFrom(v, "top_priority: %s", a.TopPriority))
}

// spill returns whether tasks may be delegated to other availability zones.
func (a *Answers) spill() derived[bool] {
	return derivedFrom(len(a.Zones) > 1, "zones: %d", len(a.Zones))
}

// answerRetention returns the time for which answers are kept. It is longer if a lost answer does harm, so that callers
// have more time to ask again.
func (a *Answers) answerRetention() derived[time.Duration] {
	for _, s := range a.Services {
		if s.Lost == HarmCostly || s.Lost == HarmDangerous {
			return derivedFrom(longAnswerRetention, "lost: %s for %s", s.Lost, s.Name)
		}
	}
	return derivedFrom(time.Minute, "lost: no service above %s", HarmNuisance)
}
