package secure

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limit is a caller's request rate.
type Limit struct {
	PerSecond float64 // 0 means no limit
	Burst     int     // at least 1 is used
}

// Limiter bounds the request rate of each caller. It keeps a bounded number of callers and forgets the one that has
// been idle longest; a forgotten caller starts again with a full burst. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	max    int
	byKey  map[string]*list.Element
	recent *list.List // most recently used first
}

type limited struct {
	key    string
	limit  Limit
	bucket *rate.Limiter
}

// NewLimiter returns a limiter that keeps at most max callers.
func NewLimiter(max int) *Limiter {
	return &Limiter{max: max, byKey: make(map[string]*list.Element), recent: list.New()}
}

// Allow takes one request from the caller's allowance. When there is none, it returns how long to wait for it.
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

// Len returns the number of callers that are kept.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recent.Len()
}

// bucket returns the caller's bucket and applies a limit that a new configuration changed.
func (l *Limiter) bucket(now time.Time, key string, limit Limit) *rate.Limiter {
	if e, ok := l.byKey[key]; ok {
		l.recent.MoveToFront(e)
		c := e.Value.(*limited)
		if c.limit != limit {
			c.bucket.SetLimitAt(now, rate.Limit(limit.PerSecond))
			c.bucket.SetBurstAt(now, max(limit.Burst, 1))
			c.limit = limit
		}
		return c.bucket
	}
	if l.recent.Len() >= l.max {
		l.forget(l.recent.Back())
	}
	c := &limited{key: key, limit: limit}
	c.bucket = rate.NewLimiter(rate.Limit(limit.PerSecond), max(limit.Burst, 1))
	l.byKey[key] = l.recent.PushFront(c)
	return c.bucket
}

func (l *Limiter) forget(e *list.Element) {
	if e == nil {
		return
	}
	delete(l.byKey, e.Value.(*limited).key)
	l.recent.Remove(e)
}
