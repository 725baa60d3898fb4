//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

const (
	graceTime = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	ackTime   = 4 * time.Second
	// stopGap is the pause between the stops of two instances.
	stopGap = 1300 * time.Millisecond
	// One job in cancelPart is cancelled, for cancelSpan from the first stop on.
	cancelPart = 4
	cancelSpan = 12 * time.Second
)

// rollScenario: all instances are stopped and started in turn while callers cancel jobs that end at the same moment.
var rollScenario = scenario{
	plan: plan{
		zones: zones, instances: 2, endpoints: 4, kinds: []string{"a"}, sizes: []float64{1},
		runTime: func(work.TaskID) time.Duration { return 300 * time.Millisecond },
	},
	run: func(w *world, trouble bool) (broken []string, err error) {
		b := newBalancer(w)
		var mu sync.Mutex
		stopped := map[string]time.Time{}
		stop := make(chan struct{})
		var callers sync.WaitGroup
		const lead = 4 * time.Second
		begun := time.Now()
		for n := range 36 {
			zone := w.inZone(zones[n%len(zones)])
			callers.Go(func() {
				for k := n; ; k++ {
					select {
					case <-stop:
						return
					default:
					}
					id := newID()
					w.call(b.choose(zone), "POST", id, jobBody{Spec: "review", BestEffort: true, Phases: []phase{
						{Count: 1, CPU: 1000, MemMB: 64, EstimateMS: 300}}}, 1500*time.Millisecond)
					if since := time.Since(begun); k%cancelPart != 0 || since < lead || since > lead+cancelSpan {
						continue
					}
					i := b.choose(zone)
					sent := time.Now()
					a := w.call(i, "DELETE", id, nil, ackTime)
					mu.Lock()
					at, ok := stopped[i.name]
					mu.Unlock()
					took := a.at.Sub(sent)
					if ok && a.status == 0 && took > lossSlack && took < ackTime-50*time.Millisecond && a.at.Sub(at) < graceTime+time.Second {
						mu.Lock()
						broken = append(broken, fmt.Sprintf("LOST: DELETE %s, sent at %.3f to %s, %.3f s after its SIGTERM, was cut off after %.3f s without an answer",
							id, w.at(sent), i.name, sent.Sub(at).Seconds(), took.Seconds()))
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(lead)
		var stops sync.WaitGroup
		for _, i := range w.instances {
			if !trouble {
				break
			}
			mu.Lock()
			stopped[i.name] = time.Now()
			mu.Unlock()
			i.signal(syscall.SIGTERM)
			stops.Go(func() {
				select {
				case <-i.done:
				case <-time.After(graceTime):
					i.kill()
				}
				time.Sleep(500 * time.Millisecond)
				i.start()
			})
			time.Sleep(stopGap)
		}
		stops.Wait()
		time.Sleep(3 * time.Second)
		close(stop)
		callers.Wait()
		return broken, nil
	},
}
