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

	shortest        = 0.05 // seconds; bounds of the run time of short tasks, before stragglers
	longest         = 1.0
	stragglerShare  = 0.01 // share of the tasks that are stragglers
	stragglerFactor = 20.0 // smallest factor by which a straggler runs longer; the largest is 3 times that
	longShare       = 0.02 // share of the tasks that are long
	maxTasks        = 160

	batchInterval = 10.0 // seconds
	jobsPerBatch  = 3    // long jobs in a batch, each of maxTasks tasks

	shortDeadline = 20 * time.Second
	longDeadline  = 2 * time.Minute
)

// job is a submitted job with its true run times, which the schedulers do not get. Times are in seconds.
type job struct {
	at       float64
	spec     sched.Job
	run      []float64
	isLong   bool
	work     float64 // sum of the run times
	slowest  float64 // longest run time
	deadline float64 // seconds after the arrival
}

// mix describes a workload.
type mix struct {
	heavy   bool // includes stragglers and long work
	batches bool // long work comes in batches large enough to fill all slots
	flood   bool // during the burst, the largest team submits floodLoad times what all slots can do
}

// serviceSpec describes a service, whose true run times are log-normally distributed.
type serviceSpec struct {
	team, service string
	median        float64 // seconds
	spread        float64 // standard deviation of the logarithm
	declaredRatio float64 // ratio of the declared to the true run time
}

var teamShares = []float64{0.40, 0.22, 0.14, 0.10, 0.06, 0.04, 0.02, 0.02}

// serviceSpecs returns the services of each team, the one of long work last. The declared run times of a service are
// too long or too short by a factor of up to 10.
func serviceSpecs(r *rand.Rand) [][]serviceSpec {
	out := make([][]serviceSpec, len(teamShares))
	for t := range out {
		for _, median := range []float64{0.08, 0.15, 0.3, 0.5} {
			out[t] = append(out[t], serviceSpec{
				team:          fmt.Sprintf("team%d", t),
				service:       fmt.Sprintf("quick%.0fms", median*1000),
				median:        median,
				spread:        0.5,
				declaredRatio: math.Pow(10, 2*r.Float64()-1),
			})
		}
		out[t] = append(out[t], serviceSpec{
			team:          fmt.Sprintf("team%d", t),
			service:       "survey",
			median:        4,
			spread:        0.3,
			declaredRatio: math.Pow(10, 2*r.Float64()-1),
		})
	}
	return out
}

// generate returns jobs, in order of arrival, that arrive within the given number of seconds. load gives the submitted
// work at a time as a ratio to what all slots can do.
func generate(seed uint64, m mix, seconds float64, load func(at float64) float64) []*job {
	r := rand.New(rand.NewPCG(seed, 1))
	all := serviceSpecs(r)
	mean := meanWork(seed, m)
	flood := rand.New(rand.NewPCG(seed, 3)) // a separate generator, so that the flood does not change the other arrivals
	var out []*job
	steadyShare := 1.0 // share of the load that does not arrive in batches
	if m.batches {
		batches := newBatches(r, all, seconds)
		work := 0.0
		for _, j := range batches {
			work += j.work
		}
		steadyShare = 1 - work/(seconds*slots*load(0))
		out = append(out, batches...)
	}
	const step = 0.001 // seconds; the rate is constant within a step
	for at := 0.0; at < seconds; at += step {
		rate := steadyShare * load(at) * slots / mean
		for n := poisson(r, rate*step); n > 0; n-- {
			out = append(out, newJob(r, all, m, at+r.Float64()*step))
		}
		if m.flood && at >= burstStart && at < burstStart+burstLength {
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

// meanWork estimates the mean work of a job in seconds from a sample.
func meanWork(seed uint64, m mix) float64 {
	const sample = 20000
	r := rand.New(rand.NewPCG(seed, 2))
	all := serviceSpecs(r)
	sum := 0.0
	for range sample {
		sum += newJob(r, all, m, 0).work
	}
	return sum / sample
}

// newBatches returns the jobs of batches of long work, all of the largest team.
func newBatches(r *rand.Rand, all [][]serviceSpec, seconds float64) []*job {
	var out []*job
	long := all[0][len(all[0])-1]
	for at := batchInterval; at < seconds; at += batchInterval {
		for range jobsPerBatch {
			out = append(out, newJobOf(r, long, maxTasks, true, false, at))
		}
	}
	return out
}

func newJob(r *rand.Rand, all [][]serviceSpec, m mix, at float64) *job {
	team := all[min(pickTeam(r), len(all)-1)]
	k := team[r.IntN(len(team)-1)]
	n := taskCount(r)
	// A job of long work has a tenth of the tasks, so the share of such jobs is ten times that of the tasks.
	isLong := m.heavy && r.Float64() < longShare*10
	if isLong {
		k = team[len(team)-1]
		n = (n + 9) / 10
	}
	return newJobOf(r, k, n, isLong, m.heavy, at)
}

// newJobOf returns a job of n tasks of the given service.
func newJobOf(r *rand.Rand, k serviceSpec, n int, isLong, stragglers bool, at float64) *job {
	j := &job{at: at, isLong: isLong, deadline: shortDeadline.Seconds()}
	if isLong {
		j.deadline = longDeadline.Seconds()
	}
	j.spec = sched.Job{Team: k.team, Service: k.service, Tasks: make([]sched.Task, n)}
	for i := range n {
		run := k.draw(r, isLong)
		declared := run * k.declaredRatio * math.Exp(0.3*r.NormFloat64())
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

func (k serviceSpec) draw(r *rand.Rand, isLong bool) float64 {
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

// taskCount returns a random number of tasks: 1 for a third of the jobs and log-uniform up to 160 for the others.
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

// at converts seconds since the start of the experiment to a time.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
