package replica

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/peer/message"
)

const entryOverhead = 160 // bytes that a copy takes besides its texts: map entry, queue entry and headers

type copyKey struct{ identity, team string }

type stored struct {
	key     copyKey
	answer  []byte
	expires time.Time
}

// store keeps copies until they expire or until newer ones need their bytes.
type store struct {
	retention time.Duration
	maxBytes  int

	mu      sync.Mutex
	copies  map[copyKey][]byte
	queue   []stored // in the order of arrival, which is also that of expiry
	bytes   int
	evicted uint64 // dropped before they expired
}

func newStore(retention time.Duration, maxBytes int) *store {
	return &store{retention: retention, maxBytes: maxBytes, copies: make(map[copyKey][]byte)}
}

func (s *stored) size() int {
	return len(s.key.identity) + len(s.key.team) + len(s.answer) + entryOverhead
}

// put keeps the first copy of an answer.
func (s *store) put(now time.Time, c *message.Copy) {
	e := stored{key: copyKey{c.Identity, c.Team}, answer: c.Answer, expires: now.Add(s.retention)}
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
	*e = stored{} // releases the answer while the array behind the queue lives on
	s.queue = s.queue[1:]
}
