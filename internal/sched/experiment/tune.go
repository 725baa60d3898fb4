package experiment

import (
	"fmt"
	"io"

	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/fair"
)

// Tune prints the comparison for ranges of the default scheduler's constants: ageing, the weight of a task's run time
// and the short reserve. The error is always nil.
func Tune(w io.Writer, o Options) error {
	o = o.withDefaults()
	var ranks, reserves []policy
	for _, ageing := range []float64{1, 0.25, 0.05, 0.02} {
		for _, perTask := range []float64{0, 1, 5} {
			rank := func(r fair.RankInput) float64 {
				return r.Arrival + r.Work/(r.Slots*ageing) + perTask*r.TaskTime
			}
			name := fmt.Sprintf("ageing %.2f, task x %.0f", ageing, perTask)
			ranks = append(ranks, policy{name, func() sched.Scheduler { return fair.New(fair.Options{Rank: rank}) }})
		}
	}
	for _, reserve := range []float64{-1, 0.1, 0.2, 0.3} {
		name := fmt.Sprintf("reserve %.1f", max(0, reserve))
		newFair := func() sched.Scheduler { return fair.New(fair.Options{ShortReserve: reserve}) }
		reserves = append(reserves, policy{name, newFair})
	}
	compareAt(w, o, ranks, "load 95%", steady(0.95))
	compareAt(w, o, ranks, "load 95%, swinging", swinging(0.95))
	headOfLine(w, o, reserves)
	return nil
}
