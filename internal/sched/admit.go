package sched

import "time"

// Bounds limits what is admitted. Zero values mean no limit, except for the hints, which have defaults.
type Bounds struct {
	MaxQueued     int           // tasks in the queue
	MaxWait       time.Duration // expected wait of the job, whatever its deadline
	MaxDrain      time.Duration // time that the queued work may take to start; bounds how long a burst is felt after its end
	MinRetryAfter time.Duration // shortest retry hint; default 100 ms
	MaxRetryAfter time.Duration // longest retry hint; default 10 s
}

// Reason tells why a job is refused.
type Reason int

// The reasons for a refusal.
const (
	Admitted    Reason = iota
	NoFit              // no worker is large enough for one of the tasks
	NoSlots            // there are no usable workers at present
	QueueFull          // the queue bound is exceeded
	TooLate            // the expected end is after the deadline
	WaitTooLong        // the expected wait exceeds the bound
	Backlogged         // the queued work exceeds the bound
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"admitted", "no fit", "no slots", "queue full", "too late", "wait too long", "backlogged"}[r]
}

// Verdict is the decision on a job.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // when to come back; 0 if coming back cannot help
}

// OK reports whether the job is admitted.
func (v Verdict) OK() bool { return v.Reason == Admitted }

// waitMargin is added to the time that a job waits for slots, as a share of it. One accepted job in ten waits more than
// 1.3 times the estimate, and a large job that ends late has used slots in vain: without a margin, 9% of the capacity
// was lost that way in the offline experiment.
const waitMargin = 0.4

const (
	defaultMinHint = 100 * time.Millisecond
	defaultMaxHint = 10 * time.Second
)

// Admit decides on a job of the given number of tasks. A zero deadline means none. random returns values in [0,1); it
// spreads the retry hints over a factor of 3, so that refused callers do not return at the same moment.
func Admit(now time.Time, e Estimate, tasks int, deadline time.Time, b Bounds, random func() float64) Verdict {
	if !e.Feasible {
		return Verdict{Reason: NoFit}
	}
	reason, excess := judge(now, e, tasks, deadline, b)
	if reason == Admitted {
		return Verdict{}
	}
	return Verdict{Reason: reason, RetryAfter: b.hint(excess, random)}
}

// judge returns the reason and by how much the job is too early.
func judge(now time.Time, e Estimate, tasks int, deadline time.Time, b Bounds) (Reason, time.Duration) {
	if e.Slots <= 0 {
		return NoSlots, time.Second
	}
	if b.MaxQueued > 0 && e.Queued > 0 && e.Queued+tasks > b.MaxQueued {
		over := e.Queued + tasks - b.MaxQueued
		return QueueFull, time.Duration(float64(e.Drain) * min(1, float64(over)/float64(e.Queued)))
	}
	if b.MaxWait > 0 && e.Wait > b.MaxWait {
		return WaitTooLong, e.Wait - b.MaxWait
	}
	// A job that is served ahead of the queue does not wait for it and adds little to it; refusing it made small jobs
	// come back many times at 95% load.
	if b.MaxDrain > 0 && e.Drain > b.MaxDrain && e.Wait+e.Spread > b.MaxDrain {
		return Backlogged, e.Drain - b.MaxDrain
	}
	if !deadline.IsZero() {
		waiting := e.Wait + e.Spread
		late := waiting + time.Duration(waitMargin*float64(waiting)) + e.Run - e.Spread - deadline.Sub(now)
		if late > 0 {
			return TooLate, min(late, e.Drain)
		}
	}
	return Admitted, 0
}

func (b Bounds) hint(excess time.Duration, random func() float64) time.Duration {
	shortest, longest := b.MinRetryAfter, b.MaxRetryAfter
	if shortest <= 0 {
		shortest = defaultMinHint
	}
	if longest <= 0 {
		longest = defaultMaxHint
	}
	base := max(shortest, min(excess, longest/3))
	return base + time.Duration(2*random()*float64(base))
}
