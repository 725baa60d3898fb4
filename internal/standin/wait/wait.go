// Package wait lets tests wait for a condition instead of a fixed time.
package wait

import (
	"testing"
	"time"
)

const (
	// timeout is reached only by a test that fails; no test depends on its value.
	timeout      = 30 * time.Second
	pollInterval = 2 * time.Millisecond
)

// For polls the function holds until it returns true. If that takes longer than timeout, For fails the test with a message
// that contains condition, which describes what the test waits for.
func For(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", condition)
}
