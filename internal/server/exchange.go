package server

import (
	"bytes"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// Exchange is one request and its response.
type Exchange struct {
	Request *fasthttp.Request // valid until Reply is called
	Arrived time.Time         // when the request was read
	// Unread is for how long the request waited before, because the event loop was busy or an earlier request of the connection was in
	// progress, or may have waited because the process was stopped. It counts from the last bytes of the connection that were received.
	Unread     time.Duration
	conn       *conn
	replied    bool
	closeAfter bool // the connection is closed after the response
}

// Disconnected reports whether the caller has closed the connection.
func (x *Exchange) Disconnected() bool { return x.conn.closed.Load() }

// OnDisconnect calls f if the connection is closed before Reply is called. If it is closed already, f is called at once. f
// must not block.
func (x *Exchange) OnDisconnect(f func()) {
	c := x.conn
	c.onDisconnect.Store(&f)
	c.server.opts.Closes.add(c)
	if c.closed.Load() {
		c.disconnected()
	}
}

// disconnected calls the function of Exchange.OnDisconnect unless that has been done or the exchange has ended.
func (c *conn) disconnected() {
	if f := c.onDisconnect.Swap(nil); f != nil {
		(*f)()
	}
}

// ClaimConnection counts the connection for a user until it is closed or another user claims it. user must not be empty. If
// the user already has limit other connections, it returns false and the connection is closed after the response.
func (x *Exchange) ClaimConnection(user string, limit int) bool {
	if x.conn.server.claim(x.conn, user, limit) {
		return true
	}
	x.closeAfter = true
	return false
}

// Reply sends the response with a JSON body. It must be called only once. If retryAfter is above 0, the response has a
// Retry-After header with the time rounded up to seconds.
func (x *Exchange) Reply(status int, body []byte, retryAfter time.Duration) {
	if x.replied {
		panic("server: second reply to one request")
	}
	x.replied = true
	c := x.conn
	c.onDisconnect.Store(nil)
	c.server.opts.Closes.remove(c)
	closeAfter := x.closeAfter || x.Request.ConnectionClose() || c.server.draining.Load()
	var b bytes.Buffer
	b.Grow(len(body) + 160)
	writeResponse(&b, status, body, retryAfter, closeAfter)
	fasthttp.ReleaseRequest(x.Request)
	x.Request = nil
	err := c.raw.AsyncWrite(b.Bytes(), func(raw gnet.Conn, err error) error {
		c.ended()
		if err != nil || closeAfter {
			return raw.Close()
		}
		return c.continueReading(raw)
	})
	if err != nil {
		c.ended()
	}
}

// ended counts the request in progress as answered.
func (c *conn) ended() {
	c.server.active.Add(-1)
	c.lag.end()
}

// continueReading makes the event loop read the next request if it arrived while the previous one was in progress.
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
