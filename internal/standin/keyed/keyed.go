// Package keyed is an in-memory stand-in for a store that outlives all instances; package store describes its interface.
// It has keyed topics, whose older records can be dropped, and groups whose members divide partitions among them. It can
// fail all calls, or carry calls out and lose the responses.
package keyed

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/store"
)

// Partitions is the number of partitions that the members of each group divide among them.
const Partitions = 4

// Store is an in-memory store.Store. Its methods may be called concurrently.
type Store struct {
	mu          sync.Mutex
	topics      map[string]*topic
	groups      map[string]*group
	down        bool // all calls fail with store.ErrUnavailable
	loseAnswers bool // calls are carried out but return store.ErrUnknown
	reads       int  // number of answered reads
}

// topic is a sequence of records with a key each. Offsets count the records of the topic from 0.
type topic struct {
	first   int64                   // offset of the oldest retained record
	records []store.Record          // retained records, oldest first
	newest  map[string]store.Record // newest record by key, without deleted keys
}

// group is a set of members that divide the partitions among them.
type group struct {
	generation int64                // increases with each change of the members
	expires    map[string]time.Time // end of the membership of each member
	members    []string             // in the order in which they joined
	joined     map[string]int64     // generation that each member's latest Join named
	holders    [Partitions]string   // member that holds each partition; empty for none
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}, groups: map[string]*group{}} }

// SetDown sets whether all calls fail with store.ErrUnavailable without being carried out.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLoseAnswers sets whether calls lose their responses: writes, Join and Leave are carried out, and all calls return
// store.ErrUnknown.
func (s *Store) SetLoseAnswers(loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = loseAnswers
}

// Reads returns the number of calls of Read and Newest that were answered, each poll of a waiting Read included.
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

// Set writes a record as another client would do. It succeeds even while the store is down. An empty value deletes the
// key.
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

// DropHistory drops all records of a topic, so that a Read from an earlier offset returns store.ErrTruncated. Newest
// still returns the newest record of each key.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// failure returns the error that the present faults give to a call, or nil. Writes call it after they were carried out.
// The caller holds mu.
func (s *Store) failure() error {
	switch {
	case s.down:
		return store.ErrUnavailable
	case s.loseAnswers:
		return store.ErrUnknown
	}
	return nil
}

const pollInterval = time.Millisecond // interval at which a waiting Read checks for new records

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

// group returns a group without its expired members. The caller holds mu.
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
	g.reassign()
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

// assignee returns the member to which a partition is assigned, or "" if the group is empty.
func (g *group) assignee(partition int) string {
	if len(g.members) == 0 {
		return ""
	}
	return g.members[partition%len(g.members)]
}

// reassign moves partitions to their assignees. A partition stays with its present holder until the holder has joined
// with the current generation or has left the group.
func (g *group) reassign() {
	for partition, holder := range g.holders {
		_, member := g.expires[holder]
		if !member || g.joined[holder] >= g.generation {
			g.holders[partition] = g.assignee(partition)
		}
	}
}

// Rebalance moves all partitions of all groups to other members at once, without a request.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.groups {
		g := s.group(name)
		if len(g.members) < 2 {
			continue
		}
		g.members = append(g.members[1:], g.members[0])
		g.generation++
		for partition := range g.holders {
			g.holders[partition] = g.assignee(partition)
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
	g.reassign()
	if s.loseAnswers {
		return store.Assignment{}, store.ErrUnknown
	}
	assigned := store.Assignment{Generation: g.generation}
	for partition := range Partitions {
		if g.holders[partition] == m.Member && g.assignee(partition) == m.Member {
			assigned.Partitions = append(assigned.Partitions, partition)
		}
	}
	return assigned, nil
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
	g.reassign()
	if s.loseAnswers {
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
	for partition := range Partitions {
		if o := g.holders[partition]; o != "" {
			owners = append(owners, store.Owner{Partition: partition, Member: o})
		}
	}
	return owners, nil
}
