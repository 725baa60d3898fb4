package experiment

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

const (
	burstFrom    = 30.0 // seconds; the estimates are warm by then
	burstLength  = 10.0
	burstEnd     = 60.0
	burstRetries = 3
	lowLoad      = 0.3
	highLoad     = 3.0
)

// burstCase is a workload with the bounds that jobs are admitted by.
type burstCase struct {
	title  string
	mix    mix
	bounds sched.Bounds
	// deadline replaces the jobs' deadlines unless it is zero.
	deadline time.Duration
}

var burstCases = []burstCase{
	{"all work, at most 700 ms of queued work", mix{heavy: true}, sched.Bounds{MaxDrain: 700 * time.Millisecond}, 0},
	{"short work only, no bound but the deadline of 3 s", mix{}, sched.Bounds{}, 3 * time.Second},
}

func burstLoad(at float64) float64 {
	if at >= burstFrom && at < burstFrom+burstLength {
		return highLoad
	}
	return lowLoad
}

// burstResult sums up a burst. Goodput is the slot time in the burst that went to jobs answered within their deadline.
type burstResult struct {
	goodput   float64 // share of the capacity
	avoidable float64 // the same, of the capacity left by jobs that no scheduler can answer in time
	refused   float64 // share of the jobs in the burst
	late      float64 // share of the admitted jobs that missed a deadline that they could have met
	recovery  float64 // seconds from the end of the burst until the queue was empty
	errorP50  float64 // expected over true time to the answer, admitted jobs
	errorP90  float64
}

// burst measures a step from 30% to 300% load.
func burst(w io.Writer, o Options, chosen []policy) {
	for _, c := range burstCases {
		burstTable(w, o, chosen, c)
	}
}

func burstTable(w io.Writer, o Options, chosen []policy, c burstCase) {
	fmt.Fprintf(w, "step from %.0f%% to %.0f%% for %.0f s: %s\n", lowLoad*100, highLoad*100, burstLength, c.title)
	fmt.Fprintf(w, "%-24s %8s %8s %9s %8s %8s %10s %16s\n", "", "retries", "goodput", "of doable", "refused", "late",
		"recovery s", "answer/estimate")
	results := eachOf(chosen, func(p policy) [2]burstResult {
		return [2]burstResult{burstOf(o, p, c, 0), burstOf(o, p, c, burstRetries)}
	})
	for i, p := range chosen {
		for n, r := range results[i] {
			fmt.Fprintf(w, "%-24s %8d %7.1f%% %8.1f%% %7.1f%% %7.2f%% %10.2f  p50 %.2f p90 %.2f\n", p.name, n*burstRetries,
				r.goodput*100, r.avoidable*100, r.refused*100, r.late*100, r.recovery, r.errorP50, r.errorP90)
		}
	}
	fmt.Fprintln(w)
}

func burstOf(o Options, p policy, c burstCase, retries int) burstResult {
	var r burstResult
	var errors []float64
	for seed := range o.Seeds {
		jobs := generate(uint64(seed), c.mix, burstEnd, burstLoad)
		if c.deadline > 0 {
			for _, j := range jobs {
				j.deadline = c.deadline.Seconds()
			}
		}
		m := simulate(p.make(), jobs, &admission{bounds: c.bounds, retries: retries})
		x := m.burstResult(&errors)
		n := float64(o.Seeds)
		r.goodput += x.goodput / n
		r.avoidable += x.avoidable / n
		r.refused += x.refused / n
		r.late += x.late / n
		r.recovery = math.Max(r.recovery, x.recovery)
	}
	r.errorP50, r.errorP90 = percentile(errors, 0.5), percentile(errors, 0.9)
	return r
}

func (m *simulation) burstResult(errors *[]float64) burstResult {
	var r burstResult
	var useful, hopeless, arrived, refused, admitted, late float64
	for i, j := range m.jobs {
		o := &m.out[i]
		inBurst := o.at >= burstFrom && o.at < burstFrom+burstLength
		if inBurst {
			arrived++
		}
		if !o.verdict.OK() {
			if inBurst {
				refused++
			}
			continue
		}
		doable := j.slowest <= j.deadline
		inTime := o.end > 0 && o.end-o.at <= j.deadline
		if inTime {
			useful += m.slotTime(i)
		}
		if !doable {
			hopeless += m.slotTime(i)
		}
		if inBurst {
			admitted++
			if doable && !inTime {
				late++
			}
			if inTime {
				*errors = append(*errors, (o.end-o.at)/(o.expect.Wait+o.expect.Run).Seconds())
			}
		}
	}
	capacity := slots * burstLength
	r.goodput = useful / capacity
	r.avoidable = useful / (capacity - hopeless)
	r.refused = refused / math.Max(1, arrived)
	r.late = late / math.Max(1, admitted)
	r.recovery = m.recovery()
	return r
}

// slotTime is the time within the burst that the job's tasks ran.
func (m *simulation) slotTime(i int) float64 {
	sum := 0.0
	for t, start := range m.out[i].starts {
		if start < 0 {
			continue
		}
		from, to := math.Max(start, burstFrom), math.Min(start+m.jobs[i].run[t], burstFrom+burstLength)
		sum += math.Max(0, to-from)
	}
	return sum
}

func (m *simulation) recovery() float64 {
	for _, at := range m.idle {
		if at >= burstFrom+burstLength {
			return at - burstFrom - burstLength
		}
	}
	return math.Inf(1)
}
