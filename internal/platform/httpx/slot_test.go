package httpx

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
)

// scripted is a server that answers every request with the same bytes.
type scripted struct {
	net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

// serve starts a scripted server. When closeAfter is set, it closes the connection after each response.
func serve(tb testing.TB, response string, closeAfter bool) *scripted {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &scripted{Listener: l}
	tb.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.answer(c, []byte(response), closeAfter)
		}
	}()
	return s
}

func (s *scripted) answer(c net.Conn, response []byte, closeAfter bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	var req fasthttp.Request
	for req.Read(br) == nil {
		s.requests.Add(1)
		c.Write(response)
		if closeAfter {
			return
		}
	}
}

func open(tb testing.TB, address string) *endpoint {
	e := NewDialer(Options{}).Dial(address, 1).(*endpoint)
	tb.Cleanup(e.Close)
	return e
}

var request = &platform.RunRequest{Task: "id/0", Service: "quote", Lease: time.Second, Payload: "body"}

// Guards against an outcome that says that a task did not run, or did run, when the response does not prove it, and
// against a request that is written twice.
func TestOutcomes(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\n"
	for _, c := range []struct {
		name, response string
		want           platform.Outcome
		leaving        bool
	}{
		{"200", "HTTP/1.1 200 OK\r\n" + length + "ok", platform.Succeeded, false},
		{"200 chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", platform.Succeeded, false},
		{"500", "HTTP/1.1 500 E\r\n" + length + "no", platform.Failed, false},
		{"503 before the start", "HTTP/1.1 503 U\r\nX-Not-Started: 1\r\n" + length + "no", platform.Refused, false},
		{"503 leaving", "HTTP/1.1 503 U\r\nX-Not-Started: 1\r\nX-Leaving: 1\r\n" + length + "no", platform.Refused, true},
		{"503 of unknown meaning", "HTTP/1.1 503 U\r\n" + length + "no", platform.Lost, false},
		{"404", "HTTP/1.1 404 N\r\n" + length + "no", platform.Lost, false},
		{"no response", "", platform.Lost, false},
		{"body cut off", "HTTP/1.1 200 OK\r\n" + length + "o", platform.Lost, false},
		{"body without length", "HTTP/1.1 200 OK\r\n\r\nok", platform.Lost, false},
		{"interim response", "HTTP/1.1 102 P\r\n\r\n", platform.Lost, false},
		{"no HTTP", "\x00\x01\r\n\r\n", platform.Lost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, c.response, true)
			res := open(t, s.Addr().String()).Run(0, request)
			is.Equal(res.Outcome, c.want)
			is.Equal(res.Leaving, c.leaving)
			is.Equal(s.requests.Load(), int64(1)) // written once
			if c.want == platform.Succeeded {
				is.Equal(res.Output, "ok")
			}
		})
	}
}

// Guards against Lost ("may have run") as the outcome of a task of which no byte was written.
func TestUnreached(t *testing.T) {
	is := is.New(t)
	s := serve(t, "", false)
	s.Close()
	e := open(t, s.Addr().String())
	is.Equal(e.Run(0, request).Outcome, platform.Unreached)
	is.Equal(e.Run(1, request).Outcome, platform.Unreached) // no such slot
	is.True(e.slots[0].conn == nil)
	e.Close()
	is.Equal(e.Run(0, request).Outcome, platform.Unreached)
}

// Guards against Lost as the outcome of a task because the server has closed an idle connection, and against a
// connection that is reused or kept open after its idle timeout.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true)
	e := open(t, s.Addr().String())
	for range 3 {
		is.Equal(e.Run(0, request).Outcome, platform.Succeeded)
		for e.slots[0].conn.usable(time.Hour) {
			time.Sleep(time.Millisecond) // the end of the stream has not arrived yet
		}
	}
	is.Equal(s.requests.Load(), int64(3))

	keep := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)
	e = open(t, keep.Addr().String())
	e.Run(0, request)
	e.Run(0, request)
	is.Equal(keep.conns.Load(), int64(1)) // reused
	e.slots[0].conn.idleSince = time.Now().Add(-e.opts.IdleTimeout)
	e.Run(0, request)
	is.Equal(keep.conns.Load(), int64(2)) // the first connection was idle for too long
	e.slots[0].conn.idleSince = time.Now().Add(-e.opts.IdleTimeout)
	e.slots[0].sweep(e.opts.IdleTimeout)
	is.True(e.slots[0].conn == nil)
}

// Guards against a task that is written to an idle connection which broke together with the connection of a failed
// renewal, and therefore counts as Lost.
func TestFailedRenewalClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	e := open(t, s.Addr().String())
	is.Equal(e.Run(0, request).Outcome, platform.Succeeded)
	is.Equal(s.conns.Load(), int64(1))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := e.Renew(ended, nil)
	is.True(err != nil)
	is.Equal(e.Run(0, request).Outcome, platform.Succeeded)
	is.Equal(s.conns.Load(), int64(2))
}

// BenchmarkRun measures one call over loopback. The server runs in the same process, so the time covers both sides.
func BenchmarkRun(b *testing.B) {
	s := serve(b, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	e := open(b, s.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		if res := e.Run(0, request); res.Outcome != platform.Succeeded {
			b.Fatal(res)
		}
	}
}

// memoryConn is a connection that answers each write with the same response from memory.
type memoryConn struct {
	net.Conn
	response []byte
	pending  []byte
}

func (c *memoryConn) Write(p []byte) (int, error) {
	c.pending = c.response
	return len(p), nil
}

func (c *memoryConn) Read(p []byte) (int, error) {
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

func (c *memoryConn) Close() error { return nil }

// BenchmarkRunNoNetwork measures the adapter's own time in a call, without a network.
func BenchmarkRunNoNetwork(b *testing.B) {
	e := open(b, "127.0.0.1:1")
	c := newConn(&memoryConn{response: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")})
	c.idleSince = time.Now()
	e.slots[0].conn = c
	b.ReportAllocs()
	for b.Loop() {
		if res := e.Run(0, request); res.Outcome != platform.Succeeded {
			b.Fatal(res)
		}
	}
}

// Guards against a task that starts after its end was reported to its caller, because Abandon is called for its slot
// between the decision to call and the call.
func TestRevokedCallSendsNothing(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	e := open(t, s.Addr().String())
	var revoked atomic.Bool
	revocable := *request
	revocable.Revoked = revoked.Load
	is.Equal(e.Run(0, &revocable).Outcome, platform.Succeeded)
	revoked.Store(true)
	e.Abandon(0)
	is.Equal(e.Run(0, &revocable).Outcome, platform.Unreached)
	is.Equal(s.requests.Load(), int64(1))
	is.Equal(e.Run(0, request).Outcome, platform.Succeeded) // the slot is free for the next call
}
