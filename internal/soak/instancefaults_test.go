package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// withInstance injects a fault into a random instance, unless another fault uses it. inject returns when the fault is over.
func (r *run) withInstance(rnd *rand.Rand, kind string, unplanned bool, inject func(i *instance)) {
	i := r.instances[rnd.IntN(len(r.instances))]
	if !i.claim() {
		return
	}
	defer i.release()
	who := []string{i.spec.Name}
	if unplanned {
		who = append(who, callersOf(i.spec.Name))
	}
	defer r.begin(kind, i.spec.Name, who...)()
	inject(i)
}

// restart starts the next process of an instance after a while.
func (r *run) restart(rnd *rand.Rand, i *instance) {
	time.Sleep(between(rnd, 0, maxDownTime))
	if err := i.start(r.ended); err != nil {
		r.record.problem("%s: %v", i.spec.Name, err)
	}
}

func (r *run) killInstance(rnd *rand.Rand, _ time.Duration) {
	r.withInstance(rnd, "kill", true, func(i *instance) {
		i.kill()
		r.restart(rnd, i)
	})
}

// loseZone kills all instances of a zone and starts them again after a time in which those of the other zone take their place.
func (r *run) loseZone(rnd *rand.Rand, _ time.Duration) {
	zone := zones[rnd.IntN(len(zones))]
	var lost []*instance
	var who []string
	for _, i := range r.instances {
		if i.spec.Zone != zone || !i.claim() {
			continue
		}
		defer i.release()
		lost = append(lost, i)
		who = append(who, i.spec.Name, callersOf(i.spec.Name))
	}
	defer r.begin("zone lost", zone, who...)()
	for _, i := range lost {
		i.kill()
	}
	time.Sleep(between(rnd, minZoneLoss, maxZoneLoss))
	for _, i := range lost {
		r.restart(rnd, i)
	}
}

func (r *run) pauseInstance(rnd *rand.Rand, length time.Duration) {
	r.withInstance(rnd, "pause", true, func(i *instance) {
		i.signal(syscall.SIGSTOP)
		time.Sleep(length)
		i.signal(syscall.SIGCONT)
	})
}

// shrinkShare leaves several instances a small share of the processor. They are stopped and continued every few milliseconds, so
// that none of them is ever stopped for long.
func (r *run) shrinkShare(rnd *rand.Rand, length time.Duration) {
	var wg sync.WaitGroup
	for range 1 + rnd.IntN(len(r.instances)) {
		period := between(rnd, 60*time.Millisecond, 100*time.Millisecond)
		running := between(rnd, time.Millisecond, 12*time.Millisecond)
		r.mu.Lock()
		own := rand.New(rand.NewPCG(r.rand.Uint64(), 0))
		r.mu.Unlock()
		wg.Go(func() {
			r.withInstance(own, "small share", true, func(i *instance) { i.throttle(period, running, length) })
		})
	}
	wg.Wait()
}

func (r *run) stopInstance(rnd *rand.Rand, _ time.Duration) {
	r.withInstance(rnd, "planned stop", false, func(i *instance) {
		ended := r.record.addStop(i.spec.Name)
		ended(i.stop(grace))
		r.restart(rnd, i)
	})
}

func (r *run) reloadInstance(rnd *rand.Rand, _ time.Duration) {
	r.withInstance(rnd, "SIGHUP", false, func(i *instance) {
		if err := i.writeSettings(); err != nil {
			r.record.problem("%s: %v", i.spec.Name, err)
		}
		i.signal(syscall.SIGHUP)
	})
}
