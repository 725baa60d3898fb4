package bench

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savorypass/savorypass/internal/result"
)

// Sample sums up the measured part of a run. Ratios are response over own run time, which includes the network for
// the measured responses.
type Sample struct {
	Jobs  *hdrhistogram.Histogram // ratios
	Tasks *hdrhistogram.Histogram // ratios
	Short *hdrhistogram.Histogram // response times of short tasks that are not stragglers
	Lag   *hdrhistogram.Histogram // of the tool

	Submitted      int // jobs in the measured part, without those that were to be cancelled
	Completed      int
	Refused        int // jobs that were refused at least once
	GivenUp        int
	Failed         int
	Wrong          int // answers that break a promise
	RepeatedStarts int // tasks with more than one start
	RefusedButRan  int // tasks of jobs that were finally refused as not run, in the workers' records
	Errors         map[string]int

	JobRatios []float64 // for the plots
}

func newSample() *Sample {
	return &Sample{Jobs: newHistogram(), Tasks: newHistogram(), Short: newHistogram(), Lag: newHistogram(), Errors: map[string]int{}}
}

// window is the measured part of a run, by intended arrival.
type window struct{ from, to time.Duration }

func (w window) contains(at time.Duration) bool { return at >= w.from && at < w.to }

// measured tells whether a job counts. Jobs that are to be cancelled load the dispatcher without being measured.
func (w window) measured(j *Job) bool { return j.CancelAfter == 0 && w.contains(j.At) }

// sampleOf sums up a finished load. network is the time that a request without work takes.
func sampleOf(l *Load, w window, starts map[string][]start, network time.Duration) *Sample {
	s := newSample()
	for _, r := range l.Records {
		s.audit(r, starts)
		if w.measured(r.Job) {
			s.add(l, r, starts, network)
		}
	}
	s.Lag = l.lag()
	return s
}

// audit checks the promises of any job, measured or not.
func (s *Sample) audit(r *Record, starts map[string][]start) {
	if r.Wrong != "" {
		s.Wrong++
		s.Errors[r.Wrong]++
	}
	if r.Err != nil {
		s.Errors[r.Err.Error()]++
	}
	if r.Identity == "" {
		return
	}
	notRun := r.Err == nil && r.Code.Info().Execution == result.NotRun
	for t := range r.Job.RunTimes {
		n := len(starts[taskName(r, t)])
		if n > 1 {
			s.RepeatedStarts++
		}
		if n > 0 && notRun {
			s.RefusedButRan++
		}
	}
}

// taskName is the name of a task in the workers' records.
func taskName(r *Record, task int) string { return r.Identity + "/" + strconv.Itoa(task) }

func (s *Sample) add(l *Load, r *Record, starts map[string][]start, network time.Duration) {
	s.Submitted++
	if len(r.Refused) > 0 {
		s.Refused++
		s.Errors["refused: "+r.Reason]++
	}
	switch {
	case r.Completed():
		s.Completed++
	case r.GivenUp():
		s.GivenUp++
		s.addUnanswered(r.Job)
		return
	default:
		s.Failed++
		s.Errors["answer "+r.Code.String()]++
		s.addUnanswered(r.Job)
		return
	}
	s.addJob(r.Job, r.Response, network)
	at := l.Begin.Add(r.Job.At)
	for t, run := range r.Job.RunTimes {
		if list := starts[taskName(r, t)]; len(list) > 0 {
			s.addTask(r.Job, t, list[0].at.Sub(at)+run, network)
		}
	}
}

// addUnanswered counts a job without a complete answer as one with an endless response, so that refusing or failing work
// cannot improve a percentile.
func (s *Sample) addUnanswered(j *Job) {
	addRatio(s.Jobs, math.Inf(1))
	s.JobRatios = append(s.JobRatios, histogramMax/ratioScale)
	for t := range j.RunTimes {
		addRatio(s.Tasks, math.Inf(1))
		if !j.Long && !j.Straggler[t] {
			addTime(s.Short, math.MaxInt64)
		}
	}
}

func (s *Sample) addJob(j *Job, response, network time.Duration) {
	ratio := float64(response) / float64(j.Longest()+network)
	addRatio(s.Jobs, ratio)
	s.JobRatios = append(s.JobRatios, ratio)
}

func (s *Sample) addTask(j *Job, t int, response, network time.Duration) {
	addRatio(s.Tasks, float64(response)/float64(j.RunTimes[t]+network))
	if !j.Long && !j.Straggler[t] {
		addTime(s.Short, response)
	}
}

// idealOf returns the samples of the ideal scheduler in both orders.
func idealOf(jobs []*Job, slots int, w window) []*Sample {
	var out []*Sample
	for _, order := range []Order{FirstCome, ShortestRemaining} {
		s := newSample()
		for i, t := range Ideal(jobs, slots, order) {
			if j := jobs[i]; w.measured(j) && t.Job >= 0 {
				s.Submitted++
				s.Completed++
				s.addJob(j, t.Job, 0)
				for k, end := range t.Tasks {
					s.addTask(j, k, end, 0)
				}
			}
		}
		out = append(out, s)
	}
	return out
}

// best is the lowest value of several samples at a percentile: the stricter bound.
func bestOf(samples []*Sample, of func(*Sample) *hdrhistogram.Histogram, percent float64) float64 {
	least := ratioPercentile(of(samples[0]), percent)
	for _, s := range samples[1:] {
		least = min(least, ratioPercentile(of(s), percent))
	}
	return least
}

func jobsOf(s *Sample) *hdrhistogram.Histogram  { return s.Jobs }
func tasksOf(s *Sample) *hdrhistogram.Histogram { return s.Tasks }
func shortOf(s *Sample) *hdrhistogram.Histogram { return s.Short }

// describe is one line about what happened besides the responses.
func (s *Sample) describe() string {
	line := fmt.Sprintf("%d jobs, %d completed, %d refused at first, %d given up, %d failed, %d wrong, %d repeated starts, "+
		"%d untrue refusals, tool lag p99 %.2f ms", s.Submitted, s.Completed, s.Refused, s.GivenUp, s.Failed, s.Wrong, s.RepeatedStarts,
		s.RefusedButRan, percentileMS(s.Lag, 99))
	for text, n := range s.Errors {
		line += fmt.Sprintf("\n    %d x %.160s", n, text)
	}
	return line
}
