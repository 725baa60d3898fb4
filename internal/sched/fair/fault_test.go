package fair

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// rig runs a scheduler with simulated workers and time.
type rig struct {
	s    *Scheduler
	now  time.Time
	next sched.JobID
	busy []execution
	// result returns the run time and the outcome of a started task.
	result func(sched.Assignment) (time.Duration, platform.Outcome)
	starts map[string]int             // number of starts by worker
	ends   map[sched.JobID]time.Time  // end of the last task to end so far, by job
	order  []sched.JobID              // job of each started task, in order
	jobs   map[sched.JobID]*sched.Job // submitted jobs
}

type execution struct {
	a       sched.Assignment
	end     time.Time
	runTime time.Duration
	outcome platform.Outcome
}

func newRig(workers, slots int, o Options) *rig {
	r := &rig{
		s: New(o), now: time.Unix(0, 0), starts: map[string]int{},
		ends: map[sched.JobID]time.Time{}, jobs: map[sched.JobID]*sched.Job{},
	}
	r.result = func(sched.Assignment) (time.Duration, platform.Outcome) {
		return 100 * time.Millisecond, platform.Succeeded
	}
	for i := range workers {
		r.s.SetWorker(r.now, sched.Worker{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/8), Slots: slots,
			Size: sched.Size{Cores: 16, MemoryMB: 64 << 10},
		})
	}
	return r
}

func (r *rig) submit(team, service string, tasks int, t sched.Task) sched.JobID {
	r.next++
	j := &sched.Job{ID: r.next, Team: team, Service: service}
	for range tasks {
		j.Tasks = append(j.Tasks, t)
	}
	r.jobs[r.next] = j
	r.s.Submit(r.now, j)
	return r.next
}

// run advances the time by d in steps of 5 ms. In each step it calls onStep, unless that is nil, ends the tasks whose
// run time has passed and starts as many tasks as possible.
func (r *rig) run(d time.Duration, onStep func()) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(5 * time.Millisecond) {
		if onStep != nil {
			onStep()
		}
		unfinished := r.busy[:0]
		for _, x := range r.busy {
			if x.end.After(r.now) {
				unfinished = append(unfinished, x)
				continue
			}
			r.s.Finish(r.now, x.a, sched.Outcome{Kind: x.outcome, RunTime: x.runTime})
			r.ends[x.a.Job] = r.now
		}
		r.busy = unfinished
		for {
			a, ok := r.s.Next(r.now)
			if !ok {
				break
			}
			runTime, outcome := r.result(a)
			r.busy = append(r.busy, execution{a, r.now.Add(runTime), runTime, outcome})
			r.starts[a.Worker]++
			r.order = append(r.order, a.Job)
		}
	}
}

// Guards against a worker that fails every task immediately getting the whole queue, since it always has free slots.
func TestFastFailingWorkerGetsLittleWork(t *testing.T) {
	is := is.New(t)
	r := newRig(10, 4, Options{})
	r.result = func(a sched.Assignment) (time.Duration, platform.Outcome) {
		if a.Worker == "w3" {
			return time.Millisecond, platform.Failed
		}
		return 100 * time.Millisecond, platform.Succeeded
	}
	r.run(20*time.Second, func() { r.submit("a", "x", 1, sched.Task{}) })
	// At first failures on four slots until the quarantine, then one start after each hold-off of 1, 2, 4 and 8 s.
	is.True(r.starts["w3"] <= 12)
	is.True(r.starts["w4"] > 200)
	is.True(r.s.Stats().HoldOffs >= 4)
	is.True(r.s.Dump().Workers[3].HoldOffSeconds > 4)
	// Once repaired, it returns with one slot, and then with all of them.
	r.result = func(sched.Assignment) (time.Duration, platform.Outcome) {
		return 100 * time.Millisecond, platform.Succeeded
	}
	r.run(70*time.Second, func() { r.submit("a", "x", 1, sched.Task{}) })
	is.Equal(r.s.Stats().Slots, 40)
}

// Guards against quarantining healthy workers because of a service whose tasks fail on every worker.
func TestFailingServiceDoesNotWithdrawWorkers(t *testing.T) {
	is := is.New(t)
	r := newRig(10, 4, Options{})
	r.result = func(a sched.Assignment) (time.Duration, platform.Outcome) {
		if r.jobs[a.Job].Service == "broken" {
			return 10 * time.Millisecond, platform.Failed
		}
		return 100 * time.Millisecond, platform.Succeeded
	}
	submitBoth := func() {
		r.submit("a", "broken", 1, sched.Task{})
		r.submit("b", "x", 1, sched.Task{})
	}
	r.run(10*time.Second, submitBoth)
	is.Equal(r.s.Stats().Slots, 40)
}

// Guards against stragglers and long tasks together using all slots, so that short tasks have to wait. Stragglers count
// as long once they take far longer than expected.
func TestStragglersCountAsLong(t *testing.T) {
	is := is.New(t)
	r := newRig(5, 2, Options{})
	r.result = func(a sched.Assignment) (time.Duration, platform.Outcome) {
		if r.jobs[a.Job].Service != "x" || r.next <= 6 {
			return time.Minute, platform.Succeeded
		}
		return 100 * time.Millisecond, platform.Succeeded
	}
	for range 6 {
		r.submit("a", "x", 1, sched.Task{Declared: 100 * time.Millisecond})
	}
	r.run(3*time.Second, nil)
	is.Equal(r.s.stuck, 6)
	r.submit("a", "long", 8, sched.Task{Declared: time.Minute})
	r.run(time.Second, nil)
	short := r.submit("a", "x", 2, sched.Task{Declared: 100 * time.Millisecond})
	r.run(200*time.Millisecond, nil)
	is.True(!r.ends[short].IsZero())
}

// Guards against declared run times that are wrong by a factor of 10 still deciding the order after the true run times
// have been observed.
func TestDeclaredRunTimesWrongByFactorOfTen(t *testing.T) {
	is := is.New(t)
	r := newRig(2, 2, Options{})
	declared := map[string]time.Duration{"quick": time.Second, "slow": 100 * time.Millisecond}
	r.result = func(a sched.Assignment) (time.Duration, platform.Outcome) {
		if r.jobs[a.Job].Service == "quick" {
			return 100 * time.Millisecond, platform.Succeeded
		}
		return time.Second, platform.Succeeded
	}
	for service, d := range declared {
		r.submit("a", service, 20, sched.Task{Declared: d})
	}
	r.run(20*time.Second, nil)
	slow := r.submit("a", "slow", 8, sched.Task{Declared: declared["slow"]})
	quick := r.submit("a", "quick", 8, sched.Task{Declared: declared["quick"]})
	r.run(10*time.Second, nil)
	is.True(r.ends[quick].Before(r.ends[slow]))
	e := r.s.Estimate(r.now, r.jobs[quick])
	is.True(e.Run > 150*time.Millisecond && e.Run < 400*time.Millisecond) // two rounds of 100 ms on 4 slots
}

// Guards against long tasks waiting forever behind short ones, and tasks that need much of a worker's resources behind
// small ones.
func TestNothingStarves(t *testing.T) {
	is := is.New(t)
	r := newRig(4, 4, Options{})
	big := sched.Task{Size: sched.Size{Cores: 16}, Declared: 100 * time.Millisecond}
	small := sched.Task{Size: sched.Size{Cores: 4}, Declared: 100 * time.Millisecond}
	var long, large sched.JobID
	n := 0
	r.run(60*time.Second, func() {
		if n++; n == 100 {
			// 10 s of work on 16 slots: with an ageing of 0.05, jobs that arrive within 12.5 s may overtake it.
			long = r.submit("a", "long", 20, sched.Task{Size: small.Size, Declared: 500 * time.Millisecond})
			large = r.submit("a", "large", 3, big)
		}
		if n%5 == 0 {
			r.submit("a", "x", 4, small) // a load of 100% of the slots
		}
	})
	is.True(!r.ends[long].IsZero())
	is.True(!r.ends[large].IsZero())
}

// Guards against a team keeping borrowed slots when their owner needs its quota, and against a team exceeding its
// limit.
func TestQuotaReturnsWithNextSlot(t *testing.T) {
	is := is.New(t)
	r := newRig(4, 4, Options{Teams: []sched.Team{
		{Name: "owner", Quota: sched.Size{Cores: 8}},
		{Name: "capped", Limit: sched.Size{Cores: 3}},
	}})
	one := sched.Task{Size: sched.Size{Cores: 1}}
	r.submit("borrower", "x", 160, one)
	r.run(50*time.Millisecond, nil)
	is.Equal(r.s.Stats().FreeSlots, 0) // the unused quota is lent
	from := len(r.order)
	owner := r.submit("owner", "x", 20, one)
	r.submit("capped", "x", 20, one)
	r.run(60*time.Millisecond, nil)
	for _, job := range r.order[from : from+8] {
		is.Equal(job, owner)
	}
	r.run(5*time.Second, func() { is.True(r.s.teams["capped"].usage[dimCores] <= 3) })
	is.Equal(r.s.Stats().Running, 0)
}

// Guards against competing teams getting shares other than their weighted dominant shares.
func TestWeightedDominantShares(t *testing.T) {
	is := is.New(t)
	r := newRig(10, 16, Options{Teams: []sched.Team{{Name: "cores", Weight: 2}, {Name: "memory", Weight: 1}}})
	cores := sched.Task{Size: sched.Size{Cores: 2, MemoryMB: 1 << 10}, Declared: 100 * time.Millisecond}
	memory := sched.Task{Size: sched.Size{Cores: 0.5, MemoryMB: 10 << 10}, Declared: 100 * time.Millisecond}
	for range 40 {
		r.submit("memory", "x", 160, memory)
	}
	r.run(time.Second, nil) // one team's jobs have waited for a second
	for range 40 {
		r.submit("cores", "x", 160, cores)
	}
	r.run(2*time.Second, nil)
	var used [2]float64
	r.run(3*time.Second, func() {
		used[0] += r.s.teams["cores"].share
		used[1] += r.s.teams["memory"].share
	})
	ratio := used[0] / used[1]
	is.True(ratio > 1.7 && ratio < 2.3)
}

// Guards against a cost of cancellation per job that grows with the queue, which would make the cancellation of many
// jobs quadratic. It compares allocations, as a measure of the work that does not depend on the machine.
func TestCancellationCostDoesNotGrowWithQueue(t *testing.T) {
	is := is.New(t)
	perJob := func(jobs int) float64 {
		r := newRig(1, 1, Options{})
		for range jobs {
			r.submit("a", "x", 160, sched.Task{Declared: time.Second})
		}
		id := sched.JobID(0)
		return testing.AllocsPerRun(jobs/2, func() {
			id++
			if len(r.s.Cancel(r.now, id)) != 160 {
				t.Fatal("queued tasks were not returned")
			}
		})
	}
	is.True(perJob(1000) <= perJob(20)+1)
}

// BenchmarkCancel measures the cancellation of a job of 160 tasks in queues of different lengths.
func BenchmarkCancel(b *testing.B) {
	for _, jobs := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			r := newRig(1, 1, Options{})
			for range jobs {
				r.submit("a", "x", 160, sched.Task{Declared: time.Second})
			}
			b.ResetTimer()
			for i := range b.N {
				r.s.Cancel(r.now, sched.JobID(i+1))
				b.StopTimer()
				r.submit("a", "x", 160, sched.Task{Declared: time.Second})
				b.StartTimer()
			}
		})
	}
}
