package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/logservice"
)

// MaxConfigDelay is the longest time that may pass until an accepted configuration is in force at all running instances.
const MaxConfigDelay = 11 * time.Second

// Prepare publishes the first configuration and waits until the deployment is ready for jobs.
func (s *System) Prepare() error {
	first := s.Entries[0]
	var failed error
	err := WaitUntil("operators' listener", WaitTimeout, func() string {
		_, err := s.Status(first)
		return errorText(err)
	})
	if err != nil {
		return err
	}
	document := ConfigDocument(s.nextRevision())
	err = WaitUntil("first configuration", WaitTimeout, func() string {
		_, err := s.Publish(first, document, 0)
		// config_unavailable: the instance has not reached the log yet, so nothing was published and a retry is safe.
		if code, refused := RefusalCode(err); refused && code == result.ConfigUnavailable {
			return errorText(err)
		}
		failed = err
		return ""
	})
	if err = errors.Join(err, failed); err != nil {
		return err
	}
	return s.WaitReady()
}

// errorText returns the text of an error, or "" for nil, as the callback of WaitUntil needs it.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// WaitReady waits until every running instance is ready and sees all of them as live, and each availability zone with a
// running instance has free slots.
func (s *System) WaitReady() error {
	return WaitUntil("the deployment is ready", WaitTimeout, func() string {
		slots := map[string]int{}
		up := s.upEntries()
		for _, e := range up {
			st, err := s.Status(e)
			if err != nil {
				return err.Error()
			}
			if !st.Ready {
				return e.Name + ": " + strings.Join(st.Reasons, ", ")
			}
			slots[e.Zone] += st.Workers.FreeSlots
			if n := countLive(&st); n != len(up) {
				return fmt.Sprintf("%s sees %d of %d instances as live", e.Name, n, len(up))
			}
		}
		for _, e := range up {
			if slots[e.Zone] == 0 {
				return "no free slots in " + e.Zone
			}
		}
		return ""
	})
}

// countLive returns the number of members that an instance sees as live, itself included.
func countLive(st *opsapi.Status) int {
	n := 0
	for _, m := range st.Members {
		if m.State == opsapi.MemberLive {
			n++
		}
	}
	return n
}

// upEntries returns the entry instances that are up.
func (s *System) upEntries() []*Program {
	return slices.DeleteFunc(slices.Clone(s.Entries), func(e *Program) bool { return !s.Up(e) })
}

// What Cut can separate an availability zone or an instance from.
const (
	Peers        = "peers"
	Log          = "log"
	InstanceList = "list"
)

// Cut separates a zone or one instance from its peers (of a zone: the instances outside it), from the log or from the
// instance list. A new cut replaces an earlier one of the same kind, but cuts of zones from the log and from the instance
// list add up.
func (s *System) Cut(name, from string) error {
	for _, e := range s.Entries {
		if !s.Up(e) || e.Name != name && e.Zone != name {
			continue
		}
		args := map[string]string{}
		if from == Peers {
			args["peers"] = strings.Join(s.instancesOutside(name), ",")
		}
		if from == Peers || e.Name == name {
			if err := s.InjectFault(e, "cut_"+from, args); err != nil {
				return err
			}
		}
	}
	if !slices.Contains(s.opts.Zones, name) {
		return nil
	}
	switch from {
	case Log:
		s.logFault.CutZones = append(s.logFault.CutZones, name)
		return s.Fault(s.Log, s.logFault)
	case InstanceList:
		s.listFault.CutZones = append(s.listFault.CutZones, name)
		return s.Fault(s.InstanceList, s.listFault)
	}
	return nil
}

// instancesOutside returns, as ZONE/INSTANCE, all instances outside the named zone or other than the named instance.
func (s *System) instancesOutside(name string) []string {
	var out []string
	for _, e := range s.Entries {
		if e.Name != name && e.Zone != name {
			out = append(out, e.Zone+"/"+e.Name)
		}
	}
	return out
}

// Heal ends all faults of the running entry instances, of the log and of the instance list. Faults of workers stay.
func (s *System) Heal() error {
	for _, e := range s.upEntries() {
		if err := s.InjectFault(e, "", nil); err != nil {
			return err
		}
	}
	if err := s.SetLogFault("up", 0); err != nil {
		return err
	}
	return s.SetListFault("up", 0)
}

// SetLogFault replaces the fault of the log service: "lose-answer" for the next n appends (-1: all), or one of setGateFault.
func (s *System) SetLogFault(kind string, n int) error {
	f := logservice.Fault{GateFault: standin.GateFault{CutZones: s.logFault.CutZones}}
	if kind == "lose-answer" {
		f.LoseAnswers = n
	} else if err := setGateFault(&f.GateFault, kind, n); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	s.logFault = f
	return s.Fault(s.Log, f)
}

// SetListFault replaces the fault of the instance list: "freeze", or one of setGateFault.
func (s *System) SetListFault(kind string, n int) error {
	f := instances.Fault{GateFault: standin.GateFault{CutZones: s.listFault.CutZones}}
	if kind == "freeze" {
		f.Freeze = true
	} else if err := setGateFault(&f.GateFault, kind, n); err != nil {
		return fmt.Errorf("instance list: %w", err)
	}
	s.listFault = f
	return s.Fault(s.InstanceList, f)
}

// setGateFault sets a fault of calls: "down", "drop", "hang" or "slow" with a delay of n ms. The cuts of zones stay; "up" ends
// them and the fault.
func setGateFault(f *standin.GateFault, kind string, n int) error {
	switch kind {
	case "down":
		f.Outage = standin.OutageRefuse
	case "drop":
		f.Outage = standin.OutageDrop
	case "hang":
		f.Outage = standin.OutageHang
	case "slow":
		f.SlowMS = int64(n)
	case "up":
		*f = standin.GateFault{}
	default:
		return fmt.Errorf("unknown state %q", kind)
	}
	return nil
}

// retryInterval is the time between two requests of a caller that retries.
const retryInterval = 200 * time.Millisecond

// WaitFinal resubmits a job, at each running instance in turn, until it gets a final answer or a refusal that says "not
// run". A refusal ends the wait, since the job may be refused each time, for example when no worker is left that could
// meet the deadline.
func (s *System) WaitFinal(j *Job, limit time.Duration) (*api.Answer, error) {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		up := s.upEntries()
		if len(up) > 0 {
			a, err := s.SendRequest(up[i%len(up)], j, Submit, time.Second)
			if err == nil && (a.Final || a.Execution == result.NotRun) {
				return a, nil
			}
		}
		time.Sleep(retryInterval)
	}
	return nil, fmt.Errorf("%w within %s: final answer to %s", errWaitTimeout, limit, j.Identity)
}

// RecordConfigVersions records the configuration version of every running instance in the history and returns the lowest and
// the highest one. lowest is 0 if an instance does not answer.
func (s *System) RecordConfigVersions() (lowest, highest int64) {
	lowest = 1 << 62
	for _, e := range s.upEntries() {
		st, err := s.Status(e)
		if err != nil {
			lowest = 0
			continue
		}
		s.History.recordVersion(e.Name, st.Incarnation, st.ConfigVersion)
		lowest, highest = min(lowest, st.ConfigVersion), max(highest, st.ConfigVersion)
	}
	return lowest, highest
}

// WaitConfig waits until all running instances have the same configuration version in force, which is the newest accepted
// one or a newer one.
func (s *System) WaitConfig(limit time.Duration) error {
	return WaitUntil("configuration in force everywhere", limit, func() string {
		want, _ := s.History.newestAccepted()
		lowest, highest := s.RecordConfigVersions()
		if lowest < want || lowest != highest {
			return fmt.Sprintf("versions in force are %d to %d, newest accepted version is %d", lowest, highest, want)
		}
		return ""
	})
}

// CheckDocument checks that running instances which have the newest accepted version in force have its document.
func (s *System) CheckDocument() error {
	version, document := s.History.newestAccepted()
	for _, e := range s.upEntries() {
		var c opsapi.Config
		if err := s.CallOperatorAPI(e, "GET", opsapi.PathConfig, nil, &c); err != nil {
			return err
		}
		if c.Version == version && c.Document != document {
			return fmt.Errorf("%s has a different document in force as version %d than the accepted one", e.Name, version)
		}
	}
	return nil
}
