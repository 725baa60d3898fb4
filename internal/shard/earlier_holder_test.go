package shard_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// pathDialer creates clients that have no path to some endpoints.
type pathDialer struct {
	work.Dialer
	cutOff sync.Map // by work.EndpointID
}

// Dial implements work.Dialer.
func (d *pathDialer) Dial(e work.Endpoint) work.EndpointClient {
	return &pathClient{d.Dialer.Dial(e), d, e.ID}
}

func (d *pathDialer) cut(all ...work.Endpoint) {
	for _, e := range all {
		d.cutOff.Store(e.ID, true)
	}
}

type pathClient struct {
	work.EndpointClient
	dialer   *pathDialer
	endpoint work.EndpointID
}

func (c *pathClient) lost() bool {
	_, cutOff := c.dialer.cutOff.Load(c.endpoint)
	return cutOff
}

// Start implements work.EndpointClient.
func (c *pathClient) Start(ctx context.Context, s work.StartRequest) (work.Refusal, time.Duration, error) {
	if c.lost() {
		return work.Done, 0, work.ErrNoResponse
	}
	return c.EndpointClient.Start(ctx, s)
}

// Stop implements work.EndpointClient.
func (c *pathClient) Stop(ctx context.Context, task work.TaskID, run int, fence int64) (work.Refusal, error) {
	if c.lost() {
		return work.Done, work.ErrNoResponse
	}
	return c.EndpointClient.Stop(ctx, task, run, fence)
}

// RenewLease implements work.EndpointClient.
func (c *pathClient) RenewLease(ctx context.Context, lease work.LeaseRequest) (work.Report, work.Refusal, error) {
	if c.lost() {
		return work.Report{}, work.Done, work.ErrNoResponse
	}
	return c.EndpointClient.RenewLease(ctx, lease)
}

// Guards against a second run of a task at a dispatcher that has lost its partition and got it back without noticing: it resumes a job that
// another one has started meanwhile, on the reports that it had before.
func TestResumedAtAnEarlierHolder(t *testing.T) {
	is := is.New(t)
	const run = 3 * time.Second
	f, all := fleet.New(run), endpoints(3)
	all[0].Size.MilliCPU *= 2 // the others are used first where they can be reached
	for _, e := range all {
		f.Add(e)
	}
	earlier, later := &pathDialer{Dialer: f}, &pathDialer{Dialer: f}
	a := newShardWith(f, func(o *shard.Options) { o.Dialer = earlier })
	a.register(all)
	a.skip(time.Minute) // so that it has followed the registrations for long enough
	a.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(a.End)
	wait.For(t, "the earlier holder knows all runs", func() bool { return a.found("j") == shard.NotHeld })
	b := newShardWith(f, func(o *shard.Options) { o.Dialer = later })
	later.cut(all[1:]...)
	b.Begin(shard.Term{Fence: 2, Partitions: 1})
	t.Cleanup(b.End)
	b.register(all)
	arrived := time.Now()
	submitUntilAccepted(t, b, newClient(), &relay.Submit{Job: jobOf("j", 1, run)})
	wait.For(t, "the task runs", func() bool { return f.Running() == 1 })
	b.End() // its partition goes back
	c := newClient()
	submitUntilAccepted(t, a, c, &relay.Submit{Job: jobOf("j", 1, run), Resumed: true, GivenBack: true, Waited: time.Since(arrived)})
	time.Sleep(10 * time.Millisecond)
	r := shard.Registrations{Snapshot: true, Changed: all, AsOf: a.now()}
	a.UpdateEndpoints(r, a.directory.Apply(r, time.Second))
	time.Sleep(run / 2)
	is.Equal(f.OverlappingRuns(), "")
}
