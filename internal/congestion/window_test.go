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
		w.Release("path", took, true)
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
		w.Release("path", 2*time.Millisecond, true)
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
		respond(w, use(w), 2*time.Millisecond)
	}
	is.True(w.Status().Size > int(initialSize))
	for range 20 {
		respond(w, use(w), 100*time.Millisecond)
	}
	is.Equal(w.Status().Size, int(minSize))
	for range 100 {
		respond(w, use(w), 2*time.Millisecond)
	}
	is.Equal(w.Status().Size, int(maxSize))
}

// Guards against a long path that counts as congested: responses that always take long say nothing about a queue.
func TestDistanceIsNotCongestion(t *testing.T) {
	for _, took := range []time.Duration{10 * time.Millisecond, 24 * time.Millisecond, 80 * time.Millisecond} {
		is := is.New(t)
		w := New()
		for range 100 {
			respond(w, use(w), took)
		}
		is.Equal(w.Status().Size, int(maxSize))
	}
}

// Guards against a far or slow part of the endpoints that makes the window small for the others, and against bases that are mixed up
// between paths.
func TestFarPathsDoNotShrinkTheWindow(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 100 {
		n := use(w)
		for i := range n {
			if i%4 == 0 {
				w.Release("near", time.Millisecond, true)
			} else {
				w.Release("far", 80*time.Millisecond, true)
			}
		}
	}
	is.Equal(w.Status().Size, int(maxSize))
}

// Guards against a window that stays small for good when all paths have become longer, as after a change of the route.
func TestWindowRecoversFromLongerPaths(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 20 {
		respond(w, use(w), 2*time.Millisecond)
	}
	for range 200 {
		respond(w, use(w), 60*time.Millisecond)
	}
	is.Equal(w.Status().Size, int(maxSize))
}

// queue is a link that delivers one request a service time, behind a path of a length.
type queue struct{ path, service time.Duration }

// round sends a full window through the link and returns the longest response time.
func (q queue) round(w *Window) time.Duration {
	n := use(w)
	for i := range n {
		w.Release("path", q.path+time.Duration(i+1)*q.service, true)
	}
	return q.path + time.Duration(n)*q.service
}

// Guards against a window that keeps a queue on a link because the base was learned while the link was congested, and against one that
// is too small for the link: it holds what the link carries in a round trip and minQueueDelay more, within a factor.
func TestWindowFitsTheLink(t *testing.T) {
	for _, q := range []queue{
		{2 * time.Millisecond, 8 * time.Millisecond}, {24 * time.Millisecond, 2 * time.Millisecond}, {80 * time.Millisecond, time.Millisecond},
	} {
		is := is.New(t)
		w := New()
		for range 10 {
			w.Acquire()
			w.Release("path", q.path+10*q.service, true) // a queue stands when the instance starts
		}
		longest := time.Duration(0)
		for i := range 300 {
			if took := q.round(w); i > 100 {
				longest = max(longest, took)
			}
		}
		is.True(longest <= 3*(q.path+minQueueDelay)+q.service)
		is.True(w.Status().Size >= int(minSize) && float64(w.Status().Size) >= 0.5*float64(q.path)/float64(q.service))
	}
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

// Guards against a window that never grows while requests wait all the time: those that are admitted late use it up like the others.
func TestWindowGrowsWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	w := New()
	use(w)
	const waiting = 400
	for i := range waiting {
		go w.Acquire()
		for w.Status().Waiting <= i {
			time.Sleep(10 * time.Microsecond)
		}
	}
	for w.Status().Waiting > 0 {
		w.Release("path", time.Millisecond, true)
	}
	is.True(w.Status().Size > 2*int(initialSize))
}

// Guards against a window that grows while little is sent, so that the next burst fills the link's queue.
func TestWindowGrowsOnlyWhenUsed(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 1000 {
		w.Acquire()
		w.Release("path", time.Millisecond, true)
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
	w.Release("path", time.Millisecond, true)
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
			w.Release("path", min(took, timeout), took < timeout)
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
			w.Release("path", took, !lost)
		}
	}
	is.Equal(w.Timeout(), minFloor)
}

// Guards against a window and timeouts that follow lost requests: more than half of the requests are lost on a free link, as when endpoints leave
// requests unanswered, and no start may wait for the others.
func TestLostRequestsAreNotCongestion(t *testing.T) {
	is := is.New(t)
	w := New()
	lose(w)
	sent := 0
	for range 100 {
		timeout := w.Timeout()
		for range use(w) {
			sent++
			if sent%8 < 5 {
				w.Release("path", timeout, false)
			} else {
				w.Release("path", 2*time.Millisecond, true)
			}
		}
	}
	is.Equal(w.Status().Size, int(maxSize))
	is.Equal(w.Timeout(), minFloor)
}

// Guards against a window that grows on a congested link because the requests that time out there are left out: the responses that
// come in time are late too.
func TestTimeoutsOfACongestedLinkShrinkTheWindow(t *testing.T) {
	is := is.New(t)
	w := New()
	for range 20 {
		respond(w, use(w), 2*time.Millisecond)
	}
	for range 40 {
		for i := range use(w) {
			w.Release("path", 50*time.Millisecond, i%2 == 0)
		}
	}
	is.Equal(w.Status().Size, int(minSize))
	for range 40 {
		for range use(w) {
			w.Release("path", w.Timeout(), false)
		}
	}
	is.Equal(w.Status().Size, int(minSize))
}
