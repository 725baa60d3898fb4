//go:build review

package main

import (
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/platform/standin"
)

// serveEndpoint returns the handler of an endpoint for the calls over a link. What meets a cut is not carried out.
func (w *world) serveEndpoint(l *link) fasthttp.RequestHandler {
	h := &standin.Endpoints{Fleet: w.fleet, Observe: func(o standin.Order) { w.observe(l, o) }}
	return func(ctx *fasthttp.RequestCtx) {
		if l.isCut() {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { io.Copy(io.Discard, c) })
			return
		}
		h.Handle(ctx)
	}
}

// observe records the starts that were ordered.
func (w *world) observe(l *link, o standin.Order) {
	if !o.Start {
		return
	}
	w.mu.Lock()
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.note("order   from %s: start %s run %d at %s, fence %d: %s", w.nameOf(o.Caller), o.Task, o.Run, o.Endpoint, o.Fence, o.Refusal)
}

// nameOf returns the name of the instance at an IP address.
func (w *world) nameOf(ip string) string {
	for _, i := range w.instances {
		if i.ip == ip {
			return i.name
		}
	}
	return ip
}
