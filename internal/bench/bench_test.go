package bench

import (
	"bytes"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/result"
)

func mixedWorkload(seed uint64) Workload {
	return Workload{
		Seed: seed, Slots: 400, Teams: 8, Callers: 2, Segments: []Segment{{4 * time.Second, 0.3}, {20 * time.Second, 0.95}},
		Heavy: true, Bursts: true, Churn: true, Deadline: time.Minute,
	}
}

// Guards against a generator that gives different jobs for the same seed, and against arrivals whose load, run times or share
// of stragglers differ from the workload's description.
func TestGenerate(t *testing.T) {
	is := is.New(t)
	jobs := Generate(mixedWorkload(1))
	is.Equal(jobs, Generate(mixedWorkload(1)))
	is.True(len(jobs) != len(Generate(mixedWorkload(2))))

	var work [2]time.Duration
	var stragglers, cancelled, resubmitted, long, tasks float64
	least, most := math.Inf(1), 0.0
	last := time.Duration(0)
	for _, j := range jobs {
		is.True(j.At >= last && len(j.RunTimes) >= 1 && len(j.RunTimes) <= maxTasks)
		last = j.At
		segment := 0
		if j.At >= 4*time.Second {
			segment = 1
		}
		work[segment] += j.Work()
		if j.CancelAfter > 0 {
			cancelled++
		}
		if j.ResubmitAfter > 0 {
			resubmitted++
		}
		for i, run := range j.RunTimes {
			tasks++
			is.True(run >= shortestRun && run <= longestTask)
			if j.Straggler[i] {
				stragglers++
				continue
			}
			if j.Long {
				long++
				continue
			}
			is.True(run <= longestRun)
			factor := float64(j.Declared[i]) / float64(run)
			least, most = min(least, factor), max(most, factor)
		}
	}
	near := func(got time.Duration, load float64, length time.Duration) bool {
		want := load * 400 * float64(length)
		return math.Abs(float64(got)-want) < want/20
	}
	is.True(near(work[0], 0.3, 4*time.Second))
	is.True(near(work[1], 0.95, 20*time.Second))
	is.True(stragglers > tasks/200 && stragglers < tasks/50)
	is.True(long > tasks/200 && long < tasks/20)
	is.True(cancelled > 0 && resubmitted > 0)
	is.True(least < 0.5 && least > 0.09 && most > 2 && most < 11)
}

func job(at int, cancel int, run ...int) *Job {
	j := &Job{At: time.Duration(at), CancelAfter: time.Duration(cancel)}
	for _, r := range run {
		j.RunTimes = append(j.RunTimes, time.Duration(r))
	}
	return j
}

// Guards against an ideal scheduler with worse times than possible, which would loosen every bound that is relative to it.
func TestIdeal(t *testing.T) {
	ends := func(jobs []*Job, slots int, o Order) (out []int) {
		for _, x := range Ideal(jobs, slots, o) {
			out = append(out, int(x.Job))
		}
		return out
	}
	for _, c := range []struct {
		name            string
		slots           int
		jobs            []*Job
		first, shortest []int
	}{
		// The long job occupies the only slot. The short job is served last, or before the middle one.
		{"one slot", 1, []*Job{job(0, 0, 10), job(1, 0, 5), job(2, 0, 1)}, []int{10, 14, 14}, []int{10, 15, 9}},
		// The longest task goes first: 4 and 3 start at once, 2 follows the task of 3, and 1 the task of 4.
		{"longest task first", 2, []*Job{job(0, 0, 1, 2, 3, 4)}, []int{5}, []int{5}},
		// The remaining work decides: at time 2 the first job still has 2 to start, the second one 3.
		{"remaining work", 1, []*Job{job(0, 0, 2, 2), job(1, 0, 3)}, []int{4, 6}, []int{4, 6}},
		// The cancelled job frees its slot at time 3, and its second task never starts.
		{"cancelled", 1, []*Job{job(0, 3, 9, 9), job(1, 0, 2)}, []int{-1, 4}, []int{-1, 4}},
		// A cancellation after the end changes nothing.
		{"cancelled late", 1, []*Job{job(0, 5, 2), job(1, 0, 2)}, []int{2, 3}, []int{2, 3}},
		// A slot that becomes free at the arrival of a job is free for it.
		{"end before arrival", 1, []*Job{job(0, 0, 4), job(4, 0, 1)}, []int{4, 1}, []int{4, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ends(c.jobs, c.slots, FirstCome), c.first)
			is.Equal(ends(c.jobs, c.slots, ShortestRemaining), c.shortest)
		})
	}
	is := is.New(t)
	x := Ideal([]*Job{job(7, 0, 1, 2, 3, 4)}, 2, FirstCome)[0]
	is.Equal(x.Tasks, []time.Duration{5, 5, 3, 4})
}

// Guards against a missed bound that is shown as met, above all where nothing was measured or the value is not finite.
func TestRows(t *testing.T) {
	is := is.New(t)
	out := t.TempDir()
	is.NoErr(appendRows(out,
		Row{Measure: "a", Value: finite(1.3), Max: finite(1.3)},
		Row{Measure: "b", Value: finite(1.31), Max: finite(1.3)},
		Row{Measure: "c", Value: finite(95), Min: finite(95)},
		Row{Measure: "d", Value: finite(94.9), Min: finite(95)},
	))
	is.NoErr(appendRows(out,
		Row{Measure: "e", Value: finite(math.NaN()), Max: finite(1)},
		Row{Measure: "f", Value: finite(math.Inf(1)), Min: finite(1)},
		Row{Measure: "g", Value: finite(3)},
	))
	rows, err := readLines[Row](filepath.Join(out, rowsFile))
	is.NoErr(err)
	var got []string
	for i := range rows {
		got = append(got, rows[i].Verdict())
	}
	is.Equal(got, []string{verdictMet, verdictMissed, verdictMet, verdictMissed, verdictNoValue, verdictNoValue, verdictNoBound})
	var text bytes.Buffer
	missed, err := Table(&text, out)
	is.NoErr(err)
	is.Equal(missed, 4)
	is.True(strings.Contains(text.String(), "7 rows, 4 miss their bound"))
}

// Guards against jobs without an answer that improve a percentile by being left out, and against broken promises that are
// not counted: a wrong answer, a task that started twice, and a task that started although its job was refused as not run.
func TestSample(t *testing.T) {
	is := is.New(t)
	l := &Load{Begin: time.Unix(100, 0)}
	j := job(0, 0, 50_000_000)
	j.Straggler = []bool{false}
	add := func(id string, response time.Duration, code result.Code) *Record {
		r := &Record{Job: j, Identity: id, Response: response, Code: code}
		l.Records = append(l.Records, r)
		return r
	}
	for range 30 {
		add("done", 100*time.Millisecond, result.Complete)
	}
	add("refused", 0, result.QueueFull)
	add("wrong", 100*time.Millisecond, result.Complete).Wrong = "foreign outputs"
	starts := map[string][]start{
		"done/0":    {{0, l.Begin.Add(time.Millisecond)}},
		"refused/0": {{0, l.Begin}, {1, l.Begin}},
	}
	s := sampleOf(l, window{0, time.Second}, starts, 0)
	is.Equal([]int{s.Submitted, s.Completed, s.GivenUp, s.Wrong, s.RepeatedStarts, s.RefusedButRan}, []int{32, 31, 1, 1, 1, 1})
	is.True(math.Abs(ratioPercentile(s.Jobs, 50)-2) < 0.01)
	is.True(math.IsInf(ratioPercentile(s.Jobs, 99), 1))
	is.True(math.Abs(ratioPercentile(s.Tasks, 50)-1.02) < 0.01)
}

// Guards against run time that is counted in the wrong bin of the crest.
func TestSpread(t *testing.T) {
	is := is.New(t)
	bins := make([]float64, 3)
	spreadOverBins(bins, 100*time.Millisecond, 300*time.Millisecond)
	spreadOverBins(bins, 600*time.Millisecond, time.Minute)
	spreadOverBins(bins, -time.Second, time.Second+time.Millisecond)
	is.Equal(bins, []float64{151e6, 150e6, 150e6})
}

// Guards against a CPU time that is read from the wrong field of /proc, for example when a command name contains a parenthesis.
func TestParseStat(t *testing.T) {
	is := is.New(t)
	cpu, err := parseStat([]byte("7 (a) b) S 1 7 7 0 -1 4194560 9 0 0 0 150 50 0 0 20 0 9 0 100 1000 3 18446744073709551615"))
	is.NoErr(err)
	is.Equal(cpu, 2*time.Second)
	_, err = parseStat([]byte("7 (a) S 1"))
	is.True(err != nil)
}

// Guards against a cluster whose configuration the dispatcher refuses, and against two processes on one port.
func TestPrepare(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(Prepare(Plan{Dir: dir, Bin: "bin", Name: "x", Scheduler: "fair", Port: 5000, Entries: 6, Workers: 650,
		Slots: 8, Teams: 43, Callers: 2, KeepStarts: 1}))
	c, err := Open(dir)
	is.NoErr(err)
	is.Equal(c.Slots, 5200)
	_, err = config.Decode(configDocument(c, 7))
	is.NoErr(err)
	is.True(len(configDocument(c, 7)) > 43*2*64) // one token digest per caller
	used := map[string]bool{}
	for _, a := range []string{c.Log, c.Instances} {
		is.True(!used[a])
		used[a] = true
	}
	for _, e := range c.Entries {
		is.True(!used[e.Callers] && !used[e.Peers] && !used[e.Operators])
	}
	plan := Plan{Zones: []string{"a", "b"}, Workers: 650, Slots: 8}
	is.Equal(len(plan.workerProcesses(c, "w")), 4) // two per zone, because a process has at most 300 workers
}
