package bench

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/result"
)

const (
	crestLowLoad      = 0.3 // load before and after the crest, as a share of the capacity
	crestHighLoad     = 3.0 // load during the crest, as a multiple of the capacity
	crestLength       = 10 * time.Second
	crestDeadline     = 30 * time.Second // above the longest task, so that an idle cluster could answer every job in time
	goodputBin        = 250 * time.Millisecond
	queuePollInterval = 100 * time.Millisecond
	queueEmptyShare   = 0.05 // a queue of up to this share of the number of slots counts as empty

	minGoodputPercent  = 95.0  // of the capacity
	maxRefusalMS       = 250.0 // response time of the slowest refusal
	maxRecoverySeconds = 2.0   // from the end of the crest
)

// crestResult holds the figures of one cluster. Goodput is the share of the slots that run tasks of jobs which get a complete
// answer within the deadline.
type crestResult struct {
	goodput      float64   // mean during the crest, in percent of the capacity
	bins         []float64 // goodput in each goodputBin, as a share of the slots
	refusals     []time.Duration
	queueLengths []queueLength
	recovery     float64 // seconds from the end of the crest until the service is as before it
	sample       *Sample
}

// queueLength is the number of queued tasks at one time.
type queueLength struct {
	at     time.Duration // after the start of the run
	queued int
}

// Crest measures the service at a peak, the crest: the load rises in one step from the low load to three times the capacity
// and falls back after crestLength. Refused jobs are not submitted again, so that the load after the crest is the low load.
func (r *Run) Crest() error {
	low := r.Extent.Crest
	jobs := Generate(Workload{
		Seed: r.Seed + 1, Slots: r.Fair.Slots, Teams: len(r.Fair.Teams), Callers: len(r.Fair.Teams[0].Tokens),
		Segments: []Segment{{low, crestLowLoad}, {crestLength, crestHighLoad}, {low, crestLowLoad}},
		Heavy:    true, Deadline: crestDeadline,
	})
	results := map[*Cluster]*crestResult{}
	loads := map[*Cluster]*Load{}
	for _, c := range r.clusters() {
		l, queueLengths, err := c.crestLoad(jobs)
		if err != nil {
			return err
		}
		loads[c], results[c] = l, &crestResult{queueLengths: queueLengths}
	}
	// The first cluster's stragglers end while the second cluster is under load, so they are waited for only now.
	for _, c := range r.clusters() {
		x := results[c]
		if err := x.evaluate(c, loads[c], window{low, low + crestLength}, r.network); err != nil {
			return err
		}
		r.Logf("crest, %s: goodput %.1f%%, %d refusals; %s", c.Name, x.goodput, len(x.refusals), x.sample.describe())
		if err := appendRows(r.Out, auditRow("crest", c, x.sample)); err != nil {
			return err
		}
	}
	fair, naive := results[r.Fair], results[r.Naive]
	if err := saveCrest(filepath.Join(r.Out, "crest"), fair, naive); err != nil {
		return err
	}
	return appendRows(r.Out, crestRows(fair, naive)...)
}

func crestRows(fair, naive *crestResult) []Row {
	const measure = "service at the crest"
	return []Row{
		{Measure: measure, Case: "goodput", Unit: "% of capacity", Value: &fair.goodput, Naive: &naive.goodput, Min: finite(minGoodputPercent)},
		{Measure: measure, Case: "refusal p99", Unit: "ms", Value: refusalQuantileMS(fair, 0.99), Naive: refusalQuantileMS(naive, 0.99)},
		{Measure: measure, Case: "slowest refusal", Unit: "ms", Value: refusalQuantileMS(fair, 1), Naive: refusalQuantileMS(naive, 1),
			Max:  finite(maxRefusalMS),
			Note: fmt.Sprintf("%d refusals", len(fair.refusals))},
		{Measure: measure, Case: "refusals that were not true", Unit: "tasks", Value: finite(float64(fair.sample.RefusedButRan)),
			Naive: finite(float64(naive.sample.RefusedButRan)), Max: finite(0)},
		{Measure: measure, Case: "back to normal after", Unit: "s", Value: &fair.recovery, Naive: &naive.recovery,
			Max: finite(maxRecoverySeconds)},
	}
}

// refusalQuantileMS returns a quantile of the refusals' response times in milliseconds, 0 without refusals.
func refusalQuantileMS(x *crestResult, q float64) *float64 {
	if len(x.refusals) == 0 {
		return finite(0)
	}
	slices.Sort(x.refusals)
	i := int(math.Ceil(q*float64(len(x.refusals)))) - 1
	return finite(float64(x.refusals[max(0, i)].Microseconds()) / 1000)
}

// crestLoad starts a load, polls the queue until the last job was submitted, and returns the load and the queue lengths.
func (c *Cluster) crestLoad(jobs []*Job) (*Load, []queueLength, error) {
	l, err := StartLoad(c, jobs, LoadOptions{})
	if err != nil {
		return nil, nil, err
	}
	stop := make(chan struct{})
	var queueLengths []queueLength
	var polling sync.WaitGroup
	polling.Go(func() { queueLengths = c.pollQueue(l.Begin, stop) })
	l.WaitSubmitted()
	close(stop)
	polling.Wait()
	return l, queueLengths, nil
}

// evaluate waits for the end of a load and calculates its figures.
func (x *crestResult) evaluate(c *Cluster, l *Load, crest window, network time.Duration) error {
	l.Finish()
	starts, err := c.starts()
	if err != nil {
		return err
	}
	all := window{0, crest.to + crest.from} // the low load after the crest is as long as the one before it
	x.sample = sampleOf(l, all, starts, network)
	for _, r := range l.Records {
		x.refusals = append(x.refusals, r.refusals()...)
	}
	x.bins = goodput(l, starts, all.to, c.Slots)
	x.goodput = meanBetween(x.bins, crest) * 100
	x.recovery = recovery(l, x.queueLengths, crest, c.Slots).Seconds()
	return nil
}

// refusals returns the time from the job's intended arrival to each refusal. It is valid without retries, where there is at
// most one.
func (r *Record) refusals() []time.Duration {
	out := make([]time.Duration, len(r.Refused))
	for i, d := range r.Refused {
		out[i] = d + r.Lag
	}
	return out
}

// pollQueue polls the number of queued tasks until stop is closed.
func (c *Cluster) pollQueue(begin time.Time, stop chan struct{}) []queueLength {
	var out []queueLength
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return out
		case <-ticker.C:
		}
		at := time.Since(begin)
		if n, err := c.queuedTasks(); err == nil {
			out = append(out, queueLength{at, n})
		}
	}
}

// goodput returns, for each bin, the share of the slots that ran tasks of jobs with a complete answer within the deadline.
func goodput(l *Load, starts map[string][]start, length time.Duration, slots int) []float64 {
	bins := make([]float64, int(length/goodputBin))
	for _, r := range l.Records {
		if !r.Completed() || r.Response > r.Job.Deadline {
			continue
		}
		for t, run := range r.Job.RunTimes {
			for _, s := range starts[taskName(r, t)] {
				spreadOverBins(bins, s.at.Sub(l.Begin), run)
			}
		}
	}
	for i := range bins {
		bins[i] /= float64(slots) * float64(goodputBin)
	}
	return bins
}

// spreadOverBins adds the time of one run to the bins that it covers, in nanoseconds.
func spreadOverBins(bins []float64, from, run time.Duration) {
	to := from + run
	for i := max(0, int(from/goodputBin)); i < len(bins); i++ {
		low, high := time.Duration(i)*goodputBin, time.Duration(i+1)*goodputBin
		if low >= to {
			return
		}
		bins[i] += float64(min(to, high) - max(from, low))
	}
}

func meanBetween(bins []float64, w window) float64 {
	sum, n := 0.0, 0
	for i, v := range bins {
		if w.contains(time.Duration(i) * goodputBin) {
			sum += v
			n++
		}
	}
	return sum / float64(max(1, n))
}

// recovery returns the time from the end of the crest until the service is as before it: the queue is not longer than its
// longest before the crest or queueEmptyShare of the slots, whichever is more, and no job that arrives later is refused or
// exceeds its deadline.
func recovery(l *Load, queueLengths []queueLength, crest window, slots int) time.Duration {
	normal := int(queueEmptyShare * float64(slots))
	for _, q := range queueLengths {
		if q.at < crest.from {
			normal = max(normal, q.queued)
		}
	}
	var last time.Duration
	for _, q := range queueLengths {
		if q.at >= crest.to && q.queued > normal {
			last = max(last, q.at-crest.to)
		}
	}
	for _, r := range l.Records {
		if r.Job.At >= crest.to && (len(r.Refused) > 0 || r.Code == result.DeadlineExceeded) {
			last = max(last, r.Job.At-crest.to)
		}
	}
	return last
}

func saveCrest(name string, fair, naive *crestResult) error {
	lines := [][]string{{"s", "savorypass", "naive"}}
	var a, b []point
	for i := range fair.bins {
		at := (time.Duration(i) * goodputBin).Seconds()
		a = append(a, point{at, fair.bins[i] * 100})
		b = append(b, point{at, naive.bins[i] * 100})
		lines = append(lines, []string{formatFloat(at), formatFloat(fair.bins[i] * 100), formatFloat(naive.bins[i] * 100)})
	}
	if err := writeCSV(name+".csv", lines); err != nil {
		return err
	}
	return savePlot(name+".png", chart{
		title: "Goodput at the crest", x: "time, s", y: "goodput, % of capacity", lines: []line{{"savorypass", a}, {"naive", b}},
	})
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }
