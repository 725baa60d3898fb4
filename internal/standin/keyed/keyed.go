// Package keyed is a stand-in for the platform's store: keyed topics with history that can be dropped, and groups whose
// members share partitions. It can be down, and lose the answers to calls that it has carried out.
package keyed

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/store"
)

// Partitions is the number of partitions that the members of a group share.
const Partitions = 4

// Store is an in-memory store. Its fields are set before use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	down   bool
	lose   bool // calls are carried out and not answered
	reads  int
}

type topic struct {
	first   int64
	records []store.Record
	newest  map[string]store.Record
}

type group struct {
	generation int64
	expires    map[string]time.Time // by member
	members    []string
	joined     map[string]int64 // generation that the member's last join named
	held       [Partitions]string
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}, groups: map[string]*group{}} }

// SetDown makes all calls fail without an effect, or work again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLoseAnswers makes calls take effect without an answer, or be answered again.
func (s *Store) SetLoseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Reads returns the number of reads that were answered.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]store.Record{}}
		s.topics[name] = t
	}
	return t
}

// Set writes a record in the name of others, also while the store is down; an empty value drops the key.
func (s *Store) Set(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, key, value)
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, name, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	s.put(name, key, value)
	return s.failure()
}

func (s *Store) put(name, key string, value []byte) {
	t := s.topic(name)
	r := store.Record{Offset: t.first + int64(len(t.records)), Key: key, Value: value}
	t.records = append(t.records, r)
	t.newest[key] = r
	if len(value) == 0 {
		delete(t.newest, key)
	}
}

// DropHistory drops the history of a topic; the newest record of each key stays.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

func (s *Store) failure() error {
	switch {
	case s.down:
		return store.ErrUnavailable
	case s.lose:
		return store.ErrUnknown
	}
	return nil
}

const pollInterval = time.Millisecond

// Read implements store.Store.
func (s *Store) Read(ctx context.Context, name string, _ int, from int64, wait time.Duration) (store.Batch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		b, err := s.read(name, from)
		if err != nil || len(b.Records) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return b, err
		}
	}
}

func (s *Store) read(name string, from int64) (store.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return store.Batch{}, err
	}
	s.reads++
	t := s.topic(name)
	if from < t.first {
		return store.Batch{}, store.ErrTruncated
	}
	end := t.first + int64(len(t.records))
	from = min(from, end)
	return store.Batch{Records: append([]store.Record(nil), t.records[from-t.first:]...), First: t.first, End: end, Next: end}, nil
}

// Newest implements store.Store.
func (s *Store) Newest(_ context.Context, name string) (store.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return store.Batch{}, err
	}
	s.reads++
	t := s.topic(name)
	end := t.first + int64(len(t.records))
	b := store.Batch{First: t.first, End: end, Next: end}
	for _, r := range t.newest {
		b.Records = append(b.Records, r)
	}
	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Key < b.Records[j].Key })
	return b, nil
}

func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{expires: map[string]time.Time{}, joined: map[string]int64{}}
		s.groups[name] = g
	}
	for member, at := range g.expires {
		if time.Now().After(at) {
			g.remove(member)
		}
	}
	g.settle()
	return g
}

func (g *group) remove(member string) {
	if _, ok := g.expires[member]; !ok {
		return
	}
	delete(g.expires, member)
	delete(g.joined, member)
	for i, m := range g.members {
		if m == member {
			g.members = append(g.members[:i], g.members[i+1:]...)
			break
		}
	}
	g.generation++
}

// target returns the member that is to hold a partition.
func (g *group) target(part int) string {
	if len(g.members) == 0 {
		return ""
	}
	return g.members[part%len(g.members)]
}

// settle hands partitions to the members that are to hold them. One that another member holds stays with it until that
// member has joined with the present generation or is gone.
func (g *group) settle() {
	for part, holder := range g.held {
		_, member := g.expires[holder]
		if !member || g.joined[holder] >= g.generation {
			g.held[part] = g.target(part)
		}
	}
}

// Join implements store.Store.
func (s *Store) Join(_ context.Context, m store.Membership) (store.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Assignment{}, store.ErrUnavailable
	}
	g := s.group(m.Group)
	if _, ok := g.expires[m.Member]; !ok {
		g.members = append(g.members, m.Member)
		g.generation++
	}
	g.expires[m.Member] = time.Now().Add(m.TTL)
	g.joined[m.Member] = m.Generation
	g.settle()
	if s.lose {
		return store.Assignment{}, store.ErrUnknown
	}
	share := store.Assignment{Generation: g.generation}
	for part := range Partitions {
		if g.held[part] == m.Member && g.target(part) == m.Member {
			share.Partitions = append(share.Partitions, part)
		}
	}
	return share, nil
}

// Leave implements store.Store.
func (s *Store) Leave(_ context.Context, m store.Membership) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	g := s.group(m.Group)
	g.remove(m.Member)
	g.settle()
	if s.lose {
		return store.ErrUnknown
	}
	return nil
}

// Owners implements store.Store.
func (s *Store) Owners(_ context.Context, name string) ([]store.Owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return nil, err
	}
	g := s.group(name)
	var owners []store.Owner
	for part := range Partitions {
		if o := g.held[part]; o != "" {
			owners = append(owners, store.Owner{Partition: part, Member: o})
		}
	}
	return owners, nil
}
