package engine

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// target carries tasks to where they run: a worker's endpoint or a peer.
type target interface {
	// run begins the call for a task. It returns false, without a byte sent, when it would have to wait.
	run(f *flight, req *platform.RunRequest) bool
	renew(ctx context.Context, tasks []string) (platform.EndpointStatus, error)
	fetch(ctx context.Context, task string) (platform.TaskStatus, error)
	stop(ctx context.Context, tasks []string) error
	// abandon ends the call for a task whose outcome is known by other means.
	abandon(f *flight)
	close()
}

// lanes calls a worker's endpoint, with one goroutine and one connection for each slot.
type lanes struct {
	engine   *Engine
	endpoint platform.Endpoint
	work     []chan laneCall
}

type laneCall struct {
	flight *flight
	req    *platform.RunRequest
}

func newLanes(e *Engine, ep platform.Endpoint, slots int) *lanes {
	l := &lanes{engine: e, endpoint: ep, work: make([]chan laneCall, slots)}
	for i := range l.work {
		l.work[i] = make(chan laneCall, 1)
		go l.serve(i)
	}
	return l
}

func (l *lanes) serve(lane int) {
	for c := range l.work[lane] {
		f := c.flight
		if f.revoked.Load() {
			continue
		}
		res := l.endpoint.Run(lane, c.req)
		l.engine.post(func(now time.Time) { l.engine.callEnded(now, f, &res) })
	}
}

func (l *lanes) run(f *flight, req *platform.RunRequest) bool {
	select {
	case l.work[f.assigned.Lane] <- laneCall{f, req}:
		return true
	default:
		return false
	}
}

func (l *lanes) renew(ctx context.Context, tasks []string) (platform.EndpointStatus, error) {
	return l.endpoint.Renew(ctx, tasks)
}

func (l *lanes) fetch(ctx context.Context, task string) (platform.TaskStatus, error) {
	return l.endpoint.Fetch(ctx, task)
}

func (l *lanes) stop(ctx context.Context, tasks []string) error {
	_, err := l.endpoint.Stop(ctx, tasks)
	return err
}

func (l *lanes) abandon(f *flight) { l.endpoint.Abandon(f.assigned.Lane) }

func (l *lanes) close() {
	for _, ch := range l.work {
		close(ch)
	}
	l.endpoint.Close()
}
