package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/server"
)

// departure is a caller that has closed the connection of an exchange before its response.
type departure struct {
	job      *pending
	exchange *server.Exchange
	// after is a time before which the close had not reached the kernel; as pause.SinceBoot.
	after time.Duration
}

// age returns for how long the connection may have been closed.
func (d departure) age() time.Duration { return pause.SinceBoot() - d.after }

// departures handles departures in the order in which they were noticed, in a goroutine of its own. It is safe for concurrent use.
type departures struct {
	handle func(departure)
	oldest atomic.Int64 // departure.after of the first one that is not handled completely, in ns; 0 if there is none

	mu      sync.Mutex
	waiting []departure // the first one is being handled
}

// add queues a departure.
func (q *departures) add(d departure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, d)
	if len(q.waiting) == 1 {
		q.noteOldest()
		go q.run()
	}
}

// noteOldest records the time of the first departure. q.mu is held.
func (q *departures) noteOldest() {
	if len(q.waiting) == 0 {
		q.oldest.Store(0)
		return
	}
	q.oldest.Store(max(int64(q.waiting[0].after), 1))
}

// run handles departures until none is left.
func (q *departures) run() {
	for d, ok := q.first(); ok; d, ok = q.next() {
		q.handle(d)
	}
}

func (q *departures) first() (departure, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return departure{}, false
	}
	return q.waiting[0], true
}

// next removes the first departure, which has been handled, and returns the one that follows it.
func (q *departures) next() (departure, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = q.waiting[1:]
	q.noteOldest()
	if len(q.waiting) == 0 {
		q.waiting = nil
		return departure{}, false
	}
	return q.waiting[0], true
}

// handledUntil returns a time: departures whose closes had reached the kernel before have been handled. It is at most now. It does not block.
func (q *departures) handledUntil(now time.Duration) time.Duration {
	if oldest := q.oldest.Load(); oldest > 0 {
		return min(now, time.Duration(oldest))
	}
	return now
}
