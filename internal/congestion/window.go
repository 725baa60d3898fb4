// Package congestion limits how many requests an instance has in flight. Requests that exceed what the instance's link
// carries would otherwise wait in the link's queue until they time out, and their repetitions would fill the link further.
package congestion

import (
	"slices"
	"sync"
	"time"
)

const (
	// targetDelay is the response time above which the link counts as congested. It is far above the response time of an
	// endpoint in the same region and below the timeout of a request.
	targetDelay = 20 * time.Millisecond
	minSize     = 2.0
	maxSize     = 64.0
	initialSize = 4.0
	growth      = 1.25
	shrinkage   = 0.7
	// batchSize is the number of responses after which the size is adjusted.
	batchSize = 8
	// timeoutFactor is the number of response times that a request waits beyond its base timeout.
	timeoutFactor = 3
	// maxExtraTimeout keeps timeouts well below the length of a lease.
	maxExtraTimeout = 150 * time.Millisecond
)

// Window limits the requests in flight. Its size follows the median response time of each batch of requests: a congested
// link delays most responses, while a slow endpoint delays only its own. It is safe for concurrent use.
type Window struct {
	mu       sync.Mutex
	size     float64
	inFlight int
	waiting  []chan struct{} // closed, in order of arrival, when the request may be sent
	batch    []time.Duration // response times of the current batch
	full     bool            // the window was full during the current batch
	delay    time.Duration   // median response time of the last batch
}

// New returns a window without requests.
func New() *Window { return &Window{size: initialSize} }

// Acquire waits until a request may be sent. Requests are admitted in the order of their calls.
func (w *Window) Acquire() {
	w.mu.Lock()
	if len(w.waiting) == 0 && w.inFlight < int(w.size) {
		w.inFlight++
		w.full = w.full || w.inFlight >= int(w.size)
		w.mu.Unlock()
		return
	}
	admitted := make(chan struct{})
	w.waiting = append(w.waiting, admitted)
	w.mu.Unlock()
	<-admitted
}

// Release ends a request that took a time until its response or its timeout.
func (w *Window) Release(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.record(took)
	w.admit()
}

// Forgo ends a request that was admitted and then not sent.
func (w *Window) Forgo() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.admit()
}

// record adds a response time to the batch and adjusts the size at its end. The size grows only if it was used up, since
// otherwise the batch does not show that the link carries more. w.mu is held.
func (w *Window) record(took time.Duration) {
	w.batch = append(w.batch, took)
	if len(w.batch) < batchSize {
		return
	}
	slices.Sort(w.batch)
	w.delay = w.batch[batchSize/2]
	switch {
	case w.delay > targetDelay:
		w.size = max(w.size*shrinkage, minSize)
	case w.full:
		w.size = min(w.size*growth, maxSize)
	}
	w.batch = w.batch[:0]
	w.full = w.inFlight >= int(w.size)
}

// admit lets waiting requests be sent as far as the size allows. w.mu is held.
func (w *Window) admit() {
	for len(w.waiting) > 0 && w.inFlight < int(w.size) {
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
		w.inFlight++
	}
}

// Timeout returns how long to wait for a response that takes at most base on a free link.
func (w *Window) Timeout(base time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return base + min(timeoutFactor*w.delay, maxExtraTimeout)
}

// Status describes a window for operators.
type Status struct {
	Size     int     `json:"size"`      // requests that may be in flight
	InFlight int     `json:"in_flight"` // requests that wait for their response
	Waiting  int     `json:"waiting"`   // requests that wait to be sent
	DelayMS  float64 `json:"delay_ms"`  // median recent response time
}

// Status returns the present state.
func (w *Window) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Status{
		Size: int(w.size), InFlight: w.inFlight, Waiting: len(w.waiting),
		DelayMS: float64(w.delay) / float64(time.Millisecond),
	}
}
