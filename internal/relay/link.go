package relay

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	beatInterval = 200 * time.Millisecond
	// SilenceLimit is the silence after which a connection counts as broken. A caller that repeats a job does so after
	// more than a second; by then the dispatcher must have dropped what came over the broken connection.
	SilenceLimit = 700 * time.Millisecond
	// dialTimeout is the time for a connection, which takes a few milliseconds. A job that waits for it to a machine that is
	// off can still be taken elsewhere.
	dialTimeout = 150 * time.Millisecond
	maxUnsent   = 4096 // messages; a peer that reads this slowly is better served by a new connection
)

var errSlowPeer = errors.New("relay: the peer does not read")

// link is one connection with its sender. It is closed by the first error.
type link struct {
	conn  net.Conn
	out   chan []byte
	loads func() []Load // for the beats; nil for none

	once sync.Once
	done chan struct{}
	err  error
}

func newLink(conn net.Conn, loads func() []Load) *link {
	l := &link{conn: conn, loads: loads, out: make(chan []byte, maxUnsent), done: make(chan struct{})}
	go l.write()
	return l
}

// send queues a message. It never blocks.
func (l *link) send(message any) error {
	frame, err := encode(message)
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return l.err
	case l.out <- frame:
		return nil
	default:
		l.close(errSlowPeer)
		return errSlowPeer
	}
}

func (l *link) close(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
		l.conn.Close()
	})
}

func (l *link) write() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	buffered := bufio.NewWriter(l.conn)
	frame := l.beat() // at once, so that the peer knows that the process lives
	for {
		l.conn.SetWriteDeadline(time.Now().Add(SilenceLimit))
		if err := l.writeAll(buffered, frame); err != nil {
			l.close(err)
			return
		}
		select {
		case <-l.done:
			return
		case frame = <-l.out:
		case <-ticker.C:
			frame = l.beat()
		}
	}
}

func (l *link) beat() []byte {
	b := &beat{}
	if l.loads != nil {
		b.Loads = l.loads()
	}
	frame, err := encode(b)
	if err != nil {
		l.close(err)
	}
	return frame
}

// writeAll writes a frame and those that wait behind it in one piece.
func (l *link) writeAll(buffered *bufio.Writer, frame []byte) error {
	for {
		if _, err := buffered.Write(frame); err != nil {
			return err
		}
		select {
		case frame = <-l.out:
		default:
			return buffered.Flush()
		}
	}
}

// receive hands the messages to handle until the connection ends, and returns the reason.
func (l *link) receive(handle func(message any)) error {
	buffered := bufio.NewReader(l.conn)
	for {
		l.conn.SetReadDeadline(time.Now().Add(SilenceLimit))
		message, err := read(buffered)
		if err != nil {
			l.close(err)
			return l.err
		}
		handle(message)
	}
}
