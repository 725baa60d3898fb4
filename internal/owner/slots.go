package owner

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// peerSlots is what a peer has reported about its slots on a worker in answer to the claims of the current term.
type peerSlots struct {
	released bool // the peer no longer owns the worker in its own view
	slots    int  // number of slots that the peer holds until their tasks end
}

// claimant identifies a claim to a worker: the incarnation of the peer that made it, and the term.
type claimant struct {
	Holder
	term uint64
}

// slots is the state of one worker's slots as recorded by this instance.
type slots struct {
	worker platform.Instance
	owned  bool

	// The engine's use of the slots. The engine confirms each limit, which makes inUseMax an upper bound on the slots in
	// use.
	inEngine    bool // the worker was passed to the engine and not dropped from it since
	limit       int  // last limit given to the engine
	unconfirmed int  // number of limits given to the engine and not confirmed
	busy        int  // number of the engine's running tasks as last reported
	inUseMax    int  // upper bound of the slots in use by this instance

	// Used while this instance owns the worker.
	term        uint64                // number of the term, sent with each claim
	others      map[Holder]*peerSlots // reports of the peers that may hold slots
	accounted   bool                  // all tasks on the worker are this instance's or run on slots in others
	foreign     int                   // tasks of other instances at the last count; -1 if not counted in this term
	count       uint64                // number of the last count request; answers to earlier ones are ignored
	nextCountAt time.Time
	nextClaimAt time.Time

	// Used while this instance does not own the worker.
	heldAll    bool     // all of the worker's slots were usable by this instance when its ownership ended
	vouched    claimant // the only claim to which this instance has confirmed that the other slots are free, see fillAnswer
	subscriber claimant // the last claim; its sender is notified when slots become free
}

// beginTerm starts a term of ownership. No slot is usable until every live peer has released the worker.
func (s *slots) beginTerm(term uint64, holders []Holder) {
	s.owned = true
	s.term = term
	s.heldAll = false
	s.vouched, s.subscriber = claimant{}, claimant{}
	s.nextClaimAt = time.Time{}
	s.others = make(map[Holder]*peerSlots, len(holders))
	for _, h := range holders {
		s.others[h] = &peerSlots{}
	}
	s.requireCount()
}

// requireCount makes the number of usable slots depend on a new count of the tasks that run on the worker.
func (s *slots) requireCount() {
	s.accounted = false
	s.foreign = -1
	s.count++
	s.nextCountAt = time.Time{}
}

// endTerm ends a term of ownership.
func (s *slots) endTerm() {
	s.heldAll = s.usable() == s.worker.Slots
	s.owned = false
	s.others = nil
	s.vouched, s.subscriber = claimant{}, claimant{}
	s.count++
}

// updatePeers updates the peers of the current term to those that are live now. A new peer holds no slots, since it would
// first have to claim the worker from this instance. Tasks of a peer that is gone may still run, so they must be counted.
func (s *slots) updatePeers(holders []Holder) {
	live := make(map[Holder]bool, len(holders))
	for _, h := range holders {
		live[h] = true
		if s.others[h] == nil {
			s.others[h] = &peerSlots{released: true}
		}
	}
	for h, o := range s.others {
		if live[h] {
			continue
		}
		if !o.released || o.slots > 0 {
			s.requireCount()
		}
		delete(s.others, h)
	}
}

// released reports whether all peers have released the worker.
func (s *slots) released() bool {
	for _, o := range s.others {
		if !o.released {
			return false
		}
	}
	return true
}

// heldByOthers returns the number of slots that peers hold.
func (s *slots) heldByOthers() int {
	n := 0
	for _, o := range s.others {
		n += o.slots
	}
	return n
}

// usable returns the number of the worker's slots that this instance may use. Running tasks are counted after all peers have
// released the worker. From then on tasks of other instances can only end, so the larger of the worker's count and the
// peers' reports covers the tasks of live peers and those that a dead instance has left.
func (s *slots) usable() int {
	switch {
	case !s.owned || !s.released():
		return 0
	case s.accounted:
		return max(0, s.worker.Slots-s.heldByOthers())
	case s.foreign < 0:
		return 0
	}
	return max(0, s.worker.Slots-max(s.foreign, s.heldByOthers()))
}

// updateInUse updates the upper bound of the slots in use and returns whether it has fallen. While a limit is unconfirmed it
// does nothing.
func (s *slots) updateInUse() bool {
	if s.unconfirmed > 0 {
		return false
	}
	before := s.inUseMax
	s.inUseMax = max(s.limit, s.busy)
	return s.inUseMax < before
}
