package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/relay"
)

// Guards against a third request that is not told of a dispatcher which still runs the job: a home keeps one placement of a job, and that of a
// second request, which has not found the first one's (its home did not answer in time, or refused it), takes its place and is then released.
func TestReleaseOfALaterPlacement(t *testing.T) {
	is := is.New(t)
	r, _ := registry()
	r.Apply(asks(1, first))
	tells := asks(2, second) // placed without the home's answer
	tells.Asks = false
	r.Apply(tells)
	r.Apply(&relay.Claim{Job: "j", Request: 2, Released: true}) // every dispatcher has refused it
	at, known := r.Apply(asks(3, second))
	is.True(known)
	is.Equal(at, first)
}
