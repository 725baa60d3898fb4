// Package keyed is an in-memory stand-in for a store that outlives all instances; package store describes its interface.
// It has keyed and plain topics, whose older records can be dropped, producers with epochs and sequence numbers, and groups
// whose members divide partitions among them. It can fail all calls, carry calls out and lose the responses, and give
// single appends a fault each.
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
	partitions  map[partitionID]*partition
	groups      map[string]*group
	down        bool // all calls fail with store.ErrUnavailable
	loseAnswers bool // calls are carried out but return store.ErrUnknown
	reads       int  // number of answered reads
	faults      []Fault
	delayed     []store.Append // appends with a Delay that are not carried out yet, oldest first
	maxBytes    int            // bytes of all retained records above which appends fail with store.ErrFull; 0 for no limit
}

type partitionID struct {
	topic  string
	number int
}

// partition is a sequence of records. Offsets count its records from 0.
type partition struct {
	first     int64                   // offset of the oldest retained record
	records   []store.Record          // retained records, oldest first
	newest    map[string]store.Record // keyed topics: newest record by key, without deleted keys
	producers map[string]*producer
}

// end returns the offset of the next append.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// New returns an empty store.
func New() *Store {
	return &Store{partitions: map[partitionID]*partition{}, groups: map[string]*group{}}
}

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

// partition returns a partition, which it creates if necessary. The caller holds mu.
func (s *Store) partition(topic string, number int) *partition {
	id := partitionID{topic, number}
	p := s.partitions[id]
	if p == nil {
		p = &partition{newest: map[string]store.Record{}, producers: map[string]*producer{}}
		s.partitions[id] = p
	}
	return p
}

// Set writes a record to partition 0 as another client would do. It succeeds even while the store is down. An empty value
// deletes the key.
func (s *Store) Set(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, 0).add(store.Record{Key: key, Value: value})
}

// add appends a record. One with a key belongs to a keyed topic, whatever the topic's name.
func (p *partition) add(r store.Record) {
	r.Offset = p.end()
	p.records = append(p.records, r)
	switch {
	case r.Key == "":
	case len(r.Value) == 0:
		delete(p.newest, r.Key)
	default:
		p.newest[r.Key] = r
	}
}

// DropHistory drops all records of a topic, so that a Read from an earlier offset returns store.ErrTruncated. Newest
// still returns the newest record of each key.
func (s *Store) DropHistory(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.partitions {
		if id.topic == topic {
			p.trim(p.end())
		}
	}
}

func (p *partition) trim(before int64) {
	before = min(max(before, p.first), p.end())
	p.records = p.records[before-p.first:]
	p.first = before
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
func (s *Store) Read(ctx context.Context, topic string, number int, from int64, wait time.Duration) (store.Batch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(pollInterval) {
		b, err := s.read(topic, number, from)
		if err != nil || len(b.Records) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return b, err
		}
	}
}

func (s *Store) read(topic string, number int, from int64) (store.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return store.Batch{}, err
	}
	s.reads++
	p := s.partition(topic, number)
	if from < p.first {
		return store.Batch{}, &store.TruncatedError{First: p.first}
	}
	end := p.end()
	from = min(from, end)
	return store.Batch{Records: append([]store.Record(nil), p.records[from-p.first:]...), First: p.first, End: end, Next: end}, nil
}

// Newest implements store.Store.
func (s *Store) Newest(_ context.Context, topic string, number int) (store.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure(); err != nil {
		return store.Batch{}, err
	}
	s.reads++
	p := s.partition(topic, number)
	b := store.Batch{First: p.first, End: p.end(), Next: p.end()}
	for _, r := range p.newest {
		b.Records = append(b.Records, r)
	}
	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Key < b.Records[j].Key })
	return b, nil
}
