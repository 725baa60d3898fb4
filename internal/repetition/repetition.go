// Package repetition tells requests that repeat an earlier one of the same caller from new ones.
//
// A caller without an answer sends its job again after the retransmit time, and says how long it still waits. Nothing else tells a
// repetition from a new job where the first request is not known. The jobs of a queue declare similar waits, so one that declares much less
// has been under way before. This is an estimate: what rests on it may cost time, but must not decide whether a job runs.
package repetition

import (
	"slices"
	"sync"
	"time"
)

// declaredWaits is the number of jobs of a queue whose declared waits are compared.
const declaredWaits = 64

// Options configures a Detector.
type Options struct {
	// Quantile is the quantile of the declared waits, from 0 to 1, with which a job's wait is compared.
	Quantile float64
	// Share is the share of the retransmit time by which the wait of a repetition is below that quantile.
	Share float64
	// Memory is how long a declared wait counts. Callers may change their habits.
	Memory time.Duration
	// MinWaits is the number of declared waits of a queue from which they show what is usual.
	MinWaits int
}

// Detector knows what waits the callers of each queue declare. It is safe for concurrent use.
type Detector struct {
	opts Options

	mu     sync.Mutex
	queues map[string]*waits
}

// New returns a detector that has seen no request.
func New(o Options) *Detector { return &Detector{opts: o, queues: map[string]*waits{}} }

// Repeats reports whether a job whose caller has declared a wait has been sent before, a retransmit time or more ago. If not, the wait
// counts for what is usual in its queue. now is on any monotonic clock.
func (d *Detector) Repeats(queue string, wait, retransmit, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.queues[queue]
	if w == nil {
		w = &waits{}
		d.queues[queue] = w
	}
	usual, ok := w.quantile(d.opts.Quantile, now-d.opts.Memory, d.opts.MinWaits)
	if ok && retransmit > 0 && float64(usual-wait) >= d.opts.Share*float64(retransmit) {
		return true
	}
	w.add(declaredWait{now, wait})
	return false
}

// declaredWait is how long the caller of a job said that it waits.
type declaredWait struct {
	at   time.Duration // when the job was submitted
	wait time.Duration
}

// waits holds the last declared waits of the jobs of a queue.
type waits struct {
	last []declaredWait
	next int // index of the oldest one, once there are declaredWaits
}

func (w *waits) add(d declaredWait) {
	if len(w.last) < declaredWaits {
		w.last = append(w.last, d)
		return
	}
	w.last[w.next] = d
	w.next = (w.next + 1) % declaredWaits
}

// quantile returns a quantile of the waits that new jobs have declared since a time. ok is false if fewer than minWaits are known.
func (w *waits) quantile(q float64, since time.Duration, minWaits int) (wait time.Duration, ok bool) {
	var recent []time.Duration
	for _, d := range w.last {
		if d.at >= since {
			recent = append(recent, d.wait)
		}
	}
	if len(recent) < max(minWaits, 1) {
		return 0, false
	}
	slices.Sort(recent)
	return recent[int(q*float64(len(recent)-1))], true
}
