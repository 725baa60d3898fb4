package node

import (
	"net"

	"github.com/valyala/fasthttp"
)

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
