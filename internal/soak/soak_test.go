package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	soakSeed      = flag.Uint64("soak.seed", 1, "seed of the first run; each further run adds 1")
	soakMinutes   = flag.Float64("soak.minutes", 0.15, "time during which a run injects faults")
	soakInstances = flag.Int("soak.instances", 4, "number of instances of a run")
	soakCallers   = flag.Int("soak.callers", 3, "number of callers for each instance")
	soakRuns      = flag.Int("soak.runs", 2, "number of runs; up to -parallel of them at the same time")
	soakStored    = flag.Bool("soak.stored", true, "some callers' jobs are stored, and zones may lose all instances or get endpoints")
	soakPaths     = flag.Bool("soak.paths", false, "callers' paths hide ends of connections and deliver requests again; also resets of the store, slow zones and lost endpoints")
	soakEnding    = flag.Duration("soak.ending", 0, "phase after the faults in which the callers leave while instances are stopped, started and changed; 0 for none")
	soakProgram   = flag.String("soak.program", "", "executable of the instances; it is built if empty")
	soakDir       = flag.String("soak.dir", "", "directory for the logs and histories of failed runs; a temporary one if empty")
)

// Guards against promises of the system that break under combinations of faults on the users' platform.
func TestSoak(t *testing.T) {
	program := build(t)
	for n := range *soakRuns {
		seed := *soakSeed + uint64(n)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, program)
		})
	}
}

// build returns the path of the program's executable, which it builds unless one is given.
func build(t *testing.T) string {
	if *soakProgram != "" {
		return *soakProgram
	}
	path := filepath.Join(t.TempDir(), "savorypass")
	cmd := exec.Command("go", "build", "-o", path, "./cmd/savorypass")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return path
}

func soak(t *testing.T, seed uint64, program string) {
	dir, err := os.MkdirTemp(*soakDir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	r, err := newRun(seed, program, dir, *soakInstances, drawRepeat(seed), *soakStored)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	r.paths, r.ending = *soakPaths, *soakEnding
	stop := make(chan struct{})
	defer close(stop)
	go r.record.measurePauses(stop)
	if missing := r.awaitServing(startTime); len(missing) > 0 {
		r.record.problem("%v do not serve %v after the start", missing, startTime)
	} else {
		r.play(time.Duration(*soakMinutes * float64(time.Minute)))
	}
	v := r.view()
	problems := slices.Concat(r.record.problems, broken(v))
	t.Log(r.report(v, problems))
	if len(problems) == 0 {
		os.RemoveAll(dir)
		return
	}
	if err := writeHistory(r, v, problems, filepath.Join(dir, "history.txt")); err != nil {
		t.Error(err)
	}
	t.Errorf("seed %d: %d broken promises, logs and history in %s:\n%s", seed, len(problems), dir, strings.Join(problems, "\n"))
}

// drawRepeat returns the time after which the callers of a run submit a job again.
func drawRepeat(seed uint64) time.Duration {
	return between(rand.New(rand.NewPCG(seed, 0)), 400*time.Millisecond, 1500*time.Millisecond).Round(time.Millisecond)
}

const (
	maxRound    = 20 * time.Second // of faults between two calm times
	endingRound = 1 << 20          // number of the round of faults in which the callers leave
)

// play runs the load with rounds of faults for a time, lets the callers leave if there is a phase for it, then kills and restarts all
// instances.
func (r *run) play(length time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	go r.checkRepeatedly(ctx)
	loaded := make(chan struct{})
	go func() {
		r.load(ctx, traffic)
		close(loaded)
	}()
	for round := uint64(1); length > 0; round++ {
		faulty, endRound := context.WithTimeout(ctx, min(length, maxRound))
		r.injectFaults(faulty, round, r.kinds())
		endRound()
		r.calm(round)
		length -= maxRound
	}
	if r.ending > 0 {
		r.record.note("the callers leave")
		endTraffic()
		leaving, end := context.WithTimeout(ctx, r.ending+r.repeat)
		r.injectFaults(leaving, endingRound, r.endingKinds())
		end()
	}
	r.killAll()
	cancel()
	<-loaded
	r.awaitStored()
}

// calm lets all bounds apply that hold only without disturbances, with planned changes only: a configuration, an endpoint that
// leaves, a planned stop and the evacuation of a zone.
func (r *run) calm(round uint64) {
	r.record.note("no more faults")
	time.Sleep(contact)
	var wg sync.WaitGroup
	for n, change := range []func(*rand.Rand){
		func(rnd *rand.Rand) { r.changeConfig(rnd, 0) },
		func(rnd *rand.Rand) { r.drainEndpoint(rnd, contact) },
		func(rnd *rand.Rand) { r.stopInstance(rnd, 0) },
		func(rnd *rand.Rand) { r.evacuateZone(rnd, evacuationBound+time.Second) },
	} {
		// The changes are made at the same time, and a generator must not be shared.
		rnd := rand.New(rand.NewPCG(r.seed+uint64(n), round))
		wg.Go(func() { change(rnd) })
	}
	wg.Wait()
}

const checkInterval = 5 * time.Second

// checkRepeatedly notes in the history when a promise is first found broken.
func (r *run) checkRepeatedly(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkInterval):
		}
		if problems := broken(r.view()); len(problems) > 0 {
			r.record.note("first broken promise found: %s", problems[0])
			return
		}
	}
}

// broken returns a description of each broken promise.
func broken(v *view) (problems []string) {
	for _, rule := range rules {
		for _, found := range rule.check(v) {
			problems = append(problems, rule.name+": "+found)
		}
	}
	return problems
}

// report returns the faults, the answers and the verdict of a run.
func (r *run) report(v *view, problems []string) string {
	answers, repeated, refusedLate := map[int]int{}, 0, 0
	ran := v.jobsThatRan()
	for _, j := range v.jobs {
		for n, a := range j.Attempts {
			answers[a.Status]++
			if n > 0 && refused(a) && ran[j.ID] {
				refusedLate++
			}
		}
		if len(j.Attempts) > 1 {
			repeated++
		}
	}
	var paused time.Duration
	for _, p := range v.pauses {
		paused += p.To.Sub(p.From)
	}
	return fmt.Sprintf("seed %d: repeat %v, faults %v, jobs %d, repeated %d, refused after an earlier submission ran %d, answers by status (0 none) %v, runs %d, orders %d, probes %d, revisions %d, planned stops %d, drains %d, pauses of the soak %v, broken promises %d",
		r.seed, r.repeat, r.record.faults, len(v.jobs), repeated, refusedLate, answers, len(v.starts), len(v.orders), len(v.probes), len(v.published),
		len(v.stops), len(v.drains), paused.Round(time.Millisecond), len(problems))
}

func writeHistory(r *run, v *view, problems []string, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := io.WriteString(f, strings.Join(problems, "\n")+"\n"+r.report(v, problems)+"\n"); err != nil {
		return err
	}
	r.record.print(f, v)
	return nil
}
