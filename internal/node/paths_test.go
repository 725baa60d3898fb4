package node

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against jobs that wait for the dispatcher of another zone that is cut off, instead of being refused at once.
func TestNoWaitForOtherZones(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections as far as its machine does, and never answers
	is.NoErr(err)
	defer silent.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := keyed.New()
	_, err = s.Join(t.Context(), store.Membership{Group: "south", Topic: "south", Member: "x|" + silent.Addr().String(), TTL: time.Hour})
	is.NoErr(err)
	l := lead.New(lead.Options{
		Store: s, Zone: "north", Topic: func(zone string) string { return zone }, Instance: "a", Address: "127.0.0.1:1",
		TTL: time.Second, Log: log, Changed: func(lead.Term) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.Follow(ctx, []string{"south"}, func() bool { return true })
	wait.For(t, "the dispatcher is known", func() bool { return l.Dispatcher("south", 0) != "" })
	p := &paths{
		own: "north", others: []string{"south"}, lead: l, directory: shard.NewDirectory(), log: log,
		links: map[string]*uplinkRoute{}, failed: map[string]time.Time{},
		gateway: gateway.New(gateway.Options{Config: &catalog.Current{}, Log: log}),
	}
	_, ok := p.Submit(gateway.Target{Zone: "south"}, &relay.Submit{Job: work.Job{ID: "x"}})
	is.True(!ok)
}
