package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against jobs that are kept and run on after their caller has closed its connection.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	f.call(ctx, "POST", "/p/a", "job")
	f.eventually("the job is submitted", func() bool { return len(f.router.sent()) == 1 })
	cancel()
	f.eventually("the job is cancelled", func() bool { return len(f.router.cancelledJobs()) == 1 })
	f.eventually("the job is discarded", func() bool { return f.Active() == 0 })
	is.Equal(f.router.cancelledJobs()[0], work.JobID("a"))
}

// Guards against callers that get no response within their timeout, and against jobs that run on after it.
func TestCallerTimeout(t *testing.T) {
	is := is.New(t)
	const timeout = 2 * time.Second // a request that waits longer unread is refused at once
	f := start(t, timeout)
	a := f.post("a")
	time.Sleep(timeout + time.Millisecond)
	f.Sweep()
	is.Equal(f.receive(a).status, 504)
	is.Equal(len(f.router.cancelledJobs()), 1)
}

// Guards against a second run of a job that is submitted again on another connection, and against a caller that waits and gets no answer
// because its request has arrived twice: it would submit the job once more.
func TestSubmittedAgain(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	first := f.post("a")
	second := f.call(context.Background(), "POST", "/p/a", "job")
	f.eventually("the second request waits", func() bool { return f.waitingFor("a") == 2 })
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(first).status, 200)
	is.Equal(f.receive(second).status, 200)
	is.Equal(len(f.router.sent()), 1)
}

// waitingFor returns the number of requests that wait for a job.
func (f *fixture) waitingFor(id work.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.jobs[id]; p != nil {
		return len(p.waiting)
	}
	return 0
}

// Guards against the loss of a job that was submitted again on another connection before the end of the first one was handled, as
// after a stop of the process.
func TestSubmittedAgainBeforeItsFirstConnectionEnds(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	first := f.post("a")
	f.mu.Lock()
	p := f.jobs["a"]
	x := p.waiting[0].exchange
	f.mu.Unlock()
	second := f.call(context.Background(), "POST", "/p/a", "job")
	f.eventually("the second request waits", func() bool { return f.waitingFor("a") == 2 })
	f.callerGone(departure{job: p, exchange: x})
	is.Equal(f.receive(first).status, 504)
	is.Equal(f.Active(), 1)
	is.Equal(len(f.router.cancelledJobs()), 0)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(second).status, 200)
}

// Guards against a job that starts although its caller may have left and submitted it elsewhere: the request waited unread, while
// the process was stopped, for longer than its caller waits.
func TestRequestThatWaitedUnread(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Second)
	var unread atomic.Int64
	unread.Store(int64(2 * time.Second))
	s, err := server.Start(server.Options{
		Address: "127.0.0.1:0", Loops: 1, EncodeRefusal: func(result.Code, string) []byte { return nil },
		Handler: server.HandlerFunc(func(x *server.Exchange) {
			x.Unread = time.Duration(unread.Load())
			f.Serve(x)
		}),
	})
	is.NoErr(err)
	t.Cleanup(func() { s.Stop(context.Background()) })
	f.url = "http://" + s.Address()
	is.Equal(f.receive(f.call(context.Background(), "POST", "/p/a", "job")).status, 503)
	is.Equal(len(f.router.sent()), 0)
	unread.Store(int64(500 * time.Millisecond)) // its caller still waits
	second := f.post("b")
	f.Answer(f.router, &relay.Answer{Job: "b", State: work.Completed})
	is.Equal(f.receive(second).status, 200)
}

// Guards against a job that is refused because its request waited unread, although a dispatcher can be reached a moment later: the time for which a
// job waits for a dispatcher counted from the arrival of the request (TestStoreDown beside load).
func TestRequestThatWaitedUnreadWaitsForADispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.setPlacementTimeout(time.Second)
	s, err := server.Start(server.Options{
		Address: "127.0.0.1:0", Loops: 1, EncodeRefusal: func(result.Code, string) []byte { return nil },
		Handler: server.HandlerFunc(func(x *server.Exchange) {
			x.Unread = 2 * time.Second
			f.Serve(x)
		}),
	})
	is.NoErr(err)
	t.Cleanup(func() { s.Stop(context.Background()) })
	f.url = "http://" + s.Address()
	for _, target := range []Target{north, south} {
		f.router.setDown(target, true)
	}
	done := f.call(context.Background(), "POST", "/p/a", "job")
	f.eventually("the job waits", func() bool { return f.Active() == 1 })
	f.router.setDown(north, false)
	f.Resubmit()
	is.Equal(len(f.router.sent()), 1)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(done).status, 200)
}

// Guards against callers whose connection is closed without an answer because their job has not ended when the instance does, and
// against its runs going on.
func TestEndPending(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.EndPending()
	is.Equal(f.receive(a).status, 504)
	is.Equal(f.Active(), 0)
	is.Equal(f.router.cancelledJobs(), []work.JobID{"a"})
}

// Guards against wrong responses to requests that start no job.
func TestOtherRequests(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	background := context.Background()
	is.Equal(f.receive(f.call(background, "POST", "/other/a", "job")).status, 404)
	is.Equal(f.receive(f.call(background, "POST", "/p/a", "bad")).status, 400)
	is.Equal(f.receive(f.call(background, "POST", "/p/a", "stored")).status, 503)
	is.Equal(f.sweepUntil(f.call(background, "DELETE", "/p/a", "")).status, 410)
	is.Equal(f.receive(f.call(background, "PUT", "/p/a", "")).status, 405)
	f.router.setDown(north, true)
	f.router.setDown(south, true)
	f.setPlacementTimeout(0)
	r := f.receive(f.call(background, "POST", "/p/b", "job"))
	is.Equal(r.status, 503)
	is.True(r.retryAfter != "")
	f.router.setDown(north, false)
	f.Close()
	is.Equal(f.receive(f.call(background, "POST", "/p/b", "job")).status, 503)
	is.Equal(len(f.router.sent()), 0) // a job that was refused as not run has not been submitted
}

// Guards against jobs that run on after their caller has cancelled them.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	is.Equal(f.receive(f.call(context.Background(), "DELETE", "/p/a", "")).status, 200)
	is.Equal(f.receive(a).body, "cancelled")
	is.Equal(f.router.cancelledJobs(), []work.JobID{"a"})
}
