package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxTasks           = 160
	shortestRun        = 50 * time.Millisecond
	longestRun         = time.Second
	longRunMedian      = 4 * time.Second
	longRunSigma       = 0.3
	runSigma           = 0.5
	longShare          = 0.02 // of the tasks
	stragglerShare     = 0.01 // of the tasks
	minStragglerFactor = 20.0 // least factor; the largest is twice that
	longestTask        = 20 * time.Second
	singleTaskShare    = 1.0 / 3 // of the jobs

	burstLength = 500 * time.Millisecond
	burstShare  = 0.2 // of the time
	burstFactor = 2.0

	resubmitShare = 0.02
	cancelPeriod  = 5 * time.Second // between waves
	cancelWindow  = 3 * time.Second // a wave takes jobs that arrived within this time
	cancelShare   = 0.5             // of one team's jobs within the reach
)

// runMedians are the medians of the quick services' run times.
var runMedians = []time.Duration{80 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond}

// teamShares are the shares of the jobs; further teams get the last one's share.
var teamShares = []float64{0.40, 0.22, 0.14, 0.10, 0.06, 0.04, 0.02, 0.02}

// Job is one arrival with the true run times, which the dispatcher does not see.
type Job struct {
	At            time.Duration // intended arrival after the start of the run
	Team          int
	Caller        int
	Service       string
	Long          bool // long work, which runs for several seconds without being a straggler
	RunTimes      []time.Duration
	Straggler     []bool
	Declared      []time.Duration
	Deadline      time.Duration // after the arrival
	CancelAfter   time.Duration // after the arrival; 0 for never
	ResubmitAfter time.Duration // after the arrival; 0 for never
}

// Work is the sum of the run times.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, r := range j.RunTimes {
		sum += r
	}
	return sum
}

// Longest is the longest run time, which no scheduler can go below.
func (j *Job) Longest() time.Duration { return slices.Max(j.RunTimes) }

// Segment is a time of constant mean load.
type Segment struct {
	Length time.Duration
	Load   float64 // share of the slots
}

// Workload describes arrivals. Equal values give equal arrivals.
type Workload struct {
	Seed     uint64
	Slots    int
	Teams    int
	Callers  int // of each team
	Segments []Segment
	Heavy    bool // with stragglers and long work
	Bursts   bool // short bursts around the mean load
	Churn    bool // with resubmissions and waves of cancellation
	Deadline time.Duration
}

// kind is one service of one team. All its declarations are off by the same factor, as a caller's habit.
type serviceProfile struct {
	service        string
	median         time.Duration
	sigma          float64
	declaredFactor float64
}

type generator struct {
	w        *Workload
	r        *rand.Rand
	profiles [][]serviceProfile
}

// Generate returns the jobs in the order of their arrivals. The work of each segment is its load times what the slots
// do in that time, to within one job, so that a run of some seconds has the load that it is named after.
func Generate(w Workload) []*Job {
	g := &generator{w: &w, r: rand.New(rand.NewPCG(w.Seed, 1))}
	g.profiles = g.makeProfiles()
	var all []*Job
	var from time.Duration
	for _, s := range w.Segments {
		all = append(all, g.segment(from, s)...)
		from += s.Length
	}
	slices.SortStableFunc(all, func(a, b *Job) int { return cmp.Compare(a.At, b.At) })
	if w.Churn {
		g.addChurn(all, from)
	}
	return all
}

func (g *generator) makeProfiles() [][]serviceProfile {
	out := make([][]serviceProfile, g.w.Teams)
	for t := range out {
		for i, m := range runMedians {
			out[t] = append(out[t], serviceProfile{quickServices[i], m, runSigma, g.drawDeclaredFactor()})
		}
		out[t] = append(out[t], serviceProfile{longService, longRunMedian, longRunSigma, g.drawDeclaredFactor()})
	}
	return out
}

// misdeclared returns a factor between a tenth and ten.
func (g *generator) drawDeclaredFactor() float64 { return math.Pow(10, 2*g.r.Float64()-1) }

// segment draws jobs until their work fills the segment, then places them. Given their number, the arrivals of a
// Poisson process are independent draws from its rate.
func (g *generator) segment(from time.Duration, s Segment) []*Job {
	targetWork := time.Duration(s.Load * float64(g.w.Slots) * float64(s.Length))
	var jobs []*Job
	for work := time.Duration(0); work < targetWork; {
		j := g.job()
		if work+j.Work() > targetWork+longestTask {
			break
		}
		work += j.Work()
		jobs = append(jobs, j)
	}
	at := g.arrivalSampler(s.Length)
	for _, j := range jobs {
		j.At = from + at()
	}
	return jobs
}

// placer returns draws from the rate over a segment.
func (g *generator) arrivalSampler(length time.Duration) func() time.Duration {
	if !g.w.Bursts {
		return func() time.Duration { return time.Duration(g.r.Float64() * float64(length)) }
	}
	n := max(1, int(length/burstLength))
	quietRate := (1 - burstShare*burstFactor) / (1 - burstShare)
	sums := make([]float64, n)
	total := 0.0
	for i := range sums {
		rate := quietRate
		if g.r.Float64() < burstShare {
			rate = burstFactor
		}
		total += rate
		sums[i] = total
	}
	width := float64(length) / float64(n)
	return func() time.Duration {
		i, _ := slices.BinarySearch(sums, g.r.Float64()*total)
		return time.Duration((float64(i) + g.r.Float64()) * width)
	}
}

func (g *generator) job() *Job {
	j := &Job{Team: g.team(), Caller: g.r.IntN(g.w.Callers), Deadline: g.w.Deadline}
	profiles := g.profiles[j.Team]
	k := profiles[g.r.IntN(len(profiles)-1)]
	n := g.taskCount()
	// A job of long work has a tenth of the tasks, so the share of such jobs is ten times that of the tasks.
	if g.w.Heavy && g.r.Float64() < 10*longShare {
		j.Long = true
		k = profiles[len(profiles)-1]
		n = (n + 9) / 10
	}
	j.Service = k.service
	for range n {
		g.task(j, k)
	}
	return j
}

func (g *generator) task(j *Job, k serviceProfile) {
	run := time.Duration(float64(k.median) * math.Exp(k.sigma*g.r.NormFloat64()))
	if !j.Long {
		run = min(longestRun, max(shortestRun, run))
	}
	declared := time.Duration(float64(run) * k.declaredFactor)
	straggle := g.w.Heavy && g.r.Float64() < stragglerShare
	if straggle {
		run = time.Duration(float64(run) * minStragglerFactor * (1 + g.r.Float64()))
	}
	run = min(run, longestTask).Round(time.Millisecond)
	j.RunTimes = append(j.RunTimes, run)
	j.Straggler = append(j.Straggler, straggle)
	j.Declared = append(j.Declared, max(time.Millisecond, declared.Round(time.Millisecond)))
}

// taskCount is 1 for a third of the jobs and log-uniform up to 160 for the rest.
func (g *generator) taskCount() int {
	if g.r.Float64() < singleTaskShare {
		return 1
	}
	return int(math.Exp(g.r.Float64() * math.Log(maxTasks+1)))
}

func (g *generator) team() int {
	total := 0.0
	for t := range g.w.Teams {
		total += teamShare(t)
	}
	x := g.r.Float64() * total
	for t := range g.w.Teams {
		if x -= teamShare(t); x < 0 {
			return t
		}
	}
	return 0
}

func teamShare(t int) float64 { return teamShares[min(t, len(teamShares)-1)] }

// unrest adds resubmissions, and waves in which a team cancels jobs that it has just submitted.
func (g *generator) addChurn(jobs []*Job, length time.Duration) {
	for _, j := range jobs {
		if g.r.Float64() < resubmitShare {
			j.ResubmitAfter = 200*time.Millisecond + time.Duration(g.r.Float64()*1.8*float64(time.Second))
		}
	}
	for wave := cancelPeriod; wave < length; wave += cancelPeriod {
		team := g.r.IntN(g.w.Teams)
		for _, j := range jobs {
			age := wave - j.At
			if j.Team == team && age > 0 && age < cancelWindow && g.r.Float64() < cancelShare {
				j.CancelAfter = age
			}
		}
	}
}
