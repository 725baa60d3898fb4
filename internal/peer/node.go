package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/savorypass/savorypass/internal/secure"
)

// closePollInterval is the pause between checks for calls that are still in progress on a connection to be closed.
const closePollInterval = 10 * time.Millisecond

type handlerEntry struct {
	handler Handler
	inline  bool // runs on the reading goroutine
}

// Node is this process's endpoint for messages to and from all peers.
type Node struct {
	opts      Options
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	process   uint64 // random number that distinguishes this process from earlier ones at the same address
	handlers  [methodBound]atomic.Pointer[handlerEntry]
	closing   atomic.Bool
	cut       atomic.Pointer[func(zone, instance string) bool]
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*link // by resolved address
	resolved map[string]*link // by the address as passed to Call and Notify
	conns    map[*conn]struct{}
}

// New listens on the UDP address Options.Listen and returns a running node. Requests for methods whose handler is not set
// yet are refused.
func New(opts Options) (*Node, error) {
	addr, err := net.ResolveUDPAddr("udp", opts.Listen)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts:     opts.withDefaults(),
		socket:   socket,
		process:  rand.Uint64(),
		links:    make(map[string]*link),
		resolved: make(map[string]*link),
		conns:    make(map[*conn]struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.transport = &quic.Transport{Conn: socket}
	n.listener, err = n.transport.Listen(opts.TLS.Server(), n.quicConfig())
	if err != nil {
		socket.Close()
		return nil, err
	}
	n.tasks.Go(n.accept)
	return n, nil
}

func (n *Node) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       n.opts.DialTimeout,
		MaxIdleTimeout:             n.opts.IdleTimeout,
		KeepAlivePeriod:            n.opts.KeepAlive,
		MaxIncomingStreams:         -1,
		MaxIncomingUniStreams:      classCount,
		MaxStreamReceiveWindow:     uint64(2 * n.opts.MaxMessage),
		MaxConnectionReceiveWindow: uint64(4 * n.opts.MaxMessage),
	}
}

// Addr returns the host:port that the node listens on.
func (n *Node) Addr() string { return n.socket.LocalAddr().String() }

// Name returns the name in this process's certificate.
func (n *Node) Name() secure.Name { return n.opts.TLS.Name() }

// Handle sets the handler of a method. It is called in a new goroutine for each request.
func (n *Node) Handle(m Method, h Handler) { n.handlers[m].Store(&handlerEntry{handler: h}) }

// HandleInline sets a handler that is called on the goroutine that reads the connection's stream. There is one stream for
// the small messages of a peer and one for its large messages; the messages of each stream are handled in their order of
// arrival. The handler must not block or call the sender.
func (n *Node) HandleInline(m Method, h Handler) {
	n.handlers[m].Store(&handlerEntry{handler: h, inline: true})
}

// Call sends a request and returns the body of the answer. The caller may reuse the request's body afterwards.
func (n *Node) Call(ctx context.Context, addr string, m Method, body []byte) ([]byte, error) {
	l, err := n.link(addr, body)
	if err != nil {
		return nil, err
	}
	for {
		c, err := l.get(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := c.call(ctx, m, body)
		if !errors.Is(err, errRetired) {
			return answer, err
		}
	}
}

// Notify sends a message that has no answer. It does not block: if there is no connection, it starts to dial and returns
// an error that wraps ErrUnreached. A nil error does not mean that the message arrives.
func (n *Node) Notify(addr string, m Method, body []byte) error {
	l, err := n.link(addr, body)
	if err != nil {
		return err
	}
	c, _, err := l.current()
	if err != nil {
		return err
	}
	if c == nil {
		return fmt.Errorf("%w: connecting", ErrUnreached)
	}
	return c.post(header{kind: kindNotify, method: m}, body)
}

// link returns the link to an address, and checks that the body may be sent.
func (n *Node) link(addr string, body []byte) (*link, error) {
	if len(body) > n.opts.MaxMessage {
		return nil, fmt.Errorf("%w: message of %d bytes exceeds the limit of %d", ErrUnreached, len(body), n.opts.MaxMessage)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing.Load() {
		return nil, fmt.Errorf("%w: %w", ErrUnreached, errClosed)
	}
	if l := n.resolved[addr]; l != nil {
		return l, nil
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreached, err)
	}
	l := n.linkLocked(udp)
	n.resolved[addr] = l
	return l, nil
}

// linkLocked returns the link to a resolved address. The caller holds n.mu.
func (n *Node) linkLocked(addr *net.UDPAddr) *link {
	key := addr.String()
	if n.links[key] == nil {
		n.links[key] = &link{node: n, addr: addr}
	}
	return n.links[key]
}

func (n *Node) accept() {
	for {
		q, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.tasks.Go(func() { n.setupAccepted(q) })
	}
}

// setupAccepted sets up a connection that a peer has opened, and closes it if that fails.
func (n *Node) setupAccepted(q *quic.Conn) {
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.DialTimeout)
	defer cancel()
	c, err := n.setup(ctx, q, false)
	if err == nil && n.isCut(c) {
		err = errCut
	}
	if err != nil {
		q.CloseWithError(codeProtocol, "setup failed")
		n.opts.Log.WithField("event", "peer_refused").WithError(err).WithField("addr", q.RemoteAddr()).Warn("peer connection refused")
		return
	}
	n.addConn(c)
}

// addConn starts an established connection and makes it available to calls in both directions.
func (n *Node) addConn(c *conn) {
	n.mu.Lock()
	if n.ctx.Err() != nil {
		n.mu.Unlock()
		c.quic.CloseWithError(codeClosed, errClosed.Error())
		return
	}
	n.conns[c] = struct{}{}
	l := n.linkLocked(c.quic.RemoteAddr().(*net.UDPAddr))
	n.mu.Unlock()
	n.opts.Log.WithField("event", "peer_connected").WithFields(map[string]any{"peer": c.from.Name.String(), "addr": c.from.Addr}).Info("peer connected")
	c.start()
	n.applyCut(c)
	l.use(c)
}

// removeConn removes a connection that has ended. It is called once for each.
func (n *Node) removeConn(c *conn, err error) {
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	n.unlink(c)
	n.opts.Log.WithField("event", "peer_ended").WithError(err).WithField("peer", c.from.Name.String()).Info("peer connection ended")
}

// unlink detaches a connection from its link, so that later calls use another one.
func (n *Node) unlink(c *conn) {
	n.mu.Lock()
	l := n.links[c.from.Addr]
	n.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
	}
}

func (n *Node) openConns() []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var cs []*conn
	for c := range n.conns {
		cs = append(cs, c)
	}
	return cs
}

// Close refuses new requests, waits until those in progress in both directions have ended and their answers have been
// delivered, and closes all connections. If the context ends first, it closes them at once and returns the context's
// error.
func (n *Node) Close(ctx context.Context) error {
	if n.closing.Swap(true) {
		return nil
	}
	err := n.drain(ctx)
	n.cancel()
	for _, c := range n.openConns() {
		c.end(errClosed)
	}
	n.listener.Close()
	n.transport.Close()
	n.socket.Close()
	n.tasks.Wait()
	return err
}

// drain waits until no call is in progress and all peers have acknowledged that they make no new calls.
func (n *Node) drain(ctx context.Context) error {
	for n.anyBusy() {
		select {
		case <-time.After(closePollInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	openConns := n.openConns()
	for _, c := range openConns {
		c.sendGoAway()
	}
	for _, c := range openConns {
		if err := c.awaitGoAwayAcks(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) anyBusy() bool {
	for _, c := range n.openConns() {
		if c.busy() {
			return true
		}
	}
	return false
}

// sendGoAway asks the peer on both streams to make no new calls on the connection and to acknowledge. The peer's
// acknowledgements follow everything that it has sent before.
func (c *conn) sendGoAway() {
	for i, w := range c.out {
		w.add(header{kind: kindGoAway, id: uint32(i)}, nil)
	}
}

// awaitGoAwayAcks waits until the peer has read everything that was sent before the last sendGoAway, or the connection has
// ended. It returns the context's error if the context ends first.
func (c *conn) awaitGoAwayAcks(ctx context.Context) error {
	for range classCount {
		select {
		case <-c.goAwayAcks:
		case <-c.quic.Context().Done():
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
