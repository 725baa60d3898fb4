package pool

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/attempt"
	"github.com/savorypass/savorypass/internal/work"
)

// layeredJob returns a job of stages of tasks, each a step of its own that depends on all steps of the stage before.
func layeredJob(id string, stages, width int) *work.Job {
	j := jobAllowingLongWait(id, 100)
	j.Steps = nil
	for stage := range stages {
		for range width {
			j.Steps = append(j.Steps, work.Step{Count: 1, Size: work.Size{MilliCPU: 100}, Estimate: 100 * ms, DependsOn: stageOf(stage-1, width)})
		}
	}
	return j
}

func stageOf(stage, width int) []int {
	var steps []int
	for i := range width {
		if stage >= 0 {
			steps = append(steps, stage*width+i)
		}
	}
	return steps
}

// totallyOrderedJob returns a job of steps that each depend on all earlier ones.
func totallyOrderedJob(id string, steps int) *work.Job {
	j := layeredJob(id, steps, 1)
	for i := range j.Steps {
		j.Steps[i].DependsOn = nil
		for d := range i {
			j.Steps[i].DependsOn = append(j.Steps[i].DependsOn, d)
		}
	}
	return j
}

// Guards against work on a submission that grows with the number of paths through its graph of steps: a dispatcher did it
// under its lock and did not end within days.
func TestGraphsWithManyPaths(t *testing.T) {
	is := is.New(t)
	for _, j := range []*work.Job{layeredJob("layers", 20, 8), totallyOrderedJob("ordered", 150)} {
		p := poolOf(endpointOf("a", 160000))
		mustSubmit(t, p, j, 0)
		chain := 20 * 100 * ms
		if j.ID == "ordered" {
			chain = 150 * 100 * ms
		}
		is.Equal(p.jobs[j.ID].expected, chain)
		is.Equal(runToEnd(p), j.Tasks())
	}
}

// runToEnd lets all runs of a pool succeed and returns how many there were.
func runToEnd(p *Pool) int {
	n := 0
	for now := time.Duration(0); ; now += 100 * ms {
		starts := p.Next(now)
		if len(starts) == 0 {
			return n
		}
		n += len(starts)
		for _, r := range starts {
			p.RunEnded(attempt.Process{Endpoint: r.Endpoint}, work.End{Task: r.Task, Run: r.Number, Reason: work.EndSucceeded}, now+100*ms)
		}
	}
}

// Guards against steps that start too early or never when a dependency is repeated or has no tasks.
func TestUnusualDependencies(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 16000))
	j := layeredJob("x", 4, 1)
	j.Steps[1].DependsOn = []int{0, 0, 0}
	j.Steps[2].Count = 0
	j.Steps[3].DependsOn = []int{1, 2, 1}
	mustSubmit(t, p, j, 0)
	for step := range []int{0, 1, 3} {
		starts := p.Next(0)
		is.Equal(len(starts), 1)
		is.Equal(starts[0].Task.Step, []int{0, 1, 3}[step])
		p.RunEnded(attempt.Process{Endpoint: "a"}, work.End{Task: starts[0].Task, Run: 1, Reason: work.EndSucceeded}, 100*ms)
	}
	is.True(!p.HasJob("x"))
}

// Guards against a task that is passed over because another one of a different placement found no endpoint, and against more
// tasks on an endpoint than their step allows.
func TestFullPlacementsAreRemembered(t *testing.T) {
	is := is.New(t)
	p := poolOf(endpointOf("a", 4000), endpointOf("b", 4000))
	spread := jobAllowingLongWait("1", 1000)
	spread.Steps[0].Count, spread.Steps[0].MaxPerEndpoint = 5, 1
	mustSubmit(t, p, spread, 0)
	wide := jobAllowingLongWait("2", 1000)
	wide.Steps[0].Count = 5
	mustSubmit(t, p, wide, 1)
	narrow := jobAllowingLongWait("3", 500)
	mustSubmit(t, p, narrow, 2)
	started := map[work.JobID]int{}
	for _, r := range p.Next(3) {
		started[r.Task.Job]++
	}
	is.Equal(started, map[work.JobID]int{"1": 2, "2": 5, "3": 1})
	wider := jobAllowingLongWait("4", 500)
	wider.Steps[0].Count = 3
	mustSubmit(t, p, wider, 4)
	is.Equal(len(p.Next(4)), 1) // 8000 less 2000, 5000 and 500
}

// Guards against graphs of steps that are never run to their end, or that take time beyond their number of dependencies. Bit d of
// the bytes that begin at 16 times i tells whether step i depends on step d.
func FuzzGraphs(f *testing.F) {
	f.Add(byte(128), bytes.Repeat([]byte{255}, 16*128)) // each step after all earlier ones
	f.Add(byte(128), bytes.Repeat([]byte{0x11}, 16*128))
	f.Add(byte(64), bytes.Repeat([]byte{0, 0, 255}, 342))
	f.Fuzz(func(t *testing.T, steps byte, raw []byte) {
		const most, rowBytes = 128, 16
		j := jobAllowingLongWait("x", 100)
		j.Steps = nil
		for i := range min(int(steps), most) {
			s := work.Step{Count: 1 + i%2, Size: work.Size{MilliCPU: 100}, Estimate: 100 * ms}
			for d := range i {
				if at := i*rowBytes + d/8; at < len(raw) && raw[at]>>(d%8)&1 == 1 {
					s.DependsOn = append(s.DependsOn, d)
				}
			}
			j.Steps = append(j.Steps, s)
		}
		p := poolOf(endpointOf("a", 1<<20))
		if v, _ := p.Submit(j, 0, 0, 0); !v.Accepted() {
			t.Fatalf("refused: %+v", v)
		}
		if n := runToEnd(p); n != j.Tasks() {
			t.Fatalf("%d of %d tasks have run", n, j.Tasks())
		}
	})
}

// BenchmarkSubmit shows how the cost of a submission, and of the next look for starts, grows with the job and with the queue.
func BenchmarkSubmit(b *testing.B) {
	graphs := map[string]func() *work.Job{
		"one-step-160":    func() *work.Job { j := jobAllowingLongWait("x", 100); j.Steps[0].Count = 160; return j },
		"chain-10":        func() *work.Job { return layeredJob("x", 10, 1) },
		"chain-150":       func() *work.Job { return layeredJob("x", 150, 1) },
		"layers-20x8":     func() *work.Job { return layeredJob("x", 20, 8) },
		"all-earlier-10":  func() *work.Job { return totallyOrderedJob("x", 10) },
		"all-earlier-150": func() *work.Job { return totallyOrderedJob("x", 150) },
	}
	for name, graph := range graphs {
		for _, queued := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/queue-%d", name, queued), func(b *testing.B) { benchmarkSubmit(b, graph, queued) })
		}
	}
}

func benchmarkSubmit(b *testing.B, graph func() *work.Job, queued int) {
	p := poolOf()
	for i := range 40 {
		p.Update(endpointOf(fmt.Sprint(i), 16000))
		p.SetUsable(work.EndpointID(fmt.Sprint(i)), true)
	}
	for i := range queued {
		j := graph()
		j.ID = work.JobID(fmt.Sprint("queued", i))
		for s := range j.Steps {
			j.Steps[s].Size.MilliCPU = 16000
		}
		p.Submit(j, 0, 0, 0)
	}
	p.Next(0)
	for b.Loop() {
		p.Submit(graph(), ms, ms, 0)
		p.Next(ms)
		p.Cancel("x")
	}
}
