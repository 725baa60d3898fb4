package pool

import (
	"time"

	"github.com/savorypass/savorypass/internal/repetition"
	"github.com/savorypass/savorypass/internal/work"
)

// After a restart of all instances the demand of the gap comes again as repetitions, together with the usual demand. A repetition whose
// result can be of no use any more must not take the capacity of jobs that can be in time.

const (
	// declaredWaitMemory is how long a declared wait counts. It is short, since it matters at the beginning of a term only.
	declaredWaitMemory = 5 * time.Second
	// minDeclaredWaits is the number of declared waits from which they show what is usual.
	minDeclaredWaits = 8
	// usualWaitQuantile is the quantile of the declared waits that is taken as that of a new job. It is above the median, since more than half
	// of the first jobs after a restart may be repetitions.
	usualWaitQuantile = 0.75
	// repeatedShare is the share of the retransmit time by which the wait of a repetition is below the usual one. It is below 1, since the waits
	// of new jobs differ, too.
	repeatedShare = 0.75
	// spareCapacityPressure is the pressure in percent below which there is capacity for repetitions.
	spareCapacityPressure = 50
)

func newRepetitions() *repetition.Detector {
	return repetition.New(repetition.Options{
		Quantile: usualWaitQuantile, Share: repeatedShare, Memory: declaredWaitMemory, MinWaits: minDeclaredWaits,
	})
}

// Repeated reports whether a job whose caller has declared a wait has been sent before, a retransmit time or more ago.
func (p *Pool) Repeated(queue string, wait, retransmit, now time.Duration) bool {
	return p.repetitions.Repeats(queue, wait, retransmit, now)
}

// RepeatedInVain reports whether a repeated job whose latest request arrived at a time would end too late to be of use, and would take
// capacity that others need.
func (p *Pool) RepeatedInVain(w *work.Job, arrived, retransmit, now time.Duration) bool {
	if p.HasStarted(w.ID) || p.HasJob(w.ID) || p.Pressure() < spareCapacityPressure {
		return false
	}
	return now-arrived+retransmit > maxWait(p.newJob(w, arrived, 0))
}
