package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Limits of a stand-in's HTTP server.
const (
	idleTimeout    = 60 * time.Second
	maxRequestBody = 16 << 20 // bytes
	maxConcurrency = 100_000  // connections served at the same time
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Listen         string // host:port; port 0 takes a free port
	MaxConnections int    // connections accepted while this many are open are marked OverLimit; 0 means no limit
	Clock          clockwork.Clock
	Handler        fasthttp.RequestHandler
}

// Server serves HTTP/1.1 on one address.
type Server struct {
	listener  *listener
	http      *fasthttp.Server
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	serving   sync.WaitGroup
}

// Listen starts a server. The server may call the handler before Listen returns.
func Listen(o ServerOptions) (*Server, error) {
	nl, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", o.Listen, err)
	}
	s := &Server{
		listener: &listener{Listener: nl, maxConns: o.MaxConnections, now: o.Clock.Now, conns: map[*Conn]struct{}{}},
		closed:   make(chan struct{}),
	}
	s.http = &fasthttp.Server{
		Handler:               o.Handler,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxRequestBody,
		Concurrency:           maxConcurrency,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                log.New(io.Discard, "", 0), // clients abort connections in normal operation
	}
	s.serving.Go(func() { s.http.Serve(s.listener) })
	return s, nil
}

// Address returns the bound address as host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Closed returns a channel that is closed when the server closes. Handlers that wait must return then.
func (s *Server) Closed() <-chan struct{} { return s.closed }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.listener.openConns()) }

// Silence makes the connections that are open now silent and returns their number. It does not silence the connection
// except, which may be nil.
func (s *Server) Silence(except net.Conn) int {
	n := 0
	for _, c := range s.listener.openConns() {
		if net.Conn(c) != except {
			c.Silence()
			n++
		}
	}
	return n
}

// Shutdown waits at most grace for the calls in progress and then closes the server.
func (s *Server) Shutdown(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.http.ShutdownWithContext(ctx)
	s.Close()
}

// Close closes the listener and all connections without waiting for responses.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.listener.closeAll()
	})
	s.serving.Wait()
}

// Drop closes the connection of a request without sending a response.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.Conn().Close()
	ctx.SetConnectionClose()
}

// WriteJSON responds with a status and v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ReadJSON decodes the JSON body of a request and reports whether it succeeded. If the body is malformed or has unknown
// fields, it responds with status 400.
func ReadJSON(ctx *fasthttp.RequestCtx, into any) bool {
	err := DecodeStrict(ctx.PostBody(), into)
	if err != nil {
		ctx.Error("bad request body: "+err.Error(), fasthttp.StatusBadRequest)
	}
	return err == nil
}
