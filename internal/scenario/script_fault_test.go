package scenario

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

// stopping implements "stopping E...": it starts planned stops in the background; "expect stopped" waits for their end.
func stopping(sc *script, args []string) error {
	return sc.forEachProgram(args, func(p *Program) error {
		sc.background.Go(func() { sc.sys.Stop(p) })
		return nil
	})
}

// cut implements "cut ZONE|E peers|log|list...".
func cut(sc *script, args []string) error {
	if err := requireArgs(args, 2, "cut ZONE|E peers|log|list..."); err != nil {
		return err
	}
	for _, from := range args[1:] {
		if err := sc.sys.Cut(args[0], from); err != nil {
			return err
		}
	}
	return nil
}

// logState implements "log down|drop|hang|up", "log slow MS" and "log lose-answer N".
func logState(sc *script, args []string) error {
	if err := requireArgs(args, 1, "log down|drop|hang|up|slow MS|lose-answer N"); err != nil {
		return err
	}
	return setFault(args, sc.sys.SetLogFault)
}

// listState implements "list down|hang|freeze|up" and "list slow MS".
func listState(sc *script, args []string) error {
	if err := requireArgs(args, 1, "list down|hang|freeze|up|slow MS"); err != nil {
		return err
	}
	return setFault(args, sc.sys.SetListFault)
}

// setFault sets a fault from the words KIND [NUMBER].
func setFault(args []string, set func(kind string, n int) error) error {
	n := 0
	if len(args) > 1 {
		var err error
		if n, err = strconv.Atoi(args[1]); err != nil {
			return err
		}
	}
	return set(args[0], n)
}

// workerFault implements "worker W fail|silent|slow|leave|leave-accepting|pause|clear".
func workerFault(sc *script, args []string) error {
	faults := map[string]worker.Fault{
		"fail": {FailFast: true}, "silent": {Silent: true}, "slow": {SlowFactor: 50}, "leave": {Leave: true},
		"leave-accepting": {Leave: true, LeaveAccepts: true}, "pause": {Pause: true}, "clear": {Clear: true},
	}
	if err := requireArgs(args, 2, "worker W FAULT"); err != nil {
		return err
	}
	f, ok := faults[args[1]]
	if !ok {
		return fmt.Errorf("unknown worker fault %q", args[1])
	}
	return sc.forEachProgram(args[:1], func(p *Program) error { return sc.sys.Fault(p, f) })
}

// publish implements "publish [-at E] [-code CODE|...] [-within D] [-replaces N] [-drop SERVICE]". The publication must be refused
// with one of the codes; without -code it must be accepted. With -within it is repeated after a refusal with config_unavailable, which says
// that nothing was published, and must be accepted by an attempt that begins in this time. -replaces defaults to the version in force at the
// instance, and -drop renames a service, so that its old name is unknown.
func publish(sc *script, args []string) error {
	var at, want, drop string
	var replaces int64
	var within time.Duration
	_, err := parseFlags(args, func(f *flag.FlagSet) {
		f.StringVar(&at, "at", "", "")
		f.StringVar(&want, "code", "", "")
		f.StringVar(&drop, "drop", "", "")
		f.Int64Var(&replaces, "replaces", -1, "")
		f.DurationVar(&within, "within", 0, "")
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
	document := ConfigDocument(sc.sys.nextRevision())
	if drop != "" {
		document = strings.Replace(document, "{name: "+drop+",", "{name: renamed,", 1)
	}
	code, refused := result.Code(0), false
	for end := time.Now().Add(within); ; time.Sleep(retryInterval) {
		_, err = sc.sys.Publish(e, document, replaces)
		code, refused = RefusalCode(err)
		if !refused || code != result.ConfigUnavailable || time.Now().Add(retryInterval).After(end) {
			break
		}
	}
	if want == "" {
		return err
	}
	if !refused || !slices.Contains(strings.Split(want, "|"), code.String()) {
		return fmt.Errorf("publication returned %v, must be refused with %s", err, want)
	}
	return nil
}

// race implements "race E1 E2...": one operator at each instance publishes a replacement of the same version at once.
// Exactly one must succeed, and the others must be refused with config_conflict.
func race(sc *script, args []string) error {
	if err := requireArgs(args, 2, "race E1 E2"); err != nil {
		return err
	}
	st, err := sc.sys.Status(sc.sys.Entries[0])
	if err != nil {
		return err
	}
	errs := make([]error, len(args))
	var publications sync.WaitGroup
	for i, name := range args {
		e, err := sc.sys.Find(name)
		if err != nil {
			return err
		}
		document := ConfigDocument(sc.sys.nextRevision())
		publications.Go(func() { _, errs[i] = sc.sys.Publish(e, document, st.ConfigVersion) })
	}
	publications.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
		} else if code, _ := RefusalCode(err); code != result.ConfigConflict {
			return fmt.Errorf("losing publication returned %w, must be refused with config_conflict", err)
		}
	}
	if accepted != 1 {
		return fmt.Errorf("%d of %d publications were accepted, must be 1: %v", accepted, len(args), errs)
	}
	return nil
}
