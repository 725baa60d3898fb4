package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
)

func idleRouter() *router {
	return routerOf(lead.New(lead.Options{Store: keyed.New(), Zone: "north", Topic: func(zone string) string { return zone }, Log: silentLog()}))
}

// Guards against jobs that wait for a dispatcher which refused a connection because it was starting, as all instances were.
func TestRedialAfterTheStart(t *testing.T) {
	is := is.New(t)
	r := idleRouter()
	const address = "127.0.0.1:1"
	r.started, r.failed[address] = time.Now(), time.Now().Add(-startRedialDelay)
	is.True(r.routeTo(address, "north") != nil)

	r = idleRouter()
	r.started, r.failed[address] = time.Now().Add(-startSpread), time.Now().Add(-startRedialDelay)
	is.Equal(r.routeTo(address, "north"), nil) // an instance that has run for long does not dial for every job
}

// Guards against a dispatcher that is not dialed because this instance closed the connection to it while it held no partition.
func TestRedialAfterAnUnusedConnection(t *testing.T) {
	is := is.New(t)
	server, err := relay.Listen("127.0.0.1:0", &loadedDispatcher{}, nil, silentLog())
	is.NoErr(err)
	go server.Run(t.Context())
	r := idleRouter()
	r.started = time.Now().Add(-time.Hour)
	route := r.routeTo(server.Address(), "north")
	wait.For(t, "the connection is open", func() bool { return route.uplink.Connected() })
	r.closeUnused()
	wait.For(t, "the connection has ended", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.routes[server.Address()] == nil
	})
	is.True(r.routeTo(server.Address(), "north") != nil)
}
