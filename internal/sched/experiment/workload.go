package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

const (
	workers        = 50
	slotsPerWorker = 8
	slots          = workers * slotsPerWorker
	workersPerRack = 8

	shortest        = 0.05 // seconds
	longest         = 1.0
	stragglerShare  = 0.01
	stragglerFactor = 20.0 // and up to 60
	longShare       = 0.02 // of the tasks
	maxTasks        = 160

	batchEvery = 10.0 // seconds
	batchJobs  = 3    // long jobs of the most tasks in a batch

	shortDeadline = 20 * time.Second
	longDeadline  = 2 * time.Minute
)

// job is one arrival with the true run times that the schedulers do not see.
type job struct {
	at       float64
	spec     sched.Job
	run      []float64
	isLong   bool
	work     float64
	slowest  float64
	deadline float64 // seconds after the arrival
}

// mix describes a workload.
type mix struct {
	heavy   bool // with stragglers and long work
	batches bool // long work comes in batches that could fill all slots
	flood   bool // the largest team sends twice what all slots can do, during the burst
}

type kind struct {
	team, service string
	median        float64
	spread        float64
	misdeclared   float64 // declared over true
}

var teamShares = []float64{0.40, 0.22, 0.14, 0.10, 0.06, 0.04, 0.02, 0.02}

// kinds returns the services of each team; their declared run times are off by up to 10x either way.
func kinds(r *rand.Rand) [][]kind {
	out := make([][]kind, len(teamShares))
	for t := range out {
		for _, median := range []float64{0.08, 0.15, 0.3, 0.5} {
			out[t] = append(out[t], kind{
				team:        fmt.Sprintf("team%d", t),
				service:     fmt.Sprintf("quick%.0fms", median*1000),
				median:      median,
				spread:      0.5,
				misdeclared: math.Pow(10, 2*r.Float64()-1),
			})
		}
		out[t] = append(out[t], kind{
			team:        fmt.Sprintf("team%d", t),
			service:     "survey",
			median:      4,
			spread:      0.3,
			misdeclared: math.Pow(10, 2*r.Float64()-1),
		})
	}
	return out
}

// generate returns jobs whose total work is load times what the slots do in the given time.
func generate(seed uint64, m mix, seconds float64, load func(at float64) float64) []*job {
	r := rand.New(rand.NewPCG(seed, 1))
	all := kinds(r)
	mean := meanWork(seed, m)
	flood := rand.New(rand.NewPCG(seed, 3)) // of its own, so that the other arrivals stay the same
	var out []*job
	rest := 1.0 // share of the load that does not come in batches
	if m.batches {
		batches := newBatches(r, all, seconds)
		work := 0.0
		for _, j := range batches {
			work += j.work
		}
		rest = 1 - work/(seconds*slots*load(0))
		out = append(out, batches...)
	}
	const step = 0.001 // thinning: the rate may change from one step to the next
	for at := 0.0; at < seconds; at += step {
		rate := rest * load(at) * slots / mean
		for n := poisson(r, rate*step); n > 0; n-- {
			out = append(out, newJob(r, all, m, at+r.Float64()*step))
		}
		if m.flood && at >= burstFrom && at < burstFrom+burstLength {
			for n := poisson(flood, floodLoad*slots/mean*step); n > 0; n-- {
				out = append(out, newJob(flood, all[:1], m, at+flood.Float64()*step))
			}
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.at, b.at) })
	for i, j := range out {
		j.spec.ID = sched.JobID(i + 1)
		j.spec.Deadline = at(j.at + j.deadline)
	}
	return out
}

// meanWork is the mean work of a job, from a sample.
func meanWork(seed uint64, m mix) float64 {
	const sample = 20000
	r := rand.New(rand.NewPCG(seed, 2))
	all := kinds(r)
	sum := 0.0
	for range sample {
		sum += newJob(r, all, m, 0).work
	}
	return sum / sample
}

// newBatches returns jobs of long work, all of the largest team.
func newBatches(r *rand.Rand, all [][]kind, seconds float64) []*job {
	var out []*job
	long := all[0][len(all[0])-1]
	for at := batchEvery; at < seconds; at += batchEvery {
		for range batchJobs {
			out = append(out, fill(r, long, maxTasks, true, false, at))
		}
	}
	return out
}

func newJob(r *rand.Rand, all [][]kind, m mix, at float64) *job {
	team := all[min(pickTeam(r), len(all)-1)]
	k := team[r.IntN(len(team)-1)]
	n := taskCount(r)
	// A job of long work has a tenth of the tasks, so the share of such jobs is ten times that of the tasks.
	isLong := m.heavy && r.Float64() < longShare*10
	if isLong {
		k = team[len(team)-1]
		n = (n + 9) / 10
	}
	return fill(r, k, n, isLong, m.heavy, at)
}

// fill returns a job of n tasks.
func fill(r *rand.Rand, k kind, n int, isLong, stragglers bool, at float64) *job {
	j := &job{at: at, isLong: isLong, deadline: shortDeadline.Seconds()}
	if isLong {
		j.deadline = longDeadline.Seconds()
	}
	j.spec = sched.Job{Team: k.team, Service: k.service, Tasks: make([]sched.Task, n)}
	for i := range n {
		run := k.draw(r, isLong)
		declared := run * k.misdeclared * math.Exp(0.3*r.NormFloat64())
		if stragglers && r.Float64() < stragglerShare {
			run *= stragglerFactor * (1 + 2*r.Float64())
		}
		j.run = append(j.run, run)
		j.work += run
		j.slowest = max(j.slowest, run)
		j.spec.Tasks[i] = sched.Task{
			Size:     sched.Size{Cores: 1, MemoryMB: 2048},
			Declared: time.Duration(declared * float64(time.Second)),
		}
	}
	return j
}

func (k kind) draw(r *rand.Rand, isLong bool) float64 {
	run := k.median * math.Exp(k.spread*r.NormFloat64())
	if isLong {
		return run
	}
	return min(longest, max(shortest, run))
}

func pickTeam(r *rand.Rand) int {
	x := r.Float64()
	for i, share := range teamShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// taskCount is 1 for a third of the jobs and log-uniform up to 160 for the rest.
func taskCount(r *rand.Rand) int {
	if r.Float64() < 1.0/3 {
		return 1
	}
	return int(math.Exp(r.Float64() * math.Log(maxTasks+1)))
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// at converts seconds of the experiment to a time.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
