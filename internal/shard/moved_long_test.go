package shard_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// unnamedDialer hides when the processes of endpoints have started, as endpoints do that do not say it.
type unnamedDialer struct{ movedDialer }

func (d unnamedDialer) Dial(e work.Endpoint) work.EndpointClient {
	return unnamedClient{d.movedDialer.Dial(e)}
}

type unnamedClient struct{ work.EndpointClient }

func (c unnamedClient) RenewLease(ctx context.Context, l work.LeaseRequest) (work.Report, work.Refusal, error) {
	report, refusal, err := c.EndpointClient.RenewLease(ctx, l)
	report.StartedUnixMS = 0
	return report, refusal, err
}

// Guards against a second run of a task whose first run, ordered longer ago than a lease lasts, goes on at the earlier address of an endpoint:
// another process, which cannot be told from the earlier one, answers at the new address and does not list it. The clock is virtual.
func TestMovedEndpointWithALongRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run = 20 * time.Second
		f, all := newFleet(3, run)
		smallest(f, all)
		s, c := newShardWith(f, func(o *shard.Options) { o.Dialer = unnamedDialer{movedDialer{f, all[1].Address}} }), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register([]work.Endpoint{all[0], all[2]})
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, run)})
		time.Sleep(5 * time.Second)
		first := f.Starts()
		moved := all[2]
		moved.Address = newAddress
		s.follow(moved)
		time.Sleep(5 * time.Second)
		s.End()
		time.Sleep(2 * run)
		is.Equal(len(first), 1)
		is.Equal(first[0].Endpoint, all[2].ID)
		is.Equal(len(f.Starts()), 2)
		is.Equal(f.OverlappingRuns(), "")
	})
}
