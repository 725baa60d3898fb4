package instances

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// ErrUnknownInstance is returned for a change to an instance that is not registered with this incarnation.
var ErrUnknownInstance = errors.New("instance is not registered with this incarnation")

// version is the state of an instance from a time on.
type version struct {
	since    time.Time
	present  bool
	instance platform.Instance
}

// entry is an instance's history, newest last, as far back as readers can see.
type entry struct {
	versions []version
	renewed  time.Time
}

func (e *entry) current() *version { return &e.versions[len(e.versions)-1] }

// at returns the version that was in force at a time.
func (e *entry) at(t time.Time) (platform.Instance, bool) {
	for i := len(e.versions) - 1; i >= 0; i-- {
		if v := &e.versions[i]; !v.since.After(t) {
			return v.instance, v.present
		}
	}
	return platform.Instance{}, false
}

// state is the list with its recent past. now is an argument of every call.
type state struct {
	lag    time.Duration
	expiry time.Duration

	mu      sync.Mutex
	entries map[string]*entry
	frozen  bool
	view    time.Time // what readers see while frozen
}

func newState(lag, expiry time.Duration) *state {
	return &state{lag: lag, expiry: expiry, entries: map[string]*entry{}}
}

// register adds an instance or replaces its older incarnation.
func (s *state) register(now time.Time, in platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[in.Name]
	if e == nil {
		e = &entry{}
		s.entries[in.Name] = e
	}
	e.renewed = now
	s.push(e, version{since: now, present: true, instance: in})
}

func (s *state) renew(now time.Time, name string, incarnation uint64) error {
	return s.change(now, name, incarnation, func(e *entry) { e.renewed = now })
}

func (s *state) leave(now time.Time, name string, incarnation uint64) error {
	return s.change(now, name, incarnation, func(e *entry) {
		in := e.current().instance
		in.State = platform.StateLeaving
		s.push(e, version{since: now, present: true, instance: in})
	})
}

func (s *state) remove(now time.Time, name string, incarnation uint64) error {
	return s.change(now, name, incarnation, func(e *entry) { s.push(e, version{since: now}) })
}

func (s *state) change(now time.Time, name string, incarnation uint64, apply func(*entry)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.entries[name]
	if e == nil || !e.current().present || e.current().instance.Incarnation != incarnation {
		return ErrUnknownInstance
	}
	apply(e)
	return nil
}

// push adds a version and drops those that no reader can see any more.
func (s *state) push(e *entry, v version) {
	e.versions = append(e.versions, v)
	if s.frozen {
		return
	}
	oldest := v.since.Add(-s.lag)
	drop := 0
	for drop+1 < len(e.versions) && !e.versions[drop+1].since.After(oldest) {
		drop++
	}
	e.versions = slices.Delete(e.versions, 0, drop)
}

// expire removes instances that were not renewed in time.
func (s *state) expire(now time.Time) {
	for name, e := range s.entries {
		end := e.renewed.Add(s.expiry)
		if e.current().present && !end.After(now) {
			s.push(e, version{since: end})
		}
		if !s.frozen && !e.current().present && !e.current().since.After(now.Add(-s.lag)) {
			delete(s.entries, name)
		}
	}
}

// list returns what readers see, ordered by name.
func (s *state) list(now time.Time) []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	t := now.Add(-s.lag)
	if s.frozen {
		t = s.view
	}
	return s.collect(t)
}

// truth returns the list without lag.
func (s *state) truth(now time.Time) []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.collect(now)
}

func (s *state) collect(t time.Time) []platform.Instance {
	list := []platform.Instance{}
	for _, e := range s.entries {
		if in, ok := e.at(t); ok {
			list = append(list, in)
		}
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// freeze keeps readers at what they see now, or lets them see changes again.
func (s *state) freeze(now time.Time, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.frozen {
		s.view = now.Add(-s.lag)
	}
	s.frozen = on
}
