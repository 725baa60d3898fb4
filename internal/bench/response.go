package bench

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	responseDeadline = 2 * time.Minute // far above any response time, so that it does not affect scheduling
	responseRetries  = 50

	maxOverIdealAt80  = 1.3  // p99 of the response ratio at 80% load, divided by the ideal scheduler's
	maxOverIdealAt95  = 2.0  // the same quotient at 95% load
	maxWastedPerStart = 0.05 // messages that led to no answer, per started task
	maxBlockingRatio  = 1.5  // short tasks' p99 with long work divided by that without; see blockingRow
)

// Extent sets the durations and repetitions of the experiments.
type Extent struct {
	WarmUp        time.Duration // length of the first part of each load, whose jobs are not measured
	Measured      time.Duration // length of the measured part of each load, after the warm-up
	Loads         []float64     // measured loads, as shares of the slots
	Crest         time.Duration // length of the low load before the crest, and of that after it
	Versions      int           // configuration versions published while all instances reach the log
	CutVersions   int           // configuration versions published while a zone is cut from the log
	OverheadCalls int           // direct calls and dispatched calls of each kind, for each cluster
	Rate          time.Duration // length of the measurement of the start rate at each cluster size
}

// Extents of a full run and of a short one for trials.
var (
	FullExtent = Extent{
		WarmUp: 5 * time.Second, Measured: 25 * time.Second, Loads: []float64{0.5, 0.8, 0.95}, Crest: 8 * time.Second,
		Versions: 30, CutVersions: 4, OverheadCalls: 400, Rate: 6 * time.Second,
	}
	ShortExtent = Extent{
		WarmUp: 2 * time.Second, Measured: 6 * time.Second, Loads: []float64{0.8}, Crest: 3 * time.Second,
		Versions: 6, CutVersions: 1, OverheadCalls: 100, Rate: 3 * time.Second,
	}
)

// Run holds the clusters and options that the experiments share.
type Run struct {
	Fair   *Cluster // with the product's scheduler
	Naive  *Cluster // with the naive scheduler, for comparison
	Out    string   // directory for results
	Seed   uint64
	Extent Extent
	Logf   func(format string, args ...any) // prints a line of progress

	network time.Duration // time of a request without work; set by Overhead
}

// clusters returns both clusters, in the order in which a run uses them.
func (r *Run) clusters() []*Cluster { return []*Cluster{r.Fair, r.Naive} }

func (r *Run) workload(load float64, heavy bool) Workload {
	return Workload{
		Seed: r.Seed, Slots: r.Fair.Slots, Teams: len(r.Fair.Teams), Callers: len(r.Fair.Teams[0].Tokens),
		Segments: []Segment{{r.Extent.WarmUp, load}, {r.Extent.Measured, load}},
		Heavy:    heavy, Bursts: true, Churn: true, Deadline: responseDeadline,
	}
}

func (r *Run) window() window { return window{r.Extent.WarmUp, r.Extent.WarmUp + r.Extent.Measured} }

// phase is one load, with the same arrivals at both clusters. before and after are the metrics around its submissions.
type phase struct {
	name  string
	load  float64 // share of the slots
	heavy bool    // with stragglers and long work
	jobs  []*Job

	loads   map[*Cluster]*Load
	before  map[*Cluster]Vars
	after   map[*Cluster]Vars
	samples map[*Cluster]*Sample
	ideal   []*Sample // one for each order of service of the ideal scheduler
}

// Responses measures the response times at several loads, the wasted messages (those that led to no answer), and the effect of
// long work on short tasks.
func (r *Run) Responses() error {
	phases, err := r.phases()
	if err != nil {
		return err
	}
	var rows []Row
	for _, p := range phases {
		if p.heavy {
			rows = append(rows, r.responseRows(p)...)
		}
	}
	for _, p := range phases {
		if p.heavy && p.load == 0.8 {
			rows = append(rows, r.wastedRows(p)...)
		}
	}
	rows = append(rows, r.blockingRow(phases))
	if err := r.saveResponses(phases); err != nil {
		return err
	}
	return appendRows(r.Out, rows...)
}

// phases runs all loads, each at one cluster after the other. While one cluster finishes its stragglers, the other one is under
// load. A cluster begins its next load only after all jobs of its previous one have ended.
func (r *Run) phases() ([]*phase, error) {
	// The load without stragglers goes first, because it ends soonest.
	phases := []*phase{{name: "80% without long work", load: 0.8}}
	for _, load := range r.Extent.Loads {
		phases = append(phases, &phase{name: fmt.Sprintf("%.0f%%", load*100), load: load, heavy: true})
	}
	last := map[*Cluster]*phase{}
	for _, p := range phases {
		p.jobs = Generate(r.workload(p.load, p.heavy))
		p.loads, p.before, p.after, p.samples = map[*Cluster]*Load{}, map[*Cluster]Vars{}, map[*Cluster]Vars{}, map[*Cluster]*Sample{}
		p.ideal = idealOf(p.jobs, r.Fair.Slots, r.window())
		for _, c := range r.clusters() {
			if err := r.finish(last[c], c); err != nil {
				return nil, err
			}
			if err := p.start(c); err != nil {
				return nil, err
			}
			last[c] = p
		}
	}
	for _, c := range r.clusters() {
		if err := r.finish(last[c], c); err != nil {
			return nil, err
		}
	}
	return phases, nil
}

// start submits the phase's jobs to a cluster and returns after the last submission.
func (p *phase) start(c *Cluster) (err error) {
	if p.before[c], err = c.sumVars(); err != nil {
		return err
	}
	if p.loads[c], err = StartLoad(c, p.jobs, LoadOptions{Retries: responseRetries}); err != nil {
		return err
	}
	p.loads[c].WaitSubmitted()
	p.after[c], err = c.sumVars()
	return err
}

func (r *Run) finish(p *phase, c *Cluster) error {
	if p == nil {
		return nil
	}
	p.loads[c].Finish()
	starts, err := c.starts()
	if err != nil {
		return err
	}
	s := sampleOf(p.loads[c], r.window(), starts, r.network)
	p.samples[c] = s
	r.Logf("response %s, %s: %s", p.name, c.Name, s.describe())
	return appendRows(r.Out, auditRow("response "+p.name, c, s))
}

// auditRow returns the row with the number of broken promises in a load: wrong answers, tasks that started more than once, and
// tasks that started although their job was refused as not run.
func auditRow(what string, c *Cluster, s *Sample) Row {
	broken := s.Wrong + s.RepeatedStarts + s.RefusedButRan
	return Row{
		Measure: "broken promises", Case: what + ", " + c.Name, Unit: "count", Value: finite(float64(broken)), Max: finite(0),
		Note: fmt.Sprintf("%d jobs, %d failed; tool lag p99 %.2f ms", s.Submitted, s.Failed, percentileMS(s.Lag, 99)),
	}
}

func (r *Run) responseRows(p *phase) []Row {
	var rows []Row
	kinds := []struct {
		name string
		of   func(*Sample) *hdrhistogram.Histogram
	}{{"jobs", jobsOf}, {"tasks", tasksOf}}
	for _, k := range kinds {
		for _, percent := range []float64{50, 99} {
			rows = append(rows, Row{
				Measure: "response / own time", Case: fmt.Sprintf("%s %s p%.0f", p.name, k.name, percent), Unit: "ratio",
				Value: finite(ratioPercentile(k.of(p.samples[r.Fair]), percent)), Naive: finite(ratioPercentile(k.of(p.samples[r.Naive]), percent)),
				Ideal: finite(bestOf(p.ideal, k.of, percent)),
			})
		}
		row := Row{Measure: "p99 over the ideal's", Case: p.name + " " + k.name, Unit: "ratio", Max: maxOverIdeal(p.load)}
		ideal := bestOf(p.ideal, k.of, 99)
		row.Value = finite(ratioPercentile(k.of(p.samples[r.Fair]), 99) / ideal)
		row.Naive = finite(ratioPercentile(k.of(p.samples[r.Naive]), 99) / ideal)
		row.Note = unansweredNote(p.samples[r.Fair])
		rows = append(rows, row)
	}
	return rows
}

// unansweredNote returns a note with the number of jobs without a complete answer, "" if there are none.
func unansweredNote(s *Sample) string {
	if s.Completed == s.Submitted {
		return ""
	}
	return fmt.Sprintf("%d of %d jobs without a complete answer", s.Submitted-s.Completed, s.Submitted)
}

func maxOverIdeal(load float64) *float64 {
	switch load {
	case 0.8:
		return finite(maxOverIdealAt80)
	case 0.95:
		return finite(maxOverIdealAt95)
	}
	return nil
}

// wastedRows returns the rows with the messages that led to no answer, per started task.
func (r *Run) wastedRows(p *phase) []Row {
	counts := func(c *Cluster) (map[string]int64, float64) {
		wasted := map[string]int64{}
		addCounters(wasted, p.after[c].Wasted, 1)
		addCounters(wasted, p.before[c].Wasted, -1)
		return wasted, float64(max(1, p.after[c].Starts-p.before[c].Starts))
	}
	fair, starts := counts(r.Fair)
	naive, naiveStarts := counts(r.Naive)
	rows := []Row{{
		Measure: "wasted messages", Case: p.name + " all kinds", Unit: "per start", Max: finite(maxWastedPerStart),
		Value: finite(float64(sumCounters(fair)) / starts), Naive: finite(float64(sumCounters(naive)) / naiveStarts),
		Note: fmt.Sprintf("%.0f starts", starts),
	}}
	var kinds []string
	for k := range fair {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		rows = append(rows, Row{
			Measure: "wasted messages", Case: p.name + " " + k, Unit: "per start",
			Value: finite(float64(fair[k]) / starts), Naive: finite(float64(naive[k]) / naiveStarts),
		})
	}
	return rows
}

// blockingRow returns the row with the response time of short tasks when there is long work, divided by their response time
// without long work at the same load. Both are relative to the ideal scheduler.
func (r *Run) blockingRow(phases []*phase) Row {
	var with, without *phase
	for _, p := range phases {
		switch {
		case !p.heavy:
			without = p
		case p.load == 0.8:
			with = p
		}
	}
	factor := func(c *Cluster) *float64 {
		over := func(p *phase) float64 { return ratioPercentile(p.samples[c].Short, 99) / bestOf(p.ideal, shortOf, 99) }
		return finite(over(with) / over(without))
	}
	return Row{
		Measure: "head-of-line blocking", Case: "short tasks p99, 80%", Unit: "ratio", Max: finite(maxBlockingRatio),
		Value: factor(r.Fair), Naive: factor(r.Naive),
	}
}

// saveResponses writes, for each load, the distributions of the jobs' ratios as CSV and as a plot.
func (r *Run) saveResponses(phases []*phase) error {
	for _, p := range phases {
		if !p.heavy {
			continue
		}
		curves := []curve{
			{"savorypass", p.samples[r.Fair].JobRatios}, {"naive", p.samples[r.Naive].JobRatios},
			{"ideal, first come", p.ideal[0].JobRatios}, {"ideal, shortest remaining", p.ideal[1].JobRatios},
		}
		name := filepath.Join(r.Out, fmt.Sprintf("response-%.0f", p.load*100))
		if err := saveCurves(name, "Jobs at "+p.name+" load", curves); err != nil {
			return err
		}
	}
	return nil
}
