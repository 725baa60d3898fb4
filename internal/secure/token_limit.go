package secure

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limit is the largest request rate of a caller.
type Limit struct {
	PerSecond float64 // requests per second; 0 means no limit
	Burst     int     // requests that may arrive at once; values below 1 count as 1
}

// Limiter limits the request rate of each caller. It tracks a bounded number of callers: to add another one, it removes
// the caller that has been idle longest. A removed caller that returns starts with a full burst. It is safe for
// concurrent use.
type Limiter struct {
	mu     sync.Mutex
	max    int
	byKey  map[string]*list.Element // elements of recent by the caller's key
	recent *list.List               // *callerBucket values, most recently used first
}

type callerBucket struct {
	key    string
	limit  Limit
	bucket *rate.Limiter
}

// NewLimiter returns a limiter that tracks at most max callers.
func NewLimiter(max int) *Limiter {
	return &Limiter{max: max, byKey: make(map[string]*list.Element), recent: list.New()}
}

// Allow reports whether the caller named by key may send a request now, and counts the request if so. If not, it
// returns the time after which the caller may send it.
func (l *Limiter) Allow(now time.Time, key string, limit Limit) (ok bool, retryAfter time.Duration) {
	if limit.PerSecond <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, key, limit)
	r := b.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
		return false, wait
	}
	return true, 0
}

// Len returns the number of callers that are tracked.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recent.Len()
}

// bucket returns the caller's token bucket, with the given limit if that has changed since the last request.
func (l *Limiter) bucket(now time.Time, key string, limit Limit) *rate.Limiter {
	if e, ok := l.byKey[key]; ok {
		l.recent.MoveToFront(e)
		c := e.Value.(*callerBucket)
		if c.limit != limit {
			c.bucket.SetLimitAt(now, rate.Limit(limit.PerSecond))
			c.bucket.SetBurstAt(now, max(limit.Burst, 1))
			c.limit = limit
		}
		return c.bucket
	}
	if l.recent.Len() >= l.max {
		l.evict(l.recent.Back())
	}
	c := &callerBucket{key: key, limit: limit}
	c.bucket = rate.NewLimiter(rate.Limit(limit.PerSecond), max(limit.Burst, 1))
	l.byKey[key] = l.recent.PushFront(c)
	return c.bucket
}

func (l *Limiter) evict(e *list.Element) {
	if e == nil {
		return
	}
	delete(l.byKey, e.Value.(*callerBucket).key)
	l.recent.Remove(e)
}
