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

// identityLength is the content length that fasthttp reports for a body delimited by the end of the connection.
const identityLength = -2

var (
	errUnframed = errors.New("response has neither a content length nor chunked encoding, so a truncated body would look complete")
	errInterim  = errors.New("unexpected interim response")
)

// conn is a client connection that carries one request and its response at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	raw       syscall.RawConn
	peek      func(fd uintptr) bool // created once, so that usable does not allocate
	quiet     bool                  // the last peek found the stream open and without data
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
	var buf [1]byte
	c.raw = raw
	c.peek = func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), buf[:])
		c.quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	}
	return c
}

// usable reports whether an idle connection may carry another request. A request on a connection that the server has
// already closed would count as Lost although it never reached the server, so usable checks the socket.
func (c *conn) usable(idleTimeout time.Duration) bool {
	if time.Since(c.idleSince) >= idleTimeout || c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	return c.raw.Read(c.peek) == nil && c.quiet
}

// exchange writes a request and reads the response. wrote reports whether any byte may have reached the server. After
// an error the caller must close the connection.
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
		return nil // a 304 never has a body
	}
	length := resp.Header.ContentLength() // read here, because ReadBody overwrites it
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
