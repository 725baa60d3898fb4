package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
)

// Guards against a run for a caller that may have left, on an endpoint whose lease other jobs have extended: the submission of a silent
// instance is handled between two periodic checks. The clock is virtual.
func TestSubmissionOfASilentInstanceStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, all := newFleet(1, 10*time.Second)
		s, silent, c := newShard(f, func() {}), newClient(), newClient()
		s.Begin(shard.Term{Fence: 1, Partitions: 1})
		s.register(all)
		time.Sleep(time.Second)
		s.Submit(c, &relay.Submit{Job: jobOf("b", 1, 10*time.Second)})
		time.Sleep(510 * time.Millisecond) // between two periodic checks
		silent.fallSilent()
		time.Sleep(300 * time.Millisecond)
		s.Submit(silent, &relay.Submit{Job: jobOf("a", 1, 10*time.Second)})
		time.Sleep(20 * time.Millisecond)
		starts := len(f.Starts())
		s.Cancel(c, &relay.Cancel{Job: "b"})
		s.Cancel(silent, &relay.Cancel{Job: "a"})
		time.Sleep(time.Second)
		s.End()
		time.Sleep(2 * time.Second)
		is.Equal(starts, 1)
	})
}
