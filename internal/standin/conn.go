// Package standin contains what the stand-ins for the platform's services have in common: an HTTP server whose
// connections can be silenced, the faults that several services support, and the main function of their programs.
// Stand-ins replace the platform in tests and local clusters: package logservice its log service, package instances its
// instance list, and package worker its workers. Tests and operators set faults, such as an outage, with POST /fault.
package standin

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is an accepted connection that can be silenced. A silent connection stays open, but all data is discarded in
// both directions.
type Conn struct {
	net.Conn
	OverLimit bool      // accepted while the maximum number of connections was open
	Accepted  time.Time // when it was accepted, by the server's clock

	listener  *listener
	silent    atomic.Bool
	closeOnce sync.Once
}

// Silence makes the connection silent. This cannot be undone.
func (c *Conn) Silence() {
	c.silent.Store(true)
	c.Conn.SetDeadline(time.Time{})
}

// Read reads from the connection. On a silent connection it blocks until the client closes it.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.Conn.SetDeadline(time.Time{})
			continue
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write writes to the connection. On a silent connection it discards p and reports success.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline sets the read deadline. It has no effect on a silent connection.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection. It leaves a silent connection open until the client closes it, because the client must
// not see the end of the stream.
func (c *Conn) Close() error {
	if !c.silent.Load() {
		return c.closeNow()
	}
	go func() {
		io.Copy(io.Discard, c.Conn)
		c.closeNow()
	}()
	return nil
}

func (c *Conn) closeNow() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.listener.remove(c)
		err = c.Conn.Close()
	})
	return err
}

// listener accepts connections and tracks the open ones.
type listener struct {
	net.Listener
	maxConns int // connections accepted while this many are open are marked OverLimit; 0 means no limit
	now      func() time.Time

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// Accept returns the next connection as a *Conn.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Conn{Conn: nc, listener: l, Accepted: l.now()}
	if l.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	c.OverLimit = l.maxConns > 0 && len(l.conns) > l.maxConns
	return c, nil
}

func (l *listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}

func (l *listener) closeAll() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Listener.Close()
	for _, c := range l.openConns() {
		c.closeNow()
	}
}
