package instances

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/standin"
)

// fixture is a running instance list with a fake clock, a reader in zone-a and a client for changes in zone-b.
type fixture struct {
	*is.I
	t      *testing.T
	clock  *clockwork.FakeClock
	server *Server
	reader *httpx.InstanceList
	client *Client
}

func start(t *testing.T) *fixture {
	f := &fixture{I: is.New(t), t: t, clock: clockwork.NewFakeClock()}
	o := DefaultOptions()
	o.Clock = f.clock
	var err error
	f.server, err = Start(o)
	f.NoErr(err)
	f.reader = httpx.NewInstanceList(f.server.Address(), httpx.Options{Zone: "zone-a"})
	f.client = NewClient(f.server.Address(), "zone-b")
	t.Cleanup(f.server.Close)
	t.Cleanup(f.reader.Close)
	return f
}

// seen returns the list that readers see, as name/state pairs.
func (f *fixture) seen() string {
	list, err := f.reader.Instances(f.t.Context())
	f.NoErr(err)
	var all []string
	for _, in := range list {
		all = append(all, in.Name+"/"+string(in.State))
	}
	return strings.Join(all, " ")
}

func worker(name string, incarnation uint64) platform.Instance {
	return platform.Instance{Name: name, Kind: platform.KindEndpoint, Zone: "zone-b", Address: "127.0.0.1:1", Incarnation: incarnation}
}

// Guards against readers that see changes without the lag, and against entries of removed or expired instances that are
// never dropped.
func TestLagAndExpiry(t *testing.T) {
	f := start(t)
	f.NoErr(f.client.Register(worker("w1", 1)))
	f.Equal(f.seen(), "")
	f.clock.Advance(999 * time.Millisecond)
	f.Equal(f.seen(), "")
	f.clock.Advance(time.Millisecond)
	f.Equal(f.seen(), "w1/live")

	f.NoErr(f.client.Register(worker("w2", 1)))
	f.NoErr(f.client.Leave(Ref{"w1", 1}))
	f.Equal(f.seen(), "w1/live")
	f.clock.Advance(time.Second)
	f.Equal(f.seen(), "w1/leaving w2/live")
	f.True(errors.Is(f.client.Renew(Ref{"w1", 2}), ErrUnknownInstance)) // another incarnation
	f.NoErr(f.client.Remove(Ref{"w1", 1}))
	f.clock.Advance(time.Second)
	f.Equal(f.seen(), "w2/live")

	f.clock.Advance(2 * time.Second)
	f.NoErr(f.client.Renew(Ref{"w2", 1}))
	f.clock.Advance(5 * time.Second) // w2 was not renewed and has expired
	f.Equal(f.seen(), "w2/live")     // readers see the state of one second ago
	f.Equal(len(f.server.Dump().Instances), 0)
	f.clock.Advance(time.Second)
	f.Equal(f.seen(), "")
	f.Equal(len(f.server.state.histories), 0)
}

// Guards against faults that affect more or less than they are set to: a frozen list that changes, a cut zone that cuts off
// other zones, and an outage that lets calls through.
func TestFaults(t *testing.T) {
	f := start(t)
	f.NoErr(f.client.Register(worker("w1", 1)))
	f.clock.Advance(time.Second)
	f.NoErr(f.server.SetFault(Fault{Freeze: true}))
	for range 5 {
		f.clock.Advance(900 * time.Millisecond)
		f.NoErr(f.client.Register(worker("w2", 1)))
	}
	f.Equal(f.seen(), "w1/live")
	f.Equal(len(f.server.Dump().Instances), 1) // w1 has expired meanwhile
	f.NoErr(f.server.SetFault(Fault{}))
	f.Equal(f.seen(), "w1/live w2/live")
	f.clock.Advance(time.Second)
	f.Equal(f.seen(), "w2/live")

	f.NoErr(f.server.SetFault(Fault{GateFault: standin.GateFault{CutZones: []string{"zone-a"}}}))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := f.reader.Instances(ctx)
	f.True(errors.Is(err, context.DeadlineExceeded))
	f.NoErr(f.client.Renew(Ref{"w2", 1})) // from zone-b
	f.NoErr(f.server.SetFault(Fault{GateFault: standin.GateFault{Outage: standin.OutageRefuse}}))
	_, err = f.reader.Instances(t.Context())
	f.True(err != nil)
	f.True(f.client.Renew(Ref{"w2", 1}) != nil)
}

// Guards against a list that is sent again although it has not changed, and against readers that keep an old list after
// a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.Lag = 0
	s, err := Start(o)
	is.NoErr(err)
	defer s.Close()
	c := NewClient(s.Address(), "")
	defer c.Close()
	is.NoErr(c.Register(platform.Instance{Name: "w1", Zone: "z", Address: "127.0.0.1:1", Kind: platform.KindEndpoint}))
	reader := httpx.NewInstanceList(s.Address(), httpx.Options{})
	defer reader.Close()
	first, err := reader.Instances(context.Background())
	is.NoErr(err)
	again, err := reader.Instances(context.Background())
	is.NoErr(err)
	is.Equal(len(first), 1)
	is.True(&first[0] == &again[0]) // the same copy: the server answered 304
	is.NoErr(c.Register(platform.Instance{Name: "w2", Zone: "z", Address: "127.0.0.1:2", Kind: platform.KindEndpoint}))
	changed, err := reader.Instances(context.Background())
	is.NoErr(err)
	is.Equal(len(changed), 2)
}
