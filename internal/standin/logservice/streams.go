package logservice

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// stream holds the kept records. The first of them has offset first; it is valid without records too.
type stream struct {
	first   int64
	records []platform.Record
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

func (s *stream) drop(n int) {
	clear(s.records[:n])
	s.records = s.records[n:]
	s.first += int64(n)
}

// streams are the streams of a log. now is an argument of every call.
type streams struct {
	age   time.Duration
	count int

	mu    sync.Mutex
	named map[string]*stream
}

func newStreams(age time.Duration, count int) *streams {
	return &streams{age: age, count: count, named: map[string]*stream{}}
}

func (l *streams) append(now time.Time, name string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.named[name]
	if s == nil {
		s = &stream{}
		l.named[name] = s
	}
	offset := s.next()
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Data: data})
	l.retain(now, s)
	return offset
}

// read returns platform.ErrTruncated with a batch that has First and Next when from is no longer kept.
func (l *streams) read(now time.Time, name string, from int64, limit int) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.named[name]
	if s == nil {
		return platform.Batch{}, nil
	}
	l.retain(now, s)
	b := platform.Batch{First: s.first, Next: s.next()}
	if from < s.first {
		return b, platform.ErrTruncated
	}
	skip := min(from-s.first, int64(len(s.records)))
	records := s.records[skip:]
	b.Records = append(b.Records, records[:min(limit, len(records))]...)
	return b, nil
}

func (l *streams) retain(now time.Time, s *stream) {
	n := max(0, len(s.records)-l.count)
	for n < len(s.records) && now.Sub(s.records[n].Time) >= l.age {
		n++
	}
	s.drop(n)
}

// bounds returns First and Next of every stream.
func (l *streams) bounds(now time.Time) map[string]platform.Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]platform.Batch{}
	for name, s := range l.named {
		l.retain(now, s)
		all[name] = platform.Batch{First: s.first, Next: s.next()}
	}
	return all
}
