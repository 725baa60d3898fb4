package experiment

import (
	"os"
	"strconv"
	"testing"
)

// TestRun prints the comparison when SAVORY_EXPERIMENT holds the number of seeds.
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
