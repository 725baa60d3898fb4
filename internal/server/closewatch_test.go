package server

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

// startWatched starts a server whose closed connections a watch finds. Its handler tells the closes of the requests that it gets and holds the
// event loop at a PUT until release is closed.
func startWatched(t *testing.T, w *CloseWatch, closes chan<- struct{}, release <-chan struct{}) *Server {
	s, err := Start(Options{Address: "127.0.0.1:0", Loops: 1, Closes: w, Handler: HandlerFunc(func(x *Exchange) {
		x.OnDisconnect(func() { closes <- struct{}{} })
		if string(x.Request.Header.Method()) == "PUT" {
			<-release
		}
	})})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Guards against a close that nobody notices while the event loop stands still or has no processor, and against a time until which closes
// count as handled that is later than the last look.
func TestClosesAreFoundWithoutTheEventLoop(t *testing.T) {
	is := is.New(t)
	w := NewCloseWatch(discardLog())
	closes, release := make(chan struct{}, 2), make(chan struct{})
	s := startWatched(t, w, closes, release)
	defer close(release)
	caller := request(t, s, "GET")
	wait.For(t, "the request is read", func() bool { return s.Active() == 1 })
	request(t, s, "PUT")
	wait.For(t, "the event loop is held", func() bool { return s.Active() == 2 })
	before := pause.Elapsed()
	wait.For(t, "the kernel is asked", func() bool { return w.HandledUntil() > before })
	is.True(w.HandledUntil() <= pause.Elapsed())
	is.Equal(len(closes), 0)
	caller.Close()
	wait.For(t, "the close is found", func() bool {
		w.HandledUntil()
		return len(closes) == 1
	})
	time.Sleep(2 * maxLookAge)
	w.HandledUntil()
	is.Equal(len(closes), 1)
}

// Guards against closes that count as handled although the kernel has not been asked.
func TestNoLookWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	w := NewCloseWatch(discardLog())
	w.look = func([]unix.PollFd) error { return unix.EINVAL }
	closes, release := make(chan struct{}, 1), make(chan struct{})
	close(release)
	s := startWatched(t, w, closes, release)
	request(t, s, "GET")
	wait.For(t, "the request is read", func() bool { return s.Active() == 1 })
	last := w.LastLook()
	time.Sleep(2 * maxLookAge)
	is.Equal(w.HandledUntil(), last)
}

// Guards against a close that counts as handled while the event loop, which has noticed it, has not got the processor to tell anybody.
func TestCloseThatTheEventLoopIsHandling(t *testing.T) {
	is := is.New(t)
	w := NewCloseWatch(discardLog())
	entered, release := make(chan struct{}), make(chan struct{})
	s, err := Start(Options{Address: "127.0.0.1:0", Loops: 1, Closes: w, Handler: HandlerFunc(func(x *Exchange) {
		x.OnDisconnect(func() {
			close(entered)
			<-release
		})
	})})
	is.NoErr(err)
	caller := request(t, s, "GET")
	wait.For(t, "the request is read", func() bool { return s.Active() == 1 })
	caller.Close()
	<-entered
	noticed := pause.Elapsed()
	handled := make(chan time.Duration, 1)
	go func() {
		time.Sleep(2 * maxLookAge)
		handled <- w.HandledUntil()
	}()
	select {
	case until := <-handled:
		is.True(until <= noticed)
	case <-time.After(6 * maxLookAge):
	}
	close(release)
}
