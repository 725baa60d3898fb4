package httpx

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
)

// maxRetainedBytes bounds the size of each buffer that a slot keeps between calls, so that a few large payloads do not
// raise the memory use of every slot permanently.
const maxRetainedBytes = 64 << 10

var (
	errAbandoned = errors.New("slot was abandoned")
	errClosed    = errors.New("endpoint is closed")
	errNoSlot    = errors.New("endpoint has no such slot")
)

// slot is the connection of one slot of an endpoint with the buffers of its calls.
type slot struct {
	mu        sync.Mutex
	conn      *conn
	busy      bool
	abandoned bool
	closed    bool

	// The call in progress uses the fields below without holding mu.
	header fasthttp.RequestHeader
	resp   fasthttp.Response
	buf    []byte
	num    [32]byte
}

func (l *slot) init(address string) {
	l.header.SetMethod(fasthttp.MethodPost)
	l.header.SetRequestURI("/run")
	l.header.SetHost(address)
	l.header.SetContentType("application/octet-stream")
	l.resp.Header.SetNoDefaultContentType(true)
}

// begin starts a call. It returns the slot's connection, or nil when the call must open one. From here on abandon ends
// the call.
func (l *slot) begin(idleTimeout time.Duration, revoked func() bool) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	if revoked != nil && revoked() {
		return nil, errAbandoned
	}
	l.abandoned = false
	l.busy = true
	if l.conn != nil && !l.conn.usable(idleTimeout) {
		l.closeConn()
	}
	return l.conn, nil
}

// attach assigns a new connection to the slot, unless the slot was abandoned or closed while the connection was opened.
func (l *slot) attach(c *conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.abandoned {
		c.Close()
		return errAbandoned
	}
	l.conn = c
	return nil
}

// end finishes the call on c, which may be nil. It keeps the connection if it can be reused.
func (l *slot) end(c *conn, reuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	if c == nil || l.conn != c {
		return
	}
	if !reuse {
		l.closeConn()
		return
	}
	c.idleSince = time.Now()
}

func (l *slot) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = true
	l.closeConn()
}

func (l *slot) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeConn()
}

// sweep closes the connection when it has been idle for at least idleTimeout.
func (l *slot) sweep(idleTimeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.busy && l.conn != nil && time.Since(l.conn.idleSince) >= idleTimeout {
		l.closeConn()
	}
}

// closeConn closes the connection, if there is one. The caller holds mu.
func (l *slot) closeConn() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// connect starts a call and returns the slot's connection, which it opens if needed.
func (l *slot) connect(address string, o *Options, revoked func() bool) (*conn, error) {
	c, err := l.begin(o.IdleTimeout, revoked)
	if c != nil || err != nil {
		return c, err
	}
	c, err = dial(context.Background(), address, o.DialTimeout)
	if err != nil {
		return nil, err
	}
	return c, l.attach(c)
}

func (l *slot) run(address string, o *Options, req *platform.RunRequest) platform.RunResult {
	c, err := l.connect(address, o, req.Revoked)
	if err != nil {
		l.end(nil, false)
		return platform.RunResult{Outcome: platform.Unreached, Output: err.Error()}
	}
	request := l.encode(req)
	start := time.Now()
	wrote, err := c.exchange(request, &l.resp, o.MaxResponseBytes)
	res := l.result(wrote, err)
	res.RunTime = time.Since(start)
	reuse := err == nil && !l.resp.ConnectionClose()
	l.trim()
	l.end(c, reuse)
	return res
}

// encode encodes the request into the slot's buffer, so that a single write sends it.
func (l *slot) encode(req *platform.RunRequest) []byte {
	h := &l.header
	h.Set(HeaderTask, req.Task)
	h.Set(HeaderService, req.Service)
	h.SetBytesV(HeaderLease, strconv.AppendInt(l.num[:0], req.Lease.Milliseconds(), 10))
	h.SetBytesV(HeaderCores, strconv.AppendFloat(l.num[:0], req.Size.Cores, 'g', -1, 64))
	h.SetBytesV(HeaderMemory, strconv.AppendInt(l.num[:0], req.Size.MemoryMB, 10))
	h.SetBytesV(HeaderAccelerators, strconv.AppendInt(l.num[:0], int64(req.Size.Accelerators), 10))
	h.SetContentLength(len(req.Payload))
	l.buf = h.AppendBytes(l.buf[:0])
	l.buf = append(l.buf, req.Payload...)
	return l.buf
}

// result maps the response or the error of an exchange to an outcome.
func (l *slot) result(wrote bool, err error) platform.RunResult {
	if err != nil && !wrote {
		return platform.RunResult{Outcome: platform.Unreached, Output: err.Error()}
	}
	if err != nil {
		return platform.RunResult{Outcome: platform.Lost, Output: lostReason(err)}
	}
	res := platform.RunResult{Outcome: platform.Lost, Output: string(l.resp.Body()), Leaving: l.flag(HeaderLeaving)}
	switch l.resp.StatusCode() {
	case fasthttp.StatusOK:
		res.Outcome = platform.Succeeded
	case fasthttp.StatusInternalServerError:
		res.Outcome = platform.Failed
	case fasthttp.StatusServiceUnavailable:
		if l.flag(HeaderNotStarted) {
			res.Outcome = platform.Refused
		}
	}
	if res.Outcome == platform.Lost {
		res.Output = "unexpected status " + strconv.Itoa(l.resp.StatusCode())
	}
	return res
}

func lostReason(err error) string {
	if errors.Is(err, net.ErrClosed) {
		return errAbandoned.Error()
	}
	return err.Error()
}

// flag reports whether a header of the response is "1".
func (l *slot) flag(name string) bool {
	return string(l.resp.Header.Peek(name)) == "1"
}

// trim releases buffers above maxRetainedBytes.
func (l *slot) trim() {
	if cap(l.buf) > maxRetainedBytes {
		l.buf = nil
	}
	if len(l.resp.Body()) > maxRetainedBytes {
		l.resp.ResetBody()
	}
}
