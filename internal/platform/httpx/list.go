package httpx

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
)

// InstanceList is the platform's instance list over HTTP/1.1. It implements platform.InstanceList.
type InstanceList struct {
	client *client
}

// NewInstanceList returns the instance list at an address of the form host:port.
func NewInstanceList(address string, opts Options) *InstanceList {
	return &InstanceList{client: newClient(address, opts.withDefaults())}
}

// Close releases all connections.
func (l *InstanceList) Close() { l.client.close() }

// Instances reads the list.
func (l *InstanceList) Instances(ctx context.Context) ([]platform.Instance, error) {
	r, err := l.client.do(ctx, call{method: fasthttp.MethodGet, path: "/instances"})
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	if r.status != fasthttp.StatusOK {
		return nil, fmt.Errorf("instance list: status %d: %s", r.status, r.body)
	}
	var list []platform.Instance
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	return list, nil
}
