package joblog

import (
	"time"

	"github.com/savorypass/savorypass/internal/store"
)

const (
	trimInterval = 10 * time.Second
	keptHistory  = 10 * time.Second // readers that are further behind read the newest record of each key again
)

// History decides from which offset on a partition keeps its records. The newest record of each key stays in any case.
type History struct {
	marks []mark // ends of the partition, at most one each second, oldest first
	last  time.Duration
}

type mark struct {
	at  time.Duration
	end int64
}

// Appended notes where the partition ended at a time.
func (h *History) Appended(a store.Appended, now time.Duration) {
	if n := len(h.marks); n > 0 && now-h.marks[n-1].at < time.Second {
		return
	}
	h.marks = append(h.marks, mark{now, a.End})
}

// Trim returns the offset before which records are to be deleted now; ok is false if nothing is to be done.
func (h *History) Trim(now time.Duration) (before int64, ok bool) {
	if now-h.last < trimInterval {
		return 0, false
	}
	for len(h.marks) > 0 && now-h.marks[0].at >= keptHistory {
		before, ok = h.marks[0].end, true
		h.marks = h.marks[1:]
	}
	if ok {
		h.last = now
	}
	return before, ok
}
