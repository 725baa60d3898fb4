package httpx

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// identityLength is fasthttp's content length of a body that ends with the connection.
const identityLength = -2

var (
	errUnframed = errors.New("response has neither a length nor chunks, so a cut-off body would look complete")
	errInterim  = errors.New("interim response without a request for one")
)

// conn is a client connection that carries one exchange at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	raw       syscall.RawConn
	peek      func(fd uintptr) bool // made once, so that quiet does not allocate
	peeked    bool                  // the last peek found neither data nor the end of the stream
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, br: bufio.NewReader(nc)}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return c
	}
	var one [1]byte
	c.raw = raw
	c.peek = func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), one[:])
		c.peeked = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	}
	return c
}

// usable reports whether an idle connection may carry another request. A request on a connection that the server has
// already closed would be Lost although it never reached the server, so the socket is checked first.
func (c *conn) usable(idleTimeout time.Duration) bool {
	if time.Since(c.idleSince) >= idleTimeout || c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	return c.raw.Read(c.peek) == nil && c.peeked
}

// exchange writes a request and reads the response. wrote tells whether any byte may have reached the server. After
// an error the connection must be closed.
func (c *conn) exchange(request []byte, resp *fasthttp.Response, maxBody int) (wrote bool, err error) {
	n, err := c.Write(request)
	if err != nil {
		return n > 0, err
	}
	return true, readResponse(c.br, resp, maxBody)
}

func readResponse(br *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	if err := resp.Header.Read(br); err != nil {
		return err
	}
	if resp.StatusCode() < fasthttp.StatusOK {
		return fmt.Errorf("%w: status %d", errInterim, resp.StatusCode())
	}
	if resp.StatusCode() == fasthttp.StatusNotModified {
		return nil // never has a body
	}
	length := resp.Header.ContentLength() // ReadBody replaces it
	if length == identityLength {
		return errUnframed
	}
	if err := resp.ReadBody(br, maxBody); err != nil {
		return err
	}
	if length < 0 {
		return resp.Header.ReadTrailer(br)
	}
	return nil
}
