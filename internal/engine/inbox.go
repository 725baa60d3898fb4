package engine

import (
	"sync"
	"time"
)

// event is a function that the engine's loop runs. now is the time at which the loop took its batch of events.
type event func(now time.Time)

// inbox is the queue of events for the engine's loop, which takes them in batches. Its length is not limited here, but
// by admission and the number of slots.
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

// take removes all events and returns into with the events appended.
func (b *inbox) take(into []event) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.events...)
	clear(b.events)
	b.events = b.events[:0]
	return into
}
