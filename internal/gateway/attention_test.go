package gateway

import (
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/work"
)

// connect opens a caller's connection and sends raw bytes on it.
func (f *fixture) connect(raw string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.server.Address())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	if _, err := c.Write([]byte(raw)); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// submit submits a job and returns its caller's connection once a dispatcher has the job.
func (f *fixture) submit(id string) net.Conn {
	f.t.Helper()
	n := len(f.router.sent())
	c := f.connect("POST /p/" + id + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n\r\njob")
	f.eventually("the job is submitted", func() bool { return len(f.router.sent()) > n })
	return c
}

// holdLoop holds the event loop, outside of the gateway, until the returned function is called.
func (f *fixture) holdLoop() (release func()) {
	f.t.Helper()
	held, released := make(chan struct{}), make(chan struct{})
	hold := func() {
		close(held)
		<-released
	}
	f.onRefusal.Store(&hold)
	f.connect("NONSENSE\r\n\r\n")
	<-held
	f.onRefusal.Store(nil)
	release = sync.OnceFunc(func() { close(released) })
	f.t.Cleanup(release)
	return release
}

func (f *fixture) isCancelled(id work.JobID) bool {
	return slices.Contains(f.router.cancelledJobs(), id)
}

// Guards against an instance that says that it attends to its callers while its event loop does not get to a closed connection, although it
// works on no request.
func TestCloseThatTheEventLoopHasNotSeen(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	caller := f.submit("a")
	release := f.holdLoop()
	caller.Close()
	closed := time.Now()
	for time.Since(closed) < 200*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		age, claim := time.Since(closed), f.Unattended()
		if claim < age && !f.isCancelled("a") {
			t.Fatalf("a close of %v ago is not handled, but the callers count as unattended for only %v", age, claim)
		}
	}
	is.True(f.isCancelled("a")) // while the event loop is held
	release()
	f.eventually("the callers are attended to", func() bool { return f.Unattended() < 50*time.Millisecond })
}

// Guards against an instance that says that it attends to its callers when its event loop has seen a close, but the job is not cancelled
// yet: the goroutine that cancels it has not got the gateway's lock, which is free, or the processor.
func TestCloseThatIsNotHandledYet(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	caller := f.submit("a")
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the goroutine that waits for the lock does not run before this one pauses
	f.mu.Lock()
	caller.Close()
	closed := time.Now()
	f.eventually("the event loop sees the close", func() bool { return f.server.Connections() == 0 })
	time.Sleep(200 * time.Millisecond) // longer than a loop that turns is behind
	age := time.Since(closed)
	f.mu.Unlock()
	claim := f.Unattended()
	if claim < age && !f.isCancelled("a") {
		t.Fatalf("a close of %v ago is not handled, but the callers count as unattended for only %v", age, claim)
	}
	f.eventually("the job is cancelled", func() bool { return f.isCancelled("a") })
	f.eventually("the callers are attended to", func() bool { return f.Unattended() < 50*time.Millisecond })
	is.Equal(f.Active(), 0)
}

// Guards against an instance that says that it attends to its callers while other goroutines keep its event loop, and the goroutines that
// cancel jobs, from the processor. The kernel may deliver a close after the caller's call has returned, hence the tolerance.
func TestClaimOfAStarvedInstance(t *testing.T) {
	const (
		processors = 2
		busy       = 40 // goroutines; each keeps a processor for about 10 ms
		callers    = 4
		tolerance  = 50 * time.Millisecond
	)
	f := start(t, time.Minute)
	var conns []net.Conn
	for i := range callers {
		conns = append(conns, f.submit(fmt.Sprint("job", i)))
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
	done := make(chan struct{})
	var all sync.WaitGroup
	for range busy {
		all.Go(func() {
			for spin := true; spin; {
				select {
				case <-done:
					spin = false
				default:
				}
			}
		})
	}
	defer all.Wait()
	defer close(done)
	for i, c := range conns {
		id := work.JobID(fmt.Sprint("job", i))
		c.Close()
		closed := time.Now()
		for !f.isCancelled(id) && !t.Failed() {
			age, claim := time.Since(closed), f.Unattended()
			if claim+tolerance < age && !f.isCancelled(id) {
				t.Errorf("a close of %v ago is not handled, but the callers count as unattended for only %v", age, claim)
			}
		}
	}
}
