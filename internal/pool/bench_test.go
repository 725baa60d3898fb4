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
