package gateway

import (
	"testing"
	"time"
)

// Guards against an instance that says that it attends to its callers while a close of which its event loop has told the gateway waits for the
// gateway's lock: the dispatcher has no cancel yet.
func TestCloseThatTheGatewayHasNotHandled(t *testing.T) {
	f := start(t, time.Minute)
	caller := f.submit("a")
	f.mu.Lock()
	caller.Close()
	closed := time.Now()
	time.Sleep(300 * time.Millisecond)
	f.mu.Unlock()
	age, claim, cancelled := time.Since(closed), f.Unattended(), f.isCancelled("a")
	if !cancelled && claim < age {
		t.Errorf("a close of %v ago has led to no cancel, but the callers count as unattended for only %v", age, claim)
	}
	f.eventually("the job is cancelled", func() bool { return f.isCancelled("a") })
}
