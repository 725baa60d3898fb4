package shard_test

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/congestion"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/standin/wait"
	"github.com/savorypass/savorypass/internal/work"
)

// lease is longer than a poll of an endpoint and a lost call together.
const lease = time.Second

// client records a dispatcher's answers.
type client struct {
	mu      sync.Mutex
	answers map[work.JobID]*relay.Answer
	lostAt  time.Time // when the instance fell silent; zero if it has not
}

func newClient() *client { return &client{answers: map[work.JobID]*relay.Answer{}} }

func (c *client) Name() string { return "test" }

func (c *client) Silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAt.IsZero() {
		return 0
	}
	return time.Since(c.lostAt)
}

// fallSilent makes the instance send no messages from now on.
func (c *client) fallSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt = time.Now()
}

func (c *client) Answer(a *relay.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[a.Job] = a
}

func (c *client) answer(id work.JobID) *relay.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[id]
}

// discardLog returns a logger without output.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// dispatcher is a shard with its own directory and clock.
type dispatcher struct {
	*shard.Shard
	directory *shard.Directory
	history   *attempt.History
	window    *congestion.Window
	replaced  atomic.Int32 // calls of OnReplaced
	started   time.Time
	mu        sync.Mutex
	ahead     time.Duration // how far the clock is ahead of real time
}

func newShard(f *fleet.Fleet, fenced func()) *dispatcher { return newShardOf(f, 0, fenced) }

func newShardOf(f *fleet.Fleet, partition int, fenced func()) *dispatcher {
	return newShardWithLease(f, partition, lease, fenced)
}

func newShardWithLease(f *fleet.Fleet, partition int, lease time.Duration, fenced func()) *dispatcher {
	return newShardWith(f, func(o *shard.Options) { o.Partition, o.Lease, o.OnFenced = partition, lease, fenced })
}

// newShardWith returns a dispatcher with the options that set has changed.
func newShardWith(f *fleet.Fleet, set func(*shard.Options)) *dispatcher {
	d := &dispatcher{directory: shard.NewDirectory(), history: attempt.NewHistory(), window: congestion.New(), started: time.Now()}
	counts := shard.NewCounts()
	o := shard.Options{
		Zone: "north", Directory: d.directory, Lease: lease, Dialer: f, Window: d.window, History: d.history, OnFenced: func() {},
		OnOutdated: func() {}, OnReplaced: func() { d.replaced.Add(1) }, Counts: &counts, Log: discardLog(),
		Now: d.now,
	}
	set(&o)
	d.Shard = shard.New(o)
	return d
}

// now returns the time on the shard's clock.
func (d *dispatcher) now() time.Duration { return time.Since(d.started) + d.skip(0) }

// skip moves the shard's clock forward and returns how far it is ahead of real time.
func (d *dispatcher) skip(by time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ahead += by
	return d.ahead
}

// register replaces all registrations in the directory and passes the changes to the shard.
func (d *dispatcher) register(all []work.Endpoint) {
	r := shard.Registrations{Changed: all, Snapshot: true}
	d.UpdateEndpoints(r, d.directory.Apply(r, d.skip(0)))
}

func endpoints(n int) []work.Endpoint {
	var all []work.Endpoint
	for i := range n {
		all = append(all, work.Endpoint{
			ID: work.EndpointID(fmt.Sprintf("e%d", i)), Service: "survey", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "north",
			Size: work.Size{MilliCPU: 2000, MemoryMB: 1024},
		})
	}
	return all
}

func newFleet(n int, run time.Duration) (*fleet.Fleet, []work.Endpoint) {
	f := fleet.New(run)
	all := endpoints(n)
	for _, e := range all {
		f.Add(e)
	}
	return f, all
}

// newLeadingDispatcher returns a fleet, its registrations, a dispatcher that holds the term for it and a client.
func newLeadingDispatcher(t *testing.T, n int, run time.Duration) (*fleet.Fleet, []work.Endpoint, *dispatcher, *client) {
	f, all := newFleet(n, run)
	return f, all, lead(t, f, all), newClient()
}

// lead returns a dispatcher that holds the term for the endpoints of a fleet, and polls them at once.
func lead(t *testing.T, f *fleet.Fleet, all []work.Endpoint) *dispatcher {
	s := newShard(f, func() {})
	s.Begin(shard.Term{Fence: 1, Partitions: 1})
	t.Cleanup(s.End)
	s.register(all)
	return s
}

func jobOf(id string, tasks int, estimate time.Duration) work.Job {
	return work.Job{
		ID: work.JobID(id), Queue: "q", Service: "survey", Spec: "text",
		Steps:     []work.Step{{Count: tasks, Size: work.Size{MilliCPU: 1000, MemoryMB: 64}, Estimate: estimate}},
		Objective: work.Objective{Stretch: 3, Extra: time.Second, Attempts: 2},
	}
}

func submitUntilAccepted(t *testing.T, s *dispatcher, c *client, m *relay.Submit) {
	t.Helper()
	wait.For(t, "the job is accepted", func() bool {
		s.Submit(c, m)
		a := c.answer(m.Job.ID)
		if a != nil && a.Refused != pool.ReasonNone {
			c.mu.Lock()
			delete(c.answers, m.Job.ID)
			c.mu.Unlock()
			return false
		}
		return true
	})
}

func completed(c *client, id work.JobID) func() bool {
	return func() bool { a := c.answer(id); return a != nil && a.State == work.Completed }
}
