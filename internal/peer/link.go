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

const duplicateGrace = time.Second // within it both sides have learned which of two connections to use

var (
	errDuplicate = errors.New("another connection to the same process is used")
	errReplaced  = errors.New("the peer's process was replaced")
	errClosed    = errors.New("closed")
	errCut       = errors.New("cut by fault injection")
)

// link is what this process keeps for a peer's address: the connection in use, or the state of the attempts to
// get one.
type link struct {
	node *Node
	addr *net.UDPAddr

	mu      sync.Mutex
	conn    *conn
	dialing chan struct{} // closed when the attempt has ended; nil without an attempt
	err     error         // of the last attempt
	retryAt time.Time
	backoff time.Duration
}

// get returns the connection, waiting for an attempt in progress. During the back-off after a failed attempt it
// fails at once.
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

// current returns a connection, an attempt to wait for, or the error of the last attempt.
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

// useDialed uses the dialed connection where its remote address reads differently from the dialed one, so that adopt has
// put it under another link.
func (l *link) useDialed(c *conn) {
	if l.conn == nil {
		l.conn = c
	}
}

// scheduleRetry doubles the back-off and spreads it, so that peers do not dial a returning instance in step.
func (l *link) scheduleRetry() {
	l.backoff = min(max(2*l.backoff, l.node.opts.BackoffMin), l.node.opts.BackoffMax)
	spread := time.Duration(rand.Int64N(int64(l.backoff)/4 + 1))
	l.retryAt = time.Now().Add(l.backoff + spread)
}

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

// use makes c the link's connection if it is the better one and deals with the other.
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

// prefers tells which of two simultaneous connections between two processes stays: the one that the process with
// the smaller name dialed. Both sides come to the same decision.
func (n *Node) prefers(c *conn) bool {
	smaller := n.Name().String() < c.from.Name.String()
	return c.dialed == smaller
}

// closeDuplicate ends a duplicate connection after a pause. Only the side that dialed it does so. The peer may still use it:
// it is asked to make no new calls, what it has sent before is answered, and the answers are delivered.
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
	c.sendGoAway() // behind the answers
	if c.awaitGoAwayAcks(n.ctx) == nil {
		c.end(errDuplicate)
	}
}

// sleep returns false if the node is closed meanwhile.
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
