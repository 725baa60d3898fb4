// Package pause waits for a time that can end early, once or at an interval.
package pause

import (
	"context"
	"time"
)

// For returns when d has passed, ctx has ended or a value has arrived on wake, which may be nil. It does not wait if d is not
// positive.
func For(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}

// Every calls f at an interval until ctx ends, first after one interval. A call that takes longer than the interval delays the
// next one.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
