package logservice

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// stream holds the retained records of a stream. first is the offset of the oldest one, or of the next append if there
// are none.
type stream struct {
	first   int64
	records []platform.Record
}

// next returns the offset of the next append.
func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// drop drops the n oldest records.
func (s *stream) drop(n int) {
	clear(s.records[:n])
	s.records = s.records[n:]
	s.first += int64(n)
}

// streams holds the streams of the log service. Its methods take the present time as the argument now.
type streams struct {
	maxAge     time.Duration
	maxRecords int

	mu     sync.Mutex
	byName map[string]*stream
}

func newStreams(maxAge time.Duration, maxRecords int) *streams {
	return &streams{maxAge: maxAge, maxRecords: maxRecords, byName: map[string]*stream{}}
}

// append appends a record to a stream, which it creates if necessary, and returns the record's offset.
func (l *streams) append(now time.Time, name string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byName[name]
	if s == nil {
		s = &stream{}
		l.byName[name] = s
	}
	offset := s.next()
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Data: data})
	l.dropExpired(now, s)
	return offset
}

// read returns at most limit records, the first of them at the offset from. If the record at the offset is no longer retained, it returns
// platform.ErrTruncated with a batch that has only First and Next.
func (l *streams) read(now time.Time, name string, from int64, limit int) (platform.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byName[name]
	if s == nil {
		return platform.Batch{}, nil
	}
	l.dropExpired(now, s)
	b := platform.Batch{First: s.first, Next: s.next()}
	if from < s.first {
		return b, platform.ErrTruncated
	}
	skip := min(from-s.first, int64(len(s.records)))
	records := s.records[skip:]
	b.Records = append(b.Records, records[:min(limit, len(records))]...)
	return b, nil
}

// dropExpired drops the records of a stream that exceed the maximum number or age. The caller holds mu.
func (l *streams) dropExpired(now time.Time, s *stream) {
	n := max(0, len(s.records)-l.maxRecords)
	for n < len(s.records) && now.Sub(s.records[n].Time) >= l.maxAge {
		n++
	}
	s.drop(n)
}

// bounds returns batches with First and Next of each stream, and no records.
func (l *streams) bounds(now time.Time) map[string]platform.Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]platform.Batch{}
	for name, s := range l.byName {
		l.dropExpired(now, s)
		all[name] = platform.Batch{First: s.first, Next: s.next()}
	}
	return all
}
