package fair

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/sched"
)

// BenchmarkStart measures the scheduler's work for one task, from its share of the job's submission to its end, with
// 2,000 jobs of 160 tasks queued and all slots in use.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{50, 60, 200, 1200} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) { benchStart(b, n, []float64{1, 1.5, 2}) })
	}
}

// BenchmarkStartTight measures the same work where cores run out before slots, so that few workers have room for a
// task.
func BenchmarkStartTight(b *testing.B) {
	for _, n := range []int{60, 1200} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) { benchStart(b, n, []float64{1, 2, 3, 4, 6, 8, 12, 16}) })
	}
}

func benchStart(b *testing.B, workers int, cores []float64) {
	s := New(Options{})
	now := time.Unix(1000, 0)
	for i := range workers {
		s.SetWorker(now, sched.Worker{
			Name:  fmt.Sprintf("w%d", i),
			Rack:  fmt.Sprintf("r%d", i/8),
			Slots: 8,
			Size:  sched.Size{Cores: 16, MemoryMB: 64 << 10, Accelerators: i % 3},
		})
	}
	id := sched.JobID(0)
	submit := func() {
		id++
		j := &sched.Job{
			ID:       id,
			Team:     fmt.Sprintf("team%d", id%43),
			Service:  fmt.Sprintf("service%d", id%7),
			Deadline: now.Add(time.Hour),
			Tasks:    make([]sched.Task, 160),
		}
		for i := range j.Tasks {
			j.Tasks[i] = sched.Task{
				Size:     sched.Size{Cores: cores[int(id)%len(cores)], MemoryMB: 1024},
				Declared: 300 * time.Millisecond,
			}
		}
		s.Estimate(now, j)
		s.Submit(now, j)
	}
	for range 2000 {
		submit()
	}
	var running []sched.Assignment
	fill := func() int {
		n := 0
		for {
			a, ok := s.Next(now)
			if !ok {
				return n
			}
			n++
			running = append(running, a)
		}
	}
	fill()
	b.ReportAllocs()
	b.ResetTimer()
	next := 0
	tasks := 0
	for range b.N {
		now = now.Add(50 * time.Microsecond)
		a := running[next]
		s.Finish(now, a, sched.Outcome{
			Kind:    platform.Succeeded,
			RunTime: time.Duration(100+next%400) * time.Millisecond,
		})
		running[next] = running[len(running)-1]
		running = running[:len(running)-1]
		fill()
		if next++; next >= len(running) {
			next = 0
		}
		if tasks++; tasks%160 == 0 {
			submit()
		}
	}
}
