package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/work"
)

// Guards against two runs of a task at the same time when the path between a caller and its instance has reset the caller's connection and
// has told the instance nothing of it. The caller submits the job again at another dispatcher of the zone while the first run goes on.
func TestRepeatWhileTheCloseIsHeldBack(t *testing.T) {
	newCast(t).playRepeats(t, (*cast).repeatAfterHiddenReset)
}

// playRepeats plays a case until enough jobs were submitted again while the first dispatcher ran them. repeat returns when the job was
// submitted again and the answer to that submission.
func (c *cast) playRepeats(t *testing.T, repeat func(*cast, *testing.T) (time.Time, attempt)) {
	made := 0
	for n := 0; made < wantedCases && n < maxCases; n++ {
		c.awaitDispatchers(t)
		c.filler, c.job = c.jobID("f", n), c.jobID("c", n)
		repeated, answer := repeat(c, t)
		v := c.run.view()
		c.logRuns(t, v)
		if c.ranAtFirst(v, repeated) {
			made++
		}
		if found := overlappingRuns(v); len(found) > 0 {
			t.Fatal(strings.Join(found, "\n"))
		}
		if answer.State != work.Completed {
			t.Fatalf("answer to the caller that still waits: %+v", answer)
		}
	}
	if made == 0 {
		t.Errorf("none of %d jobs was submitted again while the first dispatcher ran it", maxCases)
	}
}

// ranAtFirst reports whether a run that the first dispatcher has ordered was at work at a time.
func (c *cast) ranAtFirst(v *view, at time.Time) bool {
	if !c.startedBy(v)[c.first.spec.Name] {
		return false
	}
	for _, s := range v.starts {
		if s.Task.Job == c.job && s.StartedAt.Before(at) && (s.EndedAt.IsZero() || s.EndedAt.After(at)) {
			return true
		}
	}
	return false
}

// repeatAfterHiddenReset submits the job at the entry, over a path that resets the caller's connection and tells the entry nothing of it, and
// submits the job again at the second dispatcher after the retransmit time.
func (c *cast) repeatAfterHiddenReset(t *testing.T) (time.Time, attempt) {
	path := c.run.network.Route(callerIP, c.entry.spec.Callers)
	l := c.run.network.between(func(from, to string) bool { return from == callerIP && to == c.entry.spec.Callers })[0]
	f := &linkFault{holdEnd: [2]time.Duration{toTarget: forGood}}
	l.begin(f)
	defer l.end(f)
	c.fill(t)
	_, answered := c.submitOver(t, c.job, c.entry, path, smallJob())
	time.Sleep(resetAfter)
	l.resetUsers()
	if got := <-answered; !got.Broken {
		t.Fatalf("first submission: %+v", got)
	}
	time.Sleep(retransmitTime)
	repeated := time.Now()
	_, answered = c.submit(t, c.job, c.second)
	return repeated, <-answered
}
