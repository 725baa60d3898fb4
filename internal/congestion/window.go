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
	// medians is the least multiple of the median of all response times and timeouts that a timeout lasts, so that timeouts
	// grow when a congested link delays most responses beyond them.
	medians = 4
)

// Window limits the requests in flight. Its size follows the median response time of each batch of requests: a congested
// link delays most responses, while a slow endpoint delays only its own. It is safe for concurrent use.
type Window struct {
	mu        sync.Mutex
	size      float64
	inFlight  int
	waiting   []chan struct{} // closed, in order of arrival, when the request may be sent
	batch     []time.Duration // response times of the current batch
	full      bool            // the window was full during the current batch
	delay     time.Duration   // median response time of the last batch
	floor     time.Duration   // shortest timeout
	mean      time.Duration   // moving average of the response times
	deviation time.Duration   // moving average of their distance from the mean
}

// New returns a window without requests.
func New() *Window {
	return &Window{size: initialSize, floor: maxFloor, mean: initialMean, deviation: initialDeviation}
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

// Release ends a request that took a time until its response, or until its timeout if it was not answered.
func (w *Window) Release(took time.Duration, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if answered {
		w.average(took)
	}
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
	return max(w.floor, min(max(w.mean+deviations*w.deviation, medians*w.delay), maxTimeout))
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
