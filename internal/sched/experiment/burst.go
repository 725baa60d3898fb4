package experiment

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

const (
	burstStart   = 30.0 // seconds; by then the schedulers have learned the run times
	burstLength  = 10.0 // seconds
	arrivalsEnd  = 60.0 // seconds
	burstRetries = 3
	baseLoad     = 0.3 // ratio of the submitted work to what all slots can do
	peakLoad     = 3.0 // submitted work during the burst, as a ratio to what all slots can do
)

// burstCase is a workload with the bounds of its admission control.
type burstCase struct {
	title  string
	mix    mix
	bounds sched.Bounds
	// deadline replaces the deadlines of all jobs unless it is zero.
	deadline time.Duration
}

var burstCases = []burstCase{
	{"all work, at most 700 ms of queued work", mix{heavy: true}, sched.Bounds{MaxDrain: 700 * time.Millisecond}, 0},
	{"short work only, no bound but the deadline of 3 s", mix{}, sched.Bounds{}, 3 * time.Second},
}

// burstLoad returns the load at the given time in seconds.
func burstLoad(at float64) float64 {
	if at >= burstStart && at < burstStart+burstLength {
		return peakLoad
	}
	return baseLoad
}

// burstResult summarises a burst. Goodput is the slot time during the burst spent on jobs that ended within their
// deadline.
type burstResult struct {
	goodput float64 // as a share of the capacity
	// feasibleGoodput is the goodput as a share of the capacity less the slot time of admitted jobs that no scheduler
	// can answer in time, since their longest task exceeds the deadline.
	feasibleGoodput float64
	refused         float64 // share of the jobs in the burst
	late            float64 // share of the admitted jobs that missed a deadline longer than their longest task
	recovery        float64 // seconds from the end of the burst until the queue was empty
	errorP50        float64 // true over estimated time to the answer, median of the jobs that met their deadline
	errorP90        float64 // true over estimated time to the answer, 90th percentile of the same jobs
}

// burst prints how each policy handles a step from baseLoad to peakLoad, without and with retries.
func burst(w io.Writer, o Options, chosen []policy) {
	for _, c := range burstCases {
		burstTable(w, o, chosen, c)
	}
}

func burstTable(w io.Writer, o Options, chosen []policy, c burstCase) {
	fmt.Fprintf(w, "step from %.0f%% to %.0f%% for %.0f s: %s\n", baseLoad*100, peakLoad*100, burstLength, c.title)
	fmt.Fprintf(w, "%-24s %8s %8s %9s %8s %8s %10s %16s\n", "", "retries", "goodput", "feasible", "refused", "late",
		"recovery s", "answer/estimate")
	results := mapPolicies(chosen, func(p policy) [2]burstResult {
		return [2]burstResult{burstOf(o, p, c, 0), burstOf(o, p, c, burstRetries)}
	})
	for i, p := range chosen {
		for n, r := range results[i] {
			fmt.Fprintf(w, "%-24s %8d %7.1f%% %8.1f%% %7.1f%% %7.2f%% %10.2f  p50 %.2f p90 %.2f\n", p.name, n*burstRetries,
				r.goodput*100, r.feasibleGoodput*100, r.refused*100, r.late*100, r.recovery, r.errorP50, r.errorP90)
		}
	}
	fmt.Fprintln(w)
}

func burstOf(o Options, p policy, c burstCase, retries int) burstResult {
	var r burstResult
	var errors []float64
	for seed := range o.Seeds {
		jobs := generate(uint64(seed), c.mix, arrivalsEnd, burstLoad)
		if c.deadline > 0 {
			for _, j := range jobs {
				j.deadline = c.deadline.Seconds()
			}
		}
		m := simulate(p.make(), jobs, &admission{bounds: c.bounds, retries: retries})
		x := m.burstResult(&errors)
		n := float64(o.Seeds)
		r.goodput += x.goodput / n
		r.feasibleGoodput += x.feasibleGoodput / n
		r.refused += x.refused / n
		r.late += x.late / n
		r.recovery = math.Max(r.recovery, x.recovery)
	}
	r.errorP50, r.errorP90 = percentile(errors, 0.5), percentile(errors, 0.9)
	return r
}

func (m *simulation) burstResult(errors *[]float64) burstResult {
	var r burstResult
	var useful, infeasible, arrived, refused, admitted, late float64
	for i, j := range m.jobs {
		o := &m.out[i]
		inBurst := o.at >= burstStart && o.at < burstStart+burstLength
		if inBurst {
			arrived++
		}
		if !o.verdict.OK() {
			if inBurst {
				refused++
			}
			continue
		}
		feasible := j.slowest <= j.deadline
		inTime := o.end > 0 && o.end-o.at <= j.deadline
		if inTime {
			useful += m.slotTime(i)
		}
		if !feasible {
			infeasible += m.slotTime(i)
		}
		if inBurst {
			admitted++
			if feasible && !inTime {
				late++
			}
			if inTime {
				*errors = append(*errors, (o.end-o.at)/(o.expect.Wait+o.expect.Run).Seconds())
			}
		}
	}
	capacity := slots * burstLength
	r.goodput = useful / capacity
	r.feasibleGoodput = useful / (capacity - infeasible)
	r.refused = refused / math.Max(1, arrived)
	r.late = late / math.Max(1, admitted)
	r.recovery = m.recovery()
	return r
}

// slotTime returns the time, in seconds, that the job's tasks ran during the burst, summed over the tasks.
func (m *simulation) slotTime(i int) float64 {
	sum := 0.0
	for t, start := range m.out[i].starts {
		if start < 0 {
			continue
		}
		from, to := math.Max(start, burstStart), math.Min(start+m.jobs[i].run[t], burstStart+burstLength)
		sum += math.Max(0, to-from)
	}
	return sum
}

// recovery returns the seconds from the end of the burst until the queue was empty, +Inf if it never was.
func (m *simulation) recovery() float64 {
	for _, at := range m.emptiedAt {
		if at >= burstStart+burstLength {
			return at - burstStart - burstLength
		}
	}
	return math.Inf(1)
}
