package scenario

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Guards against guarantees that break under the faults that a script applies. The head of each script lists the faults that
// it covers and, by letters in parentheses, which of these guarantees:
//
//	(a) No task of a submission starts twice.
//	(b) An answer is complete or failed, never partial.
//	(c) Each caller gets the whole answer to its own request.
//	(d) A refusal that says "not run" is true.
//	(e) A request that is not idempotent runs at most once.
//	(f) A leaving endpoint gets no new work after 3 s.
//	(g) A planned stop cuts off no request.
//	(h) An accepted configuration is in force everywhere within 11 s and never reverts to an older one.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../../scenarios",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			sc := &script{dir: env.WorkDir, jobs: map[string][]*Job{}, open: map[string]*sync.WaitGroup{}}
			env.Values[scriptKey{}] = sc
			env.Defer(sc.close)
			return nil
		},
		Cmds: commands(),
	})
}

// scriptKey is the key of the *script in the environment of a script.
type scriptKey struct{}

// script is the state of one running script.
type script struct {
	dir        string
	sys        *System
	jobs       map[string][]*Job          // by the name of their group in the script
	open       map[string]*sync.WaitGroup // open requests of each group of jobs
	background sync.WaitGroup             // open publications and planned stops
}

func (sc *script) close() {
	if sc.sys != nil {
		sc.sys.Close()
	}
}

// command runs one line of a script; args are the words after the name of the command.
type command func(sc *script, args []string) error

// commands returns the commands of the script language. A command that fails prints the history and the output of the entry
// instances.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range map[string]command{
		"system": system, "identify": identify, "submit": submit, "resubmit": resubmit, "fetch": requestCommand(Fetch), "cancel": requestCommand(Cancel), "await": await,
		"crash": crash, "stopping": stopping, "restart": restart, "pause": pause, "resume": resume, "cut": cut, "heal": heal,
		"log": logState, "list": listState, "worker": workerFault, "publish": publish, "race": race, "until": until,
		"expect": expect, "pass": pass, "check": check, "raw": raw, "revive": revive,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			sc := ts.Value(scriptKey{}).(*script)
			if name != "system" && sc.sys == nil {
				ts.Fatalf("%s: no deployment; the script must run \"system\" first", name)
			}
			err := run(sc, args)
			if name == "system" && err == nil {
				sc.setEnvironment(ts)
			}
			if neg && err == nil {
				ts.Fatalf("%s succeeded, must fail", name)
			}
			if !neg && err != nil {
				sc.print(ts)
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return out
}

// setEnvironment sets the variables with which scripts can run savoryctl against the deployment.
func (sc *script) setEnvironment(ts *testscript.TestScript) {
	var operators, callers []string
	for _, e := range sc.sys.Entries {
		operators, callers = append(operators, e.ControlAddress), append(callers, e.CallerAddress)
	}
	ts.Setenv("SAVORY_ENDPOINTS", strings.Join(operators, ","))
	ts.Setenv("SAVORY_CALLERS", strings.Join(callers, ","))
	ts.Setenv("SAVORY_TOKEN", OperatorToken)
}

// print logs the history and the output of the entry instances, whose names contain "-e".
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

// parseFlags parses the flags that set defines and returns the other arguments.
func parseFlags(args []string, set func(f *flag.FlagSet)) ([]string, error) {
	f := flag.NewFlagSet("command", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	set(f)
	err := f.Parse(args)
	return f.Args(), err
}

// requireArgs returns an error with the usage if there are fewer than n arguments.
func requireArgs(args []string, n int, usage string) error {
	if len(args) < n {
		return errors.New("usage: " + usage)
	}
	return nil
}

// system implements "system [-zones A,B] [-entries N] [-workers N] [-slots N] [-lag D] [-keep N]": it starts a deployment
// and waits until it is ready. -entries and -workers count per zone, -slots per worker; -lag is the lag of the instance list
// and -keep the number of records that the log keeps.
func system(sc *script, args []string) error {
	o := Options{Dir: sc.dir, Launch: processes(sc.dir)}
	var zones string
	_, err := parseFlags(args, func(f *flag.FlagSet) {
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

// entry returns the program of the given name, or the first entry instance if the name is empty.
func (sc *script) entry(name string) (*Program, error) {
	if name == "" {
		return sc.sys.Entries[0], nil
	}
	return sc.sys.Find(name)
}

// identify implements "identify [options of submit] JOBS": each caller gets an identity for one job of the group JOBS, which
// "resubmit" submits later.
func identify(sc *script, args []string) error {
	_, err := sc.identify(args)
	return err
}

// submit implements "submit [-home E] [-at E] [-callers N] [-tasks N] [-run MS] [-declare MS] [-cores C] [-deadline MS]
// [-service S] [-fail] [-wait D] [-retry CODE|...] [-within D] JOBS": each caller submits one job of the group JOBS in the background.
// "await" and "expect answer" wait for the answers. With -retry a caller that gets one of the codes submits its job again, as their
// table in docs/result-codes.md says, for as long as -within says after the first submission.
func submit(sc *script, args []string) error {
	s, err := sc.identify(args)
	if err != nil {
		return err
	}
	return sc.sendInBackground(s, Submit)
}

// submission is where and how long the jobs of a group are submitted.
type submission struct {
	group, at string
	wait      time.Duration
	retry     []string      // codes after which a caller submits again
	within    time.Duration // how long after its first submission a caller submits again
}

// identify parses the arguments of submit, gets the identities of the jobs and adds the jobs to their group.
func (sc *script) identify(args []string) (submission, error) {
	spec := JobSpec{Service: "washout"}
	var s submission
	var home, retry string
	var callers int
	rest, err := parseFlags(args, func(f *flag.FlagSet) {
		f.StringVar(&home, "home", "", "")
		f.StringVar(&s.at, "at", "", "")
		f.IntVar(&callers, "callers", 1, "")
		f.IntVar(&spec.Tasks, "tasks", 8, "")
		f.IntVar(&spec.RunMS, "run", 20, "")
		f.IntVar(&spec.DeclaredRunMS, "declare", 0, "")
		f.Float64Var(&spec.Cores, "cores", 0, "")
		f.Int64Var(&spec.DeadlineMS, "deadline", 0, "")
		f.StringVar(&spec.Service, "service", "washout", "")
		f.BoolVar(&spec.Fail, "fail", false, "")
		f.DurationVar(&s.wait, "wait", 45*time.Second, "")
		f.StringVar(&retry, "retry", "", "")
		f.DurationVar(&s.within, "within", 0, "")
	})
	if err == nil {
		err = requireArgs(rest, 1, "submit [options] JOBS")
	}
	if err != nil {
		return s, err
	}
	s.group, s.retry = rest[0], strings.Split(retry, "|")
	e, err := sc.entry(home)
	if err != nil {
		return s, err
	}
	if s.at == "" {
		s.at = e.Name
	}
	for i := range callers {
		j, err := sc.sys.NewJob(e, []string{CallerToken, OtherTeamToken}[i%2], spec)
		if err != nil {
			return s, err
		}
		sc.jobs[s.group] = append(sc.jobs[s.group], j)
	}
	return s, nil
}

// sendInBackground sends a request about each job of a group in the background.
func (sc *script) sendInBackground(s submission, kind string) error {
	e, err := sc.entry(s.at)
	if err != nil {
		return err
	}
	if len(sc.jobs[s.group]) == 0 {
		return fmt.Errorf("there are no jobs of group %q", s.group)
	}
	if sc.open[s.group] == nil {
		sc.open[s.group] = &sync.WaitGroup{}
	}
	for _, j := range sc.jobs[s.group] {
		sc.open[s.group].Go(func() { sc.sys.sendUntilTaken(e, j, kind, s) })
	}
	return nil
}

func resubmit(sc *script, args []string) error { return requestCommand(Submit)(sc, args) }

// sendUntilTaken sends a request about a job, and again after the answers that s names. It begins no request after the time that s allows,
// so that the last answer is then one of them.
func (s *System) sendUntilTaken(e *Program, j *Job, kind string, how submission) {
	for end := time.Now().Add(how.within); ; {
		a, err := s.SendRequest(e, j, kind, how.wait)
		if err != nil || !slices.Contains(how.retry, a.Name) {
			return
		}
		pause := max(time.Duration(a.RetryAfterMS)*time.Millisecond, retryInterval)
		if time.Now().Add(pause).After(end) {
			return
		}
		time.Sleep(pause)
	}
}

// requestCommand implements "resubmit|fetch|cancel [-at E] [-wait D] JOBS": it sends a request about each job of the group
// in the background.
func requestCommand(kind string) command {
	return func(sc *script, args []string) error {
		var at string
		var wait time.Duration
		rest, err := parseFlags(args, func(f *flag.FlagSet) {
			f.StringVar(&at, "at", "", "")
			f.DurationVar(&wait, "wait", 10*time.Second, "")
		})
		if err == nil {
			err = requireArgs(rest, 1, kind+" [options] JOBS")
		}
		if err != nil {
			return err
		}
		return sc.sendInBackground(submission{group: rest[0], at: at, wait: wait}, kind)
	}
}

// await implements "await JOBS...": it waits until all requests about the jobs of the groups have ended.
func await(sc *script, args []string) error {
	for _, group := range args {
		if sc.open[group] == nil {
			return fmt.Errorf("there are no jobs of group %q", group)
		}
		sc.open[group].Wait()
	}
	return nil
}

// forEachProgram calls f for each named program, up to the first error.
func (sc *script) forEachProgram(names []string, f func(p *Program) error) error {
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

func crash(sc *script, args []string) error   { return sc.forEachProgram(args, sc.sys.Kill) }
func restart(sc *script, args []string) error { return sc.forEachProgram(args, sc.sys.Restart) }
func pause(sc *script, args []string) error   { return sc.forEachProgram(args, sc.sys.Pause) }
func resume(sc *script, args []string) error  { return sc.forEachProgram(args, sc.sys.Resume) }
func revive(sc *script, args []string) error  { return sc.forEachProgram(args, sc.sys.RestartIfEnded) }
func heal(sc *script, _ []string) error       { return sc.sys.Heal() }
