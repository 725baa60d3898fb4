package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals on an idle system, wrong reasons, and retry times so close together that all refused callers
// retry at once.
func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	idle := Estimate{Feasible: true, Slots: 8, FreeSlots: 8, Run: time.Second}
	busy := Estimate{Feasible: true, Slots: 8, Queued: 100, Wait: 2 * time.Second, Run: time.Second, Drain: 4 * time.Second}
	for _, c := range []struct {
		e        Estimate
		tasks    int
		deadline time.Duration
		b        Bounds
		want     Reason
	}{
		{idle, 1, time.Second, Bounds{MaxQueued: 1}, Admitted},
		{idle, 160, time.Second, Bounds{MaxQueued: 100}, Admitted},
		{idle, 1, 900 * time.Millisecond, Bounds{}, TooLate},
		{busy, 1, 0, Bounds{}, Admitted},
		{busy, 1, 4 * time.Second, Bounds{}, Admitted},
		{busy, 1, 3500 * time.Millisecond, Bounds{}, TooLate},
		{busy, 1, 0, Bounds{MaxQueued: 100}, QueueFull},
		{busy, 1, 0, Bounds{MaxWait: time.Second}, WaitTooLong},
		{busy, 1, 0, Bounds{MaxDrain: time.Second}, Backlogged},
		{Estimate{Feasible: true, Slots: 8, Queued: 100, Wait: 100 * time.Millisecond, Run: time.Second, Drain: 4 * time.Second}, 1, 0, Bounds{MaxDrain: time.Second}, Admitted},
		{Estimate{Slots: 8}, 1, 0, Bounds{}, NoFit},
		{Estimate{Feasible: true}, 1, 0, Bounds{}, NoSlots},
	} {
		is := is.New(t)
		deadline := time.Time{}
		if c.deadline > 0 {
			deadline = now.Add(c.deadline)
		}
		low := Admit(now, c.e, c.tasks, deadline, c.b, func() float64 { return 0 })
		high := Admit(now, c.e, c.tasks, deadline, c.b, func() float64 { return 0.999 })
		is.Equal(low.Reason, c.want)
		if c.want != Admitted && c.want != NoFit {
			is.True(low.RetryAfter >= defaultMinRetryAfter)
			is.True(high.RetryAfter > 2*low.RetryAfter && high.RetryAfter <= defaultMaxRetryAfter)
		}
	}
}
