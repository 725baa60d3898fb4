package pool

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// kind describes the jobs of one queue of a replayed load.
type kind struct {
	name      string
	priority  int
	tasks     int           // mean
	run       time.Duration // mean
	perSecond float64
	burst     float64 // factor on perSecond during the burst
}

// load is a replayed load on the partitions of a service. The load of a crest is that of a sine wave.
type load struct {
	kinds      []kind
	partitions int
	endpoints  int // of each partition
	speeds     []float64
	crest      float64       // amplitude of the wave in multiples of the mean
	period     time.Duration // of the wave
	burst      [2]time.Duration
	during     time.Duration
	seed       uint64
}

// result counts the jobs of a kind by their end. Objectives are counted by the true run times.
type result struct {
	asked, inTime, late, noUse, refused int
	owed, earned                        float64 // in task-seconds, with a fifth for late results
}

// replayedJob is a job with its true run times.
type replayedJob struct {
	*work.Job
	kind    int
	arrived time.Duration
	runs    []time.Duration // true run time of each task at normal speed
	untried []int
	refused bool
}

// replayed is a run on a virtual clock that ends at a time.
type replayed struct {
	*Run
	partition int
	end       time.Duration
}

type replayedRuns []replayed

func (e replayedRuns) Len() int           { return len(e) }
func (e replayedRuns) Less(i, j int) bool { return e[i].end < e[j].end }
func (e replayedRuns) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayedRuns) Push(x any)        { *e = append(*e, x.(replayed)) }
func (e *replayedRuns) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay plays a load on pools of its own.
type replay struct {
	load
	random  *rand.Rand
	pools   []*Pool
	speed   map[work.EndpointID]float64
	jobs    map[work.JobID]*replayedJob
	runs    replayedRuns
	now     time.Duration
	results []result
}

func newReplay(l load, configure func(*Pool)) *replay {
	r := &replay{
		load: l, random: rand.New(rand.NewPCG(l.seed, 7)), speed: map[work.EndpointID]float64{}, jobs: map[work.JobID]*replayedJob{},
		results: make([]result, len(l.kinds)),
	}
	sizes := []int{16000, 16000, 24000}
	for range l.partitions {
		p := New(attempt.NewHistory())
		configure(p)
		for i := range l.endpoints {
			e := endpointOf(fmt.Sprintf("e%03d", i), sizes[i%len(sizes)])
			r.speed[e.ID] = l.speeds[i/len(sizes)%len(l.speeds)]
			p.Update(e)
			p.SetUsable(e.ID, true)
		}
		r.pools = append(r.pools, p)
	}
	return r
}

// around returns a random value with a mean, logarithmically normal.
func (r *replay) around(mean, spread float64) float64 {
	return mean * math.Exp(spread*r.random.NormFloat64()-spread*spread/2)
}

// rate returns the arrivals of a kind a second at a time.
func (r *replay) rate(k kind, at time.Duration) float64 {
	rate := k.perSecond
	if r.period > 0 {
		rate *= 1 + r.crest*math.Sin(2*math.Pi*float64(at)/float64(r.period))
	}
	if k.burst > 0 && at >= r.burst[0] && at < r.burst[1] {
		rate *= k.burst
	}
	return rate
}

// newJob returns a job of a kind. The caller's estimate of its run time is wrong by a random factor.
func (r *replay) newJob(n, kindIndex int) *replayedJob {
	k := r.kinds[kindIndex]
	mean := r.around(float64(k.run), 0.4)
	j := &replayedJob{kind: kindIndex, arrived: r.now}
	tasks := min(max(int(math.Round(r.around(float64(k.tasks), 0.4))), 1), 4*k.tasks)
	for range tasks {
		j.runs = append(j.runs, time.Duration(r.around(mean, 0.15)))
	}
	milliCPU := min(int(r.around(8000, 0.2)), 12000)
	j.Job = jobOf(fmt.Sprintf("%06d", n), tasks, milliCPU, time.Duration(r.around(mean, 0.4)))
	j.Queue, j.Objective.Priority = k.name, k.priority
	j.untried = r.random.Perm(r.partitions)
	return j
}

// play plays the load and returns the results by kind.
func (r *replay) play() []result {
	check := time.Duration(0)
	for n := 0; r.now < r.during; n++ {
		next, which := r.nextArrival()
		for ; check < next; check += 50 * ms {
			r.advance(check)
			r.refuseLate()
		}
		r.advance(next)
		j := r.newJob(n, which)
		r.jobs[j.ID] = j
		r.results[which].asked++
		r.results[which].owed += j.work()
		r.submit(j)
	}
	for ; check < r.during+20*time.Second; check += 50 * ms {
		r.advance(check)
		r.refuseLate()
	}
	return r.results
}

func (j *replayedJob) work() float64 {
	sum := time.Duration(0)
	for _, run := range j.runs {
		sum += run
	}
	return sum.Seconds()
}

// nextArrival returns the time and the kind of the next job.
func (r *replay) nextArrival() (at time.Duration, which int) {
	total := 0.0
	for _, k := range r.kinds {
		total += r.rate(k, r.now)
	}
	at = r.now + time.Duration(r.random.ExpFloat64()/total*float64(time.Second))
	pick := r.random.Float64() * total
	for i, k := range r.kinds {
		if pick -= r.rate(k, r.now); pick < 0 {
			return at, i
		}
	}
	return at, len(r.kinds) - 1
}

// submit submits a job to the partitions that it has not tried.
func (r *replay) submit(j *replayedJob) {
	for len(j.untried) > 0 {
		at := j.untried[0]
		j.untried = j.untried[1:]
		p := r.pools[at]
		v, _ := p.Submit(j.Job, r.now, j.arrived, 0)
		if len(j.untried) == 0 {
			p.KeepHere(j.ID)
		}
		if v.Accepted() {
			r.start(at)
			return
		}
	}
	if !j.refused {
		j.refused = true
		r.results[j.kind].refused++
	}
}

func (r *replay) start(partition int) {
	p := r.pools[partition]
	for _, run := range p.Next(r.now) {
		p.RunSent(run, r.now)
		p.RunStarted(run)
		took := float64(r.jobs[run.Task.Job].runs[run.Task.Index]) / r.speed[run.Endpoint]
		heap.Push(&r.runs, replayed{run, partition, r.now + time.Duration(took)})
	}
}

// refuseLate gives the jobs back that wait for nothing.
func (r *replay) refuseLate() {
	for _, p := range r.pools {
		for _, id := range p.Overdue(r.now) {
			p.Cancel(id)
			r.submit(r.jobs[id])
		}
		for _, id := range p.GiveBack(r.now) {
			p.Cancel(id)
			r.submit(r.jobs[id])
		}
	}
}

// advance moves the clock to a time and ends the runs that are due by then.
func (r *replay) advance(to time.Duration) {
	for len(r.runs) > 0 && r.runs[0].end <= to {
		run := heap.Pop(&r.runs).(replayed)
		r.now = max(r.now, run.end)
		end := work.End{Task: run.Task, Run: run.Number, Reason: work.EndSucceeded}
		for _, o := range r.pools[run.partition].RunEnded(attempt.Process{Endpoint: run.Endpoint}, end, r.now) {
			r.count(r.jobs[o.Job])
		}
		r.start(run.partition)
	}
	r.now = max(r.now, to)
}

func (r *replay) count(j *replayedJob) {
	longest := time.Duration(0)
	for _, run := range j.runs {
		longest = max(longest, run)
	}
	objective := time.Duration(1.6*float64(longest)) + 60*ms
	c := &r.results[j.kind]
	switch response := r.now - j.arrived; {
	case response <= objective:
		c.inTime++
		c.earned += j.work()
	case response <= lateFactor*objective:
		c.late++
		c.earned += j.work() / 5
	default:
		c.noUse++
	}
}

func (r *replay) String() string {
	var b strings.Builder
	for i, c := range r.results {
		fmt.Fprintf(&b, "%-8s priority %d: asked %5d in time %5d late %4d no use %4d refused %4d earned %.3f\n", r.kinds[i].name, r.kinds[i].priority,
			c.asked, c.inTime, c.late, c.noUse, c.refused, c.earned/c.owed)
	}
	return b.String()
}
