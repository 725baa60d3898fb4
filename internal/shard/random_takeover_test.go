package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/congestion"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// randomZone is a zone with several instances whose partitions change hands at random, while endpoints, the store and the paths between all of
// them fail. The callers of its jobs never leave, so no task may run twice at the same time.
type randomZone struct {
	fleet     *fleet.Fleet
	instances []*instance
	ctx       context.Context
	work      sync.WaitGroup

	mu         sync.Mutex
	rand       *rand.Rand
	registered map[work.EndpointID]work.Endpoint
	changes    []work.EndpointID // every registration that has changed, in order
	generation int64
	parts      int
	holders    map[int]*instance // by partition
}

// instance is one instance that dispatches for partitions of a randomZone.
type instance struct {
	zone      *randomZone
	name      string
	directory *shard.Directory
	history   *attempt.History
	window    *congestion.Window
	counts    shard.Counts
	started   time.Time
	refresh   chan struct{}

	mu        sync.Mutex
	shards    map[int]*shard.Shard
	parts     int
	dividedAt time.Duration
	cut       bool            // from the store
	blocked   map[string]bool // addresses that are not reached
}

func (z *randomZone) random(n int) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.rand.IntN(n)
}

// between returns a random time of at least from and below to.
func (z *randomZone) between(from, to time.Duration) time.Duration {
	return from + time.Duration(z.random(int(to-from)))
}

// pause waits for a random time and returns false once the scenario is over.
func (z *randomZone) pause(from, to time.Duration) bool {
	select {
	case <-z.ctx.Done():
		return false
	case <-time.After(z.between(from, to)):
		return true
	}
}

// later calls a function after a random time.
func (z *randomZone) later(from, to time.Duration, f func()) {
	wait := z.between(from, to)
	z.work.Go(func() {
		time.Sleep(wait)
		f()
	})
}

func newInstance(z *randomZone, name string) *instance {
	return &instance{
		zone: z, name: name, directory: shard.NewDirectory(), history: attempt.NewHistory(), window: congestion.New(), counts: shard.NewCounts(),
		started: time.Now(), refresh: make(chan struct{}, 1), shards: map[int]*shard.Shard{}, parts: 1, blocked: map[string]bool{},
	}
}

func (i *instance) now() time.Duration { return time.Since(i.started) }

// randomLog returns a logger that writes to the standard error output if RANDOM_LOG is set.
func randomLog() logrus.FieldLogger {
	if os.Getenv("RANDOM_LOG") == "" {
		return discardLog()
	}
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "05.000"})
	return log
}

// shard returns the dispatcher of a partition.
func (i *instance) shard(part int) *shard.Shard {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.shards[part] == nil {
		i.shards[part] = shard.New(shard.Options{
			Zone: "north", Partition: part, Directory: i.directory, Lease: lease, Dialer: i, Window: i.window, History: i.history,
			OnFenced: func() {}, OnOutdated: i.read, OnReplaced: i.read, Counts: &i.counts, Log: randomLog().WithFields(logrus.Fields{"instance": i.name, "partition": part}), Now: i.now,
		})
	}
	return i.shards[part]
}

func (i *instance) all() []*shard.Shard {
	var all []*shard.Shard
	for part := range 2 {
		all = append(all, i.shard(part))
	}
	return all
}

// read requests a read of the registrations.
func (i *instance) read() {
	select {
	case i.refresh <- struct{}{}:
	default:
	}
}

// follow reads the registrations until the scenario is over.
func (i *instance) follow() {
	z, next := i.zone, 0
	first, failed := true, false
	for z.ctx.Err() == nil {
		began := i.now()
		time.Sleep(z.between(0, 20*time.Millisecond))
		i.mu.Lock()
		cut := i.cut
		i.mu.Unlock()
		if cut {
			failed = true
			i.directory.ReadFailed()
			z.pause(100*time.Millisecond, 400*time.Millisecond)
			continue
		}
		r := shard.Registrations{AsOf: began, Snapshot: first, Recovered: failed}
		z.mu.Lock()
		for _, id := range z.changes[next:] {
			if e, ok := z.registered[id]; ok {
				r.Changed = append(r.Changed, e)
			} else {
				r.Removed = append(r.Removed, id)
			}
		}
		next = len(z.changes)
		z.mu.Unlock()
		first, failed = false, false
		time.Sleep(z.between(0, 30*time.Millisecond))
		removed := i.directory.Apply(r, i.now())
		for _, s := range i.all() {
			s.UpdateEndpoints(r, removed)
		}
		select {
		case <-z.ctx.Done():
		case <-i.refresh:
		case <-time.After(450 * time.Millisecond):
		}
	}
}

// Dial implements work.Dialer.
func (i *instance) Dial(e work.Endpoint) work.EndpointClient {
	return &randomPath{i, e, i.zone.fleet.Dial(e)}
}

// randomPath is the path from an instance to an endpoint.
type randomPath struct {
	instance *instance
	endpoint work.Endpoint
	work.EndpointClient
}

// lost waits for the end of a call if the endpoint is not reached.
func (p *randomPath) lost(ctx context.Context) error {
	p.instance.mu.Lock()
	blocked := p.instance.blocked[p.endpoint.Address]
	p.instance.mu.Unlock()
	if !blocked {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(60 * time.Millisecond):
	}
	return fmt.Errorf("%w: %w", work.ErrNoResponse, work.ErrTimeout)
}

// otherProcess reports whether another process than the registered one answers, which then does nothing.
func (p *randomPath) otherProcess() bool {
	f := p.instance.zone.fleet
	return f.Resize(p.endpoint.Address, p.endpoint.Size).StartedUnixMS != p.endpoint.StartedUnixMS
}

func (p *randomPath) Start(ctx context.Context, r work.StartRequest) (work.Refusal, time.Duration, error) {
	if err := p.lost(ctx); err != nil {
		return work.Done, 0, err
	}
	if p.otherProcess() {
		return work.OtherProcess, 0, nil
	}
	return p.EndpointClient.Start(ctx, r)
}

func (p *randomPath) Stop(ctx context.Context, task work.TaskID, run int, fence int64) (work.Refusal, error) {
	if err := p.lost(ctx); err != nil {
		return work.Done, err
	}
	if p.otherProcess() {
		return work.OtherProcess, nil
	}
	return p.EndpointClient.Stop(ctx, task, run, fence)
}

func (p *randomPath) RenewLease(ctx context.Context, l work.LeaseRequest) (work.Report, work.Refusal, error) {
	if err := p.lost(ctx); err != nil {
		return work.Report{}, work.Done, err
	}
	if p.otherProcess() {
		return work.Report{}, work.OtherProcess, nil
	}
	report, refusal, err := p.EndpointClient.RenewLease(ctx, l)
	if lost := p.lost(ctx); lost != nil {
		return work.Report{}, work.Done, lost
	}
	return report, refusal, err
}

// register sets or ends a registration.
func (z *randomZone) register(e work.Endpoint, present bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if present {
		z.registered[e.ID] = e
	} else {
		delete(z.registered, e.ID)
	}
	z.changes = append(z.changes, e.ID)
}

// fence returns that of a generation for an instance that knows a number of partitions.
func fence(generation int64, parts int) int64 { return generation*32 + int64(parts) }

// begin makes an instance hold a partition.
func (i *instance) begin(part int, generation int64) {
	i.mu.Lock()
	parts, dividedAt := i.parts, i.dividedAt
	i.mu.Unlock()
	if part < parts {
		i.shard(part).Begin(shard.Term{Fence: fence(generation, parts), Partitions: parts, DividedAt: dividedAt})
	}
}

// deal gives a partition to an instance under a new generation. The present holder learns of it late; the others' terms continue.
func (z *randomZone) deal(part int, to *instance) {
	z.mu.Lock()
	z.generation++
	generation, from, holders := z.generation, z.holders[part], map[int]*instance{}
	z.holders[part] = to
	for p, h := range z.holders {
		holders[p] = h
	}
	z.mu.Unlock()
	holds := func() bool {
		z.mu.Lock()
		defer z.mu.Unlock()
		return z.holders[part] == from
	}
	if from != nil && from != to {
		end := func() {
			if !holds() {
				from.shard(part).End()
			}
		}
		if z.random(2) == 0 {
			z.later(0, 150*time.Millisecond, end)
		} else {
			z.later(0, 4*time.Second, end)
		}
	}
	for p, h := range holders {
		z.later(0, 200*time.Millisecond, func() {
			z.mu.Lock()
			still := z.holders[p] == h && z.generation == generation
			z.mu.Unlock()
			if still {
				h.begin(p, generation)
			}
		})
	}
}

// divide divides the zone into two partitions. The instances read of it one after the other.
func (z *randomZone) divide() {
	z.mu.Lock()
	z.parts = 2
	z.holders[1] = z.instances[z.rand.IntN(len(z.instances))]
	z.mu.Unlock()
	for _, i := range z.instances {
		z.later(0, 3*time.Second, func() {
			i.mu.Lock()
			i.parts, i.dividedAt = 2, i.now()
			i.mu.Unlock()
			z.mu.Lock()
			generation, held := z.generation, map[int]bool{}
			for part, h := range z.holders {
				held[part] = h == i
			}
			z.mu.Unlock()
			for part := range 2 {
				if held[part] {
					i.begin(part, generation)
				} else if part == 0 {
					i.shard(part).End() // an earlier holder that has not noticed it
				}
			}
		})
	}
}

// connection is the connection over which the instance of a caller has submitted a job to a dispatcher. It implements relay.Client.
type connection struct {
	mu      sync.Mutex
	lostAt  time.Time // since when no heartbeats are composed; zero while there are some
	answers chan *relay.Answer
}

func (c *connection) Name() string { return "random" }

func (c *connection) Answer(a *relay.Answer) { c.answers <- a }

func (c *connection) Silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAt.IsZero() {
		return 0
	}
	return time.Since(c.lostAt)
}

func (c *connection) lose(ago time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt = time.Now().Add(-ago)
}

// run submits a job like a gateway whose caller waits until it has ended. It returns false if the scenario was over before.
func (z *randomZone) run(request uint64, job work.Job) bool {
	var number, previous relay.SubmissionNumber
	var lostAt time.Time
	arrived, resumed, losses := time.Now(), false, 0
	part := 0
	for z.pause(time.Millisecond, 50*time.Millisecond) {
		z.mu.Lock()
		if !resumed {
			part = z.rand.IntN(z.parts)
		}
		to := z.holders[part]
		if z.rand.IntN(10) == 0 {
			to = z.instances[z.rand.IntN(len(z.instances))] // an outdated look-up
		}
		z.mu.Unlock()
		number++
		m := relay.Submit{
			Job: job, Number: number, Partition: part, Resumed: resumed, GivenBack: resumed && losses == 0, Waited: time.Since(arrived),
			Request: request, Previous: previous,
		}
		if resumed {
			m.Lost = time.Since(lostAt)
		}
		previous = number
		c := &connection{answers: make(chan *relay.Answer, 10)}
		s := to.shard(part)
		s.Submit(c, &m)
		var reset <-chan time.Time
		if z.random(3) == 0 {
			reset = time.After(z.between(0, 2*time.Second))
		}
		select {
		case <-z.ctx.Done():
			s.Cancel(c, &relay.Cancel{Job: job.ID, Number: number})
			return false
		case <-reset:
			c.lose(z.between(0, 100*time.Millisecond))
			if z.random(2) == 0 {
				s.ClientGone(c)
				time.Sleep(z.between(0, 700*time.Millisecond)) // only the dispatcher knows of it
			} else {
				z.later(0, 700*time.Millisecond, func() { s.ClientGone(c) })
			}
			lostAt, resumed = time.Now(), true
			losses++
		case a := <-c.answers:
			switch {
			case a.Refused == pool.ReasonNone:
				return true
			case a.Refused == pool.ReasonNotLeader && a.Started:
				lostAt, resumed = time.Now(), true
			}
		}
	}
	return false
}

// disturb makes endpoints, the store and paths fail at random.
func (z *randomZone) disturb(all []work.Endpoint) {
	for z.pause(50*time.Millisecond, 600*time.Millisecond) {
		e := all[z.random(len(all))]
		i := z.instances[z.random(len(z.instances))]
		switch z.random(9) {
		case 0:
			z.fleet.SetSilent(e.Address, true)
			z.later(100*time.Millisecond, 3*time.Second, func() { z.fleet.SetSilent(e.Address, false) })
		case 1:
			z.register(e, false)
			z.later(100*time.Millisecond, 5*time.Second, func() { z.register(z.fleet.Resize(e.Address, e.Size), true) })
		case 2:
			z.fleet.Restart(e.Address)
			z.later(10*time.Millisecond, time.Second, func() { z.register(z.fleet.Resize(e.Address, e.Size), true) })
		case 3:
			i.mu.Lock()
			i.cut = true
			i.mu.Unlock()
			z.later(100*time.Millisecond, 5*time.Second, func() {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.cut = false
			})
		case 4, 5:
			i.mu.Lock()
			i.blocked[e.Address] = true
			i.mu.Unlock()
			z.later(100*time.Millisecond, 4*time.Second, func() {
				i.mu.Lock()
				defer i.mu.Unlock()
				delete(i.blocked, e.Address)
			})
		default:
			z.mu.Lock()
			part := z.rand.IntN(z.parts)
			z.mu.Unlock()
			z.deal(part, z.instances[z.random(len(z.instances))])
		}
	}
}

// playRandomZone plays a scenario and returns the first two runs of a task at the same time, or "", and the number of jobs that have ended.
func playRandomZone(seed uint64, length time.Duration) (overlap string, ended int) {
	const instances, endpoints, perSecond = 3, 8, 6
	f, all := newFleet(endpoints, 0)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	z := &randomZone{
		fleet: f, ctx: ctx, rand: rand.New(rand.NewPCG(seed, 1)), registered: map[work.EndpointID]work.Endpoint{}, parts: 1, holders: map[int]*instance{},
	}
	var mu sync.Mutex // of random numbers that are drawn with the fleet's lock held
	draw := rand.New(rand.NewPCG(seed, 2))
	f.RunTime = func(task work.TaskID) time.Duration {
		return 50*time.Millisecond + time.Duration(shard.PartitionOf(string(task.Job)+fmt.Sprint(task.Index), 2500))*time.Millisecond
	}
	f.MaxLease = lease
	f.StopTime = 30 * time.Millisecond
	f.LoseAnswer = func(string) (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if draw.IntN(40) > 0 {
			return false, 0
		}
		if draw.IntN(3) == 0 {
			return true, -1
		}
		return true, time.Duration(draw.IntN(1500)) * time.Millisecond
	}
	for n, e := range all {
		time.Sleep(3 * time.Millisecond) // so that each process has another start
		f.Restart(e.Address)
		all[n] = f.Resize(e.Address, e.Size)
		z.register(all[n], true)
	}
	for n := range instances {
		i := newInstance(z, fmt.Sprint("i", n))
		z.instances = append(z.instances, i)
		z.work.Go(i.follow)
	}
	time.Sleep(9 * time.Second)
	z.deal(0, z.instances[0])
	time.Sleep(time.Second)
	z.work.Go(func() { z.disturb(all) })
	if seed%2 == 1 {
		z.later(time.Second, length/2, z.divide)
	}
	for n := uint64(1); z.pause(0, 2*time.Second/perSecond); n++ {
		z.work.Go(func() {
			if z.run(n, patientJob(fmt.Sprint("job", n), 1+z.random(3))) {
				mu.Lock()
				ended++
				mu.Unlock()
			}
		})
	}
	z.work.Wait()
	for _, i := range z.instances {
		for _, s := range i.all() {
			s.End()
		}
	}
	time.Sleep(10 * time.Second)
	return f.OverlappingRuns(), ended
}

// Guards against two runs of a task at the same time in any interleaving of takeovers, divisions, endpoints and paths that fail, outages of the
// store, and lost or late calls, while the callers of all jobs wait. RANDOM_SEEDS sets the number of scenarios. The clock is virtual.
func TestRandomTakeovers(t *testing.T) {
	seeds := 6
	if n, err := strconv.Atoi(os.Getenv("RANDOM_SEEDS")); err == nil {
		seeds = n
	}
	first, _ := strconv.Atoi(os.Getenv("RANDOM_FIRST"))
	var overlaps []string
	jobs := 0
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) {
			overlap, ended := playRandomZone(uint64(first+seed), 60*time.Second)
			jobs += ended
			if overlap != "" {
				overlaps = append(overlaps, fmt.Sprintf("seed %d: %s", first+seed, overlap))
			}
		})
	}
	is := is.New(t)
	is.Equal(overlaps, nil)
	t.Log(jobs, "jobs have ended")
	is.True(jobs > 0)
}
