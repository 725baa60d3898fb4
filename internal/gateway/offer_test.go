package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

var northB = Target{Zone: "north", Partition: 1}

// startOffering returns a fixture whose router has two partitions for a start at once.
func startOffering(t *testing.T) *fixture {
	f := start(t, time.Minute)
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	f.router.immediate = []Target{north, northB}
	return f
}

func wouldWait(id work.JobID) *relay.Answer {
	return &relay.Answer{Job: id, Refused: pool.ReasonWouldWait, Load: &relay.Load{Total: 1}}
}

// Guards against a job that is refused, or waits in a queue, before all partitions were asked that could start it.
func TestOffersComeBeforeQueues(t *testing.T) {
	is := is.New(t)
	f := startOffering(t)
	a := f.post("a")
	f.Answer(f.router, wouldWait("a"))
	f.Answer(f.router, wouldWait("a"))
	sent := f.router.sent()
	is.Equal(len(sent), 3)
	is.Equal([]Target{sent[0].to, sent[1].to, sent[2].to}, []Target{north, northB, north})
	is.Equal([]bool{sent[0].s.StartOnly, sent[1].s.StartOnly, sent[2].s.StartOnly}, []bool{true, true, false})
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 3 * time.Second})
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, RetryAfter: 4 * time.Second})
	r := f.receive(a)
	is.Equal(r.status, 429)
	is.Equal(r.retryAfter, "3") // that of an offer is none
}

// Guards against a job that goes to another partition although the one that it was offered to may have started it.
func TestOfferWhoseDispatcherIsLost(t *testing.T) {
	is := is.New(t)
	f := startOffering(t)
	a := f.post("a")
	f.RouteEnded(f.router, true)
	f.Resubmit()
	sent := f.router.sent()
	is.Equal(len(sent), 2)
	is.Equal(sent[1].to, north)
	is.True(sent[1].s.Resumed)
	is.True(!sent[1].s.StartOnly)
	f.Answer(f.router, &relay.Answer{Job: "a", State: work.Completed})
	is.Equal(f.receive(a).status, 200)
}

// Guards against a job without a dispatcher when none of the partitions that it is offered to can be reached.
func TestOffersToUnreachablePartitions(t *testing.T) {
	is := is.New(t)
	f := startOffering(t)
	f.router.setDown(north, true)
	f.router.setDown(northB, true)
	f.post("a")
	sent := f.router.sent()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].to, south)
	is.True(!sent[0].s.StartOnly)
}
