package instances

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// ErrUnknownInstance is returned for a change to an instance that is not in the list, or is in it with another
// incarnation.
var ErrUnknownInstance = errors.New("instance is not registered with this incarnation")

// version is the state of an instance from a point in time until the next version.
type version struct {
	since    time.Time
	present  bool // whether the instance is in the list
	instance platform.Instance
}

// history holds the versions of an instance, oldest first, as far back as readers can see.
type history struct {
	versions  []version
	renewedAt time.Time
}

func (h *history) current() *version { return &h.versions[len(h.versions)-1] }

// at returns the instance at a point in time, and whether it was in the list.
func (h *history) at(t time.Time) (platform.Instance, bool) {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if v := &h.versions[i]; !v.since.After(t) {
			return v.instance, v.present
		}
	}
	return platform.Instance{}, false
}

// state is the list with its recent history, from which readers get the list as it was lag ago. Its methods take the present
// time as the argument now.
type state struct {
	lag    time.Duration // age of the list that readers get
	expiry time.Duration // time without a renewal after which an instance is removed

	mu        sync.Mutex
	histories map[string]*history
	frozen    bool
	frozenAt  time.Time // point in time whose list readers see while frozen
}

func newState(lag, expiry time.Duration) *state {
	return &state{lag: lag, expiry: expiry, histories: map[string]*history{}}
}

// register adds an instance or replaces the one with the same name.
func (s *state) register(now time.Time, in platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histories[in.Name]
	if h == nil {
		h = &history{}
		s.histories[in.Name] = h
	}
	h.renewedAt = now
	s.addVersion(h, version{since: now, present: true, instance: in})
}

func (s *state) renew(now time.Time, name string, incarnation uint64) error {
	return s.update(now, name, incarnation, func(h *history) { h.renewedAt = now })
}

func (s *state) leave(now time.Time, name string, incarnation uint64) error {
	return s.update(now, name, incarnation, func(h *history) {
		in := h.current().instance
		in.State = platform.StateLeaving
		s.addVersion(h, version{since: now, present: true, instance: in})
	})
}

func (s *state) remove(now time.Time, name string, incarnation uint64) error {
	return s.update(now, name, incarnation, func(h *history) { s.addVersion(h, version{since: now}) })
}

// update applies a change to an instance, or returns ErrUnknownInstance.
func (s *state) update(now time.Time, name string, incarnation uint64, apply func(*history)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	h := s.histories[name]
	if h == nil || !h.current().present || h.current().instance.Incarnation != incarnation {
		return ErrUnknownInstance
	}
	apply(h)
	return nil
}

// addVersion adds a version and, unless the list is frozen, drops the versions that readers can no longer see.
func (s *state) addVersion(h *history, v version) {
	h.versions = append(h.versions, v)
	if s.frozen {
		return
	}
	oldest := v.since.Add(-s.lag)
	drop := 0
	for drop+1 < len(h.versions) && !h.versions[drop+1].since.After(oldest) {
		drop++
	}
	h.versions = slices.Delete(h.versions, 0, drop)
}

// expire removes the instances that were not renewed in time, and drops the histories that readers can no longer see.
func (s *state) expire(now time.Time) {
	for name, h := range s.histories {
		end := h.renewedAt.Add(s.expiry)
		if h.current().present && !end.After(now) {
			s.addVersion(h, version{since: end})
		}
		if !s.frozen && !h.current().present && !h.current().since.After(now.Add(-s.lag)) {
			delete(s.histories, name)
		}
	}
}

// list returns the list that readers see, ordered by name.
func (s *state) list(now time.Time) []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	t := now.Add(-s.lag)
	if s.frozen {
		t = s.frozenAt
	}
	return s.listAt(t)
}

// listNow returns the current list, ordered by name.
func (s *state) listNow(now time.Time) []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.listAt(now)
}

// listAt returns the list at a point in time, ordered by name. The caller holds mu.
func (s *state) listAt(t time.Time) []platform.Instance {
	list := []platform.Instance{}
	for _, h := range s.histories {
		if in, ok := h.at(t); ok {
			list = append(list, in)
		}
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// freeze sets whether readers keep seeing the list that they see now.
func (s *state) freeze(now time.Time, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.frozen {
		s.frozenAt = now.Add(-s.lag)
	}
	s.frozen = on
}
