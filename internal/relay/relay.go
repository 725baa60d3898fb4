package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/traffic"
)

// Client is an instance that has sent jobs to a dispatcher and gets its answers. Clients are compared by identity.
type Client interface {
	// Answer sends the final answer for a job. It does not block.
	Answer(a *Answer)
	// Name returns the client's address for logs.
	Name() string
	// Silence returns for how long the instance may not have noticed that its callers have left: the time since its last heartbeat was
	// composed, which may have waited to be handled, and the time for which it did not attend to its callers before that.
	Silence() time.Duration
}

// Dispatcher receives jobs and cancellations. Calls do not block.
type Dispatcher interface {
	Submit(from Client, s *Submit)
	Cancel(from Client, c *Cancel)
	Claim(from Client, c *Claim)
	// Loads returns the loads of the partitions for which this instance dispatches.
	Loads() []Load
	// Attempts returns the unsuccessful runs that this instance has observed lately.
	Attempts() []attempt.Attempt
	// ClientGone reports that the connection to a client has ended.
	ClientGone(from Client)
	// Cancellations returns those of this instance.
	Cancellations() Cancellations
}

// Server accepts the connections of other instances and passes their messages to a dispatcher.
type Server struct {
	listener   net.Listener
	dispatcher Dispatcher
	meter      *traffic.Meter
	log        logrus.FieldLogger
	// Stored carries out requests for stored jobs. It is set before Run.
	Stored StoredHandler
}

// Listen returns a server for a dispatcher that listens on an address. Run must be called to serve. The meter counts the
// bytes of its connections; nil for none.
func Listen(address string, d Dispatcher, meter *traffic.Meter, log logrus.FieldLogger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l, dispatcher: d, meter: meter, log: log}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.log.WithField("event", "relay_listener_failed").WithError(err).Error("relay listener failed; no other instance can connect")
			}
			return
		}
		go s.serve(ctx, conn)
	}
}

// unknownSilence is the silence of an instance before it is known when its heartbeats were composed.
const unknownSilence = time.Hour

type remoteClient struct {
	link *link
	// attendedAt is a time, on this process's clock and in nanoseconds, until which the instance has certainly attended to its callers.
	attendedAt atomic.Int64
}

func newRemoteClient(l *link) *remoteClient {
	c := &remoteClient{link: l}
	c.attendedAt.Store(int64(pause.Elapsed() - unknownSilence))
	return c
}

// heard applies what a heartbeat says of the callers. That was true when the heartbeat was composed, however long it has waited since.
// Instances of earlier versions do not say when they composed it.
func (c *remoteClient) heard(b *heartbeat) {
	composed := pause.Elapsed()
	if b.Composed > 0 {
		var known bool
		if composed, known = c.link.peer.own(b.Composed); !known {
			return
		}
	}
	if attendedAt := int64(composed - b.Unattended); attendedAt > c.attendedAt.Load() {
		c.attendedAt.Store(attendedAt)
	}
}

// Silence implements Client.
func (c *remoteClient) Silence() time.Duration {
	return pause.Elapsed() - time.Duration(c.attendedAt.Load())
}

// Answer implements Client.
func (c *remoteClient) Answer(a *Answer) {
	frame, err := encode(a)
	if err != nil {
		c.link.close(err) // receive reports it
		return
	}
	c.link.sendFrame(frame)
}

// Name implements Client.
func (c *remoteClient) Name() string { return c.link.conn.RemoteAddr().String() }

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	l := newLink(s.meter.Conn(conn, traffic.Downlink), heartbeatInterval, func() heartbeat {
		return heartbeat{Loads: s.dispatcher.Loads(), Attempts: s.dispatcher.Attempts(), Cancelled: s.dispatcher.Cancellations().Recent(),
			KeepsPlacements: true, AnswersSearches: true}
	})
	stop := context.AfterFunc(ctx, func() { l.close(ctx.Err()) })
	defer stop()
	client := newRemoteClient(l)
	err := l.receive(func(message any) {
		switch m := message.(type) {
		case *Submit:
			m.composedAt = l.peer.composedAt(m.Composed)
			s.dispatcher.Submit(client, m)
		case *Cancel:
			s.dispatcher.Cancel(client, m)
		case *Claim:
			s.dispatcher.Claim(client, m)
		case *StoredRequest:
			s.Stored(m, client.replyStored)
		case *heartbeat:
			client.heard(m)
			s.dispatcher.Cancellations().Merge(m.Cancelled)
		}
	})
	s.dispatcher.ClientGone(client)
	s.log.WithFields(logrus.Fields{"event": "client_gone", "client": client.Name()}).WithError(err).
		Info("connection of an instance that sent jobs has ended")
}

// Probe reports whether a dispatcher at an address sends a message within timeout. A stopped process sends none,
// although the kernel of its machine still accepts connections for it.
func Probe(address string, timeout time.Duration) bool {
	_, err := firstMessage(address, timeout)
	return err == nil
}

// ProbeDispatching reports whether the instance at an address dispatches for a partition, according to its first message, which has to
// come within timeout.
func ProbeDispatching(address string, timeout time.Duration) bool {
	message, err := firstMessage(address, timeout)
	b, ok := message.(*heartbeat)
	return err == nil && ok && len(b.Loads) > 0
}

// firstMessage returns the first message of a dispatcher on a new connection.
func firstMessage(address string, timeout time.Duration) (any, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(timeout))
	return read(conn)
}

// Uplink is the connection to a dispatcher at an address. It is not reused after the connection has ended.
type Uplink struct {
	Address   string
	mu        sync.Mutex
	link      *link
	responded bool // the dispatcher has sent a message
	ended     bool
	loads     map[int]Load // by partition
	unsent    []unsent     // messages that wait until the dispatcher has responded
	// keepsPlacements is set once the dispatcher has said that it handles claims.
	keepsPlacements bool
	answersSearches bool // the same for searches
}

// Handler receives what comes over an uplink. Its functions do not block.
type Handler struct {
	// Answer receives the dispatcher's answers.
	Answer func(*Answer)
	// Attempts receives the unsuccessful runs that the dispatcher has observed; each comes several times.
	Attempts func([]attempt.Attempt)
	// Cancellations are those of this instance.
	Cancellations Cancellations
	// Stored receives the replies to requests for stored jobs.
	Stored func(*StoredReply)
	// Unattended returns how long this instance has been unable to notice that its callers leave.
	Unattended func() time.Duration
	// End is called once, when the connection has ended or could not be opened; sent is false if the dispatcher has not
	// responded, so that no job has been sent.
	End func(u *Uplink, sent bool, err error)
}

// Dial returns an uplink whose connection is being opened in the background. The meter counts the connection's bytes; nil
// for none.
func Dial(address string, meter *traffic.Meter, h Handler) *Uplink {
	u := &Uplink{Address: address}
	go u.run(meter, h)
	return u
}

func (u *Uplink) run(meter *traffic.Meter, h Handler) {
	conn, err := net.DialTimeout("tcp", u.Address, dialTimeout)
	if err == nil {
		err = u.receive(meter.Conn(conn, traffic.Uplink), h)
	}
	u.mu.Lock()
	u.ended = true
	sent := u.responded
	u.mu.Unlock()
	h.End(u, sent, err)
}

// Connected reports whether the connection is open and the dispatcher has sent a message over it. An open connection
// alone is not enough, because the kernel of a machine accepts connections for a stopped process too.
func (u *Uplink) Connected() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.responded && !u.ended
}

func (u *Uplink) receive(conn net.Conn, h Handler) error {
	l := newLink(conn, submitterInterval, func() heartbeat {
		return heartbeat{Unattended: h.Unattended(), Cancelled: h.Cancellations.Recent()}
	})
	u.mu.Lock()
	u.link = l
	ended := u.ended
	u.mu.Unlock()
	if ended {
		l.close(net.ErrClosed)
	}
	return l.receive(func(message any) {
		switch m := message.(type) {
		case *Answer:
			u.noteLoad(m.Load)
			h.Answer(m)
		case *StoredReply:
			h.Stored(m)
		case *heartbeat:
			u.heard(m) // the first message on a connection is a heartbeat
			h.Attempts(m.Attempts)
			h.Cancellations.Merge(m.Cancelled)
		}
	})
}

// Submit sends a job. It returns an error if the job cannot be encoded. An error of the connection ends the connection and is
// passed to Handler.End.
func (u *Uplink) Submit(s *Submit) error {
	s.Composed = pause.Elapsed()
	u.noteSent(s)
	return u.send(s)
}

// Cancel informs the dispatcher that no caller waits for a job any more. It returns an error like Submit.
func (u *Uplink) Cancel(c *Cancel) error { return u.send(c) }

// heard applies a heartbeat of the dispatcher. After the first one it sends what has waited, behind a heartbeat of its own: with that the
// dispatcher knows the age of all that follows.
func (u *Uplink) heard(b *heartbeat) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keepsPlacements, u.answersSearches = b.KeepsPlacements, b.AnswersSearches
	u.loads = make(map[int]Load, len(b.Loads))
	for _, l := range b.Loads {
		u.loads[l.Partition] = l
	}
	if u.responded {
		return
	}
	u.responded = true
	u.link.sendFrame(u.link.heartbeat())
	for _, m := range u.unsent {
		u.link.sendFrame(m.frame)
	}
	u.unsent = nil
}

// unsent is a message that waits until the dispatcher has responded.
type unsent struct {
	message any
	frame   []byte
}

// withdraw removes the submission that a cancel is about from the messages that wait, and returns whether it was there. If it were sent,
// its cancel would come behind it and behind a heartbeat that says that the callers are attended to. u.mu is held.
func (u *Uplink) withdraw(c *Cancel) bool {
	at := slices.IndexFunc(u.unsent, func(m unsent) bool {
		s, ok := m.message.(*Submit)
		return ok && s.Job.ID == c.Job && s.Partition == c.Partition && s.Number.Matches(c.Number)
	})
	if at < 0 {
		return false
	}
	u.unsent = slices.Delete(u.unsent, at, at+1)
	return true
}

// Load returns the last known load of a partition. ok is false if none is known.
func (u *Uplink) Load(partition int) (load Load, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	load, ok = u.loads[partition]
	return load, ok
}

func (u *Uplink) send(message any) error {
	frame, err := encode(message)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.ended:
	case !u.responded:
		if c, ok := message.(*Cancel); ok && u.withdraw(c) {
			return nil
		}
		u.unsent = append(u.unsent, unsent{message, frame})
	default:
		u.link.sendFrame(frame)
	}
	return nil
}

// Close closes the connection.
func (u *Uplink) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	if u.link != nil {
		u.link.close(net.ErrClosed)
	}
}
