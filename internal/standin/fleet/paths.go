package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Paths are the paths from one instance to the endpoints. It implements work.Dialer. Calls over a path that is cut get no answer, and do not reach
// the endpoint.
type Paths struct {
	Dialer work.Dialer
	// Wait is how long a call without an answer takes.
	Wait time.Duration

	mu     sync.Mutex
	cut    map[work.EndpointID]bool
	allCut bool
}

// SetCut sets whether the paths to some endpoints are cut.
func (p *Paths) SetCut(cut bool, all ...work.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == nil {
		p.cut = map[work.EndpointID]bool{}
	}
	for _, id := range all {
		p.cut[id] = cut
	}
}

// SetAllCut sets whether all paths are cut, besides those that SetCut has cut.
func (p *Paths) SetAllCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allCut = cut
}

// Dial implements work.Dialer.
func (p *Paths) Dial(e work.Endpoint) work.EndpointClient {
	return &pathClient{p.Dialer.Dial(e), p, e.ID}
}

// pathClient is a client of one endpoint.
type pathClient struct {
	work.EndpointClient
	paths *Paths
	id    work.EndpointID
}

// lost returns the error of a call over a path that is cut, after the time that it takes; nil if the path is not cut.
func (c *pathClient) lost() error {
	c.paths.mu.Lock()
	cut := c.paths.allCut || c.paths.cut[c.id]
	c.paths.mu.Unlock()
	if !cut {
		return nil
	}
	time.Sleep(c.paths.Wait)
	return fmt.Errorf("%w: %w", work.ErrNoResponse, work.ErrTimeout)
}

// Start implements work.EndpointClient.
func (c *pathClient) Start(ctx context.Context, s work.StartRequest) (work.Refusal, time.Duration, error) {
	if err := c.lost(); err != nil {
		return work.Done, 0, err
	}
	return c.EndpointClient.Start(ctx, s)
}

// Stop implements work.EndpointClient.
func (c *pathClient) Stop(ctx context.Context, task work.TaskID, run int, fence int64) (work.Refusal, error) {
	if err := c.lost(); err != nil {
		return work.Done, err
	}
	return c.EndpointClient.Stop(ctx, task, run, fence)
}

// Reach implements work.EndpointClient.
func (c *pathClient) Reach(ctx context.Context) error {
	if err := c.lost(); err != nil {
		return err
	}
	return c.EndpointClient.Reach(ctx)
}

// RenewLease implements work.EndpointClient.
func (c *pathClient) RenewLease(ctx context.Context, l work.LeaseRequest) (work.Report, work.Refusal, error) {
	if err := c.lost(); err != nil {
		return work.Report{}, work.Done, err
	}
	return c.EndpointClient.RenewLease(ctx, l)
}
