package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/congestion"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// partitions is the number of partitions of the zone in the tests with real shards.
const partitions = 3

// peer is an instance with real shards, and the route to it. Requests and answers pass in order, each kind in a goroutine of its own;
// answers can be held up.
type peer struct {
	gateway  *Gateway
	shards   map[int]*shard.Shard
	requests chan func()
	answers  chan *relay.Answer
	held     sync.Mutex // held while answers are held up
}

// newPeer returns an instance that has the shards of some partitions.
func newPeer(t *testing.T, g *Gateway, f *fleet.Fleet, parts ...int) *peer {
	p := &peer{gateway: g, shards: map[int]*shard.Shard{}, requests: make(chan func(), 100), answers: make(chan *relay.Answer, 100)}
	for _, part := range parts {
		p.shards[part] = newShard(f, part, g.opts.Log)
		t.Cleanup(p.shards[part].End)
	}
	go p.pass(t.Context())
	go p.passAnswers(t.Context())
	return p
}

func newShard(f *fleet.Fleet, part int, log logrus.FieldLogger) *shard.Shard {
	counts, started := shard.NewCounts(), time.Now()
	s := shard.New(shard.Options{
		Zone: "north", Partition: part, Directory: shard.NewDirectory(), Lease: time.Second, Dialer: f, Window: congestion.New(),
		History: attempt.NewHistory(), OnFenced: func() {}, OnOutdated: func() {}, OnReplaced: func() {}, Counts: &counts, Log: log,
		Now: func() time.Duration { return time.Since(started) },
	})
	return s
}

func (p *peer) pass(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-p.requests:
			request()
		}
	}
}

func (p *peer) passAnswers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-p.answers:
			p.held.Lock()
			p.held.Unlock() // only waits until answers are passed on
			p.gateway.Answer(p, a)
		}
	}
}

// Answer implements relay.Client.
func (p *peer) Answer(a *relay.Answer) { p.answers <- a }

// Name implements relay.Client.
func (p *peer) Name() string { return "peer" }

// Silence implements relay.Client.
func (p *peer) Silence() time.Duration { return 0 }

// ZonePartitions implements Route.
func (p *peer) ZonePartitions(part int) int { return p.shards[part].Partitions() }

// Cancel implements Route.
func (p *peer) Cancel(c *relay.Cancel) {
	p.requests <- func() { p.shards[c.Partition].Cancel(p, c) }
}

// begin starts the term of a partition and waits until its endpoint is used.
func (p *peer) begin(t *testing.T, part int, all []work.Endpoint) {
	t.Helper()
	p.shards[part].Begin(shard.Term{Fence: 1, Partitions: partitions})
	p.shards[part].UpdateEndpoints(shard.Registrations{Changed: all, Snapshot: true}, nil)
	wait.For(t, "the endpoint is used", func() bool { return p.shards[part].Pressure() == 0 })
}

// peers finds the instances by partition. It implements Router.
type peers struct {
	noHomes
	mu      sync.Mutex
	targets []Target
	of      map[int]*peer
	sent    []Target
}

func (r *peers) Immediate(*work.Job) []Target { return nil }

func (r *peers) Targets(*work.Job) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets
}

// prefer sets the order in which partitions are tried.
func (r *peers) prefer(parts ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = nil
	for _, part := range parts {
		r.targets = append(r.targets, Target{Zone: "north", Partition: part})
	}
}

func (r *peers) Submit(to Target, s *relay.Submit) (Route, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, to)
	p := r.of[to.Partition]
	p.requests <- func() { p.shards[to.Partition].Submit(p, s) }
	return p, true
}

func (r *peers) submissions() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sent)
}

func (r *peers) ReportNotLeader(Target) {}
func (r *peers) ReachesAll() bool       { return true }

// endpointsOf returns one endpoint of each partition.
func endpointsOf(f *fleet.Fleet) []work.Endpoint {
	var all []work.Endpoint
	for part := range partitions {
		n := 0
		for shard.PartitionOf(fmt.Sprint("e", n), partitions) != part {
			n++
		}
		e := work.Endpoint{
			ID: work.EndpointID(fmt.Sprint("e", n)), Service: "survey", Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "north",
			Size: work.Size{MilliCPU: 2000, MemoryMB: 1024},
		}
		f.Add(e)
		all = append(all, e)
	}
	return all
}

// zone is a gateway before real shards: the partitions 0 and 1 belong to one instance, 2 to another.
type zone struct {
	*fixture
	fleet     *fleet.Fleet
	endpoints []work.Endpoint
	peers     *peers
	both      *peer // has partitions 0 and 1
	other     *peer // has partition 2
}

func startZone(t *testing.T, run time.Duration) *zone {
	found := &peers{}
	z := &zone{fixture: startWith(t, time.Minute, found), fleet: fleet.New(run), peers: found}
	z.endpoints = endpointsOf(z.fleet)
	z.both, z.other = newPeer(t, z.Gateway, z.fleet, 0, 1), newPeer(t, z.Gateway, z.fleet, 2)
	z.peers.of = map[int]*peer{0: z.both, 1: z.both, 2: z.other}
	return z
}

// awaitRuns waits until a number of tasks run.
func (z *zone) awaitRuns(n int) {
	z.t.Helper()
	wait.For(z.t, fmt.Sprint(n, " tasks run"), func() bool { return z.fleet.Running() == n })
}

// Guards against two runs of a task: an answer to an earlier submission, to another partition of the same instance, was taken for that
// to the present one, so the job was placed at a third dispatcher while the second one ran it.
func TestLateAnswerToAnEarlierSubmission(t *testing.T) {
	is := is.New(t)
	z := startZone(t, time.Second)
	z.both.begin(t, 1, z.endpoints) // nobody leads partition 0
	z.other.begin(t, 2, z.endpoints)
	z.both.held.Lock()
	z.peers.prefer(0)
	ctx, leave := context.WithCancel(t.Context())
	z.call(ctx, "POST", "/p/x", "job")
	z.eventually("the answer is on its way", func() bool {
		return z.peers.submissions() == 1 && len(z.both.answers) == 0 && len(z.both.requests) == 0
	})
	leave()
	z.eventually("the job is discarded", func() bool { return z.Active() == 0 })
	z.peers.prefer(1, 2)
	second := z.call(t.Context(), "POST", "/p/x", "job")
	z.awaitRuns(1)
	z.both.held.Unlock()
	is.Equal(z.receive(second).status, 200)
	is.Equal(z.fleet.OverlappingRuns(), "")
	is.Equal(z.peers.submissions(), 2)
}

// Guards against answers to an earlier submission of a job that end the present one, while its dispatcher goes on with it without a
// cancel, or place it elsewhere.
func TestAnswersToAnEarlierSubmission(t *testing.T) {
	for name, answer := range map[string]relay.Answer{
		"refused":    {Refused: pool.ReasonNoRoom, RetryAfter: time.Second},
		"not leader": {Refused: pool.ReasonNotLeader},
		"term ended": {Refused: pool.ReasonNotLeader, Started: true},
		"given up":   {Refused: pool.ReasonNotLeader, Started: true, GaveUp: true},
		"completed":  {State: work.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, time.Minute)
			ctx, leave := context.WithCancel(t.Context())
			f.call(ctx, "POST", "/p/a", "job")
			f.eventually("the job is submitted", func() bool { return len(f.router.sent()) == 1 })
			leave()
			f.eventually("the job is discarded", func() bool { return f.Active() == 0 })
			second := f.post("a")
			first, present := f.router.sent()[0].s.Number, f.router.sent()[1].s.Number
			is.True(first > 0)
			is.True(present > first)
			answer.Job, answer.Number = "a", first
			f.Answer(f.router, &answer)
			f.Resubmit()
			is.Equal(f.Active(), 1)
			is.Equal(len(f.router.sent()), 2)
			f.EndPending()
			is.Equal(f.receive(second).status, 504)
			is.Equal(f.router.cancels(), []relay.Cancel{{Job: "a", Number: first}, {Job: "a", Number: present}})
		})
	}
}

// moves returns the reason and the partition of each logged placement at a further dispatcher.
func moves(logged []*logrus.Entry) []string {
	var all []string
	for _, e := range logged {
		if e.Data["event"] == "placed" {
			all = append(all, fmt.Sprint(e.Data["why"], " ", e.Data["zone"]))
		}
	}
	return all
}

// Guards against jobs that go to a further dispatcher without a line in the log that says why, and against a line for each job.
func TestPlacementsAreLogged(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	logged := logtest.NewLocal(f.opts.Log.(*logrus.Logger))
	f.post("a")
	is.Equal(moves(logged.AllEntries()), nil)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom})
	is.Equal(moves(logged.AllEntries()), []string{"no_room south"})
	logged.Reset()
	f.post("b")
	f.Answer(f.router, &relay.Answer{Job: "b", Refused: pool.ReasonNotLeader})
	is.Equal(moves(logged.AllEntries()), []string{"not_leader south"})
	logged.Reset()
	f.router.setDown(north, true)
	f.post("c")
	f.Active() // waits until the gateway has placed the job
	is.Equal(moves(logged.AllEntries()), []string{"unreachable south"})
	f.router.setDown(north, false)
	f.EndPending()
	logged.Reset()
	f.post("d")
	f.RouteEnded(f.router, false)
	is.Equal(moves(logged.AllEntries()), []string{"unsent south"})
	logged.Reset()
	f.RouteEnded(f.router, true)
	f.Resubmit()
	is.Equal(moves(logged.AllEntries()), []string{"dispatcher_lost south"})
	f.Answer(f.router, &relay.Answer{Job: "d", Refused: pool.ReasonNotLeader}) // the successor is not known yet
	f.Resubmit()
	is.Equal(len(moves(logged.AllEntries())), 1)
}

// Guards against two runs of a task: a dispatcher that knows of a run of an earlier submission, whose endpoint does not answer, refused the
// job as not started, so it was placed at a second one while the run went on.
func TestRefusalBesideAnEarlierRun(t *testing.T) {
	is := is.New(t)
	z := startZone(t, 3*time.Second)
	z.both.begin(t, 1, z.endpoints)
	z.other.begin(t, 2, z.endpoints)
	z.peers.prefer(1)
	ctx, leave := context.WithCancel(t.Context())
	z.call(ctx, "POST", "/p/x", "job")
	z.awaitRuns(1)
	z.fleet.SetSilent(z.endpoints[1].Address, true)
	leave()
	z.eventually("the job is discarded", func() bool { return z.Active() == 0 })
	wait.For(t, "the endpoint gets no new runs", func() bool { return z.both.shards[1].Pressure() >= 1000 })
	z.peers.prefer(1, 2)
	z.call(t.Context(), "POST", "/p/x", "job")
	z.eventually("the job is submitted", func() bool { return z.peers.submissions() >= 2 })
	z.eventually("the job starts elsewhere when its earlier run is over", func() bool {
		z.Resubmit()
		return len(z.fleet.Starts()) == 2
	})
	is.Equal(z.fleet.OverlappingRuns(), "")
}

// Guards against a job that is asked for again at a dispatcher that knows of no earlier runs of it any more, and against one that leaves
// its dispatcher because the connection could not be opened, although there are such runs.
func TestRefusalWithEarlierRuns(t *testing.T) {
	is := is.New(t)
	f := start(t, time.Minute)
	a := f.post("a")
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom, Started: true})
	is.Equal(len(f.router.sent()), 1)
	f.Resubmit()
	f.RouteEnded(f.router, false)
	f.Resubmit()
	sent := f.router.sent()
	is.Equal(len(sent), 3)
	is.Equal(sent[2].to, north)
	is.True(!sent[2].s.Resumed)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom})
	f.Resubmit()
	sent = f.router.sent()
	is.Equal(len(sent), 4)
	is.Equal(sent[3].to, south)
	f.Answer(f.router, &relay.Answer{Job: "a", Refused: pool.ReasonNoRoom})
	is.Equal(f.receive(a).status, 429)
}
