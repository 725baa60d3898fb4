package soak

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

const copyAfter = 300 * time.Millisecond // from a request until its copy arrives

// Guards against two runs of a task at the same time when the path between a caller and its instance has reset the caller's connection and
// has told the instance nothing of it. The caller submits the job again at another dispatcher of the zone while the first run goes on.
func TestRepeatWhileTheCloseIsHeldBack(t *testing.T) {
	newCast(t).playRepeats(t, (*cast).repeatAfterHiddenReset)
}

// Guards against two runs of a task at the same time when a request whose connection broke reaches its instance late, while another
// dispatcher of the zone runs the job for the caller, who has submitted it again.
func TestCopyThatArrivesAfterTheRepeat(t *testing.T) {
	newCast(t).playRepeats(t, (*cast).copyAfterRepeat)
}

// Guards against two runs of a task at the same time when the path delivers a request twice, at two instances, while its caller waits.
func TestCopyAtAnotherInstance(t *testing.T) {
	newCast(t).playRepeats(t, (*cast).copyAtAnother)
}

// Guards against two runs of a task at the same time when the path delivers a request twice at one instance. If the caller, who waits, gets
// a 502, it submits the job again at another dispatcher.
func TestCopyAtTheSameInstance(t *testing.T) {
	newCast(t).playRepeats(t, (*cast).copyAtSame)
}

// repetition is a request for a job that arrives after another one.
type repetition struct {
	at      time.Time
	running *instance // dispatcher that is meant to run the job then
	answer  attempt   // last one to the caller
}

// playRepeats plays a case until enough jobs were running at the intended dispatcher when a further request for them arrived.
func (c *cast) playRepeats(t *testing.T, repeat func(*cast, *testing.T) repetition) {
	made := 0
	for n := 0; made < wantedCases && n < maxCases; n++ {
		c.awaitDispatchers(t)
		c.filler, c.job = c.jobID("f", n), c.jobID("c", n)
		again := repeat(c, t)
		v := c.run.view()
		c.logRuns(t, v)
		if c.ranAt(v, again) {
			made++
		}
		if found := overlappingRuns(v); len(found) > 0 {
			t.Fatal(strings.Join(found, "\n"))
		}
		if again.answer.State != work.Completed {
			t.Fatalf("answer to the caller that waits: %+v", again.answer)
		}
	}
	if made == 0 {
		t.Errorf("none of %d jobs was running at the intended dispatcher when a further request for it arrived", maxCases)
	}
}

// ranAt reports whether a run of the job was at work at a time, and its intended dispatcher has ordered it.
func (c *cast) ranAt(v *view, again repetition) bool {
	if !c.startedBy(v)[again.running.spec.Name] {
		return false
	}
	return slices.ContainsFunc(v.starts, func(s fleet.Start) bool {
		return s.Task.Job == c.job && s.StartedAt.Before(again.at) && (s.EndedAt.IsZero() || s.EndedAt.After(again.at))
	})
}

// repeatAfterHiddenReset submits the job at the entry, over a path that resets the caller's connection and tells the entry nothing of it, and
// submits the job again at the second dispatcher after the retransmit time.
func (c *cast) repeatAfterHiddenReset(t *testing.T) repetition {
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
	return repetition{repeated, c.first, <-answered}
}

// copyAfterRepeat submits the job at the second dispatcher, as a caller does after its connection to the entry has broken. The request
// of that connection arrives at the entry afterwards.
func (c *cast) copyAfterRepeat(t *testing.T) repetition {
	_, answered := c.submit(t, c.job, c.second)
	c.fill(t)
	arrived := time.Now()
	c.submit(t, c.job, c.entry)
	return repetition{arrived, c.second, <-answered}
}

// copyAtAnother submits the job at the entry, and a copy of the request arrives at the second dispatcher.
func (c *cast) copyAtAnother(t *testing.T) repetition {
	c.fill(t)
	_, answered := c.submit(t, c.job, c.entry)
	time.Sleep(copyAfter)
	arrived := time.Now()
	c.submit(t, c.job, c.second)
	return repetition{arrived, c.first, <-answered}
}

// copyAtSame submits the job at the entry, where a copy of the request arrives, too. The caller submits the job again at the second
// dispatcher if it is told to.
func (c *cast) copyAtSame(t *testing.T) repetition {
	c.fill(t)
	_, answered := c.submit(t, c.job, c.entry)
	time.Sleep(copyAfter)
	arrived := time.Now()
	c.submit(t, c.job, c.entry)
	got := <-answered
	if got.Broken || got.Status == 502 || got.Status == 504 {
		t.Logf("first submission: %+v", got)
		time.Sleep(retransmitTime)
		arrived = time.Now()
		_, answered = c.submit(t, c.job, c.second)
		got = <-answered
	}
	return repetition{arrived, c.first, got}
}
