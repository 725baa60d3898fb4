package bench

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savorypass/savorypass/internal/result"
)

const (
	submitWaitMS  = 150_000 // time that a submission waits for the answer, longer than the longest deadline of a job
	minRetryDelay = 20 * time.Millisecond
	idlePerCaller = 12                     // connections that each caller opens before a run
	startDelay    = 200 * time.Millisecond // from the start of a load to the time from which arrivals count
)

var submitPath = "/v1/jobs?wait_ms=" + strconv.Itoa(submitWaitMS)

// Record holds what a caller observed of one job.
type Record struct {
	Job      *Job
	Index    int
	Identity string
	Lag      time.Duration // delay of the load generator itself, from the intended arrival to the start of the submission
	Response time.Duration // from the intended arrival to the final answer; 0 without a final answer
	Code     result.Code
	Refused  []time.Duration // time of each refusal, counted from the submission that was refused
	Err      error
	Wrong    string // how the answers break a promise of the API; empty if they do not
	Reason   string // message of the last refusal

	mu         sync.Mutex
	identified chan struct{} // closed when Identity is set
}

// Completed reports whether the job has a complete answer.
func (r *Record) Completed() bool { return r.Err == nil && r.Response > 0 && r.Code == result.Complete }

// GivenUp reports whether the job ended without a final answer and without an error: the last answer was a refusal.
func (r *Record) GivenUp() bool { return r.Err == nil && r.Response == 0 }

// LoadOptions configure a Load.
type LoadOptions struct {
	Retries int // times that a refused job is submitted again, each after the delay that the refusal asks for
}

// Load is an open-loop load: each job is submitted at its intended arrival, whether or not earlier jobs have ended.
type Load struct {
	cluster   *Cluster
	opts      LoadOptions
	callers   [][]*caller // by team and caller
	Records   []*Record
	Begin     time.Time // Job.At counts from here
	End       time.Time // last intended arrival
	done      sync.WaitGroup
	bodyTails [][]byte // by job; nil once submitted
}

// StartLoad begins to submit jobs, which must be in the order of their arrivals. WaitSubmitted blocks until the last one was
// submitted, Finish until all have ended.
func StartLoad(c *Cluster, jobs []*Job, o LoadOptions) (*Load, error) {
	l := &Load{cluster: c, opts: o, callers: c.connect()}
	for _, team := range l.callers {
		for _, x := range team {
			if err := x.openIdle(idlePerCaller); err != nil {
				return nil, err
			}
		}
	}
	for i, j := range jobs {
		l.Records = append(l.Records, &Record{Job: j, Index: i, identified: make(chan struct{})})
		l.bodyTails = append(l.bodyTails, bodyTail(c, j, i))
	}
	l.Begin = time.Now().Add(startDelay)
	l.End = l.Begin
	if n := len(jobs); n > 0 {
		l.End = l.Begin.Add(jobs[n-1].At)
	}
	l.done.Go(l.dispatch)
	return l, nil
}

// connect returns the callers of each team, without connections yet.
func (c *Cluster) connect() [][]*caller {
	out := make([][]*caller, len(c.Teams))
	for t, team := range c.Teams {
		for i, token := range team.Tokens {
			out[t] = append(out[t], newCaller(token, c.Entries, uint64(t*100+i)))
		}
	}
	return out
}

// bodyTail returns the part of a submission's body that follows the identity.
func bodyTail(c *Cluster, j *Job, index int) []byte {
	b := fmt.Appendf(nil, `","service":%q,"idempotent":true,"deadline_ms":%d,"tasks":[`, j.Service, j.Deadline.Milliseconds())
	for t := range j.RunTimes {
		if t > 0 {
			b = append(b, ',')
		}
		b = fmt.Appendf(b, `{"payload":"{\"run_ms\":%d,\"output\":\"%s\"}","run_time_ms":%d,"cores":1,"memory_mb":512}`,
			j.RunTimes[t].Milliseconds(), output(index, t), j.Declared[t].Milliseconds())
	}
	return append(b, "]}"...)
}

// output returns the output that a task is asked to return. It differs between tasks, so that an output of another task is
// detected.
func output(job, task int) string { return strconv.Itoa(job) + "." + strconv.Itoa(task) }

func (l *Load) dispatch() {
	for i, r := range l.Records {
		if wait := time.Until(l.Begin.Add(r.Job.At)); wait > 0 {
			time.Sleep(wait)
		}
		bodyTail := l.bodyTails[i]
		l.bodyTails[i] = nil
		l.done.Go(func() { l.serve(r, bodyTail) })
	}
}

// WaitSubmitted blocks until the intended arrival of the last job.
func (l *Load) WaitSubmitted() { time.Sleep(time.Until(l.End)) }

// Finish blocks until every job has ended, then closes the connections.
func (l *Load) Finish() {
	l.done.Wait()
	for _, team := range l.callers {
		for _, c := range team {
			c.close()
		}
	}
}

// serve submits one job, with its cancellation and resubmission, waits for the answers and checks them.
func (l *Load) serve(r *Record, bodyTail []byte) {
	at := l.Begin.Add(r.Job.At)
	c := l.callers[r.Job.Team][r.Job.Caller]
	var followUps sync.WaitGroup
	if r.Job.CancelAfter > 0 {
		followUps.Go(func() { l.cancel(c, r) })
	}
	var resubmitted *answer
	if r.Job.ResubmitAfter > 0 {
		followUps.Go(func() { resubmitted = l.resubmit(c, r, bodyTail) })
	}
	r.Lag = time.Since(at)
	first := l.submit(c, r, bodyTail)
	if first != nil && first.Final {
		r.Response = time.Since(at)
	}
	select {
	case <-r.identified:
	default:
		close(r.identified) // the job got no identity; the goroutines above return
	}
	followUps.Wait()
	r.checkAnswers(first, resubmitted)
}

// submit submits a job until an answer is final or the retries are used up, and returns the last answer, nil after an error.
func (l *Load) submit(c *caller, r *Record, bodyTail []byte) *answer {
	for try := 0; ; try++ {
		began := time.Now()
		a, err := l.send(c, r, bodyTail)
		if err != nil {
			r.setError(err, "submission")
			return nil
		}
		r.Code = result.Code(a.Code)
		if a.Final {
			return a
		}
		if a.Execution == string(result.NotRun) {
			r.Refused = append(r.Refused, time.Since(began))
			r.Reason = a.Message
			if try >= l.opts.Retries {
				return a
			}
		}
		time.Sleep(max(minRetryDelay, time.Duration(a.RetryAfterMS)*time.Millisecond))
	}
}

func (l *Load) send(c *caller, r *Record, bodyTail []byte) (*answer, error) {
	cn, err := c.acquire()
	if err != nil {
		return nil, err
	}
	if r.Identity == "" {
		id, err := c.identity(cn)
		if err != nil {
			cn.Close()
			return nil, err
		}
		r.Identity = id
		close(r.identified)
	}
	return c.requestOn(cn, "POST", submitPath, []byte(`{"identity":"`), []byte(r.Identity), bodyTail)
}

// awaitIdentity blocks for a time after the intended arrival and until the job's identity is set. It reports false if the job
// got no identity.
func (l *Load) awaitIdentity(r *Record, after time.Duration) bool {
	time.Sleep(time.Until(l.Begin.Add(r.Job.At + after)))
	<-r.identified
	return r.Identity != ""
}

func (l *Load) cancel(c *caller, r *Record) {
	if l.awaitIdentity(r, r.Job.CancelAfter) {
		_, err := c.request("DELETE", "/v1/jobs/"+r.Identity)
		r.setError(err, "cancellation")
	}
}

func (l *Load) resubmit(c *caller, r *Record, bodyTail []byte) *answer {
	if !l.awaitIdentity(r, r.Job.ResubmitAfter) {
		return nil
	}
	a, err := c.request("POST", submitPath, []byte(`{"identity":"`), []byte(r.Identity), bodyTail)
	r.setError(err, "resubmission")
	return a
}

func (r *Record) setError(err error, operation string) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Err == nil {
		r.Err = fmt.Errorf("%s: %w", operation, err)
	}
}

// checkAnswers compares the answers of the submission and the resubmission with the promises of the API and sets Wrong.
// Either answer may be nil.
func (r *Record) checkAnswers(first, second *answer) {
	switch {
	case first != nil && first.Code == int(result.Complete) && !r.hasOwnOutputs(first.Outputs):
		r.Wrong = "complete answer with missing outputs or with outputs of other tasks"
	case first != nil && first.Code != int(result.Complete) && len(first.Outputs) > 0:
		r.Wrong = "outputs in an answer that is not complete"
	case first != nil && second != nil && first.Final && second.Final && first.Code != second.Code:
		r.Wrong = fmt.Sprintf("resubmission answered %v after %v", result.Code(second.Code), result.Code(first.Code))
	case first != nil && second != nil && first.Final && second.Final && !slices.Equal(first.Outputs, second.Outputs):
		r.Wrong = "resubmission answered with other outputs"
	}
}

func (r *Record) hasOwnOutputs(outputs []string) bool {
	if len(outputs) != len(r.Job.RunTimes) {
		return false
	}
	for t, o := range outputs {
		if o != output(r.Index, t) {
			return false
		}
	}
	return true
}

// Histograms hold times in microseconds, and ratios multiplied by 1,000.
const (
	histogramMax    = 1 << 36
	histogramDigits = 3
	ratioScale      = 1000
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func addRatio(h *hdrhistogram.Histogram, ratio float64) {
	h.RecordValue(int64(min(histogramMax, max(1, ratio*ratioScale))))
}

func addTime(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(histogramMax, max(1, d.Microseconds())))
}

// ratioPercentile returns a percentile of a histogram of ratios. It is infinite without values, and where the percentile falls
// on a ratio recorded as infinite.
func ratioPercentile(h *hdrhistogram.Histogram, percent float64) float64 {
	v := h.ValueAtPercentile(percent)
	if h.TotalCount() == 0 || v >= histogramMax {
		return math.Inf(1)
	}
	return float64(v) / ratioScale
}

func percentileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}

// lag returns the distribution of the load generator's own delays.
func (l *Load) lag() *hdrhistogram.Histogram {
	h := newHistogram()
	for _, r := range l.Records {
		addTime(h, r.Lag)
	}
	return h
}
