package server

import (
	"bytes"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// Exchange is one request and its answer.
type Exchange struct {
	Request    *fasthttp.Request // valid until Reply
	Arrived    time.Time
	conn       *conn
	replied    bool
	closeAfter bool // the connection is closed after the answer
}

// Disconnected reports whether the caller has closed the connection.
func (x *Exchange) Disconnected() bool { return x.conn.closed.Load() }

// OnDisconnect calls f when the caller closes the connection before the answer. f must not block. If the connection is closed
// already, it is called at once.
func (x *Exchange) OnDisconnect(f func()) {
	c := x.conn
	c.onDisconnect.Store(&f)
	if c.closed.Load() {
		if f := c.onDisconnect.Swap(nil); f != nil {
			(*f)()
		}
	}
}

// ClaimConnection counts the connection for a user, which must not be empty, until it is closed or another user claims it. It
// returns false if the user has its maximum of other connections; the connection is then closed after the answer.
func (x *Exchange) ClaimConnection(user string, limit int) bool {
	if x.conn.server.claim(x.conn, user, limit) {
		return true
	}
	x.closeAfter = true
	return false
}

// Reply sends a JSON body. retryAfter above 0 adds a Retry-After header, rounded up to seconds.
func (x *Exchange) Reply(status int, body []byte, retryAfter time.Duration) {
	if x.replied {
		panic("server: second reply to one request")
	}
	x.replied = true
	c := x.conn
	c.onDisconnect.Store(nil)
	closeAfter := x.closeAfter || x.Request.ConnectionClose() || c.server.draining.Load()
	var b bytes.Buffer
	b.Grow(len(body) + 160)
	writeResponse(&b, status, body, retryAfter, closeAfter)
	fasthttp.ReleaseRequest(x.Request)
	x.Request = nil
	err := c.raw.AsyncWrite(b.Bytes(), func(raw gnet.Conn, err error) error {
		c.server.active.Add(-1)
		if err != nil || closeAfter {
			return raw.Close()
		}
		return c.continueReading(raw)
	})
	if err != nil {
		c.server.active.Add(-1)
	}
}

// continueReading goes on with a request that arrived while the one before was in progress.
func (c *conn) continueReading(raw gnet.Conn) error {
	c.busy.Store(false)
	if raw.InboundBuffered() > 0 {
		return raw.Wake(nil)
	}
	return nil
}

func writeResponse(b *bytes.Buffer, status int, body []byte, retryAfter time.Duration, closeAfter bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(fasthttp.StatusMessage(status))
	b.WriteString("\r\nContent-Type: application/json\r\nContent-Length: ")
	b.WriteString(strconv.Itoa(len(body)))
	if retryAfter > 0 {
		b.WriteString("\r\nRetry-After: ")
		b.WriteString(strconv.FormatInt(int64((retryAfter+time.Second-1)/time.Second), 10))
	}
	if closeAfter {
		b.WriteString("\r\nConnection: close")
	}
	b.WriteString("\r\n\r\n")
	b.Write(body)
}
