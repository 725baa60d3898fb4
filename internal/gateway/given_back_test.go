package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
)

// Guards against a request that is refused although another zone could run its job: the dispatcher that had accepted the job gave it back.
func TestJobThatIsGivenBackIsPlacedElsewhere(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonGivenBack, RetryAfter: time.Second})
	f.eventually("the other zone is tried", func() bool { return len(f.router.sent()) == 2 })
	is.Equal(f.router.sent()[1].to, south)
	is.True(!f.router.sent()[1].s.Resumed)
	is.True(!f.router.sent()[0].s.Last) // the other zone was left
	is.True(f.router.sent()[1].s.Last)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	is.Equal(f.receive(a).status, 429)
}

// Guards against two runs of a task, and against "not run" without proof: the dispatcher is lost after it has given the job back and before its
// answer has come. Its successor decides what has run, and an answer that comes late changes nothing.
func TestDispatcherLostAfterItHasGivenAJobBack(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.post("a")
	f.RouteEnded(f.router, true)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonGivenBack, RetryAfter: time.Second})
	is.Equal(len(f.router.sent()), 1)
	is.Equal(f.Active(), 1)
	f.Resubmit()
	f.eventually("the job is resumed", func() bool { return len(f.router.sent()) == 2 })
	is.Equal(f.router.sent()[1].to, north)
	is.True(f.router.sent()[1].s.Resumed)
}
