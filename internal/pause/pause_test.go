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
