package relay

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a run for a caller that has left before the dispatcher responded for the first time: the submission follows a heartbeat
// that says that the callers are attended to now, and its cancel comes last.
func TestCancelledWhileTheDispatcherHasNotResponded(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	u := Dial(l.Addr().String(), nil, Handler{
		Unattended: attended, Cancellations: &cancellations{},
		Answer: func(*Answer) {}, Attempts: func([]attempt.Attempt) {}, End: func(*Uplink, bool, error) {},
	})
	defer u.Close()
	conn, err := l.Accept()
	is.NoErr(err)
	const silent = 400 * time.Millisecond // for which the dispatcher does not respond, less than SilenceLimit
	u.Submit(&Submit{Job: work.Job{ID: "a"}, Number: 1})
	u.Cancel(&Cancel{Job: "a", Number: 1})
	cancelled := time.Now()
	time.Sleep(silent)
	server := newLink(conn, heartbeatInterval, func() heartbeat { return heartbeat{} })
	client := newRemoteClient(server)
	done := make(chan struct{})
	go server.receive(func(message any) {
		switch m := message.(type) {
		case *heartbeat:
			client.heard(m)
		case *Submit:
			if silence := client.Silence(); silence < time.Since(cancelled) {
				t.Errorf("a job that was cancelled %v ago is submitted before its cancel, with a silence of %v", time.Since(cancelled), silence)
			}
		case *Cancel:
			close(done)
		}
	})
	wait.For(t, "the dispatcher has responded", u.Connected)
	select {
	case <-done:
	case <-time.After(300 * time.Millisecond):
	}
	server.close(net.ErrClosed)
}
