package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// requestBytes is the size of a request without a job's specification, including headers.
const requestBytes = 300

// deliver waits until the link has delivered a request of a number of bytes. It returns false if ctx ends first; the request
// is then delivered later and passed to late.
func (f *Fleet) deliver(ctx context.Context, bytes int, late func()) bool {
	delivery := f.deliveryTime(bytes)
	if delivery == 0 {
		return true
	}
	select {
	case <-time.After(delivery):
		return true
	case <-ctx.Done():
		time.AfterFunc(delivery, late)
		return false
	}
}

// deliveryTime returns how long a request of a number of bytes that is sent now takes to the endpoint.
func (f *Fleet) deliveryTime(bytes int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.LinkBytesPerSecond == 0 {
		return f.PathDelay
	}
	if now := time.Now(); f.linkFreeAt.Before(now) {
		f.linkFreeAt = now
	}
	f.linkFreeAt = f.linkFreeAt.Add(time.Duration(bytes) * time.Second / time.Duration(f.LinkBytesPerSecond))
	return time.Until(f.linkFreeAt) + f.PathDelay
}

// wayBack waits until an answer has come back. It returns false if ctx ends first.
func (f *Fleet) wayBack(ctx context.Context) bool {
	if f.PathDelay == 0 {
		return true
	}
	select {
	case <-time.After(f.PathDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// transmit sends a call of a number of bytes over the link and carries it out on the endpoint.
func transmit[T any](ctx context.Context, c *client, call string, bytes int, do func(e *endpoint) T) (answer T, err error) {
	late := func() { send(context.Background(), c, call, do) } // nobody waits for the answer any more
	if !c.fleet.deliver(ctx, bytes, late) {
		return answer, fmt.Errorf("%w: %w: %s", work.ErrNoResponse, work.ErrTimeout, call)
	}
	answer, err = send(ctx, c, call, do)
	if err == nil && !c.fleet.wayBack(ctx) {
		return answer, fmt.Errorf("%w: %w: %s", work.ErrNoResponse, work.ErrTimeout, call)
	}
	return answer, err
}

// callTimeout is the time after which a call without a response fails.
const callTimeout = 60 * time.Millisecond

// send carries out a call on the endpoint and returns the answer. If the endpoint is silent or the call is lost, it returns
// an error that wraps work.ErrNoResponse and work.ErrTimeout after callTimeout or when ctx is done.
func send[T any](ctx context.Context, c *client, call string, do func(e *endpoint) T) (answer T, err error) {
	f := c.fleet
	f.mu.Lock()
	e := f.endpoints[c.address]
	if e != nil && (e.refusing || e.down && !f.SilentCrashes) {
		f.mu.Unlock()
		return answer, fmt.Errorf("%w: %w: %s", work.ErrNoResponse, work.ErrRefused, call)
	}
	silent := e == nil || e.silent || e.down
	lost, delay := false, time.Duration(0)
	if !silent && f.LoseAnswer != nil {
		lost, delay = f.LoseAnswer(call)
	}
	if !silent && !lost {
		defer f.mu.Unlock()
		e.expire()
		return do(e), nil
	}
	f.mu.Unlock()
	if lost && delay >= 0 {
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.endpoints[c.address] == e {
				e.expire()
				do(e)
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-time.After(callTimeout):
	}
	return answer, fmt.Errorf("%w: %w: %s", work.ErrNoResponse, work.ErrTimeout, call)
}
