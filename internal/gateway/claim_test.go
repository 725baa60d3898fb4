package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// homes is a router to two partitions of one zone, the second of which is the home of all jobs.
type homes struct {
	router
	mu         sync.Mutex
	claims     []relay.Claim
	toldAbroad int // number of claims to the home in the other zone
	knowledge  map[Target]uint64
}

var (
	away = Target{Zone: "north", Partition: 1}
	home = Target{Zone: "north", Partition: 2}
	// abroad is the home in the other zone.
	abroad = Target{Zone: "south", Partition: 1}
)

const testRetransmit = 200 * time.Millisecond

func newHomes(targets ...Target) *homes {
	h := &homes{knowledge: map[Target]uint64{away: 1, home: 2, abroad: 3}}
	h.targets, h.down = targets, map[Target]bool{}
	return h
}

func (h *homes) Homes(work.JobID) []Target { return []Target{home, abroad} }

func (h *homes) Knowledge(t Target) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knowledge[t]
}

// replace makes another dispatcher, or a later term, that of a target.
func (h *homes) replace(t Target, knowledge uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.knowledge[t] = knowledge
}

func (h *homes) Claim(to Target, c *relay.Claim) (Route, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to == abroad {
		h.toldAbroad++
		return h, true
	}
	h.claims = append(h.claims, *c)
	return h, true
}

func (h *homes) claimed() []relay.Claim {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]relay.Claim(nil), h.claims...)
}

// answer returns the answer of the home to the last claim.
func (h *homes) answer(at *relay.Placement) *relay.Answer {
	all := h.claimed()
	last := all[len(all)-1]
	return &relay.Answer{Job: last.Job, Number: last.Number, Claim: true, Placed: at}
}

// placedAway returns the refusal of the home of a job that another request has placed.
func placedAway(h *homes) *relay.Answer {
	return &relay.Answer{
		Job: "a", Number: h.sent()[0].s.Number, Refused: pool.ReasonPlacedElsewhere, Placed: &relay.Placement{Zone: "north", Partition: 1, Knowledge: 1},
	}
}

// startHomes starts a gateway and submits job "a" to it, which tries the targets in this order.
func startHomes(t *testing.T, targets ...Target) (*fixture, *homes) {
	t.Helper()
	h := newHomes(targets...)
	f := startChanged(t, time.Minute, h, func(o *Options) { o.Retransmit = testRetransmit })
	f.router = &h.router
	f.call(t.Context(), "POST", "/p/a", "job")
	f.eventually("the job is submitted or its home asked", func() bool { return len(h.sent())+len(h.claimed()) > 0 })
	return f, h
}

// Guards against a start of a job at a second dispatcher while another request of its caller, of which this instance knows nothing, has
// placed it at a first one.
func TestJobThatAnotherRequestHasPlaced(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home, away)
	is.Equal(h.sent()[0].s.Claims, relay.AsksClaim) // the home sees the job in any case
	f.Answer(f.router, placedAway(h))
	is.Equal(len(h.sent()), 2)
	is.Equal(h.sent()[1].to, away)
	is.Equal(h.sent()[1].s.Knowledge, uint64(1)) // the dispatcher resumes the job unless it is the one that has it
	is.True(h.sent()[1].s.Shared)
}

// Guards against the same for a job whose first dispatcher is not its home.
func TestHomeIsAskedBeforeAnotherDispatcher(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, away, home)
	is.Equal(len(h.sent()), 0)
	is.Equal(h.claimed()[0].Asks, true)
	f.Answer(h, h.answer(nil))
	is.Equal(h.sent()[0].to, away)
	is.Equal(len(h.claimed()), 1) // the home knows the placement already
}

// Guards against a job that is placed anew beside runs that a dispatcher has found and for which no request is known.
func TestPlacementOfFoundRuns(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home)
	found := placedAway(h)
	found.Placed.Knowledge = 0
	f.Answer(f.router, found)
	is.Equal(h.sent()[1].to, away)
	is.Equal(h.sent()[1].s.Resumed, true)
	is.Equal(h.sent()[1].s.GivenBack, false)
}

// refuse makes the dispatcher that got the last submission refuse it, and the gateway ask the home again.
func refuse(f *fixture, h *homes, why pool.Reason) {
	all := h.sent()
	f.Answer(f.router, &relay.Answer{Job: "a", Number: all[len(all)-1].s.Number, Refused: why, RetryAfter: time.Second})
	f.Resubmit()
}

// Guards against a job that another request has placed being placed anew because its dispatcher's term has ended meanwhile.
func TestPlacementAtADispatcherThatLeadsNoMore(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home)
	f.Answer(f.router, placedAway(h))
	refuse(f, h, pool.ReasonNotLeader)
	f.Answer(h, h.answer(placedAway(h).Placed)) // the other request has not moved
	is.Equal(len(h.sent()), 3)
	is.Equal(h.sent()[2].to, away)
	is.Equal(h.sent()[2].s.Knowledge, uint64(1))
}

// Guards against a caller that waits until its timeout although the dispatcher that has its job for another request refuses it, and against a
// job that is placed beside that request, which may be placed elsewhere by now.
func TestRefusalOfASecondRequest(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home)
	f.Answer(f.router, placedAway(h))
	refuse(f, h, pool.ReasonNoRoom)
	is.Equal(len(h.sent()), 2)
	f.Answer(h, h.answer(&relay.Placement{Zone: "south", Partition: 1, Knowledge: 3})) // the other request has moved
	is.Equal(h.sent()[2].to, abroad)
	refuse(f, h, pool.ReasonNoRoom)
	f.Answer(h, h.answer(&relay.Placement{Zone: "south", Partition: 1, Knowledge: 3}))
	is.Equal(len(h.sent()), 3)
	is.Equal(f.Active(), 0)
}

// Guards against a caller that is refused although the other request is gone and its job may be placed.
func TestSecondRequestThatIsTheOnlyOneLeft(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home)
	f.Answer(f.router, placedAway(h))
	refuse(f, h, pool.ReasonNoRoom)
	f.Answer(h, h.answer(nil))
	is.Equal(h.sent()[2].to, home)
	is.Equal(h.sent()[2].s.Knowledge, uint64(0))
	is.True(!h.sent()[2].s.Shared)
}

// Guards against jobs that wait for ever for a home that does not answer.
func TestHomeThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, away)
	time.Sleep(claimTimeout + time.Millisecond)
	f.Resubmit()
	is.Equal(h.sent()[0].to, away)
}

// Guards against a home that knows the placement at a dispatcher which has refused the job, and against one that took its place and
// knows none.
func TestHomeLearnsEachPlacement(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home, away)
	f.Answer(f.router, &relay.Answer{Job: "a", Number: h.sent()[0].s.Number, Refused: pool.ReasonNoRoom, RetryAfter: time.Second})
	is.Equal(h.sent()[1].to, away)
	is.Equal(h.claimed()[0].At.Knowledge, uint64(1))
	h.replace(home, 22)
	f.Resubmit()
	is.Equal(len(h.claimed()), 2)
	f.Answer(f.router, &relay.Answer{Job: "a", Number: h.sent()[1].s.Number, Refused: pool.ReasonNoRoom, RetryAfter: time.Second})
	is.Equal(h.claimed()[2].Released, true)
}

// Guards against a second request at an instance of another zone that is not told where the first one has placed the job, and against a
// message to the other zones for each job.
func TestHomesOfOtherZonesLearnOfLongJobs(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, home)
	f.Resubmit()
	is.Equal(h.toldAbroad, 0)
	time.Sleep(testRetransmit / 2)
	f.Resubmit()
	f.Resubmit()
	is.Equal(h.toldAbroad, 1)
}

// Guards against a job that is placed without its home's knowledge because the instance has not heard of the home's successor, and against
// a placement that only the dispatcher which is the home no more was told of.
func TestHomeThatWasReplaced(t *testing.T) {
	is := is.New(t)
	f, h := startHomes(t, away, home)
	notLeader := h.answer(nil)
	notLeader.Refused = pool.ReasonNotLeader
	f.Answer(h, notLeader)
	is.Equal(len(h.sent()), 0)
	f.Resubmit()
	is.Equal(len(h.claimed()), 2) // asked again
	f.Answer(h, h.answer(nil))
	is.Equal(h.sent()[0].to, away)
	h.replace(home, 22)
	f.Resubmit()
	notLeader = h.answer(nil)
	notLeader.Refused = pool.ReasonNotLeader
	f.Answer(h, notLeader)
	f.Resubmit()
	is.Equal(len(h.claimed()), 4) // told again
}
