package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Client is whom a dispatcher answers: an instance that has taken jobs from callers. Clients are compared by identity.
type Client interface {
	// Answer delivers the last word on a job. It does not block.
	Answer(a *Answer)
	// Name returns the client's address for logs.
	Name() string
}

// Dispatcher takes jobs. Calls do not block.
type Dispatcher interface {
	Submit(from Client, s *Submit)
	Cancel(from Client, c *Cancel)
	// Loads returns the loads of the partitions that are dispatched here.
	Loads() []Load
	// Gone tells that a client cannot be reached any more.
	Gone(from Client)
}

// Server accepts the connections of other instances.
type Server struct {
	listener   net.Listener
	dispatcher Dispatcher
	log        logrus.FieldLogger
}

// Listen opens the listener of a dispatcher.
func Listen(address string, d Dispatcher, log logrus.FieldLogger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{l, d, log}, nil
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
				s.log.WithField("event", "relay_listener_failed").WithError(err).Error("no instance can connect any more")
			}
			return
		}
		go s.serve(ctx, conn)
	}
}

type remoteClient struct{ link *link }

// Answer implements Client.
func (c *remoteClient) Answer(a *Answer) { c.link.send(a) } // an error closes the link, which the receiver reports

// Name implements Client.
func (c *remoteClient) Name() string { return c.link.conn.RemoteAddr().String() }

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	l := newLink(conn, s.dispatcher.Loads)
	stop := context.AfterFunc(ctx, func() { l.close(ctx.Err()) })
	defer stop()
	client := &remoteClient{l}
	err := l.receive(func(message any) {
		switch m := message.(type) {
		case *Submit:
			s.dispatcher.Submit(client, m)
		case *Cancel:
			s.dispatcher.Cancel(client, m)
		}
	})
	s.dispatcher.Gone(client)
	s.log.WithFields(logrus.Fields{"event": "client_gone", "client": client.Name()}).WithError(err).
		Info("an instance that sent jobs is not connected any more")
}

// Probe reports whether a dispatcher at an address answers in time. A process that stands still does not, although its
// machine accepts connections.
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

// Uplink is the connection to a dispatcher at an address. It connects when it is made and ends for good with the
// connection.
type Uplink struct {
	Address string
	mu      sync.Mutex
	link    *link
	heard   bool // the dispatcher has sent something
	ended   bool
	loads   map[int]int // pressure by partition
	early   []any       // messages sent before the connection was made
}

// Dial returns a connection that is being made. answer takes the dispatcher's words; down is called once, when the
// connection has ended or could not be made; sent is false if no message has left.
func Dial(address string, answer func(*Answer), down func(u *Uplink, sent bool, err error)) *Uplink {
	u := &Uplink{Address: address}
	go u.run(answer, down)
	return u
}

func (u *Uplink) run(answer func(*Answer), down func(*Uplink, bool, error)) {
	conn, err := net.DialTimeout("tcp", u.Address, dialTimeout)
	if err == nil {
		err = u.receive(conn, answer)
	}
	u.mu.Lock()
	u.ended = true
	sent := u.link != nil
	u.mu.Unlock()
	down(u, sent, err)
}

// Connected reports whether the connection is made, the dispatcher has been heard on it, and it has not ended. A machine
// accepts connections for a process that stands still.
func (u *Uplink) Connected() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heard && !u.ended
}

func (u *Uplink) receive(conn net.Conn, answer func(*Answer)) error {
	l := newLink(conn, nil)
	u.mu.Lock()
	u.link = l
	for _, m := range u.early {
		l.send(m)
	}
	u.early = nil
	ended := u.ended
	u.mu.Unlock()
	if ended {
		l.close(net.ErrClosed)
	}
	return l.receive(func(message any) {
		switch m := message.(type) {
		case *Answer:
			answer(m)
		case *beat:
			u.setLoads(m.Loads) // the first message is one
		}
	})
}

// Submit sends a job. Errors show in the call of down.
func (u *Uplink) Submit(s *Submit) { u.send(s) }

// Cancel takes a job back.
func (u *Uplink) Cancel(c *Cancel) { u.send(c) }

func (u *Uplink) setLoads(loads []Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heard = true
	u.loads = make(map[int]int, len(loads))
	for _, l := range loads {
		u.loads[l.Partition] = l.Pressure
	}
}

// Pressure returns the last known pressure of a partition. ok is false while none is known.
func (u *Uplink) Pressure(partition int) (pressure int, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pressure, ok = u.loads[partition]
	return pressure, ok
}

func (u *Uplink) send(message any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	if u.link == nil {
		u.early = append(u.early, message)
		return
	}
	u.link.send(message)
}

// Close ends the connection.
func (u *Uplink) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	if u.link != nil {
		u.link.close(net.ErrClosed)
	}
}
