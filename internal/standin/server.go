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
	maxRequestBody = 16 << 20
	maxConcurrency = 100_000
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Listen         string // host:port; port 0 takes a free one
	MaxConnections int    // connections above it are marked Over; 0 means no limit
	Clock          clockwork.Clock
	Handler        fasthttp.RequestHandler
}

// Server serves HTTP/1.1 on one address.
type Server struct {
	listener *listener
	http     *fasthttp.Server
	closed   chan struct{}
	once     sync.Once
	served   sync.WaitGroup
}

// Listen starts a server.
func Listen(o ServerOptions) (*Server, error) {
	nl, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", o.Listen, err)
	}
	s := &Server{
		listener: &listener{Listener: nl, limit: o.MaxConnections, now: o.Clock.Now, conns: map[*Conn]struct{}{}},
		closed:   make(chan struct{}),
	}
	s.http = &fasthttp.Server{
		Handler:               o.Handler,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxRequestBody,
		Concurrency:           maxConcurrency,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                log.New(io.Discard, "", 0), // aborted connections are part of normal operation
	}
	s.served.Go(func() { s.http.Serve(s.listener) })
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Closed is closed when the server closes, so that handlers which wait return.
func (s *Server) Closed() <-chan struct{} { return s.closed }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.listener.open()) }

// Silence makes all connections that are open now silent, except the one that carries the command, and returns their
// number. except may be nil.
func (s *Server) Silence(except net.Conn) int {
	n := 0
	for _, c := range s.listener.open() {
		if net.Conn(c) != except {
			c.Silence()
			n++
		}
	}
	return n
}

// Shutdown lets the calls in progress end for at most grace and closes the server.
func (s *Server) Shutdown(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.http.ShutdownWithContext(ctx)
	s.Close()
}

// Close closes the listener and all connections without waiting for responses.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.listener.closeAll()
	})
	s.served.Wait()
}

// Drop closes the connection of a request without a response.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.Conn().Close()
	ctx.SetConnectionClose()
}

// WriteJSON writes v as the response.
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

// ReadJSON decodes the request's body and answers 400 when it cannot. Unknown fields are refused.
func ReadJSON(ctx *fasthttp.RequestCtx, into any) bool {
	err := DecodeStrict(ctx.PostBody(), into)
	if err != nil {
		ctx.Error("bad request body: "+err.Error(), fasthttp.StatusBadRequest)
	}
	return err == nil
}
