package httpx

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxIdleConns bounds the number of idle connections of a client.
const maxIdleConns = 2

// client makes calls that do not belong to a slot. After an error it closes all idle connections, because a fault of
// one connection to a server often affects all of them; the next call opens a new one.
type client struct {
	address string
	opts    Options

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type call struct {
	method string
	path   string
	body   []byte
	fresh  bool   // open a new connection for the call
	etag   string // entity tag of the version that the caller has; the server may answer 304
	output bool   // the response may hold a task's output, so the call is not counted as a control call
}

type reply struct {
	status int
	body   []byte
	etag   string
}

// callError is the error of a call that got no complete response.
type callError struct {
	wrote bool // a byte of the request may have reached the server
	cause error
}

// Error returns the cause.
func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

func newClient(address string, opts Options) *client {
	return &client{address: address, opts: opts}
}

// do makes one call and returns the response of any status. Every error is a *callError.
func (c *client) do(ctx context.Context, k call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	cn, err := c.acquire(ctx, k.fresh)
	if err != nil {
		return reply{}, &callError{cause: withContext(ctx, err)}
	}
	var resp fasthttp.Response
	request := c.encode(k)
	wrote, err := exchangeContext(ctx, cn, request, &resp, c.opts.MaxResponseBytes)
	if wrote && !k.output {
		c.opts.CountControlBytes(len(request) + len(resp.Header.Header()) + len(resp.Body()))
	}
	if err != nil {
		cn.Close()
		c.closeIdle()
		return reply{}, &callError{wrote: wrote, cause: withContext(ctx, err)}
	}
	c.release(cn, &resp)
	return reply{status: resp.StatusCode(), body: resp.Body(), etag: string(resp.Header.Peek(fasthttp.HeaderETag))}, nil
}

// exchangeContext is cn.exchange that fails when the context ends.
func exchangeContext(ctx context.Context, cn *conn, request []byte, resp *fasthttp.Response, maxBody int) (bool, error) {
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	wrote, err := cn.exchange(request, resp, maxBody)
	if !stop() && err == nil {
		// The context ended during the exchange and sets the deadline, so the connection cannot be reused.
		resp.SetConnectionClose()
	}
	return wrote, err
}

// withContext adds the context's error, so that callers can test for a timeout with errors.Is.
func withContext(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		return errors.Join(cause, err)
	}
	return err
}

func (c *client) encode(k call) []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(k.method)
	h.SetRequestURI(k.path)
	h.SetHost(c.address)
	if c.opts.Zone != "" {
		h.Set(HeaderZone, c.opts.Zone)
	}
	if k.etag != "" {
		h.Set(fasthttp.HeaderIfNoneMatch, k.etag)
	}
	if k.method != fasthttp.MethodGet {
		h.SetContentType("application/json")
		h.SetContentLength(len(k.body))
	}
	return append(h.AppendBytes(nil), k.body...)
}

func (c *client) acquire(ctx context.Context, fresh bool) (*conn, error) {
	if cn, err := c.takeIdle(fresh); cn != nil || err != nil {
		return cn, err
	}
	return dial(ctx, c.address, c.opts.DialTimeout)
}

// takeIdle returns an idle connection that is usable, or nil if there is none or a fresh one is requested.
func (c *client) takeIdle(fresh bool) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	for !fresh && len(c.idle) > 0 {
		last := len(c.idle) - 1
		cn := c.idle[last]
		c.idle = c.idle[:last]
		if cn.usable(c.opts.IdleTimeout) {
			return cn, nil
		}
		cn.Close()
	}
	return nil, nil
}

func (c *client) release(cn *conn, resp *fasthttp.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || resp.ConnectionClose() || len(c.idle) >= maxIdleConns {
		cn.Close()
		return
	}
	cn.idleSince = time.Now()
	c.idle = append(c.idle, cn)
}

func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
}

// sweep closes the connections that have been idle for at least IdleTimeout.
func (c *client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := c.idle[:0]
	for _, cn := range c.idle {
		if time.Since(cn.idleSince) < c.opts.IdleTimeout {
			remaining = append(remaining, cn)
			continue
		}
		cn.Close()
	}
	clear(c.idle[len(remaining):])
	c.idle = remaining
}

func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.closeIdle()
}
