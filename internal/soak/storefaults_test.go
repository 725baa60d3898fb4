package soak

import (
	"math/rand/v2"
	"time"

	"github.com/savorypass/savorypass/platform/standin"
)

// storeFault is a fault of the store while it lasts. Each call meets it with its probability.
type storeFault struct {
	only        string // IP address of the only caller that meets it; empty for all
	probability float64
	standin.Fault
}

// storeFault implements standin.Store.Fault.
func (r *run) storeFault(caller string) (met standin.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.storeFaults {
		if f.only != "" && f.only != caller || r.rand.Float64() >= f.probability {
			continue
		}
		met.Delay = max(met.Delay, f.Delay)
		met.Refuse = met.Refuse || f.Refuse
		met.Lost = met.Lost || f.Lost
	}
	return met
}

// faultStore makes calls to the store meet a fault, of all instances or of one.
func (r *run) faultStore(kind string, rnd *rand.Rand, length time.Duration, f *storeFault) {
	detail := "for all"
	if rnd.IntN(2) == 0 {
		i := r.instances[rnd.IntN(len(r.instances))]
		f.only, detail = i.spec.IP, "for "+i.spec.Name
	}
	defer r.begin(kind, detail, storeName)()
	r.mu.Lock()
	r.storeFaults[f] = true
	r.mu.Unlock()
	time.Sleep(length)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.storeFaults, f)
}

func (r *run) slowStore(rnd *rand.Rand, length time.Duration) {
	r.faultStore("store slow", rnd, length, &storeFault{probability: 0.7, Fault: standin.Fault{Delay: between(rnd, minFault, maxStoreDelay)}})
}

func (r *run) refuseCalls(rnd *rand.Rand, length time.Duration) {
	r.faultStore("store down", rnd, length, &storeFault{probability: 0.5 + rnd.Float64(), Fault: standin.Fault{Refuse: true}})
}

// loseStoreAnswers also lets the calls without an answer be carried out late.
func (r *run) loseStoreAnswers(rnd *rand.Rand, length time.Duration) {
	r.faultStore("store loses answers", rnd, length, &storeFault{
		probability: 0.3 + rnd.Float64(), Fault: standin.Fault{Lost: true, Delay: between(rnd, 0, 2*maxStoreDelay)},
	})
}

func (r *run) forgetHistory(*rand.Rand, time.Duration) {
	defer r.begin("store forgets history", "", storeName)()
	topic, _ := standin.ConfigRecord()
	r.keyed.DropHistory(topic)
	r.keyed.DropHistory(standin.EndpointsTopic())
}

func (r *run) rebalance(*rand.Rand, time.Duration) {
	defer r.begin("store rebalances", "", storeName)()
	r.keyed.Rebalance()
}

func (r *run) changeConfig(*rand.Rand, time.Duration) {
	defer r.begin("configuration", "")()
	r.publish()
}
