package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

type statusCommand struct{ app *app }

// Execute shows the state of every entry instance.
func (c *statusCommand) Execute([]string) error {
	views, err := c.app.instances()
	if err != nil {
		return err
	}
	err = c.app.show(views, func() *table { return statusTable(views) })
	if err != nil {
		return err
	}
	if c.app.Output == "table" {
		c.app.summarize(views)
	}
	return c.app.reportMissing(views)
}

// summarize prints a summary on standard error: how many instances are ready, why others are not, whether the
// configuration versions agree, and the slots and queued tasks of all.
func (a *app) summarize(views []instanceView) {
	ready, free, slots, queued := 0, 0, 0, 0
	versions := map[int64]bool{}
	for _, v := range views {
		if v.Status == nil {
			continue
		}
		if v.Status.Ready {
			ready++
		} else {
			a.notef("%s is not ready: %s", v.Instance, cell(strings.Join(v.Status.Reasons, "; ")))
		}
		free, slots, queued = free+v.Status.Workers.FreeSlots, slots+v.Status.Workers.Slots, queued+v.Status.Queued
		versions[v.Status.ConfigVersion] = true
	}
	versionNote := "configuration versions differ"
	for version := range versions {
		if len(versions) == 1 {
			versionNote = fmt.Sprintf("all on configuration version %d", version)
		}
	}
	a.notef("%d of %d instances ready, %s, %d of %d slots free, %d tasks queued", ready, len(views), versionNote, free, slots, queued)
}

func statusTable(views []instanceView) *table {
	t := newTable("ZONE", "INSTANCE", "STATE", "READY", "CONFIG", "JOBS", "QUEUED", "RUNNING", "FREE", "SLOTS", "WORKERS", "UPTIME")
	for _, v := range views {
		if v.State == opsapi.MemberGone {
			t.add(v.Zone, v.Instance, v.State, "no", v.ConfigVersion, "-", "-", "-", "-", "-", "-", "-")
			continue
		}
		if v.Status == nil {
			t.add(v.Zone, v.Instance, peerState(&v.Member), "?", v.ConfigVersion, "?", v.Backlog, "?", v.FreeSlots, "?", "?", "?")
			continue
		}
		s := v.Status
		t.add(v.Zone, v.Instance, ownState(s), yesOrNo(s.Ready), s.ConfigVersion, s.Jobs, s.Queued, s.Running,
			s.Workers.FreeSlots, s.Workers.Slots, s.Workers.Owned, roundAge(s.UptimeMS))
	}
	return t
}

// peerState returns the state of an instance that does not answer, as its peers see it. If the instance was draining, the
// state is draining, because the instance has probably stopped as planned.
func peerState(m *opsapi.Member) string {
	if m.Draining {
		return "draining"
	}
	return string(m.State)
}

// ownState returns the state of an instance that answers.
func ownState(s *opsapi.Status) string {
	if s.Draining {
		return "draining"
	}
	return string(opsapi.MemberLive)
}

type workersCommand struct {
	app   *app
	State string `long:"state" choice:"ready" choice:"leaving" choice:"suspect" choice:"held_off" description:"show only workers in this state"`
}

// Execute shows the workers of all instances.
func (c *workersCommand) Execute([]string) error {
	views, answers, err := fetchAll[opsapi.Workers](c.app, opsapi.PathWorkers)
	if err != nil {
		return err
	}
	list := []opsapi.Worker{}
	for _, v := range views {
		list = append(list, answers[v.Instance].Workers...)
	}
	list = slices.DeleteFunc(list, func(w opsapi.Worker) bool { return c.State != "" && string(w.State) != c.State })
	slices.SortFunc(list, func(x, y opsapi.Worker) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Owner, y.Owner))
	})
	err = c.app.show(opsapi.Workers{Workers: list}, func() *table { return workersTable(list) })
	if err != nil {
		return err
	}
	return c.app.reportMissing(views)
}

func workersTable(list []opsapi.Worker) *table {
	t := newTable("ZONE", "WORKER", "RACK", "OWNER", "STATE", "RUNNING", "SLOTS", "CORES", "MEMORY_MB", "ACCELERATORS", "FAILURES", "HELD_OFF")
	for _, w := range list {
		t.add(w.Zone, w.Name, w.Rack, w.Owner, w.State, w.Running, w.Slots, w.Cores, w.MemoryMB, w.Accelerators,
			w.Failures, millis(w.HeldOffMS))
	}
	return t.hideEmpty("ACCELERATORS", "FAILURES", "HELD_OFF")
}

type teamsCommand struct{ app *app }

// Execute shows the teams of all instances, combined by mergeTeams.
func (c *teamsCommand) Execute([]string) error {
	views, answers, err := fetchAll[opsapi.Teams](c.app, opsapi.PathTeams)
	if err != nil {
		return err
	}
	list := mergeTeams(views, answers)
	err = c.app.show(opsapi.Teams{Teams: list}, func() *table { return teamsTable(list) })
	if err != nil {
		return err
	}
	return c.app.reportMissing(views)
}

func teamsTable(list []opsapi.Team) *table {
	t := newTable("TEAM", "WEIGHT", "QUEUED", "RUNNING", "CORES", "MEMORY_MB", "ACCELERATORS")
	for _, m := range list {
		t.add(m.Name, m.Weight, m.Queued, m.Running, ofQuota(m.Usage.Cores, m.Quota.Cores),
			ofQuota(m.Usage.MemoryMB, m.Quota.MemoryMB), ofQuota(m.Usage.Accelerators, m.Quota.Accelerators))
	}
	return t.hideEmpty("ACCELERATORS")
}

// ofQuota formats a usage with its quota. The usage may exceed the quota while other teams leave slots idle.
func ofQuota(usage, quota any) string { return fmt.Sprintf("%v of %v", usage, quota) }

// mergeTeams sums the work and the usage of each team over the instances. Each instance counts the tasks of the jobs whose
// home it is, so that no task is counted twice.
func mergeTeams(views []instanceView, answers map[string]opsapi.Teams) []opsapi.Team {
	merged := map[string]*opsapi.Team{}
	for _, v := range views {
		for _, m := range answers[v.Instance].Teams {
			sum, ok := merged[m.Name]
			if !ok {
				sum = &opsapi.Team{Name: m.Name, Weight: m.Weight, Quota: m.Quota}
				merged[m.Name] = sum
			}
			sum.Queued += m.Queued
			sum.Running += m.Running
			sum.Usage.Cores += m.Usage.Cores
			sum.Usage.MemoryMB += m.Usage.MemoryMB
			sum.Usage.Accelerators += m.Usage.Accelerators
		}
	}
	list := make([]opsapi.Team, 0, len(merged))
	for _, m := range merged {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(x, y opsapi.Team) int { return cmp.Compare(x.Name, y.Name) })
	return list
}
