//go:build review

package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// balancer is the platform's ingress: it looks at the health of each instance once a second and chooses where a new connection goes.
type balancer struct {
	mu     sync.Mutex
	misses map[*instance]int
}

const maxMisses = 2

func newBalancer(w *world) *balancer {
	b := &balancer{misses: map[*instance]int{}}
	for _, i := range w.instances {
		go func() {
			time.Sleep(rand.N(time.Second))
			for w.ended.Err() == nil {
				ready := i.ready()
				b.mu.Lock()
				if b.misses[i]++; ready {
					b.misses[i] = 0
				}
				b.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

// choose returns an instance of a zone that is in rotation, or any of the zone if fewer than half are.
func (b *balancer) choose(all []*instance) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*instance
	for _, i := range all {
		if b.misses[i] < maxMisses {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	return in[rand.IntN(len(in))]
}
