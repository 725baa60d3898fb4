package keyed

import (
	"context"
	"fmt"

	"github.com/savorypass/savorypass/internal/store"
)

// rememberedAppends is the number of a producer's last appends whose responses are repeated.
const rememberedAppends = 5

// producer is what a partition knows of one producer.
type producer struct {
	epoch   int64
	next    int64 // sequence number that must follow
	started bool  // an append of the epoch was carried out, so that next is known
	last    []answered
}

// answered is an append that was carried out, with its response.
type answered struct {
	sequence int64
	response store.Appended
}

// Fault is what happens to one append.
type Fault int

// The faults of appends.
const (
	None       Fault = iota
	Refuse           // not carried out: store.ErrUnavailable
	LoseCall         // not carried out: store.ErrUnknown
	LoseAnswer       // carried out: store.ErrUnknown
	Delay            // store.ErrUnknown; carried out by Deliver
)

// FailAppends gives each of the next appends a fault, in order. Appends after these have none.
func (s *Store) FailAppends(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetMaxBytes sets the bytes of all retained records above which appends fail with store.ErrFull. 0 means no limit.
func (s *Store) SetMaxBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxBytes = n
}

// Deliver carries out the appends that were delayed, in order. Those whose conditions are not met any more have no effect.
func (s *Store) Deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.delayed {
		s.partition(a.Topic, a.Partition).append(a)
	}
	s.delayed = nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, topic, key string, value []byte) error {
	_, err := s.Append(ctx, store.Append{Topic: topic, Records: []store.Record{{Key: key, Value: value}}})
	return err
}

// Append implements store.Store.
func (s *Store) Append(_ context.Context, a store.Append) (store.Appended, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Appended{}, store.ErrUnavailable
	}
	switch fault := s.nextFault(); {
	case fault == Refuse:
		return store.Appended{}, store.ErrUnavailable
	case fault == LoseCall:
		return store.Appended{}, store.ErrUnknown
	case fault == Delay:
		s.delayed = append(s.delayed, a)
		return store.Appended{}, store.ErrUnknown
	case s.maxBytes > 0 && s.bytes() > s.maxBytes:
		return store.Appended{}, store.ErrFull
	case fault == LoseAnswer || s.loseAnswers:
		s.partition(a.Topic, a.Partition).append(a)
		return store.Appended{}, store.ErrUnknown
	}
	return s.partition(a.Topic, a.Partition).append(a)
}

func (s *Store) nextFault() Fault {
	if len(s.faults) == 0 {
		return None
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// bytes returns the size of all retained records. In keyed topics, the newest record of each key counts once more when it
// is still part of the history.
func (s *Store) bytes() int {
	n := 0
	for _, p := range s.partitions {
		for _, r := range p.records {
			n += len(r.Key) + len(r.Value)
		}
		for _, r := range p.newest {
			n += len(r.Key) + len(r.Value)
		}
	}
	return n
}

// append carries an append out, if its conditions are met.
func (p *partition) append(a store.Append) (store.Appended, error) {
	var w *producer
	if a.Producer != nil {
		w = p.producer(a.Producer.Name)
		if response, known, err := w.admit(*a.Producer); known || err != nil {
			return response, err
		}
	}
	if a.At != nil && *a.At != p.end() {
		return store.Appended{}, &store.OffsetError{End: p.end()}
	}
	response := store.Appended{Offset: p.end()}
	for _, r := range a.Records {
		p.add(store.Record{Key: r.Key, Value: append([]byte(nil), r.Value...)})
	}
	response.End = p.end()
	if w != nil && len(a.Records) > 0 {
		w.record(a.Producer.Sequence, response)
	}
	return response, nil
}

func (p *partition) producer(name string) *producer {
	w := p.producers[name]
	if w == nil {
		w = &producer{}
		p.producers[name] = w
	}
	return w
}

// admit checks an append's epoch and sequence number. known is true if the append is a repeat, with its first response.
func (w *producer) admit(p store.Producer) (response store.Appended, known bool, err error) {
	if p.Epoch < w.epoch {
		return store.Appended{}, false, fmt.Errorf("%w: %d", store.ErrFenced, w.epoch)
	}
	if p.Epoch > w.epoch {
		*w = producer{epoch: p.Epoch}
	}
	for _, a := range w.last {
		if a.sequence == p.Sequence {
			return a.response, true, nil
		}
	}
	if w.started && p.Sequence != w.next {
		return store.Appended{}, false, &store.SequenceError{Expected: w.next}
	}
	return store.Appended{}, false, nil
}

// record notes an append that was carried out.
func (w *producer) record(sequence int64, response store.Appended) {
	w.started = true
	w.next = sequence + 1
	w.last = append(w.last, answered{sequence, response})
	w.last = w.last[max(0, len(w.last)-rememberedAppends):]
}

// Trim implements store.Store.
func (s *Store) Trim(_ context.Context, topic string, number int, before int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	s.partition(topic, number).trim(before)
	return s.failure()
}
