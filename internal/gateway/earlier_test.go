package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// Guards against a job that is placed at another partition although its dispatcher has told of runs of an earlier submission: the
// dispatcher's term has ended since, and it knows of nothing then.
func TestEarlierRunsAtTheEndOfATerm(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, Started: true})
	f.Resubmit()
	is.Equal(len(f.router.sent()), 2)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader})
	f.Resubmit()
	for _, s := range f.router.sent() {
		is.Equal(s.to, north)
	}
}
