package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// Guards against a job that waits until its caller's timeout, or is taken by a full dispatcher, because a dispatcher has told the home of runs
// that it was stopping and that have long been over: such a job must be placed like a new one when that dispatcher knows of no runs any more.
func TestPlacementOfRunsThatAreOver(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home, third)
	unclaimed := placedAway(h)
	unclaimed.Placed.Address = "" // as router.claimUnclaimed tells the home
	f.Answer(f.router, unclaimed)
	f.Resubmit()
	is.Equal(h.sent()[1].to, away)
	f.Answer(f.router, &relay.Answer{Job: "a", Number: h.sent()[1].s.Number, Refused: pool.ReasonNoRoom}) // it knows of no runs
	f.Resubmit()
	is.Equal(len(h.sent()), 3)
	is.Equal(h.sent()[2].to, third)
}
