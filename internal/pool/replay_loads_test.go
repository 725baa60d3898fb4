package pool

import (
	"testing"
	"time"
)

// replayedKinds returns short wide jobs, long ones and narrow ones, together a share of the capacity of 40 endpoints.
func replayedKinds(share float64, partitions int) []kind {
	const fullPartition = 0.125 // jobs of the narrow kind, in thousands a second, that would use the whole capacity together with the others
	f := share * fullPartition * float64(partitions)
	return []kind{
		{name: "wide", priority: 0, tasks: 8, run: 60 * ms, perSecond: 206 * f},
		{name: "long", priority: 2, tasks: 4, run: 900 * ms, perSecond: 37.5 * f},
		{name: "narrow", priority: 1, tasks: 2, run: 200 * ms, perSecond: 600 * f},
	}
}

func replayedLoad(share float64) load {
	const partitions = 6
	return load{
		kinds: replayedKinds(share, partitions), partitions: partitions, endpoints: 22, speeds: []float64{0.8, 1, 1.25}, during: 15 * time.Second, seed: 1,
	}
}

func TestReplayTrial(t *testing.T) {
	for _, share := range []float64{0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.5} {
		r := newReplay(replayedLoad(share), func(*Pool) {})
		r.play()
		t.Logf("share %.2f\n%s", share, r)
	}
	l := replayedLoad(0.6)
	l.burst = [2]time.Duration{4 * time.Second, 10 * time.Second}
	l.kinds[1].burst = 2.4
	r := newReplay(l, func(*Pool) {})
	r.play()
	t.Logf("burst\n%s", r)
}
