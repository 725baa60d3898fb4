package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxTasks           = 160                   // maximum number of tasks of a job
	shortestRun        = 50 * time.Millisecond // lower bound of the run time of quick tasks
	longestRun         = time.Second           // upper bound of the run time of quick tasks, before the straggler factor
	longRunMedian      = 4 * time.Second       // median run time of long work
	longRunSigma       = 0.3                   // standard deviation of the logarithm of the run time, for long work
	runSigma           = 0.5                   // standard deviation of the logarithm of the run time, for quick tasks
	longShare          = 0.02                  // share of the tasks that belong to long work
	stragglerShare     = 0.01                  // share of the tasks that run far longer than declared
	minStragglerFactor = 20.0                  // factor on a straggler's run time; the largest factor is twice this one
	longestTask        = 20 * time.Second      // upper bound of the run time of any task, stragglers included
	singleTaskShare    = 1.0 / 3               // share of the jobs that have one task

	burstLength = 500 * time.Millisecond
	burstShare  = 0.2 // share of the time that is part of a burst
	burstFactor = 2.0 // arrival rate of a burst, as a multiple of the mean rate

	resubmitShare = 0.02            // share of the jobs that are submitted a second time
	cancelPeriod  = 5 * time.Second // time between waves of cancellations
	cancelWindow  = 3 * time.Second // a wave cancels jobs that arrived within this time before it
	cancelShare   = 0.5             // share of one team's jobs in the window that a wave cancels
)

// runMedians are the median run times of the quick services, in the order of quickServices.
var runMedians = []time.Duration{80 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond}

// teamShares are the weights of the teams in the number of jobs. Each further team has the last weight.
var teamShares = []float64{0.40, 0.22, 0.14, 0.10, 0.06, 0.04, 0.02, 0.02}

// Job is one arrival with the true run times, which the dispatcher does not know.
type Job struct {
	At            time.Duration // intended arrival, from the start of the run
	Team          int
	Caller        int
	Service       string
	Long          bool            // long work, whose tasks take several seconds without being stragglers
	RunTimes      []time.Duration // true run times, by task
	Straggler     []bool          // by task
	Declared      []time.Duration // declared run times, by task
	Deadline      time.Duration   // after the arrival
	CancelAfter   time.Duration   // after the arrival; 0 for never
	ResubmitAfter time.Duration   // after the arrival; 0 for never
}

// Work is the sum of the run times.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, r := range j.RunTimes {
		sum += r
	}
	return sum
}

// Longest is the longest run time, the lower bound of the job's response time with any scheduler.
func (j *Job) Longest() time.Duration { return slices.Max(j.RunTimes) }

// Segment is a period of constant mean load.
type Segment struct {
	Length time.Duration
	Load   float64 // as a share of the slots
}

// Workload describes the arrivals of a run. Equal values give equal arrivals.
type Workload struct {
	Seed     uint64
	Slots    int
	Teams    int
	Callers  int // callers per team
	Segments []Segment
	Heavy    bool // with stragglers and long work
	Bursts   bool // with short bursts; the mean load stays the same
	Churn    bool // with resubmissions and waves of cancellations
	Deadline time.Duration
}

// serviceProfile describes the tasks of one service of one team. All declared run times differ from the true ones by the same
// factor, as with a caller that always makes the same error.
type serviceProfile struct {
	service        string
	median         time.Duration
	sigma          float64 // standard deviation of the logarithm of the run time
	declaredFactor float64 // declared run time divided by the true one
}

type generator struct {
	workload *Workload
	random   *rand.Rand
	profiles [][]serviceProfile // by team; the last one of each team is that of long work
}

// Generate returns the jobs in the order of their arrivals. The work of each segment is its load times the capacity of the
// slots in that time, to within one job, so that even a run of a few seconds has the intended load.
func Generate(workload Workload) []*Job {
	g := &generator{workload: &workload, random: rand.New(rand.NewPCG(workload.Seed, 1))}
	g.profiles = g.makeProfiles()
	var all []*Job
	var from time.Duration
	for _, s := range workload.Segments {
		all = append(all, g.segment(from, s)...)
		from += s.Length
	}
	slices.SortStableFunc(all, func(a, b *Job) int { return cmp.Compare(a.At, b.At) })
	if workload.Churn {
		g.addChurn(all, from)
	}
	return all
}

func (g *generator) makeProfiles() [][]serviceProfile {
	out := make([][]serviceProfile, g.workload.Teams)
	for t := range out {
		for i, m := range runMedians {
			out[t] = append(out[t], serviceProfile{quickServices[i], m, runSigma, g.drawDeclaredFactor()})
		}
		out[t] = append(out[t], serviceProfile{longService, longRunMedian, longRunSigma, g.drawDeclaredFactor()})
	}
	return out
}

// drawDeclaredFactor returns the factor of declared to true run times: log-uniform between a tenth and ten.
func (g *generator) drawDeclaredFactor() float64 { return math.Pow(10, 2*g.random.Float64()-1) }

// segment draws jobs until their work fills the segment, then draws their arrivals independently of each other: given their
// number, the arrivals of a Poisson process are independent draws with its rate as density.
func (g *generator) segment(from time.Duration, s Segment) []*Job {
	targetWork := time.Duration(s.Load * float64(g.workload.Slots) * float64(s.Length))
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

// arrivalSampler returns a function that draws arrivals within a segment, with the arrival rate as density.
func (g *generator) arrivalSampler(length time.Duration) func() time.Duration {
	if !g.workload.Bursts {
		return func() time.Duration { return time.Duration(g.random.Float64() * float64(length)) }
	}
	n := max(1, int(length/burstLength))
	quietRate := (1 - burstShare*burstFactor) / (1 - burstShare)
	sums := make([]float64, n)
	total := 0.0
	for i := range sums {
		rate := quietRate
		if g.random.Float64() < burstShare {
			rate = burstFactor
		}
		total += rate
		sums[i] = total
	}
	width := float64(length) / float64(n)
	return func() time.Duration {
		i, _ := slices.BinarySearch(sums, g.random.Float64()*total)
		return time.Duration((float64(i) + g.random.Float64()) * width)
	}
}

func (g *generator) job() *Job {
	j := &Job{Team: g.team(), Caller: g.random.IntN(g.workload.Callers), Deadline: g.workload.Deadline}
	profiles := g.profiles[j.Team]
	profile := profiles[g.random.IntN(len(profiles)-1)]
	n := g.taskCount()
	// A job of long work has a tenth of the tasks of other jobs, so the share of such jobs is ten times that of the tasks.
	if g.workload.Heavy && g.random.Float64() < 10*longShare {
		j.Long = true
		profile = profiles[len(profiles)-1]
		n = (n + 9) / 10
	}
	j.Service = profile.service
	for range n {
		g.task(j, profile)
	}
	return j
}

func (g *generator) task(j *Job, profile serviceProfile) {
	run := time.Duration(float64(profile.median) * math.Exp(profile.sigma*g.random.NormFloat64()))
	if !j.Long {
		run = min(longestRun, max(shortestRun, run))
	}
	declared := time.Duration(float64(run) * profile.declaredFactor)
	isStraggler := g.workload.Heavy && g.random.Float64() < stragglerShare
	if isStraggler {
		run = time.Duration(float64(run) * minStragglerFactor * (1 + g.random.Float64()))
	}
	run = min(run, longestTask).Round(time.Millisecond)
	j.RunTimes = append(j.RunTimes, run)
	j.Straggler = append(j.Straggler, isStraggler)
	j.Declared = append(j.Declared, max(time.Millisecond, declared.Round(time.Millisecond)))
}

// taskCount draws the number of tasks of a job: 1 for a third of the jobs, log-uniform from 1 to 160 for the rest.
func (g *generator) taskCount() int {
	if g.random.Float64() < singleTaskShare {
		return 1
	}
	return int(math.Exp(g.random.Float64() * math.Log(maxTasks+1)))
}

func (g *generator) team() int {
	total := 0.0
	for t := range g.workload.Teams {
		total += teamShare(t)
	}
	x := g.random.Float64() * total
	for t := range g.workload.Teams {
		if x -= teamShare(t); x < 0 {
			return t
		}
	}
	return 0
}

func teamShare(t int) float64 { return teamShares[min(t, len(teamShares)-1)] }

// addChurn adds resubmissions, and waves in which one team cancels jobs that it has recently submitted.
func (g *generator) addChurn(jobs []*Job, length time.Duration) {
	for _, j := range jobs {
		if g.random.Float64() < resubmitShare {
			j.ResubmitAfter = 200*time.Millisecond + time.Duration(g.random.Float64()*1.8*float64(time.Second))
		}
	}
	for wave := cancelPeriod; wave < length; wave += cancelPeriod {
		team := g.random.IntN(g.workload.Teams)
		for _, j := range jobs {
			age := wave - j.At
			if j.Team == team && age > 0 && age < cancelWindow && g.random.Float64() < cancelShare {
				j.CancelAfter = age
			}
		}
	}
}
