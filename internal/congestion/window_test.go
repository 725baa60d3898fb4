package congestion

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// use sends requests through a window as long as it admits them at once, and returns how many it admitted.
func use(w *Window) int {
	n := 0
	for {
		s := w.Status()
		if s.InFlight >= s.Size {
			return n
		}
		w.Acquire()
		n++
	}
}

// respond ends a number of requests that took a time each.
func respond(w *Window, n int, took time.Duration) {
	for range n {
		w.Release(took, true)
	}
}

// lose records so many lost requests that the shortest timeout is in force.
func lose(w *Window) {
	for range 20 {
		w.Lost()
	}
}

// Guards against timeouts of a busy instance that are shorter than its delays, so that runs are stopped that have started, and
// against long timeouts while requests are being lost.
func TestShortTimeoutsOnlyWhileRequestsAreLost(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 100 {
		w.Acquire()
		w.Release(2*time.Millisecond, true)
	}
	is.Equal(w.Timeout(), maxFloor)
	lose(w)
	is.Equal(w.Timeout(), minFloor)
	for range 3 {
		w.Late()
	}
	is.Equal(w.Timeout(), maxFloor)
}

// Guards against a queue on a congested link: when most responses are late, fewer requests may be in flight, until they come in
// time again.
func TestWindowFollowsTheLink(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 20 {
		respond(w, use(w), 100*time.Millisecond)
	}
	is.Equal(w.Status().Size, int(minSize))
	for range 100 {
		respond(w, use(w), 2*time.Millisecond)
	}
	is.Equal(w.Status().Size, int(maxSize))
}

// Guards against a window that a few slow or silent endpoints make small, although the link is free.
func TestSlowEndpointsDoNotShrinkTheWindow(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 40 {
		n := use(w)
		respond(w, n/4, 100*time.Millisecond)
		respond(w, n-n/4, 2*time.Millisecond)
	}
	is.True(w.Status().Size >= int(initialSize))
}

// Guards against a window that grows while little is sent, so that the next burst fills the link's queue.
func TestWindowGrowsOnlyWhenUsed(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 1000 {
		w.Acquire()
		w.Release(time.Millisecond, true)
	}
	is.Equal(w.Status().Size, int(initialSize))
}

// Guards against requests that wait although the window has capacity, and against requests that overtake each other.
func TestRequestsAreAdmittedInOrder(t *testing.T) {
	is := is.New(t)
	w := New()
	n := use(w)
	order := make(chan int, 2)
	for i := range 2 {
		go func() {
			w.Acquire()
			order <- i
		}()
		for w.Status().Waiting <= i {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(len(order), 0)
	w.Forgo()
	is.Equal(<-order, 0)
	w.Release(time.Millisecond, true)
	is.Equal(<-order, 1)
	is.Equal(w.Status().InFlight, n)
}

// Guards against timeouts that a congested link exceeds, against timeouts that come near the length of a lease, and against
// tasks that wait long for the answer to a lost request although the link is free.
func TestTimeoutFollowsTheResponseTimes(t *testing.T) {
	is := is.New(t)
	w := New()
	lose(w)
	is.Equal(w.Timeout(), 60*time.Millisecond)
	answer := func(n int, took time.Duration) {
		for range n {
			w.Acquire()
			timeout := w.Timeout()
			w.Release(min(took, timeout), took < timeout)
		}
	}
	answer(100, 2*time.Millisecond)
	is.Equal(w.Timeout(), minFloor)
	answer(30, 100*time.Millisecond) // the link is congested: requests time out until the timeouts have grown
	is.True(w.Timeout() > 100*time.Millisecond)
	answer(100, time.Second)
	is.Equal(w.Timeout(), maxTimeout)
	answer(100, 2*time.Millisecond)
	is.Equal(w.Timeout(), minFloor)
}

// Guards against timeouts that many lost requests make long, although the others are answered at once.
func TestLostRequestsDoNotLengthenTimeouts(t *testing.T) {
	is := is.New(t)
	w := New()
	lose(w)
	for range 200 {
		for i := range 10 {
			lost := i%4 == 0
			took := 2 * time.Millisecond
			if lost {
				took = w.Timeout()
			}
			w.Acquire()
			w.Release(took, !lost)
		}
	}
	is.Equal(w.Timeout(), minFloor)
}
