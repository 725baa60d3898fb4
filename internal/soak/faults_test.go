package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	maxFaults      = 4 // at the same time
	minFault       = 200 * time.Millisecond
	maxFault       = 5 * time.Second
	minFaultGap    = 100 * time.Millisecond
	maxFaultGap    = 900 * time.Millisecond
	maxSeries      = 4 // repetitions of one fault
	maxDownTime    = 2 * time.Second
	minZoneLoss    = 2 * time.Second
	maxZoneLoss    = 9 * time.Second
	endpointsAdded = 5
	maxLinkDelay   = 300 * time.Millisecond
	maxChoke       = 2 * time.Second // delay of data on choked links
	chokeRamp      = 2               // time in which the delay of choked links grows, in delays; a faster growth would hold heartbeats back
	maxStoreDelay  = 900 * time.Millisecond
	maxLateOrder   = 5 * time.Second
)

// fault is a kind of fault. inject blocks until the fault is over.
type fault struct {
	name   string
	weight int
	inject func(r *run, rnd *rand.Rand, length time.Duration)
}

var faults = []fault{
	{"kill", 4, (*run).killInstance},
	{"pause", 3, (*run).pauseInstance},
	{"planned stop", 4, (*run).stopInstance},
	{"SIGHUP", 1, (*run).reloadInstance},
	{"links of an instance", 5, (*run).faultLinksOfInstance},
	{"small share", 6, (*run).shrinkShare},
	{"choked links", 4, (*run).chokeLinks},
	{"zone cut", 2, (*run).cutZone},
	{"callers reset", 4, (*run).resetCallers},
	{"links to an endpoint", 2, (*run).faultLinksToEndpoint},
	{"links of callers", 2, (*run).faultLinksOfCallers},
	{"store slow", 1, (*run).slowStore},
	{"store down", 1, (*run).refuseCalls},
	{"store loses answers", 1, (*run).loseStoreAnswers},
	{"store forgets history", 1, (*run).forgetHistory},
	{"store rebalances", 2, (*run).rebalance},
	{"endpoint crashes", 2, (*run).crashEndpoint},
	{"endpoint silent", 2, (*run).silenceEndpoint},
	{"endpoint leaves", 2, (*run).drainEndpoint},
	{"orders lost or late", 2, (*run).loseOrders},
	{"configuration", 3, (*run).changeConfig},
	{"zone evacuated", 2, (*run).evacuateZone},
}

// faultsWithStoredJobs come besides if the run has stored jobs.
var faultsWithStoredJobs = []fault{
	{"zone lost", 2, (*run).loseZone},
	{"endpoints come", 1, (*run).addEndpoints},
}

// kinds returns the faults of the run.
func (r *run) kinds() []fault {
	all := slices.Clone(faults)
	if r.stores {
		all = append(all, faultsWithStoredJobs...)
	}
	if r.paths {
		all = append(all, pathFaults...)
	}
	return all
}

// endingKinds returns the faults of the time in which the callers leave.
func (r *run) endingKinds() []fault {
	if r.paths {
		return slices.Concat(endingFaults, endingPathFaults)
	}
	return endingFaults
}

// injectFaults injects random faults of a round until ctx ends, and waits until all are over.
func (r *run) injectFaults(ctx context.Context, round uint64, kinds []fault) {
	rnd := rand.New(rand.NewPCG(r.seed, round<<32))
	running := make(chan struct{}, maxFaults)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := uint64(0); ; n++ {
		f, length, series := pick(kinds, rnd), between(rnd, minFault, maxFault), 1
		if rnd.IntN(4) == 0 {
			series += rnd.IntN(maxSeries)
		}
		select {
		case <-ctx.Done():
			return
		case running <- struct{}{}:
		}
		own := rand.New(rand.NewPCG(r.seed, round<<32+1+n))
		wg.Go(func() {
			for range series {
				f.inject(r, own, length/time.Duration(series))
			}
			<-running
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(between(rnd, minFaultGap, maxFaultGap)):
		}
	}
}

func pick(kinds []fault, rnd *rand.Rand) fault {
	sum := 0
	for _, f := range kinds {
		sum += f.weight
	}
	n := rnd.IntN(sum)
	for _, f := range kinds {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	panic("unreachable")
}

// begin counts and notes a fault, and records whom it disturbs until the returned function is called.
func (r *run) begin(kind, detail string, who ...string) (end func()) {
	r.record.countFault(kind)
	r.record.note("begin %s %s", kind, detail)
	ended := r.record.disturb(who...)
	return func() {
		ended()
		r.record.note("end %s %s", kind, detail)
	}
}
