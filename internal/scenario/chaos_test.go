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
	chaosSeed      = flag.Uint64("chaos.seed", 1, "seed of the first random run; each further run adds 1")
	chaosRuns      = flag.Int("chaos.runs", 4, "number of random runs")
	chaosProcesses = flag.Bool("chaos.processes", false, "run each program of the random runs in a separate process")
)

// Guards against guarantees (see TestScenarios) that break under a combination of faults that no scenario script covers.
func TestChaos(t *testing.T) {
	logrus.SetOutput(io.Discard) // the stand-ins that run in this process use the standard logger
	for i := range *chaosRuns {
		seed := *chaosSeed + uint64(i)
		t.Run("seed="+strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			launch := Launcher(InProcess)
			if *chaosProcesses {
				launch = processes(t.TempDir())
			}
			s, violations := Chaos(seed, t.TempDir(), launch)
			if s != nil {
				defer s.Close()
				t.Logf("seed %d: %d jobs, %d final answers lost with their home and its copies", seed, len(s.History.Jobs()), s.LostAnswers())
			}
			if len(violations) == 0 {
				return
			}
			var history strings.Builder
			if s != nil {
				s.History.Print(&history)
			}
			t.Errorf("seed %d: %d broken guarantees:\n%s\nhistory:\n%s", seed, len(violations), strings.Join(violations, "\n"), history.String())
		})
	}
}

func TestMain(m *testing.M) { os.Exit(runMain(m)) }
