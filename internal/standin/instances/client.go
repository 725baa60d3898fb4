package instances

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
)

// callTimeout is the timeout of a call to the instance list or to an entry instance.
const callTimeout = 2 * time.Second

// Client changes the instance list. For real instances, the platform makes these changes itself.
type Client struct {
	url  string
	zone string
	http fasthttp.Client
}

// NewClient returns a client of the list at host:port. zone is the availability zone that calls come from.
func NewClient(address, zone string) *Client {
	return &Client{url: "http://" + address, zone: zone}
}

// Register adds an instance to the list, or replaces the instance with the same name.
func (c *Client) Register(in platform.Instance) error { return c.post("/register", in) }

// Renew keeps an instance from expiring. If it returns ErrUnknownInstance, the instance must be registered again.
func (c *Client) Renew(r Ref) error { return c.post("/renew", r) }

// Leave marks an instance as leaving. It returns ErrUnknownInstance if this incarnation is not in the list.
func (c *Client) Leave(r Ref) error { return c.post("/leave", r) }

// Remove removes an instance from the list. It returns ErrUnknownInstance if this incarnation is not in the list.
func (c *Client) Remove(r Ref) error { return c.post("/remove", r) }

// Close closes all idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) post(path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.url + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(httpx.HeaderZone, c.zone)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("instance list %s: %w", path, err)
	}
	if resp.StatusCode() == fasthttp.StatusNotFound {
		return ErrUnknownInstance
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("instance list %s: status %d: %s", path, resp.StatusCode(), resp.Body())
	}
	return nil
}

// KeepRegistered registers an instance and renews it at an interval until ctx is done. current returns the instance; if it
// has changed, it is registered again at the next renewal. Failed calls are retried at the next interval.
func (c *Client) KeepRegistered(ctx context.Context, interval time.Duration, current func() platform.Instance) {
	t := time.NewTicker(interval)
	defer t.Stop()
	var registered platform.Instance
	for {
		in := current()
		if err := c.renewOrRegister(in, registered); err != nil {
			logrus.WithError(err).WithField("instance", in.Name).Warn("registration failed")
		} else {
			registered = in
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// renewOrRegister renews an instance, or registers it if it differs from registered, the instance as it was last
// registered, or is not in the list.
func (c *Client) renewOrRegister(in, registered platform.Instance) error {
	if in == registered {
		err := c.Renew(Ref{Name: in.Name, Incarnation: in.Incarnation})
		if !errors.Is(err, ErrUnknownInstance) {
			return err
		}
	}
	return c.Register(in)
}
