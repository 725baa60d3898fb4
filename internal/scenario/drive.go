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

// MaxConfigDelay is the longest time until an accepted configuration is in force everywhere.
const MaxConfigDelay = 11 * time.Second

// Prepare publishes the first configuration and waits until the deployment takes work.
func (s *System) Prepare() error {
	first := s.Entries[0]
	var failed error
	err := WaitUntil("operators' listener", WaitTimeout, func() string {
		_, err := s.Status(first)
		return text(err)
	})
	if err != nil {
		return err
	}
	document := ConfigDocument(s.nextRevision())
	err = WaitUntil("first configuration", WaitTimeout, func() string {
		_, err := s.Publish(first, document, 0)
		// Nothing was published while the instance had not reached the log yet.
		if code, refused := RefusalCode(err); refused && code == result.ConfigUnavailable {
			return text(err)
		}
		failed = err
		return ""
	})
	if err = errors.Join(err, failed); err != nil {
		return err
	}
	return s.WaitReady()
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// WaitReady waits until every running instance is ready and knows the others, and each availability zone has slots.
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
			if n := live(&st); n != len(up) {
				return fmt.Sprintf("%s knows %d of %d live instances", e.Name, n, len(up))
			}
		}
		for _, e := range up {
			if slots[e.Zone] == 0 {
				return "no slots in " + e.Zone
			}
		}
		return ""
	})
}

func live(st *opsapi.Status) int {
	n := 0
	for _, m := range st.Members {
		if m.State == opsapi.MemberLive {
			n++
		}
	}
	return n
}

func (s *System) upEntries() []*Program {
	return slices.DeleteFunc(slices.Clone(s.Entries), func(e *Program) bool { return !s.Up(e) })
}

// The parts that a cut separates an availability zone or an instance from.
const (
	Peers        = "peers"
	Log          = "log"
	InstanceList = "list"
)

// Cut separates a zone, or one instance, from the peers outside it, from the log or from the instance list. Cuts of the
// same kind replace each other, except that several zones may be cut from the log and the list.
func (s *System) Cut(name, from string) error {
	for _, e := range s.Entries {
		if !s.Up(e) || e.Name != name && e.Zone != name {
			continue
		}
		args := map[string]string{}
		if from == Peers {
			args["peers"] = strings.Join(s.others(name), ",")
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

// others returns the instances outside a zone or other than an instance.
func (s *System) others(name string) []string {
	var out []string
	for _, e := range s.Entries {
		if e.Name != name && e.Zone != name {
			out = append(out, e.Zone+"/"+e.Name)
		}
	}
	return out
}

// Heal ends all faults of entry instances, of the log and of the list.
func (s *System) Heal() error {
	for _, e := range s.upEntries() {
		if err := s.InjectFault(e, "", nil); err != nil {
			return err
		}
	}
	if err := s.SetLogFault("up", 0); err != nil {
		return err
	}
	return s.SetListFault("up")
}

// SetLogFault puts the log service into a state. Cuts of zones stay, except with "up".
func (s *System) SetLogFault(kind string, n int) error {
	f := logservice.Fault{GateFault: standin.GateFault{CutZones: s.logFault.CutZones}}
	switch kind {
	case "down":
		f.Outage = standin.OutageRefuse
	case "drop":
		f.Outage = standin.OutageDrop
	case "hang":
		f.Outage = standin.OutageHang
	case "slow":
		f.SlowMS = int64(n)
	case "lose-answer":
		f.LoseAnswers = n
	case "up":
		f = logservice.Fault{}
	default:
		return fmt.Errorf("log state %q is not known", kind)
	}
	s.logFault = f
	return s.Fault(s.Log, f)
}

// SetListFault puts the instance list into a state. Cuts of zones stay, except with "up".
func (s *System) SetListFault(kind string) error {
	f := instances.Fault{GateFault: standin.GateFault{CutZones: s.listFault.CutZones}}
	switch kind {
	case "down":
		f.Outage = standin.OutageRefuse
	case "hang":
		f.Outage = standin.OutageHang
	case "freeze":
		f.Freeze = true
	case "up":
		f = instances.Fault{}
	default:
		return fmt.Errorf("list state %q is not known", kind)
	}
	s.listFault = f
	return s.Fault(s.InstanceList, f)
}

// retryPause is how long a caller waits before it asks again.
const retryPause = 200 * time.Millisecond

// WaitFinal submits a job again, at each running instance in turn, until there is a final answer or a refusal that says
// "not run". A refusal may last, for example when no worker is left that could meet the deadline.
func (s *System) WaitFinal(j *Job, limit time.Duration) (*api.Answer, error) {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		up := s.upEntries()
		if len(up) > 0 {
			a, err := s.SendRequest(up[i%len(up)], j, Submit, time.Second)
			if err == nil && (a.Final || a.Execution == result.NotRun) {
				return a, nil
			}
		}
		time.Sleep(retryPause)
	}
	return nil, fmt.Errorf("%w in %s: final answer to %s", errLimit, limit, j.Identity)
}

// RecordConfigVersions records the configuration version of every running instance.
func (s *System) RecordConfigVersions() (lowest, highest int64) {
	lowest = 1 << 62
	for _, e := range s.upEntries() {
		st, err := s.Status(e)
		if err != nil {
			lowest = 0
			continue
		}
		s.History.sawVersion(e.Name, st.Incarnation, st.ConfigVersion)
		lowest, highest = min(lowest, st.ConfigVersion), max(highest, st.ConfigVersion)
	}
	return lowest, highest
}

// WaitConfig waits until the newest accepted version, or a newer one, is in force at all running instances.
func (s *System) WaitConfig(limit time.Duration) error {
	return WaitUntil("configuration in force everywhere", limit, func() string {
		want, _ := s.History.highestAccepted()
		lowest, highest := s.RecordConfigVersions()
		if lowest < want || lowest != highest {
			return fmt.Sprintf("versions %d to %d, accepted %d", lowest, highest, want)
		}
		return ""
	})
}

// CheckDocument compares the document in force with the newest one that was accepted.
func (s *System) CheckDocument() error {
	version, document := s.History.highestAccepted()
	for _, e := range s.upEntries() {
		var c opsapi.Config
		if err := s.CallOperatorAPI(e, "GET", opsapi.PathConfig, nil, &c); err != nil {
			return err
		}
		if c.Version == version && c.Document != document {
			return fmt.Errorf("%s has another document as version %d", e.Name, version)
		}
	}
	return nil
}
