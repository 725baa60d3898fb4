package engine

import (
	"sync"
	"time"
)

// event is a change to the engine's state, run in its loop with the time of the batch.
type event func(now time.Time)

// inbox is an unbounded queue that is emptied in batches. Its length is bounded by admission and by the slots.
type inbox struct {
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

func (b *inbox) put(ev event) {
	b.mu.Lock()
	b.events = append(b.events, ev)
	first := len(b.events) == 1
	b.mu.Unlock()
	if first {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
}

// take moves all events to the end of into.
func (b *inbox) take(into []event) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.events...)
	clear(b.events)
	b.events = b.events[:0]
	return into
}
