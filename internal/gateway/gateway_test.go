package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against responses before a job has ended, and against responses to the wrong request.
func TestAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a, b := f.post("a"), f.post("b")
	f.Answer(f.router, &relay.Answer{Job: "b", State: work.Failed})
	is.Equal(f.receive(b).body, "failed")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/a", "")).body, "running")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/", "")).body, "1")
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	r := f.receive(a)
	is.Equal(r.status, 200)
	is.Equal(r.body, "completed")
	is.Equal(f.receive(f.call(context.Background(), "GET", "/p/a", "")).status, 410)
	is.Equal(f.Active(), 0)
}

// Guards against a refusal although another zone has not been tried, and against a refusal without a Retry-After.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	f.eventually("the other zone is tried", func() bool { return len(f.router.sent()) == 2 })
	is.Equal(f.router.sent()[1].to, south)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "2")
}

// Guards against an answer that reports that no dispatcher was reached, with the retry time of that case, although a
// dispatcher has refused the job for lack of room. The other dispatcher is unreachable, or is no longer the leader.
func TestRefusalOfAReachedDispatcher(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.router.setDown(south, true)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 3 * time.Second})
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "3")
	f.router.setDown(south, false)
	b := f.post("b")
	f.Answer(f.router, &relay.Answer{Job: "b", Refused: pool.ReasonNoRoom, RetryAfter: 2 * time.Second})
	f.Answer(f.router, &relay.Answer{Job: "b", Refused: pool.ReasonNotLeader})
	r = f.receive(b)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "2")
	is.True(f.router.sent()[2].s.Waited >= f.router.sent()[1].s.Waited)
}
