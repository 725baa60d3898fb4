//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// cutInterval is the interval at which data that meets a cut checks for its end.
const cutInterval = 2 * time.Millisecond

// link is the path from one instance to one stand-in.
type link struct {
	caller net.Addr
	local  net.Addr // registered address of the endpoint at the other end; nil for the store

	mu  sync.Mutex
	cut bool
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// listener accepts the connections of a link. Its connections tell the instance's address as that of their peer.
type listener struct {
	net.Listener
	link *link
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, link: l.link}, nil
}

// conn is a connection over a link. It is silent while the link is cut; what meets the cut is lost, and the connection ends with the cut.
type conn struct {
	net.Conn
	link *link
}

// RemoteAddr returns the address of the instance.
func (c *conn) RemoteAddr() net.Addr { return c.link.caller }

// LocalAddr returns the registered address of an endpoint, whichever port the connection came to.
func (c *conn) LocalAddr() net.Addr {
	if c.link.local != nil {
		return c.link.local
	}
	return c.Conn.LocalAddr()
}

// awaitEnd returns false at once if the link is not cut. Otherwise it waits for the end of the cut and closes the connection.
func (c *conn) awaitEnd() bool {
	if !c.link.isCut() {
		return false
	}
	for c.link.isCut() {
		time.Sleep(cutInterval)
	}
	c.Conn.Close()
	return true
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.awaitEnd() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if c.awaitEnd() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}
