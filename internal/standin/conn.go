// Package standin holds what the stand-ins for the platform's parts share: a server whose connections can be silenced,
// faults common to services, and the start of a program.
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

// Conn is an accepted connection that can be made silent: from then on, what the client sends is dropped and what the
// server writes is lost, while the connection stays open.
type Conn struct {
	net.Conn
	OverLimit bool      // accepted above the connection limit
	Accepted  time.Time // by the listener's clock

	listener *listener
	silent   atomic.Bool
	once     sync.Once
}

// Silence makes the connection silent for good.
func (c *Conn) Silence() {
	c.silent.Store(true)
	c.Conn.SetDeadline(time.Time{})
}

// Read reads from the connection. On a silent connection it returns only when the client has closed it.
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

// Write writes to the connection, or drops p when the connection is silent.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetReadDeadline has no effect on a silent connection.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection. A silent connection stays open until the client closes it, as the client must not see
// the end of the stream.
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
	c.once.Do(func() {
		c.listener.forget(c)
		err = c.Conn.Close()
	})
	return err
}

// listener tracks the open connections.
type listener struct {
	net.Listener
	limit int // connections above it are marked Over; 0 means no limit
	now   func() time.Time

	mu    sync.Mutex
	conns map[*Conn]struct{}
	done  bool
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
	if l.done {
		nc.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	c.OverLimit = l.limit > 0 && len(l.conns) > l.limit
	return c, nil
}

func (l *listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) open() []*Conn {
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
	l.done = true
	l.mu.Unlock()
	l.Listener.Close()
	for _, c := range l.open() {
		c.closeNow()
	}
}
