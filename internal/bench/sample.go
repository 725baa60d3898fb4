package bench

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savorypass/savorypass/internal/result"
)

// Sample summarizes the measured part of a load. Ratios are the response time divided by the longest run time of the job's
// tasks, or by the task's run time; for real responses the network time is added to the run time.
type Sample struct {
	Jobs  *hdrhistogram.Histogram // ratios of jobs
	Tasks *hdrhistogram.Histogram // ratios of tasks
	Short *hdrhistogram.Histogram // response times of short tasks that are not stragglers
	Lag   *hdrhistogram.Histogram // delays of the load generator itself

	Submitted      int            // jobs in the measured part, without those with a cancellation
	Completed      int            // jobs with a complete answer
	Refused        int            // jobs that were refused at least once
	GivenUp        int            // jobs whose last answer was a refusal
	Failed         int            // jobs with an error or with a final answer that is not complete
	Wrong          int            // jobs whose answers break a promise
	RepeatedStarts int            // tasks with more than one start
	RefusedButRan  int            // tasks that a worker started although their job was finally refused as not run
	Errors         map[string]int // number of jobs by error, refusal or broken promise

	JobRatios []float64 // every ratio in Jobs, for the plots
}

func newSample() *Sample {
	return &Sample{Jobs: newHistogram(), Tasks: newHistogram(), Short: newHistogram(), Lag: newHistogram(), Errors: map[string]int{}}
}

// window is a part of a run: the jobs whose intended arrival is at from or later and before to.
type window struct{ from, to time.Duration }

func (w window) contains(at time.Duration) bool { return at >= w.from && at < w.to }

// measured reports whether a job is measured. Jobs with a cancellation are part of the load but are not measured.
func (w window) measured(j *Job) bool { return j.CancelAfter == 0 && w.contains(j.At) }

// sampleOf summarizes a finished load. starts holds the workers' records by task, network is the time of a request without
// work.
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

// audit counts broken promises and errors of a job, which need not be in the measured part.
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

// taskName returns the name of a task in the workers' records.
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

// addUnanswered adds a job without a complete answer with an infinite response time, so that refused or failed jobs cannot
// improve a percentile.
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

// idealOf returns the samples of the ideal scheduler, one for each order of service.
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

// bestOf returns the lowest value of several samples at a percentile, which is the strictest reference.
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

// describe returns a line with the counts of a sample, followed by a line for each kind of error.
func (s *Sample) describe() string {
	line := fmt.Sprintf("%d jobs, %d completed, %d refused at least once, %d given up after a refusal, %d failed, %d with wrong answers, "+
		"%d tasks started more than once, %d tasks started although refused, load generator lag p99 %.2f ms", s.Submitted, s.Completed, s.Refused, s.GivenUp, s.Failed, s.Wrong, s.RepeatedStarts,
		s.RefusedButRan, percentileMS(s.Lag, 99))
	for text, n := range s.Errors {
		line += fmt.Sprintf("\n    %d x %.160s", n, text)
	}
	return line
}
