package sched

import "time"

// Bounds limits which jobs are admitted. Zero values mean no limit; MinRetryAfter and MaxRetryAfter have defaults.
type Bounds struct {
	MaxQueued     int           // tasks in the queue
	MaxWait       time.Duration // expected wait of the job, also if its deadline allows more
	MaxDrain      time.Duration // time until all queued tasks have started; bounds the delay after a burst
	MinRetryAfter time.Duration // shortest time to the next attempt, before the random part; default 100 ms
	MaxRetryAfter time.Duration // longest time to the next attempt; default 10 s
}

// Reason is the reason why a job is refused, or Admitted.
type Reason int

// The reasons for a refusal, and Admitted.
const (
	Admitted    Reason = iota
	NoFit              // no worker is large enough for one of the tasks
	NoSlots            // no worker is usable at present
	QueueFull          // MaxQueued would be exceeded
	TooLate            // the job is expected to end after its deadline
	WaitTooLong        // the expected wait exceeds MaxWait
	Backlogged         // the queued work takes longer than MaxDrain to start
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"admitted", "no fit", "no slots", "queue full", "too late", "wait too long", "backlogged"}[r]
}

// Verdict is the decision on a job.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // time to wait before the next attempt; 0 if admitted or if the job can never be admitted
}

// OK reports whether the job is admitted.
func (v Verdict) OK() bool { return v.Reason == Admitted }

// waitMargin is the safety margin on the expected wait for slots, as a share of it. One accepted job in ten waits more
// than 1.3 times the estimate, and a large job that misses its deadline has used its slots for nothing: without a
// margin, 9% of the capacity was lost that way in the offline experiment.
const waitMargin = 0.4

const (
	defaultMinRetryAfter = 100 * time.Millisecond
	defaultMaxRetryAfter = 10 * time.Second
)

// Admit decides whether to accept a job of the given number of tasks. A zero deadline means none. random returns values
// in [0,1); it spreads RetryAfter over a factor of 3, so that refused callers do not all retry at the same moment.
func Admit(now time.Time, e Estimate, tasks int, deadline time.Time, b Bounds, random func() float64) Verdict {
	if !e.Feasible {
		return Verdict{Reason: NoFit}
	}
	reason, excess := judge(now, e, tasks, deadline, b)
	if reason == Admitted {
		return Verdict{}
	}
	return Verdict{Reason: reason, RetryAfter: b.retryAfter(excess, random)}
}

// judge returns the reason and, for a refusal, how long to wait until the job would be admitted.
func judge(now time.Time, e Estimate, tasks int, deadline time.Time, b Bounds) (Reason, time.Duration) {
	if e.Slots <= 0 {
		return NoSlots, time.Second
	}
	if b.MaxQueued > 0 && e.Queued > 0 && e.Queued+tasks > b.MaxQueued {
		excessTasks := e.Queued + tasks - b.MaxQueued
		return QueueFull, time.Duration(float64(e.Drain) * min(1, float64(excessTasks)/float64(e.Queued)))
	}
	if b.MaxWait > 0 && e.Wait > b.MaxWait {
		return WaitTooLong, e.Wait - b.MaxWait
	}
	// A job that is served ahead of the queue neither waits for it nor adds much to it, so it is admitted. When such
	// jobs were refused, small jobs were retried many times at 95% load.
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

// retryAfter returns the time to the next attempt for a job that could be admitted after excess.
func (b Bounds) retryAfter(excess time.Duration, random func() float64) time.Duration {
	shortest, longest := b.MinRetryAfter, b.MaxRetryAfter
	if shortest <= 0 {
		shortest = defaultMinRetryAfter
	}
	if longest <= 0 {
		longest = defaultMaxRetryAfter
	}
	base := max(shortest, min(excess, longest/3))
	return base + time.Duration(2*random()*float64(base))
}
