package scenario

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin/worker"
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
		operators, callers = append(operators, e.Control), append(callers, e.Callers)
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
		f.DurationVar(&o.Lag, "lag", 200*time.Millisecond, "")
		f.IntVar(&o.LogKeep, "keep", 0, "")
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
	sh := Shape{Service: "washout"}
	var home, at string
	var callers int
	var wait time.Duration
	rest, err := options(args, func(f *flag.FlagSet) {
		f.StringVar(&home, "home", "", "")
		f.StringVar(&at, "at", "", "")
		f.IntVar(&callers, "callers", 1, "")
		f.IntVar(&sh.Tasks, "tasks", 8, "")
		f.IntVar(&sh.RunMS, "run", 20, "")
		f.IntVar(&sh.DeclaredMS, "declare", 0, "")
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
		j, err := sc.sys.NewJob(e, []string{CallerToken, OtherToken}[i%2], sh)
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
		sc.asked[group].Go(func() { sc.sys.Ask(e, j, kind, wait) })
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
func revive(sc *script, args []string) error  { return sc.each(args, sc.sys.Revive) }
func heal(sc *script, _ []string) error       { return sc.sys.Heal() }

// stopping E: begins a planned stop; "expect stopped" waits for its end.
func stopping(sc *script, args []string) error {
	return sc.each(args, func(p *Program) error {
		sc.work.Go(func() { sc.sys.Stop(p) })
		return nil
	})
}

// cut ZONE|E peers|log|list...
func cut(sc *script, args []string) error {
	if err := need(args, 2, "cut ZONE|E peers|log|list..."); err != nil {
		return err
	}
	for _, from := range args[1:] {
		if err := sc.sys.Cut(args[0], from); err != nil {
			return err
		}
	}
	return nil
}

// log down|drop|hang|up, log slow MS, log lose-answer N
func logState(sc *script, args []string) error {
	if err := need(args, 1, "log down|drop|hang|up|slow MS|lose-answer N"); err != nil {
		return err
	}
	n := 0
	if len(args) > 1 {
		n, _ = strconv.Atoi(args[1])
	}
	return sc.sys.LogFault(args[0], n)
}

// list down|hang|freeze|up
func listState(sc *script, args []string) error {
	if err := need(args, 1, "list down|hang|freeze|up"); err != nil {
		return err
	}
	return sc.sys.ListFault(args[0])
}

// worker W fail|silent|slow|leave|leave-accepting|pause|clear
func workerFault(sc *script, args []string) error {
	faults := map[string]worker.Fault{
		"fail": {FailFast: true}, "silent": {Silent: true}, "slow": {SlowFactor: 50}, "leave": {Leave: true},
		"leave-accepting": {Leave: true, LeaveAccepts: true}, "pause": {Pause: true}, "clear": {Clear: true},
	}
	if err := need(args, 2, "worker W FAULT"); err != nil {
		return err
	}
	f, ok := faults[args[1]]
	if !ok {
		return fmt.Errorf("worker fault %q is not known", args[1])
	}
	return sc.each(args[:1], func(p *Program) error { return sc.sys.Fault(p, f) })
}

// publish [-at E] [-code CODE] [-replaces N] [-drop SERVICE]: without a code it must be accepted.
func publish(sc *script, args []string) error {
	var at, want, drop string
	var replaces int64
	_, err := options(args, func(f *flag.FlagSet) {
		f.StringVar(&at, "at", "", "")
		f.StringVar(&want, "code", "", "")
		f.StringVar(&drop, "drop", "", "")
		f.Int64Var(&replaces, "replaces", -1, "")
	})
	if err != nil {
		return err
	}
	e, err := sc.entry(at)
	if err != nil {
		return err
	}
	if replaces < 0 {
		st, err := sc.sys.Status(e)
		if err != nil {
			return err
		}
		replaces = st.ConfigVersion
	}
	document := Document(sc.sys.nextRevision())
	if drop != "" {
		document = strings.Replace(document, "{name: "+drop+",", "{name: renamed,", 1)
	}
	_, err = sc.sys.Publish(e, document, replaces)
	if want == "" {
		return err
	}
	code, refused := Refusal(err)
	if !refused || !slices.Contains(strings.Split(want, "|"), code.String()) {
		return fmt.Errorf("outcome is %v, must be %s", err, want)
	}
	return nil
}

// race E1 E2: two operators replace the same version at once; exactly one may win.
func race(sc *script, args []string) error {
	if err := need(args, 2, "race E1 E2"); err != nil {
		return err
	}
	st, err := sc.sys.Status(sc.sys.Entries[0])
	if err != nil {
		return err
	}
	errs := make([]error, len(args))
	var both sync.WaitGroup
	for i, name := range args {
		e, err := sc.sys.Find(name)
		if err != nil {
			return err
		}
		document := Document(sc.sys.nextRevision())
		both.Go(func() { _, errs[i] = sc.sys.Publish(e, document, st.ConfigVersion) })
	}
	both.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
		} else if code, _ := Refusal(err); code != result.ConfigConflict {
			return fmt.Errorf("the loser's outcome is %w, must be config_conflict", err)
		}
	}
	if won != 1 {
		return fmt.Errorf("%d of %d operators won: %v", won, len(args), errs)
	}
	return nil
}

// until ready, until started JOBS N, until sees E F live|suspect|gone, until ended|unlisted NAME
func until(sc *script, args []string) error {
	if err := need(args, 1, "until STATE"); err != nil {
		return err
	}
	return Until(strings.Join(args, " "), Limit, func() string { return sc.state(args) })
}

func (sc *script) state(args []string) string {
	switch {
	case args[0] == "ready":
		return text(sc.sys.WaitReady())
	case args[0] == "started" && len(args) == 3:
		want, _ := strconv.Atoi(args[2])
		n, err := sc.started(args[1])
		if err != nil || n < want {
			return fmt.Sprintf("%d started, %v", n, err)
		}
		return ""
	case args[0] == "sees" && len(args) == 4:
		return sc.sees(args[1], args[2], args[3])
	case args[0] == "ended" && len(args) == 2:
		p, err := sc.sys.Find(args[1])
		if err != nil || !p.running.Ended() {
			return fmt.Sprintf("it runs, %v", err)
		}
		return ""
	case args[0] == "unlisted" && len(args) == 2:
		return sc.unlisted(args[1])
	}
	return fmt.Sprintf("state %q is not known", args)
}

// started counts the tasks of a group that have started.
func (sc *script) started(group string) (int, error) {
	l, _, err := sc.sys.ledger()
	n := 0
	for _, j := range sc.jobs[group] {
		for _, starts := range l[j.Identity] {
			n += min(1, len(starts))
		}
	}
	return n, err
}

func (sc *script) sees(who, whom, state string) string {
	e, err := sc.sys.Find(who)
	if err != nil {
		return err.Error()
	}
	st, err := sc.sys.Status(e)
	if err != nil {
		return err.Error()
	}
	for _, m := range st.Members {
		if m.Instance == whom {
			if string(m.State) == state {
				return ""
			}
			return "it is " + string(m.State)
		}
	}
	if state == "gone" {
		return ""
	}
	return "it is not known"
}

// unlisted: readers of the instance list do not see the program.
func (sc *script) unlisted(name string) string {
	listed, err := sc.sys.listed()
	if err != nil {
		return err.Error()
	}
	if slices.Contains(listed, name) {
		return "it is listed"
	}
	return ""
}

// expect answer JOBS CODE|..., expect final JOBS CODE|..., expect started JOBS N, expect config, expect stopped
func expect(sc *script, args []string) error {
	if err := need(args, 1, "expect WHAT"); err != nil {
		return err
	}
	switch {
	case args[0] == "answer" && len(args) == 3:
		return sc.answers(args[1], strings.Split(args[2], "|"))
	case args[0] == "final" && len(args) == 3:
		return sc.finals(args[1], strings.Split(args[2], "|"))
	case args[0] == "started" && len(args) == 3:
		n, err := sc.started(args[1])
		if err == nil && strconv.Itoa(n) != args[2] {
			err = fmt.Errorf("%d tasks have started, must be %s", n, args[2])
		}
		return err
	case args[0] == "config":
		if err := sc.sys.WaitConfig(ConfigBound); err != nil {
			return err
		}
		return sc.sys.CheckDocument()
	case args[0] == "stopped":
		sc.work.Wait()
		return nil
	}
	return fmt.Errorf("expectation %q is not known", args)
}

// answers checks the latest answer to each job of a group.
func (sc *script) answers(group string, codes []string) error {
	if err := await(sc, []string{group}); err != nil {
		return err
	}
	for _, j := range sc.jobs[group] {
		reqs := sc.sys.History.Requests(j)
		slices.SortFunc(reqs, func(a, b *Request) int { return a.Got.Compare(b.Got) })
		last := reqs[len(reqs)-1]
		got := "broken"
		if last.Ans != nil {
			got = last.Ans.Name
		}
		if !slices.Contains(codes, got) {
			return fmt.Errorf("the answer to %s is %s (%v), must be %s", j.Identity, got, last.Err, strings.Join(codes, " or "))
		}
	}
	return nil
}

// finals asks until each job of a group has a final answer and checks it.
func (sc *script) finals(group string, codes []string) error {
	if err := await(sc, []string{group}); err != nil {
		return err
	}
	for _, j := range sc.jobs[group] {
		a, err := sc.sys.Resolve(j, Limit)
		if err != nil {
			return err
		}
		if !slices.Contains(codes, a.Name) {
			return fmt.Errorf("the answer to %s is %s (%s), must be %s", j.Identity, a.Name, a.Message, strings.Join(codes, " or "))
		}
	}
	return nil
}

// pass D lets time pass, where the script needs a fault to last.
func pass(_ *script, args []string) error {
	if err := need(args, 1, "pass DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// check compares the history of the script with the workers' records, and looks for faults in the programs' output.
func check(sc *script, _ []string) error {
	for group := range sc.asked {
		sc.asked[group].Wait()
	}
	sc.work.Wait()
	broken := sc.sys.Check()
	logs, _ := filepath.Glob(filepath.Join(sc.dir, "*.log"))
	for _, file := range logs {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			if strings.Contains(string(text), sign) {
				broken = append(broken, filepath.Base(file)+" has "+sign)
			}
		}
	}
	if len(broken) > 0 {
		return errors.New("broken promises:\n" + strings.Join(broken, "\n"))
	}
	return nil
}
