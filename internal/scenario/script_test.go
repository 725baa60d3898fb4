package scenario

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Guards against a promise of the design page that breaks under the fault that the script names.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../../scenarios",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			sc := &script{dir: env.WorkDir, jobs: map[string][]*Job{}, asked: map[string]*sync.WaitGroup{}}
			env.Values[scriptKey{}] = sc
			env.Defer(sc.close)
			return nil
		},
		Cmds: commands(),
	})
}

type scriptKey struct{}

// script is the state of one script.
type script struct {
	dir   string
	sys   *System
	jobs  map[string][]*Job
	asked map[string]*sync.WaitGroup // open requests of each group of jobs
	work  sync.WaitGroup             // open publications and planned stops
}

func (sc *script) close() {
	if sc.sys != nil {
		sc.sys.Close()
	}
}

// command runs one line of a script.
type command func(sc *script, args []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range map[string]command{
		"system": system, "submit": submit, "resubmit": resubmit, "fetch": ask(Fetch), "cancel": ask(Cancel), "await": await,
		"crash": crash, "stopping": stopping, "restart": restart, "pause": pause, "resume": resume, "cut": cut, "heal": heal,
		"log": logState, "list": listState, "worker": workerFault, "publish": publish, "race": race, "until": until,
		"expect": expect, "pass": pass, "check": check, "raw": raw, "revive": revive,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			sc := ts.Value(scriptKey{}).(*script)
			if name != "system" && sc.sys == nil {
				ts.Fatalf("%s: there is no system", name)
			}
			err := run(sc, args)
			if name == "system" && err == nil {
				sc.environment(ts)
			}
			if neg && err == nil {
				ts.Fatalf("%s succeeded", name)
			}
			if !neg && err != nil {
				sc.print(ts)
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return out
}

// environment lets scripts run savoryctl against the deployment.
func (sc *script) environment(ts *testscript.TestScript) {
	var operators, callers []string
	for _, e := range sc.sys.Entries {
		operators, callers = append(operators, e.ControlAddress), append(callers, e.CallerAddress)
	}
	ts.Setenv("SAVORY_ENDPOINTS", strings.Join(operators, ","))
	ts.Setenv("SAVORY_CALLERS", strings.Join(callers, ","))
	ts.Setenv("SAVORY_TOKEN", OperatorToken)
}

func (sc *script) print(ts *testscript.TestScript) {
	if sc.sys == nil {
		return
	}
	var b strings.Builder
	sc.sys.History.Print(&b)
	ts.Logf("history:\n%s", b.String())
	logs, _ := filepath.Glob(filepath.Join(sc.dir, "*.log"))
	for _, file := range logs {
		if text, err := os.ReadFile(file); err == nil && strings.Contains(filepath.Base(file), "-e") {
			ts.Logf("%s:\n%s", filepath.Base(file), text)
		}
	}
}

// options reads the flags of a command.
func options(args []string, set func(f *flag.FlagSet)) ([]string, error) {
	f := flag.NewFlagSet("command", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	set(f)
	err := f.Parse(args)
	return f.Args(), err
}

func need(args []string, n int, usage string) error {
	if len(args) < n {
		return errors.New("usage: " + usage)
	}
	return nil
}

// system [-zones A,B] [-entries N] [-workers N] [-slots N] [-lag D] [-keep N]
func system(sc *script, args []string) error {
	o := Options{Dir: sc.dir, Launch: processes(sc.dir)}
	var zones string
	_, err := options(args, func(f *flag.FlagSet) {
		f.StringVar(&zones, "zones", "blackstone,farmington", "")
		f.IntVar(&o.Entries, "entries", 2, "")
		f.IntVar(&o.Workers, "workers", 1, "")
		f.IntVar(&o.Slots, "slots", 4, "")
		f.DurationVar(&o.InstanceListLag, "lag", 200*time.Millisecond, "")
		f.IntVar(&o.LogRetentionCount, "keep", 0, "")
	})
	if err != nil {
		return err
	}
	o.Zones = strings.Split(zones, ",")
	if sc.sys, err = Start(o); err != nil {
		return err
	}
	return sc.sys.Prepare()
}

// entry finds a program: a name, or the first entry instance for "".
func (sc *script) entry(name string) (*Program, error) {
	if name == "" {
		return sc.sys.Entries[0], nil
	}
	return sc.sys.Find(name)
}

// submit [-home E] [-at E] [-callers N] [-tasks N] [-run MS] [-declare MS] [-cores C] [-deadline MS] [-service S]
// [-fail] [-wait D] JOBS: each caller submits one job; the answers are awaited by "await" or "expect answer".
func submit(sc *script, args []string) error {
	sh := JobSpec{Service: "washout"}
	var home, at string
	var callers int
	var wait time.Duration
	rest, err := options(args, func(f *flag.FlagSet) {
		f.StringVar(&home, "home", "", "")
		f.StringVar(&at, "at", "", "")
		f.IntVar(&callers, "callers", 1, "")
		f.IntVar(&sh.Tasks, "tasks", 8, "")
		f.IntVar(&sh.RunMS, "run", 20, "")
		f.IntVar(&sh.DeclaredRunMS, "declare", 0, "")
		f.Float64Var(&sh.Cores, "cores", 0, "")
		f.Int64Var(&sh.DeadlineMS, "deadline", 0, "")
		f.StringVar(&sh.Service, "service", "washout", "")
		f.BoolVar(&sh.Fail, "fail", false, "")
		f.DurationVar(&wait, "wait", 45*time.Second, "")
	})
	if err == nil {
		err = need(rest, 1, "submit [options] JOBS")
	}
	if err != nil {
		return err
	}
	e, err := sc.entry(home)
	if err != nil {
		return err
	}
	for i := range callers {
		j, err := sc.sys.NewJob(e, []string{CallerToken, OtherTeamToken}[i%2], sh)
		if err != nil {
			return err
		}
		sc.jobs[rest[0]] = append(sc.jobs[rest[0]], j)
	}
	if at == "" {
		at = e.Name
	}
	return sc.send(rest[0], Submit, at, wait)
}

// send asks about each job of a group in the background.
func (sc *script) send(group, kind, at string, wait time.Duration) error {
	e, err := sc.entry(at)
	if err != nil {
		return err
	}
	if len(sc.jobs[group]) == 0 {
		return fmt.Errorf("there are no jobs %q", group)
	}
	if sc.asked[group] == nil {
		sc.asked[group] = &sync.WaitGroup{}
	}
	for _, j := range sc.jobs[group] {
		sc.asked[group].Go(func() { sc.sys.SendRequest(e, j, kind, wait) })
	}
	return nil
}

func resubmit(sc *script, args []string) error { return ask(Submit)(sc, args) }

// resubmit|fetch|cancel [-at E] [-wait D] JOBS
func ask(kind string) command {
	return func(sc *script, args []string) error {
		var at string
		var wait time.Duration
		rest, err := options(args, func(f *flag.FlagSet) {
			f.StringVar(&at, "at", "", "")
			f.DurationVar(&wait, "wait", 10*time.Second, "")
		})
		if err == nil {
			err = need(rest, 1, kind+" [options] JOBS")
		}
		if err != nil {
			return err
		}
		return sc.send(rest[0], kind, at, wait)
	}
}

// await JOBS: waits for the answers to all requests.
func await(sc *script, args []string) error {
	for _, group := range args {
		if sc.asked[group] == nil {
			return fmt.Errorf("there are no jobs %q", group)
		}
		sc.asked[group].Wait()
	}
	return nil
}

// each applies f to the named programs.
func (sc *script) each(names []string, f func(p *Program) error) error {
	for _, name := range names {
		p, err := sc.sys.Find(name)
		if err == nil {
			err = f(p)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func crash(sc *script, args []string) error   { return sc.each(args, sc.sys.Kill) }
func restart(sc *script, args []string) error { return sc.each(args, sc.sys.Restart) }
func pause(sc *script, args []string) error   { return sc.each(args, sc.sys.Pause) }
func resume(sc *script, args []string) error  { return sc.each(args, sc.sys.Resume) }
func revive(sc *script, args []string) error  { return sc.each(args, sc.sys.RestartIfEnded) }
func heal(sc *script, _ []string) error       { return sc.sys.Heal() }
