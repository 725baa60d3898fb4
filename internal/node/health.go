package node

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/pause"
)

// maxStall is how long the callers' event loop, the gateway's lock or a shard's checks may stand still before the instance reports
// that it is not ready. A busy instance stands still for less.
const maxStall = 2 * time.Second

// loopProbeInterval is the interval at which it is checked that the callers' event loop turns.
const loopProbeInterval = 500 * time.Millisecond

// serveHealth starts the listener for the load balancer's health checks.
func (n *Node) serveHealth() (*fasthttp.Server, error) {
	l, err := net.Listen("tcp", n.opts.Settings.Health)
	if err != nil {
		return nil, err
	}
	s := &fasthttp.Server{Handler: n.health, NoDefaultServerHeader: true, ReadBufferSize: 2048, WriteBufferSize: 2048}
	go func() {
		if err := s.Serve(l); err != nil {
			n.log.WithField("event", "health_listener_failed").WithError(err).Error("health checks are not answered")
		}
	}()
	return s, nil
}

// health responds with status 200 if the instance is ready, otherwise with 503.
func (n *Node) health(ctx *fasthttp.RequestCtx) {
	if !n.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// draining reports whether Drain has been called.
func (n *Node) draining() bool {
	select {
	case <-n.drain:
		return true
	default:
		return false
	}
}

// ready reports whether the instance has a configuration, is not draining, and neither its gateway nor a shard has stood still for
// maxStall.
func (n *Node) ready() bool {
	return n.config.Load() != nil && !n.draining() && n.gateway.Unattended() <= maxStall && n.loopLag() <= maxStall && !n.stalled()
}

// stalled reports whether a shard has not made its periodic checks for maxStall.
func (n *Node) stalled() bool {
	for _, d := range n.dispatching() {
		if d.shards.stalled(maxStall) {
			return true
		}
	}
	return false
}

// loopLag returns how far the callers' event loop may be behind the kernel.
func (n *Node) loopLag() time.Duration { return pause.Elapsed() - n.lag.HandledUntil() }
