package ledger

import (
	"time"
)

// That a holder does not know a job is no proof that no such job was accepted: another instance may have appended its submission, or a
// successor may hold the partition. A job that was accepted, or a task of which was started, before a time is in the store at that time. So
// an end is forgotten for want of its job only after a read of the partition that began later.

// proof is what waits until all records are known that the partition had at a time.
type proof struct {
	at      time.Duration
	settled func() // called in the holder's goroutine
}

// awaitProof calls settled once all records are known that the partition has now. h.mu is held.
func (h *holder) awaitProof(settled func()) {
	h.proofs = append(h.proofs, proof{h.opts().Now(), settled})
	select {
	case h.readNow <- struct{}{}:
	default:
	}
}

// settleProofs posts what the known records settle. h.mu is held.
func (h *holder) settleProofs() {
	var open []proof
	for _, p := range h.proofs {
		if h.confirmed >= p.at {
			h.post(p.settled)
		} else {
			open = append(open, p)
		}
	}
	h.proofs = open
}
