package node

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against refusing the first jobs that overflow to another zone because the connection to its dispatcher is only
// opened for them. The connection must be open before the instance's zone is full.
func TestConnectedBeforeOverflow(t *testing.T) {
	is := is.New(t)
	log := silentLog()
	dispatchers := &loadedDispatcher{}
	servers := map[string]*relay.Server{}
	s := keyed.New()
	for _, zone := range []string{"north", "south"} {
		server, err := relay.Listen("127.0.0.1:0", dispatchers, nil, log)
		is.NoErr(err)
		servers[zone] = server
		go server.Run(t.Context())
		_, err = s.Join(t.Context(), store.Membership{Group: zone, Topic: zone, Member: zone + "|" + server.Address(), TTL: time.Hour})
		is.NoErr(err)
	}
	l := lead.New(lead.Options{Store: s, Zone: "north", Topic: func(zone string) string { return zone }, Log: log, Address: "127.0.0.1:1"})
	r := routerOf(l)
	go l.Follow(t.Context(), []string{"north", "south"}, r.ownZoneConnected)
	pressure := func(zone string) int {
		pressure, _ := r.pressure(gateway.Target{Zone: zone})
		return pressure
	}
	dispatchers.pressure.Store(30)
	wait.For(t, "the local zone's load is known", func() bool { return pressure("north") == 30 })
	r.connectForOverflow()
	r.mu.Lock()
	is.Equal(r.routes[servers["south"].Address()], nil) // the local zone still has capacity
	r.mu.Unlock()
	dispatchers.pressure.Store(80)
	wait.For(t, "the local zone is loaded", func() bool { return pressure("north") == 80 })
	r.connectForOverflow()
	wait.For(t, "the other zone is connected", func() bool { return pressure("south") == 80 })
	_, ok := r.Submit(gateway.Target{Zone: "south"}, &relay.Submit{Job: work.Job{ID: "x"}})
	is.True(ok)
}

// loadedDispatcher reports a given pressure and ignores jobs.
type loadedDispatcher struct{ pressure atomic.Int64 }

func (d *loadedDispatcher) Attempts() []attempt.Attempt        { return nil }
func (d *loadedDispatcher) Submit(relay.Client, *relay.Submit) {}
func (d *loadedDispatcher) Cancel(relay.Client, *relay.Cancel) {}
func (d *loadedDispatcher) Claim(relay.Client, *relay.Claim)   {}
func (d *loadedDispatcher) ClientGone(relay.Client)            {}
func (d *loadedDispatcher) Cancellations() relay.Cancellations {
	return gateway.New(gateway.Options{}).Cancellations()
}
func (d *loadedDispatcher) Loads() []relay.Load {
	return []relay.Load{{Pressure: int(d.pressure.Load())}}
}

// Guards against jobs that wait for the dispatcher of another zone that does not answer, instead of being refused at once.
func TestNoWaitForOtherZones(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // its kernel accepts connections, but nothing answers on them
	is.NoErr(err)
	defer silent.Close()
	log := silentLog()
	s := keyed.New()
	_, err = s.Join(t.Context(), store.Membership{Group: "south", Topic: "south", Member: "x|" + silent.Addr().String(), TTL: time.Hour})
	is.NoErr(err)
	l := lead.New(lead.Options{
		Store: s, Zone: "north", Topic: func(zone string) string { return zone }, Instance: "a", Address: "127.0.0.1:1",
		TTL: time.Second, Log: log, OnChange: func(lead.Term) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.Follow(ctx, []string{"south"}, func() bool { return true })
	wait.For(t, "the dispatcher is known", func() bool { return l.Dispatcher("south", 0) != "" })
	r := routerOf(l)
	_, ok := r.Submit(gateway.Target{Zone: "south"}, &relay.Submit{Job: work.Job{ID: "x"}})
	is.True(!ok)
	conn, err := silent.Accept() // the connection is open now, but the dispatcher sends nothing over it
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1)) // the uplink has sent its first byte, so it has seen the connection open
	is.NoErr(err)
	_, ok = r.Submit(gateway.Target{Zone: "south"}, &relay.Submit{Job: work.Job{ID: "y"}})
	is.True(!ok)
}

// Guards against a crash of the process, and a route that stays although its connection has ended, when a connection ends
// before the function that opens it has returned.
func TestConnectionEndsAtOnce(t *testing.T) {
	is := is.New(t)
	r := routerOf(lead.New(lead.Options{Store: keyed.New(), Zone: "north", Topic: func(zone string) string { return zone }, Log: silentLog()}))
	route := &uplinkRoute{zone: "south"}
	ended := make(chan struct{})
	r.mu.Lock()
	go func() {
		r.connectionEnded(route, false, io.EOF)
		close(ended)
	}()
	time.Sleep(10 * time.Millisecond) // lets connectionEnded begin; the test passes without the pause, too
	route.uplink = &relay.Uplink{Address: "127.0.0.1:1"}
	r.routes[route.uplink.Address] = route
	r.mu.Unlock()
	<-ended
	is.Equal(len(r.routes), 0)
}
