// Package bench measures the dispatcher with real processes on loopback. Its programs are the entry instances of the product
// and the stand-ins of the platform. It contains:
//
//   - an open-loop load generator, which submits each job at its time even if earlier jobs have not ended;
//   - the comparison with the naive scheduler (package naive, the baseline: one queue in order of arrival) and with an ideal
//     scheduler, a simulation that knows the true run time of every task and takes no time itself;
//   - the starts per second and core of the entry instances at several cluster sizes.
//
// The crest is a short peak of the load above the capacity. Stragglers are tasks that run far longer than declared.
package bench

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes of savory-bench.
const (
	exitOK     = 0
	exitFailed = 1 // the command failed, for example because a measurement could not be made
	exitUsage  = 2
	exitMissed = 3 // every measurement was made, and a bound is missed
)

var errMissed = errors.New("a bound is missed")

// Main runs a command and returns the exit code.
func Main(args []string) int {
	p := flags.NewNamedParser("savory-bench", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        flags.Commander
	}{
		{"prepare", "write the files of a cluster and the list of its processes", &prepareCommand{}},
		{"ready", "publish the first configuration and wait until the cluster is ready", &readyCommand{}},
		{"run", "run the experiments that compare two clusters", &runCommand{}},
		{"rate", "measure the starts per second and core of a cluster", &rateCommand{}},
		{"table", "print the rows of a run", &tableCommand{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case errors.Is(err, errMissed):
		return exitMissed
	}
	fmt.Fprintln(os.Stderr, "savory-bench:", err)
	return exitFailed
}

type prepareCommand struct{ Plan }

// Execute implements flags.Commander.
func (c *prepareCommand) Execute([]string) error { return Prepare(c.Plan) }

type dirOption struct {
	Dir string `long:"dir" required:"true" description:"directory of the cluster"`
}

type outOptions struct {
	Out   string `long:"out" default:"out" description:"directory for results"`
	Short bool   `long:"short" description:"short run, for trials"`
	Seed  uint64 `long:"seed" default:"1" description:"seed of the arrivals"`
}

func (o *outOptions) run() *Run {
	r := &Run{Out: o.Out, Seed: o.Seed, Extent: FullExtent, Logf: progress(os.Stderr)}
	if o.Short {
		r.Extent = ShortExtent
	}
	return r
}

// progress returns a function that prints a line with the seconds since the call of progress.
func progress(w io.Writer) func(string, ...any) {
	begin := time.Now()
	return func(format string, args ...any) {
		fmt.Fprintf(w, "%7.1f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
}

type readyCommand struct{ dirOption }

// Execute implements flags.Commander.
func (c *readyCommand) Execute([]string) error {
	cluster, err := Open(c.Dir)
	if err != nil {
		return err
	}
	return cluster.MakeReady()
}

type runCommand struct {
	outOptions
	Fair  string   `long:"fair" required:"true" description:"directory of the cluster to measure"`
	Naive string   `long:"naive" required:"true" description:"directory of the cluster to compare with"`
	Only  []string `long:"only" description:"run only these experiments: overhead, response, crest, configuration"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) (err error) {
	r := c.run()
	if r.Fair, err = OpenRunning(c.Fair); err != nil {
		return err
	}
	if r.Naive, err = OpenRunning(c.Naive); err != nil {
		return err
	}
	return r.experiments(c.Only)
}

// experiments runs the experiments in order, all if only is empty. If one fails, the others still run.
func (r *Run) experiments(only []string) error {
	list := []struct {
		name string
		run  func() error
	}{
		{"overhead", r.Overhead}, // first, because the others take the network time that it measures into account
		{"response", r.Responses},
		{"crest", r.Crest},
		{"configuration", r.Configuration},
	}
	errs := []error{r.recordOwnedSlots()}
	for _, x := range list {
		if len(only) > 0 && !slices.Contains(only, x.name) {
			continue
		}
		r.Logf("%s begins", x.name)
		if err := x.run(); err != nil {
			r.Logf("%s failed: %v", x.name, err)
			errs = append(errs, r.recordFailure(x.name, err))
		}
	}
	return errors.Join(errs...)
}

// recordOwnedSlots records the number of slots that the entry instances own together, divided by the number that the workers
// have. The owner of a worker is the entry instance that assigns its slots, so the result exceeds 1 if workers have more than
// one owner.
func (r *Run) recordOwnedSlots() error {
	for _, c := range r.clusters() {
		sum, err := c.ownedSlots()
		if err != nil {
			return err
		}
		r.Logf("%s: the entry instances own %d slots, the workers have %d", c.Name, sum, c.Slots)
		row := Row{Measure: "owned slots", Case: c.Name, Unit: "of existing", Value: finite(float64(sum) / float64(c.Slots)), Max: finite(1)}
		if err := appendRows(r.Out, row); err != nil {
			return err
		}
	}
	return nil
}

// recordFailure records a row without a value for a failed experiment, so that the table shows the failure, and returns the
// cause.
func (r *Run) recordFailure(name string, cause error) error {
	err := appendRows(r.Out, Row{Measure: name, Case: "experiment failed", Max: finite(0), Note: fmt.Sprintf("%.160v", cause)})
	return errors.Join(fmt.Errorf("%s: %w", name, cause), err)
}

type rateCommand struct {
	outOptions
	dirOption
}

// Execute implements flags.Commander.
func (c *rateCommand) Execute([]string) error {
	cluster, err := OpenRunning(c.Dir)
	if err != nil {
		return err
	}
	r := c.run()
	if err := r.Rate(cluster); err != nil {
		return r.recordFailure("rate", err)
	}
	return nil
}

type tableCommand struct{ outOptions }

// Execute implements flags.Commander.
func (c *tableCommand) Execute([]string) error {
	missed, err := Table(os.Stdout, c.Out)
	if err == nil && missed > 0 {
		return errMissed
	}
	return err
}
