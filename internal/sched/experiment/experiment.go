// Package experiment compares scheduling policies in an offline simulation: it submits the same seeded jobs to several
// schedulers and to an ideal one that knows all run times. It simulates slots and time only, no network and no
// failures.
package experiment

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/fair"
	"github.com/savorypass/savorypass/internal/sched/naive"
)

// Options configures the experiment. Zero values select the defaults.
type Options struct {
	Seeds   int     // number of seeds; default 3
	Seconds float64 // simulated time per seed and load; default 200
	Only    string  // name of the only policy to run; empty runs all
}

func (o Options) withDefaults() Options {
	if o.Seeds <= 0 {
		o.Seeds = 3
	}
	if o.Seconds <= 0 {
		o.Seconds = 200
	}
	return o
}

// policy is a scheduler configuration under comparison.
type policy struct {
	name string
	make func() sched.Scheduler
}

func policies() []policy {
	newFair := func(o fair.Options) func() sched.Scheduler {
		return func() sched.Scheduler { return fair.New(o) }
	}
	return []policy{
		{"naive first-come", func() sched.Scheduler { return naive.New() }},
		{"first-come", newFair(fair.Options{Rank: firstCome, ShortReserve: -1})},
		{"first-come + reserve", newFair(fair.Options{Rank: firstCome})},
		{"shortest task + ageing", newFair(fair.Options{Rank: shortestTask, ShortReserve: -1})},
		{"multilevel", newFair(fair.Options{Rank: multilevel, ShortReserve: -1})},
		{"remaining, no reserve", newFair(fair.Options{ShortReserve: -1})},
		{"remaining (product)", newFair(fair.Options{})},
	}
}

func firstCome(r fair.RankInput) float64 { return r.Arrival }

// shortestTask orders by the run time of a task; each second of run time counts like 5 s of waiting.
func shortestTask(r fair.RankInput) float64 { return r.Arrival + 5*r.TaskTime }

// multilevel keeps one queue per factor of 4 in a task's run time; a level counts like 2 s of waiting.
func multilevel(r fair.RankInput) float64 {
	level := 0.0
	for bound := 0.1; r.TaskTime > bound && level < 5; bound *= 4 {
		level++
	}
	return r.Arrival + 2*level
}

// Run runs the simulations of all policies and prints the comparison to w. The error is always nil.
func Run(w io.Writer, o Options) error {
	o = o.withDefaults()
	chosen := policies()
	if o.Only != "" {
		chosen = slices.DeleteFunc(chosen, func(p policy) bool { return p.name != o.Only })
	}
	fmt.Fprintf(w, "%d workers x %d slots, %d seeds x %.0f s, response over the ideal's at the same percentile\n\n",
		workers, slotsPerWorker, o.Seeds, o.Seconds)
	for _, load := range []float64{0.5, 0.8, 0.95} {
		compareAt(w, o, chosen, fmt.Sprintf("load %.0f%%", load*100), steady(load))
	}
	for _, load := range []float64{0.8, 0.95} {
		title := fmt.Sprintf("load %.0f%%, swinging by %.0f%% within %.0f s", load*100, swing*100, swingPeriod)
		compareAt(w, o, chosen, title, swinging(load))
	}
	headOfLine(w, o, chosen)
	isolation(w, o, chosen)
	burst(w, o, chosen)
	return nil
}

const (
	maxParallel = 4   // simulations that run at the same time
	swing       = 0.5 // share of the load
	swingPeriod = 4.0 // seconds
)

func steady(load float64) func(float64) float64 { return func(float64) float64 { return load } }

// swinging returns a load that alternates around the given one, between more and less by the share swing, with a period
// of swingPeriod.
func swinging(load float64) func(float64) float64 {
	return func(at float64) float64 {
		if math.Mod(at, swingPeriod) < swingPeriod/2 {
			return load * (1 + swing)
		}
		return load * (1 - swing)
	}
}

// sample holds the response times of tasks, jobs and short tasks in seconds, and the jobs' stretch: the ratio of a
// job's response time to the run time of its longest task.
type sample struct{ tasks, jobs, short, stretch []float64 }

// measure collects the response times of the jobs that arrive between two times in seconds.
func (m *simulation) measure(from, to float64) sample {
	return m.measureIf(func(j *job) bool { return j.at >= from && j.at <= to })
}

func (m *simulation) measureIf(counts func(*job) bool) sample {
	var out sample
	for i, j := range m.jobs {
		if !counts(j) {
			continue
		}
		o := &m.out[i]
		out.jobs = append(out.jobs, o.end-j.at)
		out.stretch = append(out.stretch, (o.end-j.at)/j.slowest)
		for t, start := range o.starts {
			response := start + j.run[t] - j.at
			out.tasks = append(out.tasks, response)
			if !j.isLong && j.run[t] <= longest {
				out.short = append(out.short, response)
			}
		}
	}
	return out
}

func (s *sample) sort() {
	for _, v := range [][]float64{s.tasks, s.jobs, s.short, s.stretch} {
		slices.Sort(v)
	}
}

func (s *sample) merge(x sample) {
	s.tasks = append(s.tasks, x.tasks...)
	s.jobs = append(s.jobs, x.jobs...)
	s.short = append(s.short, x.short...)
	s.stretch = append(s.stretch, x.stretch...)
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	if !slices.IsSorted(v) {
		slices.Sort(v)
	}
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

// byRunTime returns the indexes of the tasks in order of their run times, the shortest first.
func byRunTime(run []float64) []int {
	out := make([]int, len(run))
	for i := range out {
		out[i] = i
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(run[a], run[b]) })
	return out
}

// idealOf returns the response times under the two ideal schedulers, in order of arrival and shortest remaining work
// first.
func idealOf(o Options, m mix, load func(float64) float64) [2]sample {
	var out [2]sample
	for seed := range o.Seeds {
		for i, shortest := range []bool{false, true} {
			jobs := generate(uint64(seed), m, o.Seconds, load)
			r := simulate(newIdeal(jobs, shortest), jobs, nil)
			out[i].merge(r.measure(o.Seconds/10, o.Seconds))
		}
	}
	out[0].sort()
	out[1].sort()
	return out
}

// sampleOf returns the response times under a policy, over all seeds, without admission control and deadlines. Jobs of
// the first tenth of the time are left out.
func sampleOf(o Options, p policy, m mix, load func(float64) float64) sample {
	var out sample
	for seed := range o.Seeds {
		jobs := generate(uint64(seed), m, o.Seconds, load)
		r := simulate(p.make(), withoutDeadlines(jobs), nil)
		out.merge(r.measure(o.Seconds/10, o.Seconds))
	}
	out.sort()
	return out
}

// mapPolicies calls f for each policy, up to maxParallel at the same time, and returns the results in the policies'
// order.
func mapPolicies[T any](chosen []policy, f func(policy) T) []T {
	out := make([]T, len(chosen))
	var wait sync.WaitGroup
	tokens := make(chan struct{}, maxParallel)
	for i, p := range chosen {
		wait.Go(func() {
			tokens <- struct{}{}
			out[i] = f(p)
			<-tokens
		})
	}
	wait.Wait()
	return out
}

func withoutDeadlines(jobs []*job) []*job {
	for _, j := range jobs {
		j.spec.Deadline = time.Time{}
	}
	return jobs
}

// bestIdeal returns the lower of the two ideal schedulers' percentiles.
func bestIdeal(d [2]sample, of func(*sample) []float64, p float64) float64 {
	return min(percentile(of(&d[0]), p), percentile(of(&d[1]), p))
}

func tasksOf(s *sample) []float64   { return s.tasks }
func jobsOf(s *sample) []float64    { return s.jobs }
func shortOf(s *sample) []float64   { return s.short }
func stretchOf(s *sample) []float64 { return s.stretch }

// compareAt prints a table of response times under the policies, as ratios to the ideal ones.
func compareAt(w io.Writer, o Options, chosen []policy, title string, load func(float64) float64) {
	columns := []struct {
		name string
		of   func(*sample) []float64
		p    float64
	}{
		{"tasks p50", tasksOf, 0.5}, {"tasks p99", tasksOf, 0.99},
		{"jobs p50", jobsOf, 0.5}, {"jobs p99", jobsOf, 0.99},
		{"stretch p90", stretchOf, 0.9}, {"stretch p99", stretchOf, 0.99},
	}
	d := idealOf(o, mix{heavy: true}, load)
	fmt.Fprintf(w, "%s\n%-24s", title, "")
	for _, c := range columns {
		fmt.Fprintf(w, " %11s", c.name)
	}
	fmt.Fprintf(w, "\n%-24s", "ideal, s or ratio")
	for _, c := range columns {
		fmt.Fprintf(w, " %11.3f", bestIdeal(d, c.of, c.p))
	}
	samples := mapPolicies(chosen, func(p policy) sample { return sampleOf(o, p, mix{heavy: true}, load) })
	for i, p := range chosen {
		s := samples[i]
		fmt.Fprintf(w, "\n%-24s", p.name)
		for _, c := range columns {
			fmt.Fprintf(w, " %11.2f", percentile(c.of(&s), c.p)/bestIdeal(d, c.of, c.p))
		}
	}
	fmt.Fprint(w, "\n\n")
}

// headOfLine prints how much long work and stragglers delay short tasks at the same load (head-of-line blocking).
func headOfLine(w io.Writer, o Options, chosen []policy) {
	load := steady(0.8)
	mixes := []mix{{heavy: true}, {batches: true}, {heavy: true, batches: true}}
	fmt.Fprintln(w, "head of line, short tasks at 80% load: p99 over the ideal's with long work / without, and p99 with / without")
	fmt.Fprintf(w, "%-24s %16s %16s %16s\n", "", "mixed in", "in batches", "both")
	without := idealOf(o, mix{}, load)
	with := make([][2]sample, len(mixes))
	for i, x := range mixes {
		with[i] = idealOf(o, x, load)
	}
	rows := mapPolicies(chosen, func(p policy) string {
		base := sampleOf(o, p, mix{}, load)
		y := percentile(base.short, 0.99) / bestIdeal(without, shortOf, 0.99)
		row := fmt.Sprintf("%-24s", p.name)
		for i, x := range mixes {
			s := sampleOf(o, p, x, load)
			z := percentile(s.short, 0.99)
			row += fmt.Sprintf("   %5.2f and %5.2f", z/bestIdeal(with[i], shortOf, 0.99)/y, z/percentile(base.short, 0.99))
		}
		return row + fmt.Sprintf("   p99 without %.2f s", percentile(base.short, 0.99))
	})
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	fmt.Fprintln(w)
}
