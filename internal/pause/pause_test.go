package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a loop that spins because its pause ends at once, and against one that goes on after its context has ended or
// is not woken. The clock is virtual.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		waited := func(ctx context.Context, d time.Duration, wake <-chan struct{}) time.Duration {
			begun := time.Now()
			For(ctx, d, wake)
			return time.Since(begun)
		}
		is.Equal(waited(t.Context(), time.Second, nil), time.Second)
		is.Equal(waited(t.Context(), -time.Second, nil), time.Duration(0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.Equal(waited(ctx, time.Second, nil), time.Millisecond)
		wake := make(chan struct{}, 1)
		wake <- struct{}{}
		is.Equal(waited(t.Context(), time.Second, wake), time.Duration(0))
	})
}

// Guards against checks that are made at once or too rarely, and against a loop that outlives its context. The clock is virtual.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		var calls []time.Duration
		Every(ctx, time.Second, func() { calls = append(calls, time.Since(begun)) })
		is.Equal(calls, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second})
		is.Equal(time.Since(begun), 3500*time.Millisecond)
	})
}
