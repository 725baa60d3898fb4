package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/result"
)

func startServer(t *testing.T, h Handler) *Server { return startLoops(t, 2, h) }

// startLoops starts a server with a number of event loops.
func startLoops(t *testing.T, loops int, h Handler) *Server {
	s, err := Start(Options{
		Address: "127.0.0.1:0", Loops: loops, Handler: h,
		Limits: func() Limits {
			return Limits{HeaderBytes: 1024, BodyBytes: 2048, Connections: 3, RequestTimeout: time.Hour}
		},
		EncodeRefusal: func(c result.Code, m string) []byte { return fmt.Appendf(nil, `{"code":%d}`, c) },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(context.Background()) })
	return s
}

func echo(x *Exchange) {
	body := append([]byte(nil), x.Request.Body()...)
	go x.Reply(200, body, 0)
}

// send writes raw bytes on a new connection and returns the status and the body of the first response.
func send(t *testing.T, s *Server, raw string) (int, string) {
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte(raw))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// Guards against malformed input that stops the process or is refused with another code than documented.
func TestBadInputIsRefusedByCode(t *testing.T) {
	is := is.New(t)
	s := startServer(t, HandlerFunc(echo))
	for raw, want := range map[string]result.Code{
		"NONSENSE\r\n\r\n": result.MalformedHTTP,
		"GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n":                                           result.MalformedHTTP,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 2000) + "\r\n\r\n":                         result.HeaderTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n":                             result.BodyTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                 result.MalformedHTTP,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 7\r\n\r\nab\r\n\r\n": result.MalformedHTTP,
	} {
		status, body := send(t, s, raw)
		is.Equal(body, fmt.Sprintf(`{"code":%d}`, want))
		is.Equal(status, want.Info().HTTPStatus)
	}
	status, body := send(t, s, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
	is.Equal(status, 200) // the process still serves
	is.Equal(body, "ok")
}

// Guards against responses in the wrong order when a caller sends several requests without waiting, split at arbitrary
// bytes.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	s := startServer(t, HandlerFunc(echo))
	c, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer c.Close()
	var raw string
	for i := range 20 {
		raw += fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n%02d", i)
	}
	raw += "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n2\r\n1\r\n0\r\n0\r\n\r\n"
	go func() {
		for i := 0; i < len(raw); i += 7 {
			c.Write([]byte(raw[i:min(i+7, len(raw))]))
		}
	}()
	br := bufio.NewReader(c)
	for i := range 21 {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, _ := io.ReadAll(resp.Body)
		is.Equal(string(body), fmt.Sprintf("%02d", i))
	}
}

// Guards against a server that does not send 100 Continue, for which curl and other clients wait before they send a large
// body.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	s := startServer(t, HandlerFunc(echo))
	c, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer c.Close()
	c.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	br := bufio.NewReader(c)
	line, err := br.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	br.ReadString('\n')
	c.Write([]byte("hi"))
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	body, _ := io.ReadAll(resp.Body)
	is.Equal(string(body), "hi")
}

// Guards against leaving a connection over the limit without an answer instead of refusing it.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := startServer(t, HandlerFunc(echo))
	for range 3 {
		c, err := net.Dial("tcp", s.Address())
		is.NoErr(err)
		defer c.Close()
		c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
	}
	status, body := send(t, s, "")
	is.Equal(status, 503)
	is.Equal(body, `{"code":308}`)
}

// Guards against a user that takes more connections than its limit, and against claims that are still counted after their
// connections have been closed.
func TestClaimsAreCountedByUserAndReleased(t *testing.T) {
	is := is.New(t)
	s := startServer(t, HandlerFunc(func(x *Exchange) {
		status := 200
		if !x.ClaimConnection(string(x.Request.Header.Peek("User")), 1) {
			status = 503
		}
		x.Reply(status, nil, 0)
	}))
	ask := func(c net.Conn, user string) *http.Response {
		c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nUser: " + user + "\r\n\r\n"))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		return resp
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.Address())
		is.NoErr(err)
		return c
	}
	first, second := dial(), dial()
	is.Equal(ask(first, "a").StatusCode, 200)
	is.Equal(ask(first, "a").StatusCode, 200)
	is.Equal(ask(second, "b").StatusCode, 200) // another user
	over := ask(second, "a")
	is.Equal(over.StatusCode, 503)
	is.True(over.Close)
	claims := func(user string) int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.users[user]
	}
	first.Close()
	second.Close()
	for s.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(claims("a")+claims("b"), 0)
	third := dial()
	defer third.Close()
	is.Equal(ask(third, "b").StatusCode, 200)
	is.Equal(ask(third, "a").StatusCode, 200) // another user gets the connection
	is.Equal(claims("b"), 0)
}

// Guards against a planned stop that drops a request in progress.
func TestDrainAnswersAndCloses(t *testing.T) {
	is := is.New(t)
	received := make(chan *Exchange, 1)
	s := startServer(t, HandlerFunc(func(x *Exchange) { received <- x }))
	done := make(chan string)
	go func() {
		_, body := send(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		done <- body
	}()
	x := <-received
	is.Equal(s.Active(), int64(1))
	s.Drain()
	x.Reply(200, []byte("late"), 0)
	is.Equal(<-done, "late")
}

// Guards against work for a request whose caller has left while the process was stopped: the caller may have sent the
// request to another instance, where its work runs at the same time.
func TestRequestOfACallerThatHasLeft(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int32
	stopped, proceed := make(chan struct{}), make(chan struct{})
	s := startLoops(t, 1, HandlerFunc(func(x *Exchange) {
		if string(x.Request.URI().Path()) == "/stop" {
			close(stopped)
			<-proceed // stops the event loop
		}
		handled.Add(1)
		echo(x)
	}))
	answered := make(chan int)
	go func() {
		status, _ := send(t, s, "GET /stop HTTP/1.1\r\nHost: h\r\n\r\n")
		answered <- status
	}()
	<-stopped
	left, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	_, err = left.Write([]byte("POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"))
	is.NoErr(err)
	is.NoErr(left.Close())
	close(proceed)
	is.Equal(<-answered, 200)
	status, _ := send(t, s, "GET /after HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(status, 200)
	is.Equal(handled.Load(), int32(2))
}

// Guards against requests that wait unread in the kernel's buffers and pass for new ones, because the event loop, and not the whole process,
// stood still. One of them comes on a connection that the server has not accepted yet.
func TestRequestsThatWaitForTheEventLoop(t *testing.T) {
	is := is.New(t)
	const stall = 300 * time.Millisecond
	held, release, unread := make(chan struct{}), make(chan struct{}), make(chan time.Duration, 2)
	s := startLoops(t, 1, HandlerFunc(func(x *Exchange) {
		if string(x.Request.Header.Method()) == "PUT" {
			close(held)
			<-release
		} else {
			unread <- x.Unread
		}
		go x.Reply(200, nil, 0)
	}))
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.Address())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	open := dial()
	for s.Connections() < 1 {
		time.Sleep(time.Millisecond)
	}
	holder := dial()
	holder.Write([]byte("PUT / HTTP/1.1\r\nHost: a\r\n\r\n"))
	<-held
	open.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	dial().Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	time.Sleep(stall)
	close(release)
	is.True(<-unread >= stall-20*time.Millisecond) // the kernel counts in steps of up to 10 ms
	is.True(<-unread >= stall-20*time.Millisecond)
}

// Guards against connections that stay open without an answer while the listener ends: those that callers open at that moment are never
// read, and their callers wait until the process has ended.
func TestStopEndsAtOnce(t *testing.T) {
	is := is.New(t)
	quickest := time.Hour // one of several, since the processor may be busy
	for range 5 {
		s := startServer(t, HandlerFunc(echo))
		begun := time.Now()
		is.NoErr(s.Stop(t.Context()))
		quickest = min(quickest, time.Since(begun))
	}
	is.True(quickest < 250*time.Millisecond)
}
