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

// callTimeout bounds one call to the instance list.
const callTimeout = 2 * time.Second

// Client changes the list. It stands for what the platform does on its own for real instances.
type Client struct {
	url  string
	zone string
	http fasthttp.Client
}

// NewClient returns a client of the list at host:port. zone is the availability zone that calls come from.
func NewClient(address, zone string) *Client {
	return &Client{url: "http://" + address, zone: zone}
}

// Register adds an instance or replaces its older incarnation.
func (c *Client) Register(in platform.Instance) error { return c.post("/register", in) }

// Renew keeps an instance in the list. ErrUnknownInstance means that it must register again.
func (c *Client) Renew(r Ref) error { return c.post("/renew", r) }

// Leave marks an instance as leaving.
func (c *Client) Leave(r Ref) error { return c.post("/leave", r) }

// Remove takes an instance off the list.
func (c *Client) Remove(r Ref) error { return c.post("/remove", r) }

// Close releases all connections.
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

// KeepRegistered registers an instance and renews it until ctx is done. current returns what to register; a change of its state
// is registered at the next renewal. Failed calls are tried again.
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

func (c *Client) renewOrRegister(in, registered platform.Instance) error {
	if in == registered {
		err := c.Renew(Ref{Name: in.Name, Incarnation: in.Incarnation})
		if !errors.Is(err, ErrUnknownInstance) {
			return err
		}
	}
	return c.Register(in)
}
