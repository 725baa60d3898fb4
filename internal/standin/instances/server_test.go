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

// bench is a list with a fake clock, a reader and a registering client.
type bench struct {
	*is.I
	t      *testing.T
	clock  *clockwork.FakeClock
	server *Server
	reader *httpx.InstanceList
	client *Client
}

func start(t *testing.T) *bench {
	b := &bench{I: is.New(t), t: t, clock: clockwork.NewFakeClock()}
	o := DefaultOptions()
	o.Clock = b.clock
	var err error
	b.server, err = Start(o)
	b.NoErr(err)
	b.reader = httpx.NewInstanceList(b.server.Address(), httpx.Options{Zone: "zone-a"})
	b.client = NewClient(b.server.Address(), "zone-b")
	t.Cleanup(b.server.Close)
	t.Cleanup(b.reader.Close)
	return b
}

// seen returns what readers see, as name/state pairs.
func (b *bench) seen() string {
	list, err := b.reader.Instances(b.t.Context())
	b.NoErr(err)
	var all []string
	for _, in := range list {
		all = append(all, in.Name+"/"+string(in.State))
	}
	return strings.Join(all, " ")
}

func worker(name string, incarnation uint64) platform.Instance {
	return platform.Instance{Name: name, Kind: platform.KindEndpoint, Zone: "zone-b", Address: "127.0.0.1:1", Incarnation: incarnation}
}

// Guards against readers that see the present, and against entries of ended instances that stay.
func TestLagAndExpiry(t *testing.T) {
	b := start(t)
	b.NoErr(b.client.Register(worker("w1", 1)))
	b.Equal(b.seen(), "")
	b.clock.Advance(999 * time.Millisecond)
	b.Equal(b.seen(), "")
	b.clock.Advance(time.Millisecond)
	b.Equal(b.seen(), "w1/live")

	b.NoErr(b.client.Register(worker("w2", 1)))
	b.NoErr(b.client.Leave(Ref{"w1", 1}))
	b.Equal(b.seen(), "w1/live")
	b.clock.Advance(time.Second)
	b.Equal(b.seen(), "w1/leaving w2/live")
	b.True(errors.Is(b.client.Renew(Ref{"w1", 2}), ErrUnknownInstance)) // another incarnation
	b.NoErr(b.client.Remove(Ref{"w1", 1}))
	b.clock.Advance(time.Second)
	b.Equal(b.seen(), "w2/live")

	b.clock.Advance(2 * time.Second)
	b.NoErr(b.client.Renew(Ref{"w2", 1}))
	b.clock.Advance(5 * time.Second) // not renewed since
	b.Equal(b.seen(), "w2/live")     // readers see the state of a second ago
	b.Equal(len(b.server.Dump().Instances), 0)
	b.clock.Advance(time.Second)
	b.Equal(b.seen(), "")
	b.Equal(len(b.server.state.entries), 0)
}

// Guards against faults that hit more or less than they name.
func TestFaults(t *testing.T) {
	b := start(t)
	b.NoErr(b.client.Register(worker("w1", 1)))
	b.clock.Advance(time.Second)
	b.NoErr(b.server.SetFault(Fault{Freeze: true}))
	for range 5 {
		b.clock.Advance(900 * time.Millisecond)
		b.NoErr(b.client.Register(worker("w2", 1)))
	}
	b.Equal(b.seen(), "w1/live")
	b.Equal(len(b.server.Dump().Instances), 1) // w1 has expired since
	b.NoErr(b.server.SetFault(Fault{}))
	b.Equal(b.seen(), "w1/live w2/live")
	b.clock.Advance(time.Second)
	b.Equal(b.seen(), "w2/live")

	b.NoErr(b.server.SetFault(Fault{GateFault: standin.GateFault{CutZones: []string{"zone-a"}}}))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := b.reader.Instances(ctx)
	b.True(errors.Is(err, context.DeadlineExceeded))
	b.NoErr(b.client.Renew(Ref{"w2", 1})) // from zone-b
	b.NoErr(b.server.SetFault(Fault{GateFault: standin.GateFault{Outage: standin.OutageRefuse}}))
	_, err = b.reader.Instances(t.Context())
	b.True(err != nil)
	b.True(b.client.Renew(Ref{"w2", 1}) != nil)
}

// Guards against readers that get the whole list each second although it has not changed, and against readers that keep
// an old one.
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
