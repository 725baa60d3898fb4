//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is a case. run returns what broke the rule; empty if it held. An error means that the case could not run.
type scenario struct {
	plan plan
	run  func(w *world, trouble bool) (broken []string, err error)
}

var scenarios = map[string]scenario{
	"cancel": cancelScenario, "overlap": overlapScenario, "label": labelScenario, "roll": rollScenario, "duplicate": duplicateScenario,
}

func main() {
	record := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	s, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	os.Exit(play(s, *record, os.Getenv("TROUBLE") != "0"))
}

func play(s scenario, record string, trouble bool) int {
	w, err := newWorld(s.plan, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		w.close()
		os.Exit(exitNotRun)
	})
	if err := w.startAll(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := s.run(w, trouble)
	w.noteRuns()
	for _, i := range w.instances {
		if i.exited() {
			err = fmt.Errorf("%s has ended by itself", i.name)
		}
	}
	switch {
	case err != nil:
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			w.note("BROKEN: %s", b)
			fmt.Println(b)
		}
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
