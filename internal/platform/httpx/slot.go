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

// slot carries the calls of one slot of an endpoint, one call at a time. It holds the connection and the buffers.
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

func (s *slot) init(address string) {
	s.header.SetMethod(fasthttp.MethodPost)
	s.header.SetRequestURI("/run")
	s.header.SetHost(address)
	s.header.SetContentType("application/octet-stream")
	s.resp.Header.SetNoDefaultContentType(true)
}

// begin starts a call. It returns the slot's connection, or nil when the call must open one. From here on abandon ends
// the call.
func (s *slot) begin(idleTimeout time.Duration, revoked func() bool) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errClosed
	}
	if revoked != nil && revoked() {
		return nil, errAbandoned
	}
	s.abandoned = false
	s.busy = true
	if s.conn != nil && !s.conn.usable(idleTimeout) {
		s.closeConn()
	}
	return s.conn, nil
}

// attach assigns a new connection to the slot, unless abandon or close was called while the connection was opened.
func (s *slot) attach(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.abandoned {
		c.Close()
		return errAbandoned
	}
	s.conn = c
	return nil
}

// end finishes the call on c, which may be nil. It keeps the connection if it can be reused.
func (s *slot) end(c *conn, reuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	if c == nil || s.conn != c {
		return
	}
	if !reuse {
		s.closeConn()
		return
	}
	c.idleSince = time.Now()
}

func (s *slot) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	s.closeConn()
}

func (s *slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.closeConn()
}

// sweep closes the connection when it has been idle for at least idleTimeout.
func (s *slot) sweep(idleTimeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.busy && s.conn != nil && time.Since(s.conn.idleSince) >= idleTimeout {
		s.closeConn()
	}
}

// closeConn closes the connection, if there is one. The caller holds mu.
func (s *slot) closeConn() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// connect starts a call and returns the slot's connection, which it opens if needed.
func (s *slot) connect(address string, o *Options, revoked func() bool) (*conn, error) {
	c, err := s.begin(o.IdleTimeout, revoked)
	if c != nil || err != nil {
		return c, err
	}
	c, err = dial(context.Background(), address, o.DialTimeout)
	if err != nil {
		return nil, err
	}
	return c, s.attach(c)
}

func (s *slot) run(address string, o *Options, req *platform.RunRequest) platform.RunResult {
	c, err := s.connect(address, o, req.Revoked)
	if err != nil {
		s.end(nil, false)
		return platform.RunResult{Outcome: platform.Unreached, Output: err.Error()}
	}
	request := s.encode(req)
	start := time.Now()
	wrote, err := c.exchange(request, &s.resp, o.MaxResponseBytes)
	res := s.result(wrote, err)
	res.RunTime = time.Since(start)
	reuse := err == nil && !s.resp.ConnectionClose()
	s.trim()
	s.end(c, reuse)
	return res
}

// encode encodes the request into the slot's buffer, so that a single write sends it.
func (s *slot) encode(req *platform.RunRequest) []byte {
	h := &s.header
	h.Set(HeaderTask, req.Task)
	h.Set(HeaderService, req.Service)
	h.SetBytesV(HeaderLease, strconv.AppendInt(s.num[:0], req.Lease.Milliseconds(), 10))
	h.SetBytesV(HeaderCores, strconv.AppendFloat(s.num[:0], req.Size.Cores, 'g', -1, 64))
	h.SetBytesV(HeaderMemory, strconv.AppendInt(s.num[:0], req.Size.MemoryMB, 10))
	h.SetBytesV(HeaderAccelerators, strconv.AppendInt(s.num[:0], int64(req.Size.Accelerators), 10))
	h.SetContentLength(len(req.Payload))
	s.buf = h.AppendBytes(s.buf[:0])
	s.buf = append(s.buf, req.Payload...)
	return s.buf
}

// result maps the response or the error of an exchange to an outcome.
func (s *slot) result(wrote bool, err error) platform.RunResult {
	if err != nil && !wrote {
		return platform.RunResult{Outcome: platform.Unreached, Output: err.Error()}
	}
	if err != nil {
		return platform.RunResult{Outcome: platform.Lost, Output: lostReason(err)}
	}
	res := platform.RunResult{Outcome: platform.Lost, Output: string(s.resp.Body()), Leaving: s.flag(HeaderLeaving)}
	switch s.resp.StatusCode() {
	case fasthttp.StatusOK:
		res.Outcome = platform.Succeeded
	case fasthttp.StatusInternalServerError:
		res.Outcome = platform.Failed
	case fasthttp.StatusServiceUnavailable:
		if s.flag(HeaderNotStarted) {
			res.Outcome = platform.Refused
		}
	}
	if res.Outcome == platform.Lost {
		res.Output = "unexpected status " + strconv.Itoa(s.resp.StatusCode())
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
func (s *slot) flag(name string) bool {
	return string(s.resp.Header.Peek(name)) == "1"
}

// trim releases buffers above maxRetainedBytes.
func (s *slot) trim() {
	if cap(s.buf) > maxRetainedBytes {
		s.buf = nil
	}
	if len(s.resp.Body()) > maxRetainedBytes {
		s.resp.ResetBody()
	}
}
