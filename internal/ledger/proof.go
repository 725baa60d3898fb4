package ledger

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/relay"
	"github.com/savorypass/savorypass/internal/work"
)

// That a holder does not know a job is no proof that no such job was accepted: another instance may have appended its submission, or a
// successor may hold the partition. A job that was accepted, or a task of which was started, before a time is in the store at that time. So
// a holder denies a job only after a read of the partition that began later.

// maxDenialWait is how long a request for an unknown job waits for such a read. The sender asks again afterwards.
const maxDenialWait = 800 * time.Millisecond

// proof is what waits until all records are known that the partition had at a time.
type proof struct {
	at      time.Duration
	until   time.Duration // it is given up then; 0 for never
	settled func()        // called in the holder's goroutine
}

// awaitProof calls settled once all records are known that the partition has now. It gives up after a time; 0 for never. h.mu is held.
func (h *holder) awaitProof(within time.Duration, settled func()) {
	now := h.opts().Now()
	p := proof{at: now, settled: settled}
	if within > 0 {
		p.until = now + within
	}
	h.proofs = append(h.proofs, p)
	select {
	case h.readNow <- struct{}{}:
	default:
	}
}

// settleProofs posts what the known records settle, and forgets what is given up. h.mu is held.
func (h *holder) settleProofs() {
	now := h.opts().Now()
	var open []proof
	for _, p := range h.proofs {
		switch {
		case h.confirmed >= p.at:
			h.post(p.settled)
		case p.until == 0 || now < p.until:
			open = append(open, p)
		}
	}
	h.proofs = open
}

// replyIfUnknown denies a job if that is certain, or calls found if the job turns out to have been accepted. h.mu is held.
func (h *holder) replyIfUnknown(id work.JobID, reply replyFunc, found func(replyFunc)) {
	var once sync.Once
	first := func(r relay.StoredReply) { once.Do(func() { reply(r) }) }
	h.awaitProof(maxDenialWait, func() {
		h.mu.Lock()
		known := h.jobs.Get(id).Known()
		h.mu.Unlock()
		if known {
			found(first)
			return
		}
		first(relay.StoredReply{Result: relay.StoredNoJob})
	})
	time.AfterFunc(maxDenialWait, func() { first(relay.StoredReply{Result: relay.StoredNoHolder}) })
}
