// Package wait lets tests wait for a state instead of a time.
package wait

import (
	"testing"
	"time"
)

const (
	// limit only ends a test that has failed; no test depends on it.
	limit = 30 * time.Second
	pause = 2 * time.Millisecond
)

// For waits until a state holds that is sure to come, or ends the test.
func For(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		if holds() {
			return
		}
	}
	t.Fatalf("did not come: %s", what)
}
