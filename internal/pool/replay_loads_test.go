package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// replayedLoad returns a load of short wide jobs, long ones and narrow ones that asks for a share of the capacity that its endpoints reach
// with this mixture of sizes.
func replayedLoad(share float64) load {
	const (
		partitions = 4
		reached    = 0.09 // jobs of the narrow kind, in thousands a second for each partition, beside those of the other kinds
	)
	f := share * reached * partitions
	return load{
		kinds: []kind{
			{name: "wide", priority: 0, tasks: 8, run: 60 * ms, perSecond: 206 * f},
			{name: "long", priority: 2, tasks: 4, run: 900 * ms, perSecond: 37.5 * f},
			{name: "narrow", priority: 1, tasks: 2, run: 200 * ms, perSecond: 600 * f},
		},
		partitions: partitions, endpoints: 22, speeds: []float64{0.8, 1, 1.25}, during: 12 * time.Second,
	}
}

func crestLoad() load {
	l := replayedLoad(0.9)
	l.crest, l.period = 0.5, 6*time.Second
	return l
}

func burstLoad() load {
	l := replayedLoad(0.9)
	l.burst, l.kinds[1].burst = [2]time.Duration{3 * time.Second, 9 * time.Second}, 2.4
	return l
}

// play plays a load with several seeds, with or without weighed costs, and returns the sums of the results by kind.
func play(t *testing.T, l load, weighed bool) []result {
	sums := make([]result, len(l.kinds))
	var last *replay
	for l.seed = 1; l.seed <= 3; l.seed++ {
		last = newReplay(l, func(p *Pool) { p.WeighBy(func(string) bool { return weighed }) })
		for i, r := range last.play() {
			sums[i].add(r)
		}
	}
	last.results = sums
	t.Logf("weighed %t\n%s", weighed, last)
	return sums
}

func (r *result) add(o result) {
	r.asked, r.inTime, r.late, r.noUse, r.refused = r.asked+o.asked, r.inTime+o.inTime, r.late+o.late, r.noUse+o.noUse, r.refused+o.refused
	r.owed, r.earned = r.owed+o.owed, r.earned+o.earned
}

// total returns the sum of the results of all kinds.
func total(results []result) result {
	var sum result
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

func (r result) share() float64 { return r.earned / r.owed }

// Guards against a decision that makes more jobs late, or does less of the work in time, than the order by latest start, at a crest, during a
// burst of long work, and when wide jobs compete with narrow ones above the capacity. The urgent kind must not lose by it.
func TestWeighedCostsAtHighLoad(t *testing.T) {
	for name, l := range map[string]load{"crest": crestLoad(), "burst of long work": burstLoad(), "above the capacity": replayedLoad(1.4)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, after := play(t, l, false), play(t, l, true)
			is.True(total(after).share() > total(before).share()+0.02)
			is.True(total(after).late < total(before).late*3/4)
			is.True(after[0].share() > before[0].share())
			is.True(after[1].share() > before[1].share()-0.05) // the long kind, of the lowest priority
		})
	}
}

// Guards against jobs that are refused or late by the decision while there is room for all.
func TestWeighedCostsAtLowLoad(t *testing.T) {
	is := is.New(t)
	for _, r := range play(t, replayedLoad(0.5), true) {
		is.True(r.share() > 0.99)
	}
}
