package node

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/shard"
	"github.com/savorypass/savorypass/internal/work"
)

// The replay submits the jobs of several zones, whose demand swings with crests a second apart, to the pools of the zones' partitions. Messages
// take no time; loads are reported every 200 ms.
const (
	replayPartitions = 4
	replayEndpoints  = 20 // of each partition
	replayInstances  = 3  // of each zone
	replayReport     = 200 * time.Millisecond
	replayLength     = 14 * time.Second
	replayPeriod     = 13 * time.Second
	replaySwing      = 0.55
)

// jobKind is a kind of jobs of the replay.
type jobKind struct {
	queue   string
	share   float64 // of the jobs
	tasks   int
	runTime time.Duration
}

var replayKinds = []jobKind{
	{"ranking", 0.245, 8, 51 * time.Millisecond}, {"certificate", 0.045, 4, 760 * time.Millisecond}, {"notice", 0.71, 2, 170 * time.Millisecond},
}

// replayResult counts the jobs of a replay.
type replayResult struct{ jobs, refused, late, tries, elsewhere int }

func (r replayResult) String() string {
	return fmt.Sprintf("%d jobs, %d refused, %d late, %d tries, %d in another zone", r.jobs, r.refused, r.late, r.tries, r.elsewhere)
}

// choice places a job of an instance. It returns where the job was accepted, or false.
type choice func(r *replay, from *replayInstance, job *work.Job) (gateway.Target, bool)

// replayInstance is an instance that submits jobs, with the loads that it knows.
type replayInstance struct {
	zone  string
	loads map[gateway.Target]relay.Load
}

type replayEnd struct {
	at  time.Duration
	in  gateway.Target
	run *pool.Run
}

type replay struct {
	random    *rand.Rand // for the demand, the same whatever the choice
	chance    *rand.Rand // for the choice and the run times
	now       time.Duration
	zones     []string
	pools     map[gateway.Target]*pool.Pool
	instances []*replayInstance
	ends      []replayEnd
	left      map[work.JobID]int // tasks
	due       map[work.JobID]time.Duration
	cut       map[string]bool // zones that the others do not reach
	result    replayResult
}

func newReplay(seed uint64, zones ...string) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), chance: rand.New(rand.NewPCG(seed, 2)), zones: zones, pools: map[gateway.Target]*pool.Pool{}, left: map[work.JobID]int{},
		due: map[work.JobID]time.Duration{}, cut: map[string]bool{},
	}
	for _, zone := range zones {
		for part := range replayPartitions {
			r.pools[gateway.Target{Zone: zone, Partition: part}] = r.newPool()
		}
		for range replayInstances {
			r.instances = append(r.instances, &replayInstance{zone, map[gateway.Target]relay.Load{}})
		}
	}
	return r
}

func (r *replay) newPool() *pool.Pool {
	p := pool.New(attempt.NewHistory())
	for i := range replayEndpoints {
		id := work.EndpointID(fmt.Sprint("e", i))
		p.Update(work.Endpoint{ID: id, Service: "results", Size: work.Size{MilliCPU: 32000, MemoryMB: 1000}})
		p.SetUsable(id, true)
	}
	return p
}

// run replays a demand that uses a share of the capacity on average, and returns the counts.
func (r *replay) run(load float64, place choice, each func()) replayResult {
	for r.now = 0; r.now < replayLength; r.now += time.Millisecond {
		if each != nil {
			each()
		}
		r.endRuns()
		if r.now%replayReport == 0 {
			r.report()
		}
		for i, zone := range r.zones {
			phase := 2 * math.Pi * float64(r.now-time.Duration(i)*time.Second) / float64(replayPeriod)
			for range r.arrivals(load * (1 - replaySwing*math.Cos(phase))) {
				r.submit(zone, place)
			}
		}
	}
	return r.result
}

// arrivals returns the number of jobs in a millisecond for a share of a zone's capacity.
func (r *replay) arrivals(load float64) int {
	work := 0.0 // of a job on average, in core milliseconds
	for _, k := range replayKinds {
		work += k.share * float64(k.tasks) * 16 * float64(k.runTime.Milliseconds())
	}
	mean := load * replayPartitions * replayEndpoints * 32 / work
	n := 0
	for p := math.Exp(-mean); ; n++ {
		if p /= r.random.Float64(); p > 1 {
			return n
		}
	}
}

func (r *replay) report() {
	for _, x := range r.instances {
		for at, p := range r.pools {
			if at.Zone != x.zone && (r.cut[at.Zone] || r.cut[x.zone]) {
				continue
			}
			x.loads[at] = relay.NewLoad(at.Partition, p.Pressure(), 1, p.Headroom())
		}
	}
}

func (r *replay) submit(zone string, place choice) {
	var own []*replayInstance
	for _, x := range r.instances {
		if x.zone == zone {
			own = append(own, x)
		}
	}
	job := r.newJob()
	r.result.jobs++
	at, ok := place(r, own[r.chance.IntN(len(own))], job)
	if !ok {
		r.result.refused++
		return
	}
	if at.Zone != zone {
		r.result.elsewhere++
	}
	r.left[job.ID] = job.Tasks()
	r.due[job.ID] = r.now + time.Duration(job.Objective.Stretch*float64(job.Steps[0].Estimate)) + job.Objective.Extra
	r.start(at)
}

func (r *replay) newJob() *work.Job {
	k, draw := replayKinds[0], r.random.Float64()
	for _, k = range replayKinds {
		if draw -= k.share; draw < 0 {
			break
		}
	}
	size := int(16000 * (1 + 0.2*r.random.NormFloat64()))
	return &work.Job{
		ID: work.JobID(fmt.Sprintf("%016x", r.random.Uint64())), Queue: k.queue, Service: "results",
		Steps:     []work.Step{{Count: k.tasks, Size: work.Size{MilliCPU: min(max(size, 8000), 24000), MemoryMB: 1}, Estimate: k.runTime}},
		Objective: work.Objective{Stretch: 1.6, Extra: 60 * time.Millisecond, Attempts: 2},
	}
}

// try submits a job to a partition and returns whether it was accepted.
func (r *replay) try(at gateway.Target, job *work.Job) bool {
	r.result.tries++
	v, _ := r.pools[at].Submit(job, r.now, r.now, 0)
	return v.Accepted()
}

// start starts what can start in a partition.
func (r *replay) start(at gateway.Target) {
	for _, run := range r.pools[at].Next(r.now) {
		took := time.Duration(float64(run.Expected) * math.Exp(0.1*r.chance.NormFloat64()))
		r.ends = append(r.ends, replayEnd{r.now + took, at, run})
	}
	slices.SortFunc(r.ends, func(a, b replayEnd) int { return cmp.Compare(a.at, b.at) })
}

func (r *replay) endRuns() {
	for len(r.ends) > 0 && r.ends[0].at <= r.now {
		end := r.ends[0]
		r.ends = r.ends[1:]
		task := end.run.Task
		r.pools[end.in].RunEnded(attempt.Process{Endpoint: end.run.Endpoint},
			work.End{Task: task, Run: end.run.Number, Reason: work.EndSucceeded}, r.now)
		if r.left[task.Job]--; r.left[task.Job] == 0 && r.now > r.due[task.Job] {
			r.result.late++
		}
		r.start(end.in)
	}
}

// zoneLoad returns what an instance knows of a zone.
func (x *replayInstance) zoneLoad(zone string) zoneLoad {
	z := zoneLoad{zone: zone}
	for part := range replayPartitions {
		load, ok := x.loads[gateway.Target{Zone: zone, Partition: part}]
		if !ok {
			load = relay.Load{Pressure: unknownPressure}
		}
		z.loads = append(z.loads, load)
	}
	return z
}

func (r *replay) others(x *replayInstance) []zoneLoad {
	at := slices.Index(r.zones, x.zone)
	var others []zoneLoad
	for i := 1; i < len(r.zones); i++ {
		others = append(others, x.zoneLoad(r.zones[(at+i)%len(r.zones)]))
	}
	return others
}

func (r *replay) reaches(from string, to gateway.Target) bool {
	return from == to.Zone || !r.cut[from] && !r.cut[to.Zone]
}

// byOffers is the present choice: offers first, then a place in a queue.
func byOffers(r *replay, x *replayInstance, job *work.Job) (gateway.Target, bool) {
	d := demandOf(job)
	offers := immediateTargets(d, x.zoneLoad(x.zone))
	if likelyLate(d, x.zoneLoad(x.zone)) {
		offers = nearbyTargets(d, r.others(x), r.chance.Float64)
	}
	for _, at := range offers {
		if !r.reaches(x.zone, at) {
			continue
		}
		starts := r.pools[at].StartsNow(job, r.now)
		if !starts {
			r.result.tries++
		}
		if starts && r.try(at, job) {
			x.sent(at, d)
			return at, true
		}
		x.refresh(r, at)
	}
	for _, at := range waitingTargets(d, x.zoneLoad(x.zone), r.others(x), r.chance.Float64) {
		if r.reaches(x.zone, at) && r.try(at, job) {
			x.sent(at, d)
			return at, true
		}
	}
	return gateway.Target{}, false
}

func (x *replayInstance) sent(at gateway.Target, d demand) {
	l := x.loads[at]
	l.Free -= d.milliCPU
	x.loads[at] = l
}

// refresh applies the load that comes with a refusal.
func (x *replayInstance) refresh(r *replay, at gateway.Target) {
	p := r.pools[at]
	x.loads[at] = relay.NewLoad(at.Partition, p.Pressure(), 1, p.Headroom())
}

// byHash is the choice of earlier versions: the two partitions of the job's hash by pressure, two others by pressure, one of each other
// zone by hash.
func byHash(r *replay, x *replayInstance, job *work.Job) (gateway.Target, bool) {
	own := x.zoneLoad(x.zone)
	byPressure := func(parts []int) []int {
		slices.SortStableFunc(parts, func(a, b int) int { return cmp.Compare(own.loads[a].Pressure, own.loads[b].Pressure) })
		return parts
	}
	first := shard.PartitionOf(string(job.ID), replayPartitions)
	parts := byPressure([]int{first, (first + replayPartitions/2) % replayPartitions})
	var extra []int
	for part, l := range own.loads {
		if l.Pressure < fullPressure && !slices.Contains(parts, part) {
			extra = append(extra, part)
		}
	}
	targets := own.targets(append(parts, byPressure(extra)...))
	for _, other := range r.others(x) {
		targets = append(targets, gateway.Target{Zone: other.zone, Partition: first})
	}
	for _, at := range targets {
		if r.reaches(x.zone, at) && r.try(at, job) {
			return at, true
		}
	}
	return gateway.Target{}, false
}

// Guards against a choice that makes more jobs late or refuses more than the one by hash, over waves that peak a second apart.
func TestOffersServeMoreThanHashes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, zones := range [][]string{{"north", "south", "west"}, {"north", "south", "west", "east"}} {
		before := newReplay(1, zones...).run(0.5, byHash, nil)
		now := newReplay(1, zones...).run(0.5, byOffers, nil)
		t.Logf("%d zones: by hash %v; by offers %v", len(zones), before, now)
		is.True(10*(now.late+now.refused) < 9*(before.late+before.refused))
	}
}

// Guards against jobs that leave a zone which can start them: far below the crest nothing goes to another zone, and hardly a job is
// tried twice.
func TestOffersStayAtHomeBelowTheCrest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := newReplay(1, "north", "south", "west").run(0.15, byOffers, nil)
	t.Log(now)
	is.Equal(now.elsewhere, 0)
	is.Equal(now.refused, 0)
	is.True(now.tries <= now.jobs*102/100)
}

// Guards against jobs that follow the last news of a zone that has been cut off: its load looks idle for ever.
func TestOffersWithAZoneCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReplay(1, "north", "south", "west")
	got := r.run(0.5, byOffers, func() { r.cut["south"] = r.now > 5*time.Second && r.now < 9*time.Second })
	t.Log(got)
	r = newReplay(1, "north", "south", "west")
	before := r.run(0.5, byHash, func() { r.cut["south"] = r.now > 5*time.Second && r.now < 9*time.Second })
	t.Log(before)
	is.True(got.late+got.refused <= before.late+before.refused)
}

// Guards against jobs that are refused while a dispatcher has no endpoints yet, as after a takeover, and against one that gets none for long after
// it has begun with an empty load.
func TestOffersWhenADispatcherBeginsAnew(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newReplay(1, "north", "south", "west")
	at := gateway.Target{Zone: "north", Partition: 2}
	used := 0
	got := r.run(0.4, byOffers, func() {
		switch r.now {
		case 4 * time.Second:
			r.pools[at] = pool.New(attempt.NewHistory()) // its endpoints have not reported yet
			r.ends = slices.DeleteFunc(r.ends, func(e replayEnd) bool { return e.in == at })
		case 5 * time.Second:
			r.pools[at] = r.newPool()
		case 5*time.Second + 2*replayReport:
			h := r.pools[at].Headroom()
			used = h.Total - h.Free
		}
	})
	t.Logf("%v; %d of the dispatcher's processors are in use after two reports", got, used/1000)
	is.True(got.refused*100 < got.jobs) // the other partitions and zones take over
	is.True(used > 0)
}

// Guards against two full zones that send each other their overflow, and so pay for messages between zones without gain.
func TestFullZonesKeepTheirJobs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	got := newReplay(1, "north", "south").run(1.6, byOffers, nil)
	before := newReplay(1, "north", "south").run(1.6, byHash, nil)
	t.Logf("by hash %v; by offers %v", before, got)
	is.True(got.elsewhere <= before.elsewhere)
	is.True(got.tries <= before.tries)
}
