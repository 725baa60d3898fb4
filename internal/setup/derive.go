package setup

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/savorypass/savorypass/internal/config"
)

const (
	priorityCrest     = "crest"
	priorityShortWork = "short_work"
	priorityBalanced  = "balanced"
)

// Deadlines by urgency: an emergency call is repeated after ten seconds, a customer at a counter leaves after half a
// minute, and everything else only has to end within a few minutes.
var deadlines = map[string]time.Duration{
	UrgencyNow: 10 * time.Second, UrgencyWaiting: 30 * time.Second, UrgencyToday: 5 * time.Minute,
}

// Reserves by priority: the part of the slots that long tasks never take, before the share of long work is looked at.
// At the crest of a burst a large reserve would keep slots idle that the backlog of long work needs.
var reserves = map[string]float64{priorityCrest: 0.1, priorityBalanced: 0.2, priorityShortWork: 0.4}

// maxWaits bounds the wait by priority. A burst's backlog must be gone 2 s after it, so at the crest less is queued.
var maxWaits = map[string]time.Duration{
	priorityCrest: 10 * time.Second, priorityBalanced: 30 * time.Second, priorityShortWork: 30 * time.Second,
}

const (
	maxReserve         = 0.6 // more would leave long work too few slots to keep up
	shortFactor        = 4   // a task is long from this multiple of the typical run time on
	minShortThreshold  = 100 * time.Millisecond
	crestDrain         = 700 * time.Millisecond
	waitingDrain       = 10 * time.Second
	minQueueJobs       = 100 // the queue holds at least this many jobs of full size
	maxQueuedTasks     = 1_000_000
	costlyRetention    = 5 * time.Minute
	cautiousAdmission  = 1.2 // refuse a fifth earlier where a late answer does harm: a true refusal beats a late answer
	minRequestsPerPeer = 10
)

// value is a derived value together with the answers that it came from.
type value[T any] struct {
	V    T
	From string
}

func from[T any](v T, format string, args ...any) value[T] {
	for i, arg := range args {
		if d, ok := arg.(time.Duration); ok {
			args[i] = config.ShortDuration(d)
		}
	}
	return value[T]{v, fmt.Sprintf(format, args...)}
}

func (a *Answers) idempotent(s *Service) value[bool] {
	return from(s.Doubled == HarmNone, "doubled: %s", s.Doubled)
}

// deadline is the urgency's, long enough for the task itself, and ends before closing time.
func (a *Answers) deadline(s *Service) value[time.Duration] {
	v := from(deadlines[s.Urgency], "urgency: %s", s.Urgency)
	if least := 2 * s.RunTime; least > v.V {
		v = from(least, "twice run_time: %s, above the urgency's", s.RunTime)
	}
	if s.Late == HarmDangerous && s.Urgency != UrgencyNow {
		v = from(max(v.V/2, 2*s.RunTime), "urgency: %s, halved by late: %s", s.Urgency, s.Late)
	}
	return a.beforeClosing(v)
}

// maxDeadline keeps callers from asking for more than can end before closing time.
func (a *Answers) maxDeadline() value[time.Duration] {
	return a.beforeClosing(from(maxDeadline, "longest that the schema allows"))
}

func (a *Answers) beforeClosing(v value[time.Duration]) value[time.Duration] {
	if limit := a.deadlineLimit(); v.V > limit && !a.Closing.NightShift {
		return from(limit, "%s, bounded by closing.last_request: %s", v.From, limit)
	}
	v.V = min(v.V, maxDeadline)
	return v
}

func (a *Answers) maxRunTime(s *Service) value[time.Duration] {
	return a.beforeClosing(from(s.Longest, "longest_run_time: %s", s.Longest))
}

// part returns a percentage of all workers' resources in one availability zone.
func (a *Answers) part(percent int) config.Size {
	scale := float64(a.Workers.Count) * float64(percent) / 100 / float64(len(a.Zones))
	return config.Size{
		Cores:        math.Round(scale*a.Workers.Cores*10) / 10,
		MemoryMB:     int64(scale * float64(a.Workers.MemoryMB)),
		Accelerators: int(scale * float64(a.Workers.Accelerators)),
	}
}

func (a *Answers) quota(t *Team) value[config.Size] {
	return from(a.part(t.Share), "share_percent: %d of %d workers in %d availability zones", t.Share, a.Workers.Count, len(a.Zones))
}

func (a *Answers) rate(t *Team) value[float64] {
	return from(t.PeakRate*a.Bursts.Factor, "peak_requests_per_second: %g, times bursts.factor: %g", t.PeakRate, a.Bursts.Factor)
}

// burst lets a second's worth of the peak come at once.
func (a *Answers) burst(t *Team) value[int] {
	return from(int(math.Ceil(t.PeakRate*a.Bursts.Factor)), "one second of the rate above")
}

func (a *Answers) callerRate() value[float64] {
	peak := 0.0
	for _, t := range a.Teams {
		peak = max(peak, t.PeakRate)
	}
	return from(max(peak*a.Bursts.Factor, minRequestsPerPeer), "largest peak_requests_per_second: %g, times bursts.factor: %g", peak, a.Bursts.Factor)
}

// queuedTasks is what one instance's part of the slots can work off within the longest wait, times the burst's factor,
// because the load balancer may send one instance far more than its part.
func (a *Answers) queuedTasks() value[int] {
	slots := float64(a.Workers.Count*a.Workers.Slots) / float64(a.EntryInstances)
	wait := a.maxWait().V
	n := slots * wait.Seconds() / a.typicalRunTime().Seconds() * a.Bursts.Factor
	least := float64(minQueueJobs * config.Default().Limits.TasksPerJob)
	n = min(max(n, least), maxQueuedTasks)
	return from(int(n), "%d workers of %d slots, %d entry_instances, median run_time: %s, max_wait: %s, bursts.factor: %g",
		a.Workers.Count, a.Workers.Slots, a.EntryInstances, a.typicalRunTime(), wait, a.Bursts.Factor)
}

// typicalRunTime is the median over the services.
func (a *Answers) typicalRunTime() time.Duration {
	var times []time.Duration
	for _, s := range a.Services {
		times = append(times, s.RunTime)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}

// shortReserve grows with the share of long work, since more of it is in the way of short work.
func (a *Answers) shortReserve() value[float64] {
	v := reserves[a.TopPriority] + float64(a.LongWorkPercent)/100
	v = math.Round(min(v, maxReserve)*100) / 100
	return from(v, "top_priority: %s, long_work_percent: %d", a.TopPriority, a.LongWorkPercent)
}

func (a *Answers) shortThreshold() value[time.Duration] {
	typical := a.typicalRunTime()
	return from(min(max(shortFactor*typical, minShortThreshold), maxDeadline), "%d times the median run_time: %s", shortFactor, typical)
}

func (a *Answers) safety() value[float64] {
	for _, s := range a.Services {
		if s.Late == HarmCostly || s.Late == HarmDangerous {
			return from(cautiousAdmission, "late: %s of %s", s.Late, s.Name)
		}
	}
	return from(1.0, "late: no service above %s", HarmNuisance)
}

func (a *Answers) maxWait() value[time.Duration] {
	return a.beforeClosing(from(maxWaits[a.TopPriority], "top_priority: %s", a.TopPriority))
}

// maxDrain bounds how long a burst is felt after its end. Where the crest matters most it is the largest queue that
// is gone within 2 s at a load of 30%; elsewhere jobs rather wait than come again.
func (a *Answers) maxDrain() value[time.Duration] {
	v := waitingDrain
	if a.TopPriority == priorityCrest {
		v = crestDrain
	}
	return a.beforeClosing(from(v, "top_priority: %s", a.TopPriority))
}

func (a *Answers) spill() value[bool] {
	return from(len(a.Zones) > 1, "zones: %d", len(a.Zones))
}

// answerRetention gives callers more time to ask again where a lost answer does harm.
func (a *Answers) answerRetention() value[time.Duration] {
	for _, s := range a.Services {
		if s.Lost == HarmCostly || s.Lost == HarmDangerous {
			return from(costlyRetention, "lost: %s of %s", s.Lost, s.Name)
		}
	}
	return from(time.Minute, "lost: no service above %s", HarmNuisance)
}
