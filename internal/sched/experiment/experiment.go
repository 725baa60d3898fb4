// Package experiment compares orders of service offline: it feeds the same seeded arrivals to several schedulers and to
// an ideal one that knows all run times. It simulates slots and time only, no network and no failures.
package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/fair"
	"github.com/savorypass/savorypass/internal/sched/naive"
)

// Options sets the extent of the experiment. Zero values select the defaults.
type Options struct {
	Seeds   int     // default 3
	Seconds float64 // simulated per seed and load; default 200
	Only    string  // run only the policy of this name
}

// policy is a named way to serve.
type policy struct {
	name string
	make func() sched.Scheduler
}

func policies() []policy {
	made := func(o fair.Options) func() sched.Scheduler {
		return func() sched.Scheduler { return fair.New(o) }
	}
	return []policy{
		{"naive first-come", func() sched.Scheduler { return naive.New() }},
		{"first-come", made(fair.Options{Rank: firstCome, ShortReserve: -1})},
		{"first-come + reserve", made(fair.Options{Rank: firstCome})},
		{"shortest task + ageing", made(fair.Options{Rank: shortestTask, ShortReserve: -1})},
		{"multilevel", made(fair.Options{Rank: multilevel, ShortReserve: -1})},
		{"remaining, no reserve", made(fair.Options{ShortReserve: -1})},
		{"remaining (product)", made(fair.Options{})},
	}
}

func firstCome(r fair.Ranking) float64 { return r.Arrival }

// shortestTask orders by the run time of a task; each second of run time counts like 5 s of waiting.
func shortestTask(r fair.Ranking) float64 { return r.Arrival + 5*r.TaskTime }

// multilevel keeps one queue per factor of 4 in a task's run time; a level counts like 2 s of waiting.
func multilevel(r fair.Ranking) float64 {
	level := 0.0
	for bound := 0.1; r.TaskTime > bound && level < 5; bound *= 4 {
		level++
	}
	return r.Arrival + 2*level
}

// Run prints the comparison.
func Run(w io.Writer, o Options) error {
	if o.Seeds <= 0 {
		o.Seeds = 3
	}
	if o.Seconds <= 0 {
		o.Seconds = 200
	}
	chosen := policies()
	if o.Only != "" {
		chosen = slices.DeleteFunc(chosen, func(p policy) bool { return p.name != o.Only })
	}
	fmt.Fprintf(w, "%d workers x %d slots, %d seeds x %.0f s, response over the ideal's at the same percentile\n\n",
		workers, slotsPerWorker, o.Seeds, o.Seconds)
	for _, load := range []float64{0.5, 0.8, 0.95} {
		compareAt(w, o, chosen, load)
	}
	headOfLine(w, o, chosen)
	burst(w, o, chosen)
	return nil
}

// sample holds response times of tasks and jobs.
type sample struct{ tasks, jobs, short []float64 }

// measure collects the response times after a warm-up of a tenth of the time.
func (m *simulation) measure(from, to float64) sample {
	var out sample
	for i, j := range m.jobs {
		if j.at < from || j.at > to {
			continue
		}
		o := &m.out[i]
		out.jobs = append(out.jobs, o.end-j.at)
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

func (s *sample) merge(x sample) {
	s.tasks = append(s.tasks, x.tasks...)
	s.jobs = append(s.jobs, x.jobs...)
	s.short = append(s.short, x.short...)
}

func percentile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(p*float64(len(v))))]
}

func byRunTime(run []float64) []int {
	out := make([]int, len(run))
	for i := range out {
		out[i] = i
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(run[a], run[b]) })
	return out
}

// idealOf returns the response times of both ideal schedulers.
func idealOf(o Options, m mix, load float64) [2]sample {
	var out [2]sample
	for seed := range o.Seeds {
		for i, shortest := range []bool{false, true} {
			jobs := generate(uint64(seed), m, o.Seconds, func(float64) float64 { return load })
			r := simulate(&ideal{jobs: jobs, shortest: shortest}, jobs, nil)
			out[i].merge(r.measure(o.Seconds/10, o.Seconds))
		}
	}
	return out
}

func measured(o Options, p policy, m mix, load float64) sample {
	var out sample
	for seed := range o.Seeds {
		jobs := generate(uint64(seed), m, o.Seconds, func(float64) float64 { return load })
		for _, j := range jobs {
			j.spec.Deadline = time.Time{}
		}
		r := simulate(p.make(), jobs, nil)
		out.merge(r.measure(o.Seconds/10, o.Seconds))
	}
	return out
}

// better is the lower of the ideals' percentiles.
func better(d [2]sample, of func(*sample) []float64, p float64) float64 {
	return min(percentile(of(&d[0]), p), percentile(of(&d[1]), p))
}

func tasksOf(s *sample) []float64 { return s.tasks }
func jobsOf(s *sample) []float64  { return s.jobs }
func shortOf(s *sample) []float64 { return s.short }

func compareAt(w io.Writer, o Options, chosen []policy, load float64) {
	d := idealOf(o, mix{heavy: true}, load)
	fmt.Fprintf(w, "load %.0f%%: ideal tasks p50 %.3f s p99 %.3f s, jobs p50 %.3f s p99 %.3f s\n", load*100,
		better(d, tasksOf, 0.5), better(d, tasksOf, 0.99), better(d, jobsOf, 0.5), better(d, jobsOf, 0.99))
	fmt.Fprintf(w, "%-24s %10s %10s %10s %10s\n", "response / ideal", "tasks p50", "tasks p99", "jobs p50", "jobs p99")
	for _, p := range chosen {
		s := measured(o, p, mix{heavy: true}, load)
		fmt.Fprintf(w, "%-24s %10.2f %10.2f %10.2f %10.2f\n", p.name,
			percentile(s.tasks, 0.5)/better(d, tasksOf, 0.5), percentile(s.tasks, 0.99)/better(d, tasksOf, 0.99),
			percentile(s.jobs, 0.5)/better(d, jobsOf, 0.5), percentile(s.jobs, 0.99)/better(d, jobsOf, 0.99))
	}
	fmt.Fprintln(w)
}

// headOfLine compares short tasks with and without long work and stragglers at the same load.
func headOfLine(w io.Writer, o Options, chosen []policy) {
	const load = 0.8
	with, without := idealOf(o, mix{heavy: true}, load), idealOf(o, mix{}, load)
	fmt.Fprintf(w, "head of line, short tasks at %.0f%% load: p99 over the ideal's with long work, without, ratio\n", load*100)
	for _, p := range chosen {
		a, b := measured(o, p, mix{heavy: true}, load), measured(o, p, mix{}, load)
		x := percentile(a.short, 0.99) / better(with, shortOf, 0.99)
		y := percentile(b.short, 0.99) / better(without, shortOf, 0.99)
		fmt.Fprintf(w, "%-24s %10.2f %10.2f %10.2f   p99 %.3f s and %.3f s\n", p.name, x, y, x/y,
			percentile(a.short, 0.99), percentile(b.short, 0.99))
	}
	fmt.Fprintln(w)
}
