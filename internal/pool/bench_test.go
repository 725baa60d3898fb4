package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// BenchmarkNext measures a decision with many waiting jobs of different sizes, none of which fits: each of them is weighed against
// all endpoints.
func BenchmarkNext(b *testing.B) {
	const endpoints, waiting = 120, 500
	p := poolOf()
	for i := range endpoints {
		p.Update(endpointOf(fmt.Sprintf("e%03d", i), 32000))
		p.SetUsable(work.EndpointID(fmt.Sprintf("e%03d", i)), true)
	}
	submit := func(id string, tasks, milliCPU int) {
		j := jobOf(id, tasks, milliCPU, 100*ms)
		j.Objective.Extra = time.Hour
		if v, _ := p.Submit(j, 0, 0, 0); !v.Accepted() {
			b.Fatal(v)
		}
	}
	for i := range endpoints {
		submit(fmt.Sprintf("a%03d", i), 1, 24000)
	}
	p.Next(0)
	for i := range waiting {
		submit(fmt.Sprintf("w%03d", i), 8, 9000+10*i)
	}
	b.ReportAllocs()
	for b.Loop() {
		if starts := p.Next(ms); len(starts) > 0 {
			b.Fatalf("%d tasks started", len(starts))
		}
	}
}

// BenchmarkStart measures the start and the end of a wide job's tasks.
func BenchmarkStart(b *testing.B) {
	p := poolOf()
	for i := range 120 {
		p.Update(endpointOf(fmt.Sprintf("e%03d", i), 32000))
		p.SetUsable(work.EndpointID(fmt.Sprintf("e%03d", i)), true)
	}
	b.ReportAllocs()
	for b.Loop() {
		j := jobOf("wide", 32, 16000, 100*ms)
		if v, _ := p.Submit(j, 0, 0, 0); !v.Accepted() {
			b.Fatal(v)
		}
		if starts := p.Next(0); len(starts) != 32 {
			b.Fatalf("%d tasks started", len(starts))
		}
		for _, r := range p.Cancel("wide") {
			p.RunLost(r, 0)
		}
	}
}

// BenchmarkNextDelayed measures a decision in which all waiting jobs have room on slow endpoints and wait for fast ones.
func BenchmarkNextDelayed(b *testing.B) {
	const endpoints, waiting = 120, 500
	p := poolOf()
	for i := range endpoints {
		id := work.EndpointID(fmt.Sprintf("e%03d", i))
		p.Update(endpointOf(string(id), 32000))
		p.SetUsable(id, true)
		p.endpoints[id].speed.shrunk = 0.5 * float64(i%2) // every other one is slow
	}
	for i := range endpoints {
		p.SetUsable(work.EndpointID(fmt.Sprintf("e%03d", i)), i%2 == 0)
		j := jobOf(fmt.Sprintf("a%03d", i), 1, 16000, 100*ms)
		j.Objective.Extra = time.Hour
		if v, _ := p.Submit(j, 0, 0, 0); !v.Accepted() {
			b.Fatal(v)
		}
	}
	for _, r := range p.Next(0) {
		r.Expected = 20 * ms
	}
	for i := range endpoints {
		p.SetUsable(work.EndpointID(fmt.Sprintf("e%03d", i)), true)
	}
	for i := range waiting {
		j := jobOf(fmt.Sprintf("w%03d", i), 8, 9000+10*i, 100*ms)
		j.Objective.Stretch, j.Objective.Extra = 1, 100*ms
		w := p.newJob(j, 0, 0)
		p.jobs[j.ID] = w
		p.enqueue(w)
	}
	b.ReportAllocs()
	for b.Loop() {
		if starts := p.Next(0); len(starts) > 0 {
			b.Fatalf("%d tasks started", len(starts))
		}
	}
}
