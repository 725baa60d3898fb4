package pool

import (
	"testing"
	"time"
	"fmt"
)

func TestXTrial(t *testing.T) {
	worth := []float64{.0101, .0074, .0042}
	line := ""
	for _, share := range []float64{0.6, 0.7, 0.8, 0.9, 1.1, -1} {
		tot, owed := 0.0, 0.0
		var c [3]result
		for seed := uint64(1); seed <= 2; seed++ {
			l := replayedLoad(share)
			if share < 0 {
				l = replayedLoad(0.6)
				l.burst = [2]time.Duration{4 * time.Second, 10 * time.Second}
				l.kinds[1].burst = 2.4
			}
			l.seed = seed
			r := newReplay(l, func(*Pool) {})
			for i, x := range r.play() {
				c[i].earned += x.earned
				c[i].owed += x.owed
				c[i].late += x.late
				c[i].refused += x.refused
				c[i].asked += x.asked
				tot += worth[i] * x.earned
				owed += worth[i] * x.owed
			}
		}
		line += fmt.Sprintf("%5.2f: %.3f", share, tot/owed)
		for i := range c {
			line += fmt.Sprintf("  %s %.3f late %.3f ref %.3f |", "wln"[i:i+1], c[i].earned/c[i].owed, float64(c[i].late)/float64(c[i].asked), float64(c[i].refused)/float64(c[i].asked))
		}
		line += "\n"
	}
	fmt.Print(line)
}
