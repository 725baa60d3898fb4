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
)

// until ready, until started JOBS N, until sees E F live|suspect|gone, until ended|unlisted NAME
func until(sc *script, args []string) error {
	if err := need(args, 1, "until STATE"); err != nil {
		return err
	}
	return WaitUntil(strings.Join(args, " "), WaitTimeout, func() string { return sc.state(args) })
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
		if err := sc.sys.WaitConfig(MaxConfigDelay); err != nil {
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

// finals asks until each job of a group has a final answer and checks it.
func (sc *script) finals(group string, codes []string) error {
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
