package gateway

import (
	"fmt"
	"strings"
	"time"
)

// maxTrail bounds the placements of a request that its log line names. A job that is placed more often keeps the first ones and the last.
const maxTrail = 12

// placed is one submission of a job to a dispatcher.
type placed struct {
	at        Target
	knowledge uint64        // of the dispatcher and its term, see relay.Load; 0 if it was not known
	after     time.Duration // since the arrival of the request
	resumed   bool
	left      string // why the job has left; empty if it has not
}

// trail lists the dispatchers to which a request's job was submitted, in order. With it, the lines of the requests of a job tell for
// every dispatcher which request it got the job from and why the job left.
type trail struct {
	all     []placed
	skipped int // placements that are not listed
}

// add notes a submission.
func (t *trail) add(p placed) {
	if len(t.all) == maxTrail {
		t.all = t.all[:maxTrail-1]
		t.skipped++
	}
	t.all = append(t.all, p)
}

// leave notes why the job leaves the last dispatcher, unless that is known.
func (t *trail) leave(why string) {
	if n := len(t.all); n > 0 && t.all[n-1].left == "" {
		t.all[n-1].left = why
	}
}

// String returns the placements as ZONE/PARTITION:KNOWLEDGE+MS, with ":resumed" and the reason in brackets where they apply.
func (t *trail) String() string {
	var b strings.Builder
	for n, p := range t.all {
		if n > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s/%d:%016x+%d", p.at.Zone, p.at.Partition, p.knowledge, p.after.Milliseconds())
		if p.resumed {
			b.WriteString(":resumed")
		}
		if p.left != "" {
			fmt.Fprintf(&b, "(%s)", p.left)
		}
	}
	if t.skipped > 0 {
		fmt.Fprintf(&b, " (%d not listed)", t.skipped)
	}
	return b.String()
}
