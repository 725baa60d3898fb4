package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
)

var (
	first  = relay.Placement{Zone: "north", Partition: 1, Knowledge: 1}
	second = relay.Placement{Zone: "north", Partition: 2, Knowledge: 2}
)

// asks returns the claim of a request that is about to place job "j".
func asks(request uint64, at relay.Placement) *relay.Claim {
	return &relay.Claim{Job: "j", Request: request, At: at, Remaining: time.Second, Asks: true}
}

// registry returns a registry and its clock.
func registry() (*Registry, *time.Duration) {
	now := new(time.Duration)
	return New(func() time.Duration { return *now }), now
}

// Guards against a second request of a job that is not told where the first one has placed the job.
func TestSecondRequestLearnsThePlacement(t *testing.T) {
	is := is.New(t)
	r, _ := registry()
	_, known := r.Apply(asks(1, first))
	is.True(!known)
	_, known = r.Apply(asks(1, second)) // the same request places the job elsewhere
	is.True(!known)
	at, known := r.Apply(asks(2, first))
	is.True(known)
	is.Equal(at, second)
}

// Guards against placements that are forgotten while runs of the job may go on, and against those that are kept for ever.
func TestPlacementsAreKeptForTheTimeOfTheirRuns(t *testing.T) {
	is := is.New(t)
	r, now := registry()
	r.Apply(asks(1, first))
	*now = time.Second + retention - 1
	r.Sweep()
	_, known := r.Apply(asks(2, second)) // keeps the record for another second
	is.True(known)
	*now += time.Second
	r.Sweep()
	_, known = r.Apply(asks(3, second))
	is.True(known)
	*now += time.Second + retention
	r.Sweep()
	is.Equal(r.Len(), 0)
}

// Guards against a caller that is refused and comes back, whose job is sent to the dispatcher that has refused it and nowhere else.
func TestReleasedPlacement(t *testing.T) {
	is := is.New(t)
	r, _ := registry()
	r.Apply(asks(1, first))
	r.Apply(&relay.Claim{Job: "j", Request: 2, Released: true}) // of another request
	is.Equal(r.Len(), 1)
	r.Apply(&relay.Claim{Job: "j", Request: 1, Released: true})
	is.Equal(r.Len(), 0)
}

// Guards against answers from the placements of an earlier term, and against the loss of those of another home on the same instance.
func TestPlacementsEndWithTheTermOfTheirHome(t *testing.T) {
	is := is.New(t)
	r, _ := registry()
	c := asks(1, first)
	c.Partition = 3
	r.Apply(c)
	r.Drop(2)
	is.Equal(r.Len(), 1)
	r.Drop(3)
	is.Equal(r.Len(), 0)
}
