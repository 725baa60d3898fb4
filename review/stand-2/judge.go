//go:build review

package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/standin/fleet"
	"github.com/savorypass/savorypass/internal/work"
)

// record is the text of record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{began: time.Now(), out: out}, err
}

func (r *record) add(format string, values ...any) { r.addAt(time.Now(), format, values...) }

func (r *record) addAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// taskRuns returns the runs of each task in the order of their starts.
func taskRuns(starts []fleet.Start) map[work.TaskID][]fleet.Start {
	all := map[work.TaskID][]fleet.Start{}
	for _, s := range starts {
		all[s.Task] = append(all[s.Task], s)
	}
	for _, runs := range all {
		slices.SortFunc(runs, func(a, b fleet.Start) int { return a.StartedAt.Compare(b.StartedAt) })
	}
	return all
}

// judge checks the rules on what runners and clients have seen, and returns the number of breaches of each.
func judge(l *load, r *record) map[string]int {
	broken := map[string]int{}
	say := func(rule, format string, values ...any) {
		broken[rule]++
		r.add("%s: %s", rule, fmt.Sprintf(format, values...))
	}
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds())
	}
	rs := l.site.runners
	for task, runs := range taskRuns(rs.fleet.Starts()) {
		for _, s := range runs {
			noted, counts := rs.notedAt(s)
			r.addAt(s.StartedAt, "RUN %v run %d on %s until %s %s, noted %s %v", s.Task, s.Run, s.Endpoint, since(s.EndedAt), s.Reason, since(noted), counts)
		}
		j := l.job(string(task.Job))
		if j == nil {
			say("UNASKED", "%v: nobody submitted it", task)
			continue
		}
		failed := 0
		for i, a := range runs {
			noted, valid := rs.notedAt(a)
			for _, b := range runs[i+1:] {
				if a.EndedAt.IsZero() || b.StartedAt.Before(a.EndedAt) {
					say("TWICE", "%v: run %d on %s from %s to %s and run %d on %s from %s at the same time", task, a.Run, a.Endpoint, since(a.StartedAt), since(a.EndedAt), b.Run, b.Endpoint, since(b.StartedAt))
				} else if a.Reason == work.EndSucceeded && valid && !j.best {
					say("TWICE", "%v: run %d on %s ended done at %s, taken note of at %s; run %d started on %s at %s", task, a.Run, a.Endpoint, since(a.EndedAt), since(noted), b.Run, b.Endpoint, since(b.StartedAt))
				}
			}
			if failed >= attempts && !j.best {
				say("BUDGET", "%v: run %d started on %s at %s after %d runs had ended failed and were taken note of", task, a.Run, a.Endpoint, since(a.StartedAt), failed)
			}
			if a.Reason == work.EndFailed && valid {
				failed++
			}
			l.checkCancel(j, a, say, since)
		}
		j.mu.Lock()
		if j.attempts == j.rejected {
			say("REFUSED", "%v ran, and all %d submissions were rejected", task, j.attempts)
		}
		j.mu.Unlock()
	}
	checkOrder(l, rs.fleet.Starts(), say, since)
	checkLimit(rs.fleet.Starts(), say, since)
	for _, j := range l.all() {
		j.mu.Lock()
		if !j.gone.IsZero() {
			say("LOST", "job %s, accepted at %s and shown as %q at %s, was answered 410 at %s", j.id, since(j.ackedAt), j.final, since(j.finalAt), since(j.gone))
		}
		if j.unknown != "" {
			say("LOST", "job %s, accepted at %s: %s", j.id, since(j.ackedAt), j.unknown)
		}
		if j.final == "failed" && !j.poison || j.final == "cancelled" && j.cancelAt.IsZero() {
			say("LOST", "job %s is shown as %q without cause", j.id, j.final)
		}
		j.mu.Unlock()
	}
	for _, text := range l.mixed {
		say("MIXED", "%s", text)
	}
	return broken
}

// checkCancel checks a run of a job against the job's cancel.
func (l *load) checkCancel(j *job, s fleet.Start, say func(rule, format string, values ...any), since func(time.Time) string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelAck.IsZero() {
		return
	}
	end := s.EndedAt
	if end.IsZero() {
		end = time.Now()
	}
	gone := j.cancelAck.Add(cancelMS + stopMS)
	switch {
	case s.StartedAt.After(j.cancelAck.Add(cancelMS)) && l.calm(s.StartedAt):
		say("UNASKED", "%v run %d started on %s at %s, cancel acknowledged with %d at %s", s.Task, s.Run, s.Endpoint, since(s.StartedAt), j.cancelled, since(j.cancelAck))
	case s.StartedAt.Before(gone) && end.After(gone) && l.calm(gone):
		say("UNASKED", "%v run %d on %s was at work until %s, cancel acknowledged with %d at %s", s.Task, s.Run, s.Endpoint, since(end), j.cancelled, since(j.cancelAck))
	}
}

// checkOrder checks that no task started before all tasks of the step before had ended done.
func checkOrder(l *load, starts []fleet.Start, say func(rule, format string, values ...any), since func(time.Time) string) {
	doneAt := map[work.TaskID]time.Time{} // first end of each task that has ended done
	for _, s := range starts {
		if at, known := doneAt[s.Task]; s.Reason == work.EndSucceeded && (!known || s.EndedAt.Before(at)) {
			doneAt[s.Task] = s.EndedAt
		}
	}
	for _, s := range starts {
		j := l.job(string(s.Task.Job))
		if j == nil || s.Task.Step == 0 {
			continue
		}
		for i := range j.steps[s.Task.Step-1].count {
			before := work.TaskID{Job: s.Task.Job, Step: s.Task.Step - 1, Index: i}
			if at, known := doneAt[before]; !known || at.After(s.StartedAt) {
				say("ORDER", "%v run %d started at %s, before %v had ended done", s.Task, s.Run, since(s.StartedAt), before)
				break
			}
		}
	}
}

// checkLimit checks that no start brought a runner over its capacity. All tasks have the same size.
func checkLimit(starts []fleet.Start, say func(rule, format string, values ...any), since func(time.Time) string) {
	byRunner := map[work.EndpointID][]fleet.Start{}
	for _, s := range starts {
		byRunner[s.Endpoint] = append(byRunner[s.Endpoint], s)
	}
	for runner, all := range byRunner {
		for _, s := range all {
			cpu := 0
			for _, o := range all {
				if !o.StartedAt.After(s.StartedAt) && (o.EndedAt.IsZero() || o.EndedAt.After(s.StartedAt)) {
					cpu += taskCPU
				}
			}
			if cpu > runnerSize.MilliCPU {
				say("LIMIT", "%v run %d started on %s at %s, which then ran %d/1000 cores", s.Task, s.Run, runner, since(s.StartedAt), cpu)
			}
		}
	}
}
