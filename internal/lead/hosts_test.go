package lead

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/store"
)

// Guards against callers of an evacuated zone who are refused for a second after a restart of all instances, since the zones that serve them
// were empty when they were looked up, and against look-ups as frequent as that of zones that serve nobody else. The clock is virtual.
func TestHostZoneIsLookedUpLikeTheOwnOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyed.New()
		log := logrus.New()
		log.SetOutput(io.Discard)
		var evacuated atomic.Bool
		c := New(Options{
			Store: s, Zone: "north", Topic: func(zone string) string { return "lead." + zone }, Log: log,
			Hosts: func(zone string) bool { return evacuated.Load() && zone == "south" },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Follow(ctx, []string{"north", "south", "west"}, func() bool { return true })
		time.Sleep(ownSearchInterval / 2) // the first look-up finds no member
		evacuated.Store(true)
		for _, zone := range []string{"south", "west"} {
			_, err := s.Join(t.Context(), store.Membership{Group: "lead." + zone, Topic: "lead." + zone, Member: zone + "|" + zone + ":1", TTL: time.Hour})
			is.NoErr(err)
		}
		time.Sleep(2 * ownSearchInterval)
		is.Equal(c.Dispatcher("south", 0), "south:1")
		is.Equal(c.Dispatcher("west", 0), "")
		c.Search("south")
		is.Equal(c.lookUpPause("south", false), ownSearchInterval)
		time.Sleep(2 * ownSearchInterval)
		is.Equal(c.lookUpPause("south", false), ownLookUpInterval)
	})
}
