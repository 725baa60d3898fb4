package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/traffic"
)

// Client is an instance that has sent jobs to a dispatcher and gets its answers. Clients are compared by identity.
type Client interface {
	// Answer sends the final answer for a job. It does not block.
	Answer(a *Answer)
	// Name returns the client's address for logs.
	Name() string
	// Silence returns for how long the instance may not have noticed that its callers have left: the time since its last message
	// and the time for which it did not attend to its callers before that.
	Silence() time.Duration
}

// Dispatcher receives jobs and cancellations. Calls do not block.
type Dispatcher interface {
	Submit(from Client, s *Submit)
	Cancel(from Client, c *Cancel)
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

type remoteClient struct {
	link     *link
	accepted time.Time
	heardAt  atomic.Int64 // time from accepted to the last message in nanoseconds
	// unattended is what the last heartbeat said of the callers, in nanoseconds.
	unattended atomic.Int64
}

// heard records that a message was received.
func (c *remoteClient) heard(message any) {
	c.heardAt.Store(int64(time.Since(c.accepted)))
	if b, ok := message.(*heartbeat); ok {
		c.unattended.Store(int64(b.Unattended))
	}
}

// Silence implements Client.
func (c *remoteClient) Silence() time.Duration {
	return time.Since(c.accepted) - time.Duration(c.heardAt.Load()) + time.Duration(c.unattended.Load())
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
		return heartbeat{Loads: s.dispatcher.Loads(), Attempts: s.dispatcher.Attempts(), Cancelled: s.dispatcher.Cancellations().Recent()}
	})
	stop := context.AfterFunc(ctx, func() { l.close(ctx.Err()) })
	defer stop()
	client := &remoteClient{link: l, accepted: time.Now()}
	err := l.receive(func(message any) {
		client.heard(message)
		switch m := message.(type) {
		case *Submit:
			s.dispatcher.Submit(client, m)
		case *Cancel:
			s.dispatcher.Cancel(client, m)
		case *StoredRequest:
			s.Stored(m, client.replyStored)
		case *heartbeat:
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
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(timeout))
	_, err = read(conn)
	return err == nil
}

// Uplink is the connection to a dispatcher at an address. It is not reused after the connection has ended.
type Uplink struct {
	Address   string
	mu        sync.Mutex
	link      *link
	responded bool // the dispatcher has sent a message
	ended     bool
	loads     map[int]int // pressure in percent by partition
	unsent    [][]byte    // frames that wait until the connection is open
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
	// End is called once, when the connection has ended or could not be opened; sent is false if the connection was never
	// open, so that no message has been sent.
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
	sent := u.link != nil
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
	for _, frame := range u.unsent {
		l.sendFrame(frame)
	}
	u.unsent = nil
	ended := u.ended
	u.mu.Unlock()
	if ended {
		l.close(net.ErrClosed)
	}
	return l.receive(func(message any) {
		switch m := message.(type) {
		case *Answer:
			h.Answer(m)
		case *StoredReply:
			h.Stored(m)
		case *heartbeat:
			u.setLoads(m.Loads) // the first message on a connection is a heartbeat
			h.Attempts(m.Attempts)
			h.Cancellations.Merge(m.Cancelled)
		}
	})
}

// Submit sends a job. It returns an error if the job cannot be encoded. An error of the connection ends the connection and is
// passed to Handler.End.
func (u *Uplink) Submit(s *Submit) error { return u.send(s) }

// Cancel informs the dispatcher that no caller waits for a job any more. It returns an error like Submit.
func (u *Uplink) Cancel(c *Cancel) error { return u.send(c) }

func (u *Uplink) setLoads(loads []Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.responded = true
	u.loads = make(map[int]int, len(loads))
	for _, l := range loads {
		u.loads[l.Partition] = l.Pressure
	}
}

// Pressure returns the last known pressure of a partition in percent. ok is false if none is known.
func (u *Uplink) Pressure(partition int) (pressure int, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pressure, ok = u.loads[partition]
	return pressure, ok
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
	case u.link == nil:
		u.unsent = append(u.unsent, frame)
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
