package experiment

import (
	"os"
	"reflect"
	"strconv"
	"testing"

	"github.com/savorypass/savorypass/internal/sched/fair"
)

// TestRun prints the comparison if SAVORY_EXPERIMENT is set to the number of seeds. With SAVORY_TUNE it prints that of
// Tune; SAVORY_POLICY selects one policy by its name.
func TestRun(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("SAVORY_EXPERIMENT"))
	if err != nil {
		t.Skip("SAVORY_EXPERIMENT is not set")
	}
	run := Run
	if os.Getenv("SAVORY_TUNE") != "" {
		run = Tune
	}
	if err := run(os.Stdout, Options{Seeds: seeds, Only: os.Getenv("SAVORY_POLICY")}); err != nil {
		t.Fatal(err)
	}
}

// TestRepeatable guards against decisions that depend on anything but the arguments, such as the iteration order of a
// map.
func TestRepeatable(t *testing.T) {
	run := func() []outcome {
		jobs := generate(1, mix{heavy: true}, 8, steady(1.5))
		admissionControl := &admission{bounds: burstCases[0].bounds, retries: 1}
		return simulate(fair.New(fair.Options{}), jobs, admissionControl).out
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs of the same arrivals differ")
	}
}
