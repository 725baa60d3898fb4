//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// duplicateScenario: best-effort jobs are cancelled at the instance that holds them, and a duplicate of each submission arrives at another
// instance of the zone seconds after the response.
var duplicateScenario = scenario{
	plan: plan{
		zones: zones, instances: 2, endpoints: 4, kinds: []string{"a"}, sizes: []float64{1},
		runTime: func(work.TaskID) time.Duration { return time.Second },
	},
	run: func(w *world, trouble bool) (broken []string, err error) {
		caller := w.inZone(zones[0])
		job := jobBody{Spec: "review", BestEffort: true, Phases: []phase{{Count: 2, CPU: 1000, MemMB: 64, EstimateMS: 1000}}}
		var mu sync.Mutex
		acknowledged := map[string]time.Time{}
		var jobs sync.WaitGroup
		for n := range 32 {
			id := newID()
			jobs.Go(func() {
				var first answer
				var submitted sync.WaitGroup
				submitted.Go(func() { first = w.call(caller[0], "POST", id, job, 4*time.Second) })
				time.Sleep(300 * time.Millisecond)
				if n%cancelPart != 0 {
					submitted.Wait()
					return
				}
				a := w.call(caller[0], "DELETE", id, nil, 4*time.Second)
				submitted.Wait()
				if !a.accepted() || !first.accepted() {
					return
				}
				mu.Lock()
				acknowledged[id] = a.at
				mu.Unlock()
				time.Sleep(cancelTime + time.Second)
				if trouble {
					w.call(caller[1], "POST", id, job, 4*time.Second)
				}
			})
		}
		jobs.Wait()
		if len(acknowledged) == 0 {
			return nil, fmt.Errorf("no cancel was acknowledged")
		}
		for _, s := range w.fleet.Starts() {
			if at, ok := acknowledged[string(s.Task.Job)]; ok && s.StartedAt.Sub(at) > cancelTime {
				broken = append(broken, fmt.Sprintf("UNASKED: %s started at %.3f at %s, %.3f s after the cancel of its job was acknowledged",
					s.Task, w.at(s.StartedAt), s.Endpoint, s.StartedAt.Sub(at).Seconds()))
			}
		}
		return broken, nil
	},
}
