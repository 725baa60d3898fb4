package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	benchmarkedEndpoints = 120
	benchmarkedWaiting   = 500
)

// crowdedPool returns a pool whose endpoints are full and in which jobs of three queues with different priorities wait.
func crowdedPool(b *testing.B) *Pool {
	p := poolOf()
	for i := range benchmarkedEndpoints {
		e := endpointOf(fmt.Sprintf("e%03d", i), 16000)
		p.Update(e)
		p.SetUsable(e.ID, true)
	}
	for i := range benchmarkedEndpoints {
		p.Submit(benchmarkedJob(fmt.Sprint("run", i), i), 0, 0, 0)
		for _, r := range p.Next(0) {
			p.RunSent(r, 0)
			p.RunStarted(r)
		}
	}
	for i := 0; len(p.queue) < benchmarkedWaiting; i++ {
		p.Submit(benchmarkedJob(fmt.Sprint("wait", i), i), 0, 0, 0)
		if i > 10*benchmarkedWaiting {
			b.Fatalf("only %d jobs wait", len(p.queue))
		}
	}
	return p
}

func benchmarkedJob(id string, i int) *work.Job {
	j := jobOf(id, 2+i%6, 7000+500*(i%5), time.Duration(50+100*(i%3))*ms)
	j.Queue = fmt.Sprint("queue", i%3)
	j.Objective = work.Objective{Stretch: 1.6, Extra: 20 * time.Second, Priority: i % 3, Attempts: 2}
	return j
}

// BenchmarkAdmission measures the decision on one newcomer behind all waiting jobs.
func BenchmarkAdmission(b *testing.B) {
	p := crowdedPool(b)
	j := benchmarkedJob("new", 1)
	j.Objective.Extra = 21 * time.Second
	b.ReportAllocs()
	for b.Loop() {
		p.Submit(j, ms, ms, 0)
		p.Cancel("new")
	}
}

// BenchmarkOverdue measures the search for jobs that wait for nothing.
func BenchmarkOverdue(b *testing.B) {
	p := crowdedPool(b)
	b.ReportAllocs()
	for b.Loop() {
		p.Overdue(ms)
	}
}

// BenchmarkWeighedAdmission is BenchmarkAdmission with weighed costs of delays.
func BenchmarkWeighedAdmission(b *testing.B) {
	p := crowdedPool(b)
	p.WeighBy(func(string) bool { return true })
	j := benchmarkedJob("new", 1)
	j.Objective.Extra = 21 * time.Second
	b.ReportAllocs()
	for b.Loop() {
		p.Submit(j, ms, ms, 0)
		p.Cancel("new")
	}
}

// BenchmarkGiveBack measures the search for jobs to give back, for all waiting jobs.
func BenchmarkGiveBack(b *testing.B) {
	p := crowdedPool(b)
	p.WeighBy(func(string) bool { return true })
	for _, j := range p.queue {
		j.weighed = true
	}
	b.ReportAllocs()
	for b.Loop() {
		p.GiveBack(ms)
	}
}
