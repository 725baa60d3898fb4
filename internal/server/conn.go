package server

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/result"
)

var (
	headerEnd     = []byte("\r\n\r\n")
	continueBytes = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

// chunked is the value of conn.requestBytes for a request with chunked encoding, whose length is known only at its end.
const chunked = -1

// conn is the state of one caller's connection. Fields that are neither atomic nor guarded by a lock are used only on the
// connection's event loop.
type conn struct {
	server       *Server
	raw          gnet.Conn
	busy         atomic.Bool  // the handler has a request that it has not answered
	closed       atomic.Bool  // the connection is closed
	firstByteNS  atomic.Int64 // arrival of the first byte of an incomplete request, in Unix ns; 0 if there is none
	requestBytes int          // length of the incomplete request, or chunked; 0 until its header is complete
	user         string       // user that has claimed the connection, or ""; guarded by server.mu
	continueSent bool         // 100 Continue has been sent for the incomplete request
	onDisconnect atomic.Pointer[func()]
	openAt       time.Duration // when the connection was last seen open, before its request was passed to the handler; as of pause.Elapsed
	lag          *loopLag      // of the connection's event loop; nil if it is not measured
}

// read passes the request at the head of the buffer to the handler if it is complete.
func (c *conn) read(limits Limits) gnet.Action {
	buf, err := c.raw.Peek(-1)
	if err != nil || len(buf) == 0 {
		return gnet.None
	}
	if c.firstByteNS.Load() == 0 {
		c.firstByteNS.Store(time.Now().UnixNano())
	}
	if c.requestBytes == 0 {
		if code, msg := c.readHeader(buf, limits); code != result.Complete {
			return c.refuse(code, msg)
		}
	}
	if c.requestBytes == 0 || (c.requestBytes > 0 && len(buf) < c.requestBytes) {
		return gnet.None
	}
	return c.readRequest(buf, limits)
}

// readHeader sets c.requestBytes if the header is complete, and sends 100 Continue if the caller expects it. It returns
// result.Complete unless the request must be refused.
func (c *conn) readHeader(buf []byte, limits Limits) (result.Code, string) {
	end := bytes.Index(buf, headerEnd)
	if end < 0 && len(buf) <= limits.HeaderBytes {
		return result.Complete, ""
	}
	if end < 0 || end > limits.HeaderBytes {
		return result.HeaderTooLarge, "the header exceeds the limit"
	}
	end += len(headerEnd)
	var h fasthttp.RequestHeader
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(buf[:end]), end+1)); err != nil {
		return result.MalformedHTTP, "the request header is malformed"
	}
	n := h.ContentLength()
	if n > limits.BodyBytes {
		return result.BodyTooLarge, "the body exceeds the limit"
	}
	if n == -1 {
		c.requestBytes = chunked
	} else {
		c.requestBytes = end + max(n, 0)
	}
	if len(h.Peek("Expect")) > 0 && !c.continueSent {
		c.continueSent = true
		c.raw.Write(continueBytes)
	}
	return result.Complete, ""
}

// readRequest parses the request at the head of the buffer and calls the handler. A chunked request may still be incomplete.
func (c *conn) readRequest(buf []byte, limits Limits) gnet.Action {
	raw := buf
	if c.requestBytes > 0 {
		raw = buf[:c.requestBytes]
	}
	src := bytes.NewReader(raw)
	br := bufio.NewReaderSize(src, min(len(raw), limits.HeaderBytes)+1)
	req := fasthttp.AcquireRequest()
	err := req.ReadLimitBody(br, limits.BodyBytes)
	if err == nil && req.MayContinue() {
		err = req.ContinueReadBody(br, limits.BodyBytes)
	}
	if err != nil {
		fasthttp.ReleaseRequest(req)
		if c.requestBytes == chunked && incomplete(err) && len(buf) <= 2*limits.BodyBytes {
			return gnet.None
		}
		return c.refuse(result.MalformedHTTP, "the request is malformed")
	}
	c.raw.Discard(len(raw) - src.Len() - br.Buffered())
	c.requestBytes, c.continueSent = 0, false
	c.firstByteNS.Store(0)
	c.openAt = pause.Elapsed()
	openAt := c.lag.time()
	if peerClosed(c.raw.Fd()) {
		fasthttp.ReleaseRequest(req)
		c.server.opts.Log.WithField("event", "request_left").Info("caller closed its connection before its request was read")
		return gnet.Close
	}
	c.busy.Store(true)
	c.server.active.Add(1)
	c.lag.begin(openAt)
	unread := max(c.sinceReceived(), c.server.observe())
	c.server.opts.Handler.Serve(&Exchange{conn: c, Request: req, Arrived: time.Now(), Unread: unread})
	return gnet.None
}

// sinceReceived returns how long ago the kernel received the last data of the connection, without the time for which the machine was
// suspended. It returns 0 if the kernel does not tell.
func (c *conn) sinceReceived() time.Duration {
	info, err := unix.GetsockoptTCPInfo(c.raw.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		c.server.opts.Log.WithField("event", "tcp_info_failed").WithError(err).Debug("the time at which a request was received is not known")
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// peerClosed reports whether the peer has closed a connection on which all received bytes have been read. A process that was stopped
// for a while finds requests whose callers have left since and may have sent them to another instance.
func peerClosed(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// incomplete reports whether a parser failed because the input ended too early.
func incomplete(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// refuse answers a request that could not be parsed. It closes the connection, because the end of the request is not known.
func (c *conn) refuse(code result.Code, message string) gnet.Action {
	c.raw.Write(c.server.refusal(code, message))
	return gnet.Close
}
