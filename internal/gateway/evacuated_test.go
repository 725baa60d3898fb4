package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against a job that is given back to an instance which does not know of the evacuation yet, and that is placed in the same zone
// again, or refused although another zone takes it.
func TestJobGivenBackByAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonEvacuated, RetryAfter: 2 * time.Second})
	sent := f.router.sent()
	is.Equal(len(sent), 2)
	is.Equal(sent[1].to, south)
	is.True(!sent[1].s.Resumed)
	is.True(!sent[1].s.InProgress)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonEvacuated, RetryAfter: 3 * time.Second}) // the last zone
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.body, reasonEvacuated)
	is.Equal(r.retryAfter, "3")
	is.Equal(len(f.router.sent()), 2)
}

// Guards against a job in progress whose tasks run again in another zone, and against one that is refused as not run.
func TestJobHandedOver(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	done := []work.TaskID{{Job: "a", Index: 1}}
	failed := attempt.Attempt{Task: work.TaskID{Job: "a"}, Run: 1, Outcome: attempt.Failed}
	handedOver := &relay.Answer{
		Job: "a", Refused: pool.ReasonNotLeader, Started: true, HandedOver: true, Succeeded: done, Attempts: []attempt.Attempt{failed},
	}
	a := f.post("a")
	f.Answer(f.router, handedOver)
	sent := f.router.sent()
	is.Equal(len(sent), 2)
	is.Equal(sent[1].to, south)
	is.True(sent[1].s.InProgress)
	is.True(!sent[1].s.Resumed)
	is.Equal(sent[1].s.Succeeded, done)
	is.True(slices.Contains(sent[1].s.Attempts, failed))
	f.RouteEnded(f.router, true) // that dispatcher is lost; its successor has to know, too
	f.Resubmit()
	sent = f.router.sent()
	is.Equal(sent[2].to, south)
	is.True(sent[2].s.Resumed)
	is.Equal(sent[2].s.Succeeded, done)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)

	b := f.post("b")
	handedOver.Job = "b"
	f.Answer(f.router, handedOver)
	f.Answer(f.router, &relay.Answer{Job: "b", Refused: pool.ReasonNoRoom, RetryAfter: time.Second})
	is.Equal(f.receive(b).status, 504) // it has run in part
	is.Equal(f.Active(), 0)
}

// Guards against a job that is handed over after the loss of its dispatcher and stays with the evacuated zone.
func TestJobHandedOverAfterATakeover(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.RouteEnded(f.router, true)
	f.Resubmit()
	is.Equal(f.router.sent()[1].to, north)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNotLeader, Started: true, HandedOver: true})
	sent := f.router.sent()
	is.Equal(sent[2].to, south)
	is.True(!sent[2].s.Resumed)
	is.True(sent[2].s.InProgress)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
}

// Guards against a job that is refused because the connections to the other zones are only being opened when its zone is evacuated.
func TestJobGivenBackWaitsForAConnection(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	f.setPlacementTimeout(time.Minute)
	f.router.setDown(south, true)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonEvacuated, RetryAfter: time.Second})
	is.Equal(f.Active(), 1)
	f.router.setDown(south, false)
	f.Resubmit()
	is.Equal(f.router.sent()[1].to, south)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
}

// Guards against requests that wait while all zones are evacuated, and against refusals without a Retry-After.
func TestAllZonesEvacuated(t *testing.T) {
	is := is.New(t)
	f := startWith(t, time.Minute, &router{down: map[Target]bool{}})
	f.setPlacementTimeout(time.Hour)
	r := f.receive(f.call(t.Context(), "POST", "/p/a", "job"))
	is.Equal(r.status, 503)
	is.Equal(r.body, reasonEvacuated)
	is.Equal(r.retryAfter, "2")
	is.Equal(f.Active(), 0)
}
