package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// duplicateGrace is the pause before a duplicate connection is closed. Within it both sides have learned which of the two
// connections to use.
const duplicateGrace = time.Second

var (
	errDuplicate = errors.New("duplicate of another connection to the same process")
	errReplaced  = errors.New("the peer's process was replaced by a new one")
	errClosed    = errors.New("closed")
	errCut       = errors.New("cut by fault injection")
)

// link is the state of a peer's address: the connection in use, or the state of the attempts to open one.
type link struct {
	node *Node
	addr *net.UDPAddr

	mu      sync.Mutex
	conn    *conn
	dialing chan struct{} // closed when the current attempt has ended; nil if there is none
	err     error         // error of the last attempt; nil if it succeeded
	retryAt time.Time     // when the next attempt may begin after a failed one
	backoff time.Duration // pause after the last failed attempt, without its random part
}

// get returns the connection, and opens it or waits for the attempt in progress if there is none. During the back-off
// after a failed attempt it returns that attempt's error at once.
func (l *link) get(ctx context.Context) (*conn, error) {
	for {
		c, wait, err := l.current()
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrUnreached, context.Cause(ctx))
		}
	}
}

// current returns exactly one of: a usable connection, a channel that is closed when the attempt in progress has ended, or
// an error. It starts an attempt if there is neither a connection nor a back-off.
func (l *link) current() (*conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.usable() {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if l.node.closing.Load() {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnreached, errClosed)
	}
	if l.err != nil && time.Now().Before(l.retryAt) {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnreached, l.err)
	}
	l.dialing = make(chan struct{})
	l.node.tasks.Go(l.dial)
	return nil, l.dialing, nil
}

// dial makes one attempt to open a connection and records its result.
func (l *link) dial() {
	c, err := l.connect()
	if err == nil {
		l.node.addConn(c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
	if err != nil {
		l.scheduleRetry()
	} else {
		l.backoff = 0
		l.useDialed(c)
	}
	close(l.dialing)
	l.dialing = nil
}

// useDialed makes the dialed connection the link's connection if the link has none. The link has none if the text of the
// connection's remote address differs from that of the dialed address, because addConn has then assigned the connection to
// another link. The caller holds l.mu.
func (l *link) useDialed(c *conn) {
	if l.conn == nil {
		l.conn = c
	}
}

// scheduleRetry doubles the back-off and adds a random part of up to a quarter, so that peers do not all dial a returning
// instance at the same time.
func (l *link) scheduleRetry() {
	l.backoff = min(max(2*l.backoff, l.node.opts.BackoffMin), l.node.opts.BackoffMax)
	spread := time.Duration(rand.Int64N(int64(l.backoff)/4 + 1))
	l.retryAt = time.Now().Add(l.backoff + spread)
}

// connect dials the peer and sets up the connection, within Options.DialTimeout.
func (l *link) connect() (*conn, error) {
	ctx, cancel := context.WithTimeout(l.node.ctx, l.node.opts.DialTimeout)
	defer cancel()
	q, err := l.node.transport.Dial(ctx, l.addr, l.node.opts.TLS.Client(), l.node.quicConfig())
	if err != nil {
		return nil, err
	}
	c, err := l.node.setup(ctx, q, true)
	if err != nil {
		q.CloseWithError(codeProtocol, "setup failed")
		return nil, err
	}
	if l.node.isCut(c) {
		q.CloseWithError(codeCut, errCut.Error())
		return nil, errCut
	}
	return c, nil
}

// use makes c the link's connection unless the current one is preferred. A connection to an earlier process at the address
// is ended; a duplicate to the same process is closed once it is not used any more.
func (l *link) use(c *conn) {
	l.mu.Lock()
	old := l.conn
	if old == nil || !old.usable() {
		l.conn = c
		l.mu.Unlock()
		return
	}
	if old.process != c.process {
		l.conn = c
		l.mu.Unlock()
		old.end(errReplaced)
		return
	}
	duplicate := c
	if l.node.prefers(c) {
		l.conn, duplicate = c, old
	}
	l.mu.Unlock()
	l.node.tasks.Go(func() { l.node.closeDuplicate(duplicate, duplicateGrace) })
}

// prefers reports whether c is kept when there are two connections between the same two processes. The connection that was
// dialed by the process with the smaller name is kept, so both sides come to the same decision.
func (n *Node) prefers(c *conn) bool {
	smaller := n.Name().String() < c.from.Name.String()
	return c.dialed == smaller
}

// closeDuplicate closes a duplicate connection after a pause. Only the side that dialed it does so. Because the peer may
// still use the connection, it is first asked to make no new calls on it; then the calls in progress are finished and
// their answers delivered.
func (n *Node) closeDuplicate(c *conn, grace time.Duration) {
	if !c.dialed {
		return
	}
	c.retire()
	if !n.sleep(grace) {
		return
	}
	c.sendGoAway()
	if c.awaitGoAwayAcks(n.ctx) != nil {
		return
	}
	for c.busy() {
		if !n.sleep(closePollInterval) {
			return
		}
	}
	c.sendGoAway() // its acknowledgement shows that the peer has read the answers sent before it
	if c.awaitGoAwayAcks(n.ctx) == nil {
		c.end(errDuplicate)
	}
}

// sleep waits for d. It returns false at once when the node is closed.
func (n *Node) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
