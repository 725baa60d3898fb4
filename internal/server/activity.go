package server

import (
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/pause"
)

const (
	// maxInactivity is the longest time between two events of a running server, which ticks each tickInterval. After a longer one the
	// process or its machine was stopped.
	maxInactivity = tickInterval + 500*time.Millisecond
	// resumeTime is how long after a stop the requests that are read may have arrived during it.
	resumeTime = 200 * time.Millisecond
)

// activity detects stops of the process. It is safe for concurrent use.
type activity struct {
	mu        sync.Mutex
	gaps      *pause.Gaps   // times between events
	last      time.Time     // last event; zero before the first one
	resumedAt time.Time     // end of the last stop
	stopped   time.Duration // how long it lasted
}

// observe records an event and returns for how long a request that is read now may have waited unread because the process was
// stopped: 0 unless a stop has just ended.
func (a *activity) observe(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if gap := a.gap(now); gap > maxInactivity {
		a.resumedAt, a.stopped = now, gap
	}
	a.last = now
	if now.Sub(a.resumedAt) < resumeTime {
		return a.stopped
	}
	return 0
}

// gap returns the time since the last event, with the time for which the machine was suspended.
func (a *activity) gap(now time.Time) time.Duration {
	if a.last.IsZero() {
		return 0
	}
	return a.gaps.Length(now.Sub(a.last), now.Round(0).Sub(a.last.Round(0)), maxInactivity)
}

// observe records an event of the server, see activity.
func (s *Server) observe() time.Duration { return s.activity.observe(time.Now()) }
