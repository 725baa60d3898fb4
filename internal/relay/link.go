package relay

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/pause"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// submitterInterval is the interval of the heartbeats of an instance that submits jobs. It is shorter, since leases depend on them,
	// see shard.LeaseWithin.
	submitterInterval = 100 * time.Millisecond
	// SilenceLimit is the time without a message after which a connection counts as broken. A dispatcher then drops
	// the jobs that came over it; it stops extending leases for them earlier, see shard.LeaseWithin.
	SilenceLimit = 700 * time.Millisecond
	// dialTimeout bounds the opening of a connection, which normally takes a few milliseconds. A job that has waited
	// this long for a machine that is off can still be submitted to another dispatcher.
	dialTimeout = 150 * time.Millisecond
	maxQueued   = 4096 // messages that wait to be sent; with more the connection is closed, since the peer reads too slowly
)

var (
	errSlowPeer = errors.New("relay: the send queue is full, the peer reads too slowly")
	errStopped  = errors.New("relay: this process was stopped; the peer has closed the connection")
)

// link is one connection with its send queue. The first error closes it.
type link struct {
	conn     net.Conn
	queue    chan []byte
	interval time.Duration    // of the heartbeats that are sent
	state    func() heartbeat // what a heartbeat carries

	gaps *pause.Gaps // times of reads
	peer peerClock

	once sync.Once
	done chan struct{}
	err  error
}

func newLink(conn net.Conn, interval time.Duration, state func() heartbeat) *link {
	l := &link{
		conn: conn, interval: interval, state: state, queue: make(chan []byte, maxQueued), done: make(chan struct{}),
		gaps: pause.NewGaps(pause.Suspended),
	}
	go l.writeLoop()
	return l
}

// sendFrame queues an encoded message without blocking. If the queue is full, it closes the link.
func (l *link) sendFrame(frame []byte) {
	select {
	case <-l.done:
	case l.queue <- frame:
	default:
		l.close(errSlowPeer)
	}
}

// close closes the link. The error of the first call is kept as the reason.
func (l *link) close(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
		l.conn.Close()
	})
}

// writeLoop sends the queued messages and the heartbeats until the link is closed.
func (l *link) writeLoop() {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	buffered := bufio.NewWriter(l.conn)
	var frame []byte
	heartbeat := l.heartbeat() // sent at once, so that the peer can detect that the process is alive
	for {
		l.conn.SetWriteDeadline(time.Now().Add(SilenceLimit))
		if err := l.writeBatch(buffered, frame, heartbeat); err != nil {
			l.close(err)
			return
		}
		frame, heartbeat = nil, nil
		select {
		case <-l.done:
			return
		case frame = <-l.queue:
		case <-ticker.C:
			heartbeat = l.heartbeat()
		}
	}
}

func (l *link) heartbeat() []byte {
	reading := l.peer.reading() // first, so that what the heartbeat says is at least as new
	b := l.state()
	b.clockReading = reading
	frame, err := encode(&b)
	if err != nil {
		l.close(err)
	}
	return frame
}

// writeBatch writes a frame, all that wait in the queue, and a heartbeat, and flushes them together; frame and heartbeat may be nil. The
// heartbeat comes last, behind the cancels of the callers that had left when it was composed.
func (l *link) writeBatch(buffered *bufio.Writer, frame, heartbeat []byte) error {
	for {
		if _, err := buffered.Write(frame); err != nil {
			return err
		}
		select {
		case frame = <-l.queue:
			continue
		default:
		}
		if _, err := buffered.Write(heartbeat); err != nil {
			return err
		}
		return buffered.Flush()
	}
}

// receive passes each received message to handle until the connection ends. It returns the reason why it ended.
func (l *link) receive(handle func(message any)) error {
	buffered := bufio.NewReader(l.conn)
	for {
		begun := time.Now()
		l.conn.SetReadDeadline(begun.Add(SilenceLimit))
		message, err := read(buffered)
		now := time.Now()
		if err == nil && l.wasStopped(now.Sub(begun), now.Round(0).Sub(begun.Round(0))) {
			err = errStopped
		}
		if err != nil {
			l.close(err)
			return l.err
		}
		if b, ok := message.(*heartbeat); ok {
			l.peer.observe(b.clockReading)
		}
		handle(message)
	}
}

// wasStopped reports whether this process or its machine was stopped for longer than the peer waits for a heartbeat while a message was
// read. What has been received since is out of date: the peer has closed the connection and submitted its jobs elsewhere. The
// arguments are the time that the read took on the monotonic clock and by the time of day.
func (l *link) wasStopped(monotonic, timeOfDay time.Duration) bool {
	return l.gaps.Length(monotonic, timeOfDay, SilenceLimit) > SilenceLimit
}
