package experiment

import (
	"fmt"
	"io"
)

const (
	floodLoad     = 2.0  // work that one team adds during the burst, as a ratio to what all slots can do
	floodBaseLoad = 0.5  // work that all teams together submit all the time, as the same ratio
	isolationEnd  = 50.0 // seconds after which no more jobs arrive
)

// isolation prints how the response times of the other teams change when one team submits far more than all slots can
// do, without admission control.
func isolation(w io.Writer, o Options, chosen []policy) {
	fmt.Fprintf(w, "one team adds %.0f%% load for %.0f s to %.0f%% of all: other teams' jobs in that time, with and without it\n",
		floodLoad*100, burstLength, floodBaseLoad*100)
	fmt.Fprintf(w, "%-24s %20s %20s %20s\n", "", "p50 s", "p99 stretch", "p90 stretch")
	rows := mapPolicies(chosen, func(p policy) string {
		with, without := otherTeams(o, p, mix{flood: true}), otherTeams(o, p, mix{})
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

// otherTeams returns the response times of the jobs of all teams but the first that arrive during the burst.
func otherTeams(o Options, p policy, m mix) sample {
	var out sample
	for seed := range o.Seeds {
		jobs := generate(uint64(seed), m, isolationEnd, steady(floodBaseLoad))
		r := simulate(p.make(), withoutDeadlines(jobs), nil)
		out.merge(r.measureIf(func(j *job) bool {
			return j.at >= burstStart && j.at < burstStart+burstLength && j.spec.Team != "team0"
		}))
	}
	out.sort()
	return out
}
