package httpx

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
)

// Dialer returns endpoints that are called over HTTP/1.1. It implements platform.Dialer.
type Dialer struct {
	opts Options
}

// NewDialer returns a dialer.
func NewDialer(opts Options) *Dialer {
	return &Dialer{opts: opts.withDefaults()}
}

// Dial returns the endpoint at an address of the form host:port with a number of slots. Connections are opened by the
// first calls.
func (d *Dialer) Dial(address string, slots int) platform.Endpoint {
	e := &endpoint{
		address: address,
		opts:    d.opts,
		slots:   make([]slot, slots),
		control: newClient(address, d.opts),
		done:    make(chan struct{}),
	}
	for i := range e.slots {
		e.slots[i].init(address)
	}
	go e.sweep()
	return e
}

type endpoint struct {
	address string
	opts    Options
	slots   []slot
	control *client
	done    chan struct{}
	once    sync.Once
}

// Run runs a task on the slot's connection.
func (e *endpoint) Run(slot int, req *platform.RunRequest) platform.RunResult {
	if slot < 0 || slot >= len(e.slots) {
		return platform.RunResult{Outcome: platform.Unreached, Output: errNoSlot.Error()}
	}
	return e.slots[slot].run(e.address, &e.opts, req)
}

// Abandon closes the slot's connection. A call on it returns Unreached if it has written nothing yet, otherwise Lost.
func (e *endpoint) Abandon(slot int) {
	if slot >= 0 && slot < len(e.slots) {
		e.slots[slot].abandon()
	}
}

type taskList struct {
	Tasks []string `json:"tasks"`
}

// Renew extends the leases of tasks.
func (e *endpoint) Renew(ctx context.Context, tasks []string) (platform.EndpointStatus, error) {
	return e.postTasks(ctx, "/leases", tasks)
}

// Stop stops tasks.
func (e *endpoint) Stop(ctx context.Context, tasks []string) (platform.EndpointStatus, error) {
	return e.postTasks(ctx, "/stop", tasks)
}

func (e *endpoint) postTasks(ctx context.Context, path string, tasks []string) (platform.EndpointStatus, error) {
	var status platform.EndpointStatus
	if tasks == nil {
		tasks = []string{}
	}
	body, err := json.Marshal(taskList{Tasks: tasks})
	if err != nil {
		return status, err
	}
	r, err := e.control.do(ctx, call{method: fasthttp.MethodPost, path: path, body: body})
	if err != nil {
		e.closeIdle()
		return status, fmt.Errorf("endpoint %s: %s: %w", e.address, path, err)
	}
	return status, e.decode(r, path, &status)
}

// closeIdle closes the connections that carry no call. A fault of one connection to a worker often affects all of them,
// and a task that is written to a broken connection counts as Lost, that is, it may have run.
func (e *endpoint) closeIdle() {
	for i := range e.slots {
		e.slots[i].sweep(0)
	}
}

// Fetch returns the state of a task over a new connection.
func (e *endpoint) Fetch(ctx context.Context, task string) (platform.TaskStatus, error) {
	var status platform.TaskStatus
	path := "/tasks/" + url.PathEscape(task)
	r, err := e.control.do(ctx, call{method: fasthttp.MethodGet, path: path, fresh: true, output: true})
	if err != nil {
		return status, fmt.Errorf("endpoint %s: %s: %w", e.address, path, err)
	}
	return status, e.decode(r, path, &status)
}

func (e *endpoint) decode(r reply, path string, into any) error {
	if r.status != fasthttp.StatusOK {
		return fmt.Errorf("endpoint %s: %s: status %d: %s", e.address, path, r.status, r.body)
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return fmt.Errorf("endpoint %s: %s: %w", e.address, path, err)
	}
	return nil
}

// Close closes all connections. Calls in progress return.
func (e *endpoint) Close() {
	e.once.Do(func() { close(e.done) })
	for i := range e.slots {
		e.slots[i].close()
	}
	e.control.close()
}

// sweep closes idle connections, so that they do not count against the worker's connection limit.
func (e *endpoint) sweep() {
	t := time.NewTicker(e.opts.IdleTimeout / 2)
	defer t.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-t.C:
		}
		for i := range e.slots {
			e.slots[i].sweep(e.opts.IdleTimeout)
		}
		e.control.sweep()
	}
}
