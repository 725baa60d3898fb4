package node

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/gateway"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/relay"
)

// maxLocalRequests is the number of requests to this instance's own shards that wait at most. With more, no job is submitted to them.
const maxLocalRequests = 4096

// localRoute is the route to this instance's own shards. It queues requests and answers and passes them on in goroutines of its own: a
// shard calls Answer while it holds its lock, and the gateway makes requests while it holds its own, which must not wait for a shard.
type localRoute struct {
	shards   *shards
	gateway  *gateway.Gateway
	requests *queue[func()]
	answers  *queue[*relay.Answer]
}

func newLocalRoute(s *shards) *localRoute {
	return &localRoute{shards: s, requests: newQueue[func()](), answers: newQueue[*relay.Answer]()}
}

// ZonePartitions implements gateway.Route.
func (r *localRoute) ZonePartitions(partition int) int { return r.shards.partitions(partition) }

// submit passes a job to the shard of its partition. It returns false if too many requests wait.
func (r *localRoute) submit(s *relay.Submit) bool {
	if r.requests.length() >= maxLocalRequests {
		return false
	}
	s.MarkComposed()
	r.requests.push(func() { r.shards.Submit(r, s) })
	return true
}

// Cancel implements gateway.Route.
func (r *localRoute) Cancel(c *relay.Cancel) {
	r.requests.push(func() { r.shards.Cancel(r, c) })
}

// claim passes a claim to the shard of its partition. It returns false if too many requests wait.
func (r *localRoute) claim(c *relay.Claim) bool {
	if r.requests.length() >= maxLocalRequests {
		return false
	}
	r.requests.push(func() { r.shards.Claim(r, c) })
	return true
}

// Answer implements relay.Client.
func (r *localRoute) Answer(a *relay.Answer) { r.answers.push(a) }

// Name implements relay.Client.
func (r *localRoute) Name() string { return "local" }

// Silence implements relay.Client. A cancel may be among the requests that wait.
func (r *localRoute) Silence() time.Duration { return max(r.gateway.Unattended(), r.requests.age()) }

// run passes requests and answers on until done is closed.
func (r *localRoute) run(done <-chan struct{}) {
	go r.requests.run(done, func(request func()) { request() })
	r.answers.run(done, func(a *relay.Answer) { r.gateway.Answer(r, a) })
}

// queue passes values to a function in the order in which they were pushed.
type queue[T any] struct {
	wake chan struct{}

	mu     sync.Mutex
	values []queued[T] // the first one may be in progress
}

// queued is a value that waits or is in progress.
type queued[T any] struct {
	value T
	since time.Duration // when it was pushed, see pause.Elapsed
}

func newQueue[T any]() *queue[T] { return &queue[T]{wake: make(chan struct{}, 1)} }

func (q *queue[T]) push(v T) {
	q.mu.Lock()
	q.values = append(q.values, queued[T]{v, pause.Elapsed()})
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue[T]) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.values)
}

// age returns for how long the oldest value that waits or is in progress has been in the queue; 0 if there is none.
func (q *queue[T]) age() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.values) == 0 {
		return 0
	}
	return pause.Elapsed() - q.values[0].since
}

// run passes the values to handle until done is closed.
func (q *queue[T]) run(done <-chan struct{}, handle func(T)) {
	for {
		select {
		case <-done:
			return
		case <-q.wake:
		}
		for v, ok := q.first(); ok; v, ok = q.first() {
			handle(v)
			q.removeFirst()
		}
	}
}

func (q *queue[T]) first() (v T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.values) == 0 {
		return v, false
	}
	return q.values[0].value, true
}

func (q *queue[T]) removeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.values[0] = queued[T]{} // releases the value
	q.values = q.values[1:]
}
