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

const closePollInterval = 10 * time.Millisecond

type handlerEntry struct {
	handler Handler
	inline  bool
}

// Node is this process's end of all connections to peers.
type Node struct {
	opts      Options
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	process   uint64 // tells this process from earlier ones at the same address
	handlers  [methodBound]atomic.Pointer[handlerEntry]
	closing   atomic.Bool
	cut       atomic.Pointer[func(zone, instance string) bool]
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu       sync.Mutex
	links    map[string]*link // by resolved address
	resolved map[string]*link // by the address text of Call and Notify
	conns    map[*conn]struct{}
}

// New listens on a UDP address and returns a node. Handlers may be set before or after.
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

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.socket.LocalAddr().String() }

// Name returns the name in this process's certificate.
func (n *Node) Name() secure.Name { return n.opts.TLS.Name() }

// Handle sets the handler of a method. Each request runs in its own goroutine.
func (n *Node) Handle(m Method, h Handler) { n.handlers[m].Store(&handlerEntry{handler: h}) }

// HandleInline sets a handler that runs on the connection's reading goroutine, in the order of arrival among small
// and among large messages. It must not block or call the sender.
func (n *Node) HandleInline(m Method, h Handler) {
	n.handlers[m].Store(&handlerEntry{handler: h, inline: true})
}

// Call sends a request and waits for the answer. The body may be reused when it returns.
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

// Notify sends a message without an answer. It never waits: without a connection it begins to dial and returns
// ErrUnreached. A nil error does not mean that the message arrives.
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

func (n *Node) link(addr string, body []byte) (*link, error) {
	if len(body) > n.opts.MaxMessage {
		return nil, fmt.Errorf("%w: message of %d bytes exceeds the bound of %d", ErrUnreached, len(body), n.opts.MaxMessage)
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

// addConn takes an established connection into use in both directions.
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

// removeConn is called once when a connection has ended.
func (n *Node) removeConn(c *conn, err error) {
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	n.unlink(c)
	n.opts.Log.WithField("event", "peer_ended").WithError(err).WithField("peer", c.from.Name.String()).Info("peer connection ended")
}

// unlink lets later calls use another connection.
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

// Close refuses new requests, waits for those in progress in both directions and for the delivery of their answers,
// and closes all connections. When the context ends first, the rest is cut off and the context's error returned.
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

// sendGoAway asks the peer to make no new calls on the connection and to confirm, behind all that it has sent before.
func (c *conn) sendGoAway() {
	for i, w := range c.out {
		w.add(header{kind: kindGoAway, id: uint32(i)}, nil)
	}
}

// awaitGoAwayAcks waits until the peer has read everything that was sent before the bye.
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
