package owner

import (
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// held is what a peer has said of its slots on a worker in answer to the current claim.
type held struct {
	released bool // the peer does not own the worker in its own view
	slots    int  // that it holds until their tasks end
}

// claimant is the life of a peer, with the term of its claim, that has claimed a worker.
type claimant struct {
	Holder
	term uint64
}

// slots is what this instance knows and holds of one worker.
type slots struct {
	worker platform.Instance
	mine   bool

	// What the engine may do. The engine confirms each limit, so granted is an upper bound on the slots in use.
	known       bool // the engine has the worker
	limit       int  // last given to the engine
	unconfirmed int  // limits given and not confirmed
	busy        int  // running tasks, as last reported
	granted     int

	// While the worker is mine.
	term    uint64
	others  map[Holder]*held // the peers that were live when the term began
	clean   bool             // no task runs on the worker but this instance's and those that others hold
	foreign int              // tasks of others at the last question; -1: not asked
	ask     uint64           // number of the question whose answer counts
	askAt   time.Time
	claimAt time.Time

	// While it is not.
	full     bool // until it was lost, every slot was this instance's to fill
	vouched  claimant
	notified claimant // gets word of each slot that becomes free
}

// begin starts a term of ownership: every live peer must release the worker first.
func (s *slots) begin(term uint64, holders []Holder) {
	s.mine = true
	s.term = term
	s.full = false
	s.vouched, s.notified = claimant{}, claimant{}
	s.claimAt = time.Time{}
	s.others = make(map[Holder]*held, len(holders))
	for _, h := range holders {
		s.others[h] = &held{}
	}
	s.doubt()
}

// doubt makes the worker's running count decide again.
func (s *slots) doubt() {
	s.clean = false
	s.foreign = -1
	s.ask++
	s.askAt = time.Time{}
}

func (s *slots) lose() {
	s.full = s.usable() == s.worker.Slots
	s.mine = false
	s.others = nil
	s.vouched, s.notified = claimant{}, claimant{}
	s.ask++
}

// follow adapts the peers of the current term to those that live now. A peer that is new holds nothing, since it
// must first claim from this instance. The tasks of a peer that is gone may still run.
func (s *slots) follow(holders []Holder) {
	live := make(map[Holder]bool, len(holders))
	for _, h := range holders {
		live[h] = true
		if s.others[h] == nil {
			s.others[h] = &held{released: true}
		}
	}
	for h, o := range s.others {
		if live[h] {
			continue
		}
		if !o.released || o.slots > 0 {
			s.doubt()
		}
		delete(s.others, h)
	}
}

func (s *slots) released() bool {
	for _, o := range s.others {
		if !o.released {
			return false
		}
	}
	return true
}

func (s *slots) heldByOthers() int {
	n := 0
	for _, o := range s.others {
		n += o.slots
	}
	return n
}

// usable returns the number of the worker's slots that this instance may use. The running count is asked for after
// all peers have released the worker; from then on their tasks only become fewer, so the larger of the two counts
// covers the tasks that peers hold as well as those that a dead instance has left.
func (s *slots) usable() int {
	switch {
	case !s.mine || !s.released():
		return 0
	case s.clean:
		return max(0, s.worker.Slots-s.heldByOthers())
	case s.foreign < 0:
		return 0
	}
	return max(0, s.worker.Slots-max(s.foreign, s.heldByOthers()))
}

// settle updates the upper bound of the slots in use and reports whether it has fallen.
func (s *slots) settle() bool {
	if s.unconfirmed > 0 {
		return false
	}
	before := s.granted
	s.granted = max(s.limit, s.busy)
	return s.granted < before
}
