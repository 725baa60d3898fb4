package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
)

// newAddress is the address of an endpoint that has moved.
const newAddress = "10.0.1.1:80"

// Guards against a crash of the dispatcher when an endpoint's registration is replaced before its first poll.
func TestEndpointReplacedBeforeItsFirstPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 10*time.Millisecond)
		s, c := newShard(f, func() {}), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		before := all[0]
		before.Address, before.StartedUnixMS = newAddress, 1
		now := f.Resize(all[0].Address, all[0].Size)
		s.follow(before, now)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: jobOf("a", 1, 10*time.Millisecond)})
		time.Sleep(time.Second)
		s.End()
		time.Sleep(time.Second)
		is.True(completed(c, "a")())
	})
}
