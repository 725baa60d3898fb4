package scenario

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// until implements "until ready", "until started JOBS N", "until received JOBS N", "until sees E F live|suspect|gone" "until draining E"
// and "until ended|unlisted NAME": it waits until the deployment is in the named state.
func until(sc *script, args []string) error {
	if err := requireArgs(args, 1, "until STATE"); err != nil {
		return err
	}
	return WaitUntil(strings.Join(args, " "), WaitTimeout, func() string { return sc.missingForState(args) })
}

// missingForState returns "" if the deployment is in the state that args describe, and otherwise what is missing.
func (sc *script) missingForState(args []string) string {
	switch {
	case args[0] == "ready":
		return errorText(sc.sys.WaitReady())
	case args[0] == "started" && len(args) == 3:
		want, _ := strconv.Atoi(args[2])
		n, err := sc.countStarted(args[1])
		if err != nil || n < want {
			return fmt.Sprintf("%d tasks started, error %v", n, err)
		}
		return ""
	case args[0] == "received" && len(args) == 3:
		return sc.missingForReceived(args[1], args[2])
	case args[0] == "draining" && len(args) == 2:
		return sc.missingForDraining(args[1])
	case args[0] == "sees" && len(args) == 4:
		return sc.missingForSees(args[1], args[2], args[3])
	case args[0] == "ended" && len(args) == 2:
		p, err := sc.sys.Find(args[1])
		if err != nil || !p.process.Ended() {
			return fmt.Sprintf("it is still running, error %v", err)
		}
		return ""
	case args[0] == "unlisted" && len(args) == 2:
		return sc.missingForUnlisted(args[1])
	}
	return fmt.Sprintf("unknown state %q", args)
}

// countStarted returns the number of tasks of a group of jobs that have started.
func (sc *script) countStarted(group string) (int, error) {
	byJob, _, err := sc.sys.startsByJob()
	n := 0
	for _, j := range sc.jobs[group] {
		for _, starts := range byJob[j.Identity] {
			n += min(1, len(starts))
		}
	}
	return n, err
}

// missingForReceived returns "" if the homes of a group of jobs have received the submissions of a number of them.
func (sc *script) missingForReceived(group, count string) string {
	want, err := strconv.Atoi(count)
	if err != nil {
		return err.Error()
	}
	received := 0
	for _, j := range sc.jobs[group] {
		home, err := sc.sys.Find(j.Home)
		if err != nil {
			return err.Error()
		}
		var job opsapi.Job
		if err := sc.sys.CallOperatorAPI(home, "GET", opsapi.PathJobs+"/"+j.Identity, nil, &job); err == nil {
			received++
		}
	}
	if received < want {
		return fmt.Sprintf("%d submissions received", received)
	}
	return ""
}

// status returns the status of the named instance.
func (sc *script) status(name string) (opsapi.Status, error) {
	e, err := sc.sys.Find(name)
	if err != nil {
		return opsapi.Status{}, err
	}
	return sc.sys.Status(e)
}

// missingForDraining returns "" if the named instance has begun its planned stop.
func (sc *script) missingForDraining(name string) string {
	st, err := sc.status(name)
	if err != nil {
		return err.Error()
	}
	if !st.Draining {
		return "it takes new work"
	}
	return ""
}

// missingForSees returns "" if the instance observer sees the instance observed in the given state, and otherwise the state
// that it sees. An instance that is not a member is gone.
func (sc *script) missingForSees(observer, observed, state string) string {
	st, err := sc.status(observer)
	if err != nil {
		return err.Error()
	}
	for _, m := range st.Members {
		if m.Instance == observed {
			if string(m.State) == state {
				return ""
			}
			return "it is " + string(m.State)
		}
	}
	if state == "gone" {
		return ""
	}
	return "it is not a member"
}

// missingForUnlisted returns "" if readers of the instance list do not see the named instance.
func (sc *script) missingForUnlisted(name string) string {
	listedNames, err := sc.sys.listedNames()
	if err != nil {
		return err.Error()
	}
	if slices.Contains(listedNames, name) {
		return "it is still listed"
	}
	return ""
}

// expect implements "expect answer JOBS CODE|...", "expect final JOBS CODE|...", "expect started JOBS N", "expect config"
// and "expect stopped". "expect stopped" waits for all planned stops.
func expect(sc *script, args []string) error {
	if err := requireArgs(args, 1, "expect WHAT"); err != nil {
		return err
	}
	switch {
	case args[0] == "answer" && len(args) == 3:
		return sc.checkLatestAnswers(args[1], strings.Split(args[2], "|"))
	case args[0] == "final" && len(args) == 3:
		return sc.checkFinalAnswers(args[1], strings.Split(args[2], "|"))
	case args[0] == "started" && len(args) == 3:
		n, err := sc.countStarted(args[1])
		if err == nil && strconv.Itoa(n) != args[2] {
			err = fmt.Errorf("%d tasks have started, must be %s", n, args[2])
		}
		return err
	case args[0] == "config":
		if err := sc.sys.WaitConfig(MaxConfigDelay); err != nil {
			return err
		}
		return sc.sys.CheckDocument()
	case args[0] == "stopped":
		sc.background.Wait()
		return nil
	}
	return fmt.Errorf("unknown expectation %q", args)
}

// checkLatestAnswers waits for all requests about a group of jobs and checks that the last one to end for each job got one
// of the codes. The word "broken" stands for a request that failed without an answer.
func (sc *script) checkLatestAnswers(group string, codes []string) error {
	if err := await(sc, []string{group}); err != nil {
		return err
	}
	for _, j := range sc.jobs[group] {
		reqs := sc.sys.History.Requests(j)
		slices.SortFunc(reqs, func(a, b *Request) int { return a.EndedAt.Compare(b.EndedAt) })
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

// checkFinalAnswers resubmits each job of a group until it has a final answer or a refusal that says "not run", and checks
// that the answer has one of the codes.
func (sc *script) checkFinalAnswers(group string, codes []string) error {
	if err := await(sc, []string{group}); err != nil {
		return err
	}
	for _, j := range sc.jobs[group] {
		a, err := sc.sys.WaitFinal(j, WaitTimeout)
		if err != nil {
			return err
		}
		if !slices.Contains(codes, a.Name) {
			return fmt.Errorf("the answer to %s is %s (%s), must be %s", j.Identity, a.Name, a.Message, strings.Join(codes, " or "))
		}
	}
	return nil
}

// pass implements "pass DURATION": it waits, for scripts that need a fault to last.
func pass(_ *script, args []string) error {
	if err := requireArgs(args, 1, "pass DURATION"); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// check implements "check": it waits for all open requests and operations, compares the history with the workers' records,
// and searches the output of the programs for data races and crashes.
func check(sc *script, _ []string) error {
	for group := range sc.open {
		sc.open[group].Wait()
	}
	sc.background.Wait()
	violations := sc.sys.Check()
	logs, _ := filepath.Glob(filepath.Join(sc.dir, "*.log"))
	for _, file := range logs {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			if strings.Contains(string(text), sign) {
				violations = append(violations, filepath.Base(file)+" contains "+sign)
			}
		}
	}
	if len(violations) > 0 {
		return errors.New("broken guarantees:\n" + strings.Join(violations, "\n"))
	}
	return nil
}
