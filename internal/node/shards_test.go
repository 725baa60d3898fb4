package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/catalog"
	"github.com/savorypass/savorypass/internal/division"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/lead"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/keyed"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/store"
	"github.com/savorypass/savorypass/internal/work"
)

// Guards against an instance that starts while its zone has no registrations, concludes from their number that the zone
// has a single partition, and dispatches with that.
func TestShardsOfFewRegistrations(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	s.Set("divisions", "north/4", []byte{1})
	n := newTestShards(s)
	n.setTerm(lead.Term{Generation: 3, Partitions: []int{8, 9}}) // the group partition of 2, and none of this zone
	is.True(!n.leading(anyPartition))                            // the division is not known yet
	go n.divisions.Run(t.Context())
	wait.For(t, "the partition is dispatched", func() bool { return n.leading(2) })
	t.Cleanup(func() { n.setTerm(lead.Term{Generation: 4}) })
	is.True(!n.leading(0))
	is.True(!n.leading(9)) // the zone has only 4 partitions
	is.True(!n.leading(1))
	is.Equal(n.dump()[0].Fence, fenceOf(3, 4))
}

// newTestShards returns the shards of an instance of the zone north, with the divisions that are in a store.
func newTestShards(s store.Store) *shards {
	log := silentLog()
	counts := shard.NewCounts()
	directory := shard.NewDirectory()
	started := time.Now()
	n := newShards("north", directory, started, attempt.NewHistory(), func(part int) *shard.Shard {
		return shard.New(shard.Options{
			Zone: "north", Partition: part, Directory: directory, Lease: time.Second, Dialer: fleet.New(time.Second),
			History: attempt.NewHistory(), OnFenced: func() {}, OnReplaced: func() {}, Counts: &counts, Log: log, Now: func() time.Duration { return time.Since(started) },
		})
	})
	n.gateway = gateway.New(gateway.Options{Config: &catalog.Current{}, Log: log})
	n.divisions = division.New(division.Options{Store: s, Topic: "divisions", ReadWait: time.Second, EndpointsPerPartition: 40, Log: log, OnChange: n.reconcile})
	return n
}

// ignoringClient ignores answers.
type ignoringClient struct{}

func (c ignoringClient) Answer(*relay.Answer)   {}
func (c ignoringClient) Name() string           { return "ignoring" }
func (c ignoringClient) Silence() time.Duration { return 0 }

// Guards against a cancelled job that runs because its instance has not learned of the cancellation: it was cut off from all dispatchers
// while they passed it on, and then submits the job. The clock is virtual.
func TestSubmissionOfACancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newTestShards(keyed.New())
		n.Cancellations().Merge([]relay.Cancellation{{Job: "x"}})
		wait.For(t, "the cancellation is passed on no longer", func() bool { return len(n.Cancellations().Recent()) == 0 })
		n.Submit(ignoringClient{}, &relay.Submit{Job: work.Job{ID: "x"}})
		n.Submit(ignoringClient{}, &relay.Submit{Job: work.Job{ID: "y"}})
		is.Equal(n.Cancellations().Recent(), []relay.Cancellation{{Job: "x"}})
	})
}

// Guards against a job that starts after its cancel was answered: its instance stood still while the cancellation was passed on, and submits
// the job again when it goes on.
func TestDispatcherDoesNotTakeACancelledJob(t *testing.T) {
	is := is.New(t)
	n := newTestShards(keyed.New())
	n.setTerm(lead.Term{Generation: 3, Partitions: []int{0, 1, 2}})
	go n.divisions.Run(t.Context())
	t.Cleanup(func() { n.setTerm(lead.Term{Generation: 4}) })
	wait.For(t, "the partition is dispatched", func() bool { return n.leading(0) })
	n.Cancellations().Merge([]relay.Cancellation{{Job: "x"}})
	c := &answeredClient{}
	n.Submit(c, &relay.Submit{Job: work.Job{ID: "x", Service: "none", Steps: []work.Step{{Count: 1}}}, Number: 7})
	is.Equal(c.answer, &relay.Answer{Job: "x", Number: 7, State: work.Cancelled})
	is.Equal(len(n.dump()[0].Pool.Jobs), 0)
	n.Submit(c, &relay.Submit{Job: work.Job{ID: "y", Service: "none", Steps: []work.Step{{Count: 1}}}, Number: 8})
	is.Equal(c.answer.State, work.State("")) // other jobs are decided on as before
}

// Guards against a cancelled job that a duplicate submission starts at another instance because the instance that has answered the cancel
// ended before its next heartbeat. A caller that has only left one request has cancelled nothing.
func TestDispatcherRemembersCancels(t *testing.T) {
	is := is.New(t)
	n := newTestShards(keyed.New())
	n.Cancel(ignoringClient{}, &relay.Cancel{Job: "left"})
	n.Cancel(ignoringClient{}, &relay.Cancel{Job: "cancelled", Whole: true})
	is.Equal(n.Cancellations().Recent(), []relay.Cancellation{{Job: "cancelled", Found: true}})
}

// stuckClient keeps each shard that answers it from going on until it is released, as a call would that does not end.
type stuckClient struct{ released chan struct{} }

func (c stuckClient) Answer(*relay.Answer)   { <-c.released }
func (c stuckClient) Name() string           { return "stuck" }
func (c stuckClient) Silence() time.Duration { return 0 }

// Guards against an instance that does not notice that its callers leave, and that reports that it is ready, while one of its own
// shards stands still: their tasks ran on while other dispatchers took the callers for present.
func TestShardThatStandsStill(t *testing.T) {
	is := is.New(t)
	n := newTestShards(keyed.New())
	n.setTerm(lead.Term{Generation: 3, Partitions: []int{0, 1, 2}})
	go n.divisions.Run(t.Context())
	wait.For(t, "the partition is dispatched", func() bool { return n.leading(0) })
	is.True(!n.stalled(time.Minute))
	stuck := stuckClient{make(chan struct{})}
	t.Cleanup(func() { n.setTerm(lead.Term{Generation: 4}) })
	defer close(stuck.released)
	go n.Submit(stuck, &relay.Submit{Job: work.Job{ID: "x", Service: "none", Steps: []work.Step{{Count: 1}}}})
	wait.For(t, "the shard stands still", func() bool { return n.stalled(10 * checkPause) })
	local := newLocalRoute(n)
	local.gateway = gateway.New(gateway.Options{Config: &catalog.Current{}, Log: silentLog()})
	go local.requests.run(t.Context().Done(), func(request func()) { request() })
	is.True(local.submit(&relay.Submit{Job: work.Job{ID: "y", Steps: []work.Step{{Count: 1}}}}))
	local.Cancel(&relay.Cancel{Job: "y"})
	is.True(n.leading(0))
	_, known := n.lastLoad(0)
	is.True(known)
	go n.reconcile() // waits for the shard
	for range maxLocalRequests + 1 {
		local.submit(&relay.Submit{})
	}
	is.True(!local.submit(&relay.Submit{}))
}

// checkPause is longer than the pause between a shard's checks.
const checkPause = 60 * time.Millisecond

// answeredClient keeps the last answer.
type answeredClient struct {
	stuckClient
	answer *relay.Answer
}

func (c *answeredClient) Answer(a *relay.Answer) { c.answer = a }

// Guards against a refusal that is taken for the answer to a later submission: the instance has never dispatched for the partition.
func TestRefusalWithoutAShardNamesItsSubmission(t *testing.T) {
	is := is.New(t)
	n := newTestShards(keyed.New())
	c := &answeredClient{}
	n.Submit(c, &relay.Submit{Job: work.Job{ID: "x"}, Number: 5, Partition: 1})
	is.Equal(c.answer.Refused, pool.ReasonNotLeader)
	is.Equal(c.answer.Number, relay.SubmissionNumber(5))
}

// Guards against stored jobs that wait anew, or do not wait, after a change of the group: only if a generation in between, or the term before,
// leaves the partition to others can another instance have held it. It also guards against a confirmation that is taken for another fence.
func TestUninterruptedTermsAndConfirmations(t *testing.T) {
	is := is.New(t)
	s := keyed.New()
	s.Set("divisions", "north/4", []byte{1})
	n := newTestShards(s)
	go n.divisions.Run(t.Context())
	wait.For(t, "the division is known", n.divisions.Known)
	t.Cleanup(func() { n.setTerm(lead.Term{Generation: 9}) })
	const heldThrough = 8 // the group partition of 2
	n.setTerm(lead.Term{Generation: 3, Partitions: []int{heldThrough}})
	is.True(!n.uninterrupted(2))
	n.setTerm(lead.Term{Generation: 4, Partitions: []int{heldThrough}})
	is.True(n.uninterrupted(2))
	n.setTerm(lead.Term{Generation: 6, Partitions: []int{heldThrough}})
	is.True(!n.uninterrupted(2)) // generation 5 may have given it to another instance
	is.True(!n.uninterrupted(0)) // not held before

	last := lead.Confirmation{Term: lead.Term{Generation: 6, Partitions: []int{heldThrough}}, At: n.started.Add(time.Minute)}
	c, ok := n.confirmation(2, fenceOf(6, 4), last)
	is.True(ok)
	is.Equal(c.Held, time.Minute)
	is.True(c.Divided > 0)
	_, ok = n.confirmation(2, fenceOf(5, 4), last)
	is.True(!ok)
	_, ok = n.confirmation(0, fenceOf(6, 4), last)
	is.True(!ok)
}
