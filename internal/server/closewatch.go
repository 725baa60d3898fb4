package server

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/savorypass/savorypass/internal/pause"
)

// maxLookAge is the greatest age of a look at the callers' connections that is used again. Each look is one system call, and heartbeats to
// many dispatchers ask for one at about the same time.
const maxLookAge = 40 * time.Millisecond

// CloseWatch finds closed connections of callers with a request in progress by asking the kernel, without the event loops: these notice a
// close only when they get the processor, and cannot tell that there is none. It is safe for concurrent use.
type CloseWatch struct {
	log  logrus.FieldLogger
	look func([]unix.PollFd) error // asks the kernel
	seen atomic.Int64              // time of the last look, see HandledUntil

	mu    sync.Mutex
	conns map[*conn]struct{} // connections with a function of OnDisconnect; their sockets stay open while mu is held
	fds   []unix.PollFd      // scratch space
	order []*conn            // connections of fds
}

// NewCloseWatch returns a watch for one server.
func NewCloseWatch(log logrus.FieldLogger) *CloseWatch {
	w := &CloseWatch{log: log, look: poll, conns: map[*conn]struct{}{}}
	w.seen.Store(int64(pause.Elapsed()))
	return w
}

// HandledUntil returns a time as of pause.Elapsed for which the following holds: every close of a connection with a request in progress that
// the kernel received before has been passed to the function of Exchange.OnDisconnect, and that has returned. It is at most maxLookAge
// ago unless the kernel does not answer. These functions must not call it; see LastLook. A nil watch returns the present time.
func (w *CloseWatch) HandledUntil() time.Duration {
	if w == nil {
		return pause.Elapsed()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := pause.Elapsed()
	if now-w.LastLook() < maxLookAge {
		return w.LastLook()
	}
	if w.passOn() {
		w.seen.Store(int64(now))
	}
	return w.LastLook()
}

// LastLook returns what HandledUntil returned last. It does not block. A nil watch returns the present time.
func (w *CloseWatch) LastLook() time.Duration {
	if w == nil {
		return pause.Elapsed()
	}
	return time.Duration(w.seen.Load())
}

// passOn calls the functions of the connections that are closed now. It returns false if the kernel does not tell. w.mu is held.
func (w *CloseWatch) passOn() bool {
	w.fds, w.order = w.fds[:0], w.order[:0]
	for c := range w.conns {
		w.fds = append(w.fds, pollFd(c))
		w.order = append(w.order, c)
	}
	if len(w.fds) == 0 {
		return true
	}
	if err := w.look(w.fds); err != nil {
		w.log.WithField("event", "close_watch_failed").WithError(err).Error("closed connections of callers cannot be found; callers count as unattended")
		return false
	}
	for i, fd := range w.fds {
		if hasClosed(fd) {
			w.order[i].disconnected()
		}
	}
	return true
}

// add watches a connection. If it has been closed since it was last seen open, and a look has missed that, its function is called at once.
func (w *CloseWatch) add(c *conn) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.closed.Load() {
		return // its socket is closed, and its function has been or is being called
	}
	w.conns[c] = struct{}{}
	if w.LastLook() < c.openAt {
		return // the next look includes it
	}
	fds := []unix.PollFd{pollFd(c)}
	if err := w.look(fds); err == nil && hasClosed(fds[0]) {
		c.disconnected()
	}
}

// closed ends the watch of a closed connection and calls its function. No look comes in between: it would miss the close while the event
// loop, which calls closed, waits for the processor.
func (w *CloseWatch) closed(c *conn) {
	if w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c)
	}
	c.disconnected()
}

// remove ends the watch of a connection, before its socket is closed.
func (w *CloseWatch) remove(c *conn) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

func pollFd(c *conn) unix.PollFd {
	return unix.PollFd{Fd: int32(c.raw.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}
}

// poll asks the kernel for the state of sockets without waiting.
func poll(fds []unix.PollFd) error {
	for {
		_, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err
		}
	}
}

// hasClosed reports whether the peer of a socket has closed the connection. Where the kernel does not say so, a socket that is readable and
// has no data tells it.
func hasClosed(fd unix.PollFd) bool {
	if fd.Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true
	}
	return fd.Revents&unix.POLLIN != 0 && peerClosed(int(fd.Fd))
}
