package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/standin/wait"
)

// awaitEndOfSpread waits until an instance passes nothing on any more.
func (f *fixture) awaitEndOfSpread() {
	f.t.Helper()
	wait.For(f.t, "the news is no longer passed on", func() bool { return len(f.Cancellations().Recent()) == 0 })
}

// receiveVia makes the periodic checks of an instance, and passes cancellations between neighbours of a path, until a request has its
// response.
func (f *fixture) receiveVia(done <-chan response, path ...*fixture) response {
	f.t.Helper()
	for len(done) == 0 {
		passAlong(path)
		f.Sweep()
		time.Sleep(10 * time.Millisecond)
	}
	return f.receive(done)
}

// passAlong passes cancellations once between neighbours of a path.
func passAlong(path []*fixture) {
	for i := range path[1:] {
		passOn(path[i], path[i+1])
	}
}

// searchFrom cancels a job that an instance does not hold and waits until the instance looks for it. Not all dispatchers can be reached.
func (f *fixture) searchFrom(path string) <-chan response {
	f.t.Helper()
	f.router.cutOff.Store(true)
	done := f.call(context.Background(), "DELETE", path, "")
	f.eventually("the instance looks for the job", func() bool { return len(f.Cancellations().Recent()) == 1 })
	return done
}

// Guards against "no such job" for a job that was found and cancelled, because the instance that looks for it connects to the dispatcher
// of the job's instance when that one passes the news on no longer.
func TestSearcherThatConnectsLate(t *testing.T) {
	is := is.New(t)
	searcher, between, holder, dispatcher := start(t, time.Minute), start(t, time.Minute), start(t, time.Minute), start(t, time.Minute)
	job := holder.post("x")
	cancel := searcher.searchFrom("/p/x")
	passOn(searcher, between)
	passOn(between, holder)
	is.Equal(holder.receive(job).body, "cancelled")
	passOn(holder, dispatcher)
	dispatcher.awaitEndOfSpread()
	searcher.router.cutOff.Store(false)
	is.Equal(searcher.receiveVia(cancel, searcher, dispatcher).status, 200)
}

// Guards against a job that runs on after its cancel was answered "no such job", because its instance connects to a dispatcher when that
// one passes the cancellation on no longer, although the cancel still waits.
func TestHolderThatConnectsLate(t *testing.T) {
	is := is.New(t)
	searcher, holder, dispatcher := start(t, time.Minute), start(t, time.Minute), start(t, time.Minute)
	job := holder.post("x")
	cancel := searcher.searchFrom("/p/x")
	passOn(searcher, dispatcher)
	for until := time.Now().Add(spreadTime + 50*time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		searcher.Sweep()
		passOn(searcher, dispatcher)
	}
	searcher.router.cutOff.Store(false)
	is.Equal(searcher.receiveVia(cancel, searcher, dispatcher, holder).status, 200)
	is.Equal(holder.receive(job).body, "cancelled")
}

// Guards against cancellations that are passed on without end between instances of which some know that the job was found.
func TestCancellationsAreNotPassedOnForEver(t *testing.T) {
	is := is.New(t)
	searcher, holder, dispatcher := start(t, time.Minute), start(t, time.Minute), start(t, time.Minute)
	holder.post("x")
	cancel := searcher.searchFrom("/p/x")
	is.Equal(searcher.receiveVia(cancel, searcher, dispatcher, holder).status, 200)
	for until := time.Now().Add(2 * spreadTime); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		passAlong([]*fixture{searcher, dispatcher, holder})
	}
	for _, f := range []*fixture{searcher, dispatcher, holder} {
		is.Equal(len(f.Cancellations().Recent()), 0)
	}
}
