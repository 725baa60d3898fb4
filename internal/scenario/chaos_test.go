package scenario

import (
	"flag"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

var (
	chaosSeed      = flag.Uint64("chaos.seed", 1, "first seed of the random runs")
	chaosRuns      = flag.Int("chaos.runs", 4, "number of random runs")
	chaosProcesses = flag.Bool("chaos.processes", false, "make the random runs with real processes")
)

// Guards against promises that break under a combination of faults that no scenario lists.
func TestChaos(t *testing.T) {
	logrus.SetOutput(io.Discard) // of the stand-ins in this process
	for i := range *chaosRuns {
		seed := *chaosSeed + uint64(i)
		t.Run("seed="+strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			launch := Launcher(InProcess)
			if *chaosProcesses {
				launch = processes(t.TempDir())
			}
			s, broken := Chaos(seed, t.TempDir(), launch)
			if s != nil {
				defer s.Close()
				t.Logf("seed %d: %d jobs, %d answers lost with their home and its copies", seed, len(s.History.Jobs()), s.LostAnswers())
			}
			if len(broken) == 0 {
				return
			}
			var history strings.Builder
			if s != nil {
				s.History.Print(&history)
			}
			t.Errorf("seed %d: %d broken promises:\n%s\nhistory:\n%s", seed, len(broken), strings.Join(broken, "\n"), history.String())
		})
	}
}

func TestMain(m *testing.M) { os.Exit(runMain(m)) }
