package gateway

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/server"
)

// waiting is a request whose caller waits for the answer to a job. A job has several if its caller has submitted it again, or the request has
// arrived twice: it is not known which of them is still attended to.
type waiting struct {
	exchange *server.Exchange
	deadline time.Time // when the caller stops waiting
}

// wait adds a request to those that wait for a job. The caller holds g.mu.
func (g *Gateway) wait(p *pending, x *server.Exchange, deadline time.Time) {
	p.waiting = append(p.waiting, waiting{x, deadline})
	if deadline.After(p.deadline) {
		p.deadline = deadline
	}
	x.OnDisconnect(func() { g.noteDeparture(p, x) })
}

// join makes a repeated request wait for the answer to a pending job.
func (g *Gateway) join(p, repeated *pending) {
	g.logger(p, outcomeRepeated, 0).WithField("repeat", relay.RequestName(repeated.request)).Info("request")
	for _, w := range repeated.waiting {
		g.wait(p, w.exchange, w.deadline)
	}
}

// remove removes a request from those that wait. It returns false if the request is not among them.
func (p *pending) remove(x *server.Exchange) bool {
	n := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool { return w.exchange == x })
	return len(p.waiting) < n
}

// expired removes the requests whose callers have stopped waiting, and returns them.
func (p *pending) expired(now time.Time) []*server.Exchange {
	var expired []*server.Exchange
	for _, w := range slices.Clone(p.waiting) {
		if !now.Before(w.deadline) {
			expired = append(expired, w.exchange)
			p.remove(w.exchange)
		}
	}
	return expired
}

// replyAll sends a response to all requests that wait for a job.
func (g *Gateway) replyAll(p *pending, status int, body []byte, retryAfter time.Duration) {
	for _, w := range p.waiting {
		g.reply(w.exchange, status, body, retryAfter)
	}
	p.waiting = nil
}
