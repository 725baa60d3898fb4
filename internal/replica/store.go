package replica

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/peer/message"
)

const copyOverheadBytes = 160 // memory of a copy besides its strings and bytes: map entry, queue entry and their headers

type copyKey struct{ identity, team string }

type storedCopy struct {
	key     copyKey
	answer  []byte
	expires time.Time
}

// store keeps the copies received from peers until they expire, or until newer copies need their space.
type store struct {
	retention time.Duration
	maxBytes  int

	mu      sync.Mutex
	copies  map[copyKey][]byte
	queue   []storedCopy // in order of arrival, which is also the order of expiry
	bytes   int          // total size of the copies
	evicted uint64       // number of copies dropped before they expired
}

func newStore(retention time.Duration, maxBytes int) *store {
	return &store{retention: retention, maxBytes: maxBytes, copies: make(map[copyKey][]byte)}
}

func (s *storedCopy) size() int {
	return len(s.key.identity) + len(s.key.team) + len(s.answer) + copyOverheadBytes
}

// put stores a copy and evicts the oldest ones if the space is needed. It ignores a copy whose key is already stored,
// and one that is larger than maxBytes.
func (s *store) put(now time.Time, c *message.Copy) {
	e := storedCopy{key: copyKey{c.Identity, c.Team}, answer: c.Answer, expires: now.Add(s.retention)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if _, known := s.copies[e.key]; known || e.size() > s.maxBytes {
		return
	}
	for s.bytes+e.size() > s.maxBytes {
		s.dropOldest()
		s.evicted++
	}
	s.copies[e.key] = e.answer
	s.queue = append(s.queue, e)
	s.bytes += e.size()
}

func (s *store) get(now time.Time, identity, team string) (answer []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	answer, ok = s.copies[copyKey{identity, team}]
	return answer, ok
}

func (s *store) expire(now time.Time) {
	for len(s.queue) > 0 && !now.Before(s.queue[0].expires) {
		s.dropOldest()
	}
}

func (s *store) dropOldest() {
	e := &s.queue[0]
	delete(s.copies, e.key)
	s.bytes -= e.size()
	*e = storedCopy{} // lets the answer be garbage collected, since the queue's array still refers to this element
	s.queue = s.queue[1:]
}
