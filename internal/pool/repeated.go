package pool

import (
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// A caller without an answer sends its job again after the retransmit time, and says how long it still waits. Nothing else tells a
// repetition from a new job after the instances that knew of the first request are gone. The jobs of a queue declare similar waits, so one
// that declares much less has been under way before. After a restart of all instances the demand of the gap comes again in this way,
// together with the usual demand. A repetition whose result can be of no use any more must not take the capacity of jobs that can be in
// time.

const (
	// declaredWaits is the number of jobs of a queue whose declared waits are compared.
	declaredWaits = 64
	// minDeclaredWaits is the number from which they show what is usual.
	minDeclaredWaits = 8
	// declaredWaitMemory is how long a declared wait counts. Callers may change their habits.
	declaredWaitMemory = 5 * time.Second
	// usualWaitQuantile is the quantile of the declared waits that is taken as that of a new job. It is above the median, since more than half
	// of the first jobs after a restart may be repetitions.
	usualWaitQuantile = 0.75
	// repeatedShare is the share of the retransmit time by which a job's declared wait is below the usual one if it is a repetition. It is
	// below 1, since the waits of new jobs differ, too.
	repeatedShare = 0.75
	// spareCapacityPressure is the pressure in percent below which there is capacity for repetitions.
	spareCapacityPressure = 50
)

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

// usual returns the wait that new jobs declare. ok is false while too few are known.
func (w *waits) usual(now time.Duration) (wait time.Duration, ok bool) {
	var recent []time.Duration
	for _, d := range w.last {
		if now-d.at <= declaredWaitMemory {
			recent = append(recent, d.wait)
		}
	}
	if len(recent) < minDeclaredWaits {
		return 0, false
	}
	slices.Sort(recent)
	return recent[int(usualWaitQuantile*float64(len(recent)-1))], true
}

// Repeated reports whether a job whose caller has declared a wait has been sent before, a retransmit time or more ago. If not, the wait
// counts for what is usual in its queue.
func (p *Pool) Repeated(queue string, wait, retransmit, now time.Duration) bool {
	w := p.waits[queue]
	if w == nil {
		w = &waits{}
		p.waits[queue] = w
	}
	usual, ok := w.usual(now)
	if ok && retransmit > 0 && float64(usual-wait) >= repeatedShare*float64(retransmit) {
		return true
	}
	w.add(declaredWait{now, wait})
	return false
}

// RepeatedInVain reports whether a repeated job whose latest request arrived at a time would end too late to be of use, and would take
// capacity that others need.
func (p *Pool) RepeatedInVain(w *work.Job, arrived, retransmit, now time.Duration) bool {
	if p.HasStarted(w.ID) || p.HasJob(w.ID) || p.Pressure() < spareCapacityPressure {
		return false
	}
	return now-arrived+retransmit > maxWait(p.newJob(w, arrived, 0))
}
