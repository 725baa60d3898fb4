package engine

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// target is the remote side that runs tasks: a worker's endpoint or a peer.
type target interface {
	// run begins the call for a task and does not wait. It returns false, and sends nothing, if the lane of the task's slot
	// is still busy with an earlier call.
	run(f *attempt, req *platform.RunRequest) bool
	// renew extends the leases of the tasks and returns the remote side's report of itself and of these tasks.
	renew(ctx context.Context, tasks []string) (platform.EndpointStatus, error)
	// fetch returns the state of one task.
	fetch(ctx context.Context, task string) (platform.TaskStatus, error)
	// stop asks the remote side to stop the tasks.
	stop(ctx context.Context, tasks []string) error
	// abandon ends the open call for a task whose outcome is already known from another source.
	abandon(f *attempt)
	close()
}

// lanes is the target for a worker's endpoint. It has one lane, with a goroutine and a connection, for each slot.
type lanes struct {
	engine    *Engine
	endpoints []platform.Endpoint // the first one also carries the control calls
	lanes     []lane
}

// lane carries the calls of one slot of a worker, one call at a time.
type lane struct {
	endpoint platform.Endpoint
	index    int // number of the lane's slot at the endpoint
	work     chan laneCall
}

type laneCall struct {
	attempt *attempt
	req     *platform.RunRequest
}

func newLanes(e *Engine, address string, slots int) *lanes {
	l := &lanes{engine: e}
	l.dial(address, slots)
	return l
}

// grow adds lanes if the worker now has more slots than lanes. A platform.Endpoint has a fixed number of slots, so the
// new lanes call another one with the same address. If the worker now has fewer slots, its last lanes stay idle.
func (l *lanes) grow(address string, slots int) {
	if more := slots - len(l.lanes); more > 0 {
		l.dial(address, more)
	}
}

func (l *lanes) dial(address string, n int) {
	ep := l.engine.opts.Dialer.Dial(address, n)
	l.endpoints = append(l.endpoints, ep)
	for i := range n {
		ln := lane{endpoint: ep, index: i, work: make(chan laneCall, 1)}
		l.lanes = append(l.lanes, ln)
		go l.serve(ln)
	}
}

func (l *lanes) serve(ln lane) {
	for c := range ln.work {
		f := c.attempt
		if f.revoked.Load() {
			continue
		}
		res := ln.endpoint.Run(ln.index, c.req)
		l.engine.post(func(now time.Time) { l.engine.callEnded(now, f, &res) })
	}
}

func (l *lanes) run(f *attempt, req *platform.RunRequest) bool {
	req.Revoked = f.revoked.Load
	select {
	case l.lanes[f.assigned.Slot].work <- laneCall{f, req}:
		return true
	default:
		return false
	}
}

func (l *lanes) renew(ctx context.Context, tasks []string) (platform.EndpointStatus, error) {
	return l.endpoints[0].Renew(ctx, tasks)
}

func (l *lanes) fetch(ctx context.Context, task string) (platform.TaskStatus, error) {
	return l.endpoints[0].Fetch(ctx, task)
}

func (l *lanes) stop(ctx context.Context, tasks []string) error {
	_, err := l.endpoints[0].Stop(ctx, tasks)
	return err
}

func (l *lanes) abandon(f *attempt) {
	ln := &l.lanes[f.assigned.Slot]
	ln.endpoint.Abandon(ln.index)
}

func (l *lanes) close() {
	for i := range l.lanes {
		close(l.lanes[i].work)
	}
	for _, ep := range l.endpoints {
		ep.Close()
	}
}
