// Package server serves HTTP/1.1 to callers. The event loops of gnet do the input and output, and the types of fasthttp
// parse the requests. Each connection has at most one request in progress; further requests on it wait in its buffer, so
// that answers are sent in the order of the requests.
package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/result"
)

// Limits are the limits of connections and their requests.
type Limits struct {
	HeaderBytes    int           // maximum size of the header of a request
	BodyBytes      int           // maximum size of the body of a request
	Connections    int           // maximum number of open connections
	RequestTimeout time.Duration // maximum time from the arrival of the first byte of a request to that of its last byte
}

// DefaultLimits returns the limits for a small entry instance.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, Connections: 20000, RequestTimeout: 10 * time.Second}
}

// Handler answers requests. For each call of Serve, x.Reply must be called exactly once, at any time and from any goroutine.
type Handler interface {
	Serve(x *Exchange)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(x *Exchange)

// Serve calls f.
func (f HandlerFunc) Serve(x *Exchange) { f(x) }

// RefusalEncoder returns the JSON body of a response by which the server itself refuses a request.
type RefusalEncoder func(code result.Code, message string) []byte

// Options configures a Server.
type Options struct {
	Address       string // host:port; port 0 selects a free port
	Loops         int    // number of event loops; 0 means one for each processor
	Limits        func() Limits
	Handler       Handler
	EncodeRefusal RefusalEncoder
	Log           logrus.FieldLogger // receives the messages of the event loops; nil discards them
	Closes        *CloseWatch        // finds closed connections without the event loops; nil if nobody asks for it
	Lag           *LagMonitor        // measures the lag of the event loops; nil if nobody asks for it
}

// Server is a running listener.
type Server struct {
	gnet.BuiltinEventEngine
	opts     Options
	engine   gnet.Engine
	address  string
	booted   chan struct{}
	stopped  chan struct{} // closed when the event loops have ended
	runErr   error         // why they have ended; set before
	draining atomic.Bool
	active   atomic.Int64 // requests that the handler has not answered yet
	activity activity
	swept    time.Time // when the incomplete requests were last checked; used only by OnTick

	mu    sync.Mutex
	conns map[*conn]struct{}
	users map[string]int // number of connections that each user has claimed
}

// tickInterval is the pause between the checks for stops of the process and for requests that exceed Limits.RequestTimeout.
const tickInterval = time.Second

// Start listens on Options.Address and serves until Stop is called. It returns when the listener is open or has failed.
func Start(opts Options) (*Server, error) {
	s := &Server{
		opts: opts, booted: make(chan struct{}), stopped: make(chan struct{}), conns: map[*conn]struct{}{}, users: map[string]int{},
		activity: activity{gaps: pause.NewGaps(pause.Suspended)},
	}
	if s.opts.Limits == nil {
		s.opts.Limits = DefaultLimits
	}
	if s.opts.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		s.opts.Log = discard
	}
	go func() {
		defer close(s.stopped)
		s.runErr = gnet.Run(s, "tcp://"+opts.Address,
			gnet.WithMulticore(opts.Loops == 0), gnet.WithNumEventLoop(opts.Loops), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithTicker(true), gnet.WithReuseAddr(true),
			// Without a logger gnet would write to the standard output.
			gnet.WithLogger(s.opts.Log.WithField("event", "gnet")))
	}()
	select {
	case <-s.booted:
		return s, nil
	case <-s.stopped:
		return nil, merry.Prependf(s.runErr, "listen for callers on %s", opts.Address)
	}
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.address }

// Active returns the number of requests that the handler has not answered yet.
func (s *Server) Active() int64 { return s.active.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes each further response close its connection, so that callers move to other instances.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is in progress or partly received.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cn := range s.conns {
		if !cn.busy.Load() && cn.firstByteNS.Load() == 0 {
			cn.raw.Close()
		}
	}
}

// Stop closes the listener and all connections. It returns an error if that has not completed when ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	go s.engine.Stop(ctx) // returns up to half a second after the event loops have ended
	select {
	case <-s.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	s.address = s.opts.Address
	if fd, err := eng.Dup(); err == nil {
		if bound, ok := boundAddress(fd); ok {
			s.address = bound
		}
		syscall.Close(fd)
	}
	close(s.booted)
	return gnet.None
}

// boundAddress returns the host:port that a listening socket is bound to.
func boundAddress(fd int) (string, bool) {
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		return "", false
	}
	switch a := sa.(type) {
	case *syscall.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String(), true
	case *syscall.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String(), true
	}
	return "", false
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if _, ok := c.Context().(*probe); ok {
		return nil, gnet.None
	}
	cn := &conn{server: s, raw: c, lag: s.opts.Lag.watch(c.EventLoop(), s.opts.Log)}
	c.SetContext(cn)
	limits := s.opts.Limits()
	s.mu.Lock()
	s.conns[cn] = struct{}{}
	n := len(s.conns)
	s.mu.Unlock()
	if n > limits.Connections {
		return s.refusal(result.TooManyConnections, "the instance has reached its maximum number of connections"), gnet.Close
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	switch cn := c.Context().(type) {
	case *probe:
		cn.closed()
	case *conn:
		s.closed(cn)
	}
	return gnet.None
}

// closed handles the end of a caller's connection.
func (s *Server) closed(cn *conn) {
	cn.closed.Store(true)
	s.opts.Closes.closed(cn)
	s.mu.Lock()
	delete(s.conns, cn)
	s.releaseClaim(cn)
	s.mu.Unlock()
}

// claim counts a connection for a user. It returns false if the user already has limit other connections.
func (s *Server) claim(c *conn, user string, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.user == user {
		return true
	}
	if _, open := s.conns[c]; !open {
		return true // already closed, so nothing would release the claim
	}
	if s.users[user] >= limit {
		return false
	}
	s.releaseClaim(c)
	c.user = user
	s.users[user]++
	return true
}

// releaseClaim removes a connection from the count of its user. The caller holds s.mu.
func (s *Server) releaseClaim(c *conn) {
	if c.user == "" {
		return
	}
	if s.users[c.user]--; s.users[c.user] == 0 {
		delete(s.users, c.user)
	}
	c.user = ""
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	if p, ok := c.Context().(*probe); ok {
		p.reported(c)
		return gnet.None
	}
	cn := c.Context().(*conn)
	if cn.busy.Load() {
		// Without this limit a caller that keeps sending requests without waiting for responses would grow the buffer
		// without bound.
		if limits := s.opts.Limits(); c.InboundBuffered() > limits.HeaderBytes+limits.BodyBytes {
			return gnet.Close
		}
		return gnet.None
	}
	return cn.read(s.opts.Limits())
}

// OnTick implements gnet.EventHandler.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	interval := tickInterval
	if s.opts.Lag != nil {
		s.opts.Lag.tick()
		interval = s.opts.Lag.interval
	}
	if time.Since(s.swept) >= tickInterval {
		s.swept = time.Now()
		s.sweep()
	}
	return interval, gnet.None
}

// sweep closes connections whose request has not arrived within Limits.RequestTimeout.
func (s *Server) sweep() {
	s.observe()
	deadline := time.Now().Add(-s.opts.Limits().RequestTimeout).UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	for cn := range s.conns {
		if firstByteNS := cn.firstByteNS.Load(); firstByteNS != 0 && firstByteNS < deadline {
			cn.raw.Close()
		}
	}
}

// refusal returns a complete response by which the server refuses a request and announces the close of its connection.
func (s *Server) refusal(code result.Code, message string) []byte {
	var b bytes.Buffer
	writeResponse(&b, code.Info().HTTPStatus, s.opts.EncodeRefusal(code, message), 0, true)
	return b.Bytes()
}
