package experiment

import (
	"fmt"
	"io"
)

const (
	floodLoad      = 2.0
	floodBase      = 0.5
	isolationUntil = 50.0 // seconds
)

// isolation measures what the other teams notice when one team sends far more than all slots can do, with no admission.
func isolation(w io.Writer, o Options, chosen []policy) {
	fmt.Fprintf(w, "one team adds %.0f%% load for %.0f s to %.0f%% of all: other teams' jobs in that time, with and without it\n",
		floodLoad*100, burstLength, floodBase*100)
	fmt.Fprintf(w, "%-24s %20s %20s %20s\n", "", "p50 s", "p99 stretch", "p90 stretch")
	rows := eachOf(chosen, func(p policy) string {
		with, without := others(o, p, mix{flood: true}), others(o, p, mix{})
		row := fmt.Sprintf("%-24s", p.name)
		row += fmt.Sprintf(" %12.2f / %5.2f", percentile(with.jobs, 0.5), percentile(without.jobs, 0.5))
		for _, q := range []float64{0.99, 0.9} {
			row += fmt.Sprintf(" %12.2f / %5.2f", percentile(with.stretch, q), percentile(without.stretch, q))
		}
		return row
	})
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	fmt.Fprintln(w)
}

func others(o Options, p policy, m mix) sample {
	var out sample
	for seed := range o.Seeds {
		jobs := generate(uint64(seed), m, isolationUntil, steady(floodBase))
		r := simulate(p.make(), withoutDeadlines(jobs), nil)
		out.merge(r.measureIf(func(j *job) bool {
			return j.at >= burstFrom && j.at < burstFrom+burstLength && j.spec.Team != "team0"
		}))
	}
	out.sort()
	return out
}
