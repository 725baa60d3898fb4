// Package congestion limits how many requests an instance has in flight. Requests that exceed what the instance's link
// carries would otherwise wait in the link's queue until they time out, and their repetitions would fill the link further.
//
// A full queue shows as growth of the response time over the shortest one of the same path, its base. The base itself, which
// is the path's length and the peer's own time, says nothing about congestion.
package congestion

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// minQueueDelay is the least growth of the response time over the base that counts as a queue. Less is the jitter of busy
	// processes.
	minQueueDelay = 20 * time.Millisecond
	minSize       = 2.0
	maxSize       = 1024.0 // bounds the goroutines and connections that wait for responses
	initialSize   = 4.0
	growth        = 1.25
	shrinkage     = 0.7
	// minBatch is the least number of responses after which the size is adjusted. A larger window waits for as many as it holds,
	// which is one round trip.
	minBatch = 8
	// relearnBatches is the number of congested batches at the smallest size after which the bases are learned anew: with so few
	// requests in flight the queue is not of their making, or the paths have become longer.
	relearnBatches = 4
	// minAnswered is the least share of a batch that must be answered for its responses alone to tell whether the link is congested.
	minAnswered = 0.25
	// initialMean and initialDeviation give a timeout of 60 ms before the first responses, which suits a thin link.
	initialMean      = 20 * time.Millisecond
	initialDeviation = 10 * time.Millisecond
	// maxFloor is the shortest timeout while nothing is known of lost requests, and minFloor while requests are being lost. A
	// busy instance handles some responses tens of milliseconds late.
	maxFloor = 60 * time.Millisecond
	minFloor = 20 * time.Millisecond
	// floorFall and floorRise are the factors by which a lost and a late response change the shortest timeout.
	floorFall = 0.8
	floorRise = 1.5
	// maxTimeout keeps timeouts well below the length of a lease.
	maxTimeout = 200 * time.Millisecond
	// meanWeight and deviationWeight are the weights of one response in the moving averages, and deviations is the number of
	// mean deviations by which the timeout exceeds the mean, as for retransmissions of TCP.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// means is the least multiple of the mean that a timeout lasts, for paths whose response times hardly differ.
	means = 2
	// medians is the least multiple of the median response time of a batch that a timeout lasts, so that timeouts grow when a
	// congested link delays most responses beyond them.
	medians = 4
)

// Window limits the requests in flight. Its size follows the median growth of the response times of each batch of requests: a
// congested link delays most responses, while a slow endpoint delays only its own, and lost requests delay none. It is safe for concurrent use.
type Window struct {
	mu        sync.Mutex
	size      float64
	inFlight  int
	waiting   []chan struct{}          // closed, in order of arrival, when the request may be sent
	batch     []sample                 // responses of the current batch
	full      bool                     // the window was full during the current batch
	delay     time.Duration            // median response time of the last batch, see relevant
	base      time.Duration            // median base of the paths in the last batch
	bases     map[string]time.Duration // shortest response time by path
	atMin     int                      // consecutive congested batches at the smallest size
	floor     time.Duration            // shortest timeout
	mean      time.Duration            // moving average of the response times
	deviation time.Duration            // moving average of their distance from the mean
}

// sample is one response, or one request that was not answered.
type sample struct {
	took     time.Duration // time until the timeout for a request without a response
	base     time.Duration // of its path, at the time of the response
	answered bool
}

// queued reports whether the response waited in a queue on the way. On a long path the delay must grow by the base itself, since its
// jitter grows with its length.
func (s sample) queued() bool { return s.took-s.base > max(minQueueDelay, s.base) }

// New returns a window without requests.
func New() *Window {
	return &Window{
		size: initialSize, floor: maxFloor, mean: initialMean, deviation: initialDeviation, bases: map[string]time.Duration{},
	}
}

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

// Release ends a request on a path, such as that to an endpoint, that took a time until its response, or until its timeout if it was
// not answered.
func (w *Window) Release(path string, took time.Duration, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if answered {
		w.average(took)
	}
	w.record(path, took, answered)
	w.admit()
}

// Observe records the response time of a request on a path that was sent outside the window and answered at once. It makes the first
// timeouts on a long path long enough.
func (w *Window) Observe(path string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.average(took)
	w.learnBase(path, took)
}

// Forget deletes what is known of a path that is not used any more.
func (w *Window) Forget(path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.bases, path)
}

// Forgo ends a request that was admitted and then not sent.
func (w *Window) Forgo() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.admit()
}

// record adds a response to the batch and adjusts the size at its end. The size grows only if it was used up, since otherwise the
// batch does not show that the link carries more. w.mu is held.
func (w *Window) record(path string, took time.Duration, answered bool) {
	if answered {
		w.learnBase(path, took)
	}
	w.batch = append(w.batch, sample{took, w.bases[path], answered})
	if len(w.batch) < max(minBatch, int(w.size)) {
		return
	}
	congested := w.summarize()
	switch {
	case congested:
		w.shrink()
	case w.full:
		w.size = min(w.size*growth, maxSize)
	}
	if !congested {
		w.atMin = 0
	}
	w.batch = w.batch[:0]
	w.full = w.inFlight >= int(w.size)
}

// learnBase lowers the base of a path to a shorter response time. w.mu is held.
func (w *Window) learnBase(path string, took time.Duration) {
	if base, known := w.bases[path]; !known || took < base {
		w.bases[path] = took
	}
}

// summarize stores the medians of the batch and reports whether most of its responses waited in a queue. w.mu is held.
func (w *Window) summarize() bool {
	batch := relevant(w.batch)
	queued := 0
	for _, s := range batch {
		if s.queued() {
			queued++
		}
	}
	slices.SortFunc(batch, func(a, b sample) int { return cmp.Compare(a.base, b.base) })
	w.base = batch[len(batch)/2].base
	slices.SortFunc(batch, func(a, b sample) int { return cmp.Compare(a.took, b.took) })
	w.delay = batch[len(batch)/2].took
	return 2*queued > len(batch)
}

// relevant returns the samples of a batch that tell whether there is a queue: the responses, since a queue delays them as well and a
// request can also be lost on a free link. With too few responses it returns the whole batch.
func relevant(batch []sample) []sample {
	var answered []sample
	for _, s := range batch {
		if s.answered {
			answered = append(answered, s)
		}
	}
	if float64(len(answered)) < minAnswered*float64(len(batch)) {
		return batch
	}
	return answered
}

// shrink makes the window smaller. If it stays congested at its smallest size, the bases are learned anew. w.mu is held.
func (w *Window) shrink() {
	if w.size > minSize {
		w.size = max(w.size*shrinkage, minSize)
		return
	}
	w.atMin++
	if w.atMin >= relearnBatches {
		w.atMin = 0
		clear(w.bases)
	}
}

// admit lets waiting requests be sent as far as the size allows. w.mu is held.
func (w *Window) admit() {
	for len(w.waiting) > 0 && w.inFlight < int(w.size) {
		close(w.waiting[0])
		w.waiting = w.waiting[1:]
		w.inFlight++
	}
	w.full = w.full || w.inFlight >= int(w.size)
}

// average adds the time of a response to the moving averages. Timeouts are left out, since lost requests, of which there may be
// many, say nothing about the time of a response. w.mu is held.
func (w *Window) average(took time.Duration) {
	distance := (took - w.mean).Abs()
	w.deviation += time.Duration(deviationWeight * float64(distance-w.deviation))
	w.mean += time.Duration(meanWeight * float64(took-w.mean))
}

// Lost records that a request without a response was not carried out.
func (w *Window) Lost() { w.scaleFloor(floorFall) }

// Late records that a request whose response did not come in time was carried out.
func (w *Window) Late() { w.scaleFloor(floorRise) }

func (w *Window) scaleFloor(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.floor = min(max(time.Duration(factor*float64(w.floor)), minFloor), maxFloor)
}

// Timeout returns how long to wait for a response. It follows the response times of earlier requests, and is shorter while
// requests are being lost.
func (w *Window) Timeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.floor, min(max(w.mean+deviations*w.deviation, means*w.mean, medians*w.delay), maxTimeout))
}

// Status describes a window for operators.
type Status struct {
	Size     int     `json:"size"`      // requests that may be in flight
	InFlight int     `json:"in_flight"` // requests that wait for their response
	Waiting  int     `json:"waiting"`   // requests that wait to be sent
	DelayMS  float64 `json:"delay_ms"`  // median recent response time
	BaseMS   float64 `json:"base_ms"`   // median of the shortest response times of the paths in use
}

// Status returns the present state.
func (w *Window) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Status{
		Size: int(w.size), InFlight: w.inFlight, Waiting: len(w.waiting),
		DelayMS: milliseconds(w.delay), BaseMS: milliseconds(w.base),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
