package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

type statusCommand struct{ app *app }

// Execute shows every entry instance.
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
	return c.app.incomplete(views)
}

// summarize notes what an operator wants to know first: whether all are ready and on one version, and why not.
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
	on := "configuration versions differ"
	for version := range versions {
		if len(versions) == 1 {
			on = fmt.Sprintf("all on configuration version %d", version)
		}
	}
	a.notef("%d of %d instances ready, %s, %d of %d slots free, %d tasks queued", ready, len(views), on, free, slots, queued)
}

func statusTable(views []instanceView) *table {
	t := newTable("ZONE", "INSTANCE", "STATE", "READY", "CONFIG", "JOBS", "QUEUED", "RUNNING", "FREE", "SLOTS", "WORKERS", "UPTIME")
	for _, v := range views {
		if v.State == opsapi.MemberGone {
			t.add(v.Zone, v.Instance, v.State, "no", v.ConfigVersion, "-", "-", "-", "-", "-", "-", "-")
			continue
		}
		if v.Status == nil {
			t.add(v.Zone, v.Instance, seenState(&v.Member), "?", v.ConfigVersion, "?", v.Backlog, "?", v.FreeSlots, "?", "?", "?")
			continue
		}
		s := v.Status
		t.add(v.Zone, v.Instance, stateOf(s), yesOrNo(s.Ready), s.ConfigVersion, s.Jobs, s.Queued, s.Running,
			s.Workers.FreeSlots, s.Workers.Slots, s.Workers.Owned, age(s.UptimeMS))
	}
	return t
}

// seenState is the state of an instance that does not answer: one that was draining has probably stopped as planned.
func seenState(m *opsapi.Member) string {
	if m.Draining {
		return "draining"
	}
	return string(m.State)
}

func stateOf(s *opsapi.Status) string {
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
	views, answers, err := gather[opsapi.Workers](c.app, opsapi.PathWorkers)
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
	return c.app.incomplete(views)
}

func workersTable(list []opsapi.Worker) *table {
	t := newTable("ZONE", "WORKER", "RACK", "OWNER", "STATE", "RUNNING", "SLOTS", "CORES", "MEMORY_MB", "ACCELERATORS", "FAILURES", "HELD_OFF")
	for _, w := range list {
		t.add(w.Zone, w.Name, w.Rack, w.Owner, w.State, w.Running, w.Slots, w.Cores, w.MemoryMB, w.Accelerators,
			w.Failures, millis(w.HeldOffMS))
	}
	return t.hide("ACCELERATORS", "FAILURES", "HELD_OFF")
}

type teamsCommand struct{ app *app }

// Execute shows the teams, summed over all instances.
func (c *teamsCommand) Execute([]string) error {
	views, answers, err := gather[opsapi.Teams](c.app, opsapi.PathTeams)
	if err != nil {
		return err
	}
	list := mergeTeams(views, answers)
	err = c.app.show(opsapi.Teams{Teams: list}, func() *table { return teamsTable(list) })
	if err != nil {
		return err
	}
	return c.app.incomplete(views)
}

func teamsTable(list []opsapi.Team) *table {
	t := newTable("TEAM", "WEIGHT", "QUEUED", "RUNNING", "CORES", "MEMORY_MB", "ACCELERATORS")
	for _, m := range list {
		t.add(m.Name, m.Weight, m.Queued, m.Running, used(m.Usage.Cores, m.Quota.Cores),
			used(m.Usage.MemoryMB, m.Quota.MemoryMB), used(m.Usage.Accelerators, m.Quota.Accelerators))
	}
	return t.hide("ACCELERATORS")
}

// used shows a team's use of its quota. A team may use more while others leave slots idle.
func used(usage, quota any) string { return fmt.Sprintf("%v of %v", usage, quota) }

// mergeTeams sums the work over instances. Usage is already a sum over an availability zone at each of its instances,
// so the largest value of each zone is taken and the zones are summed.
func mergeTeams(views []instanceView, answers map[string]opsapi.Teams) []opsapi.Team {
	merged := map[string]*opsapi.Team{}
	usage := map[[2]string]opsapi.Usage{} // by team and zone
	for _, v := range views {
		for _, m := range answers[v.Instance].Teams {
			sum, ok := merged[m.Name]
			if !ok {
				sum = &opsapi.Team{Name: m.Name, Weight: m.Weight, Quota: m.Quota}
				merged[m.Name] = sum
			}
			sum.Queued += m.Queued
			sum.Running += m.Running
			at := [2]string{m.Name, v.Zone}
			usage[at] = largest(usage[at], m.Usage)
		}
	}
	for at, u := range usage {
		sum := &merged[at[0]].Usage
		sum.Cores += u.Cores
		sum.MemoryMB += u.MemoryMB
		sum.Accelerators += u.Accelerators
	}
	list := make([]opsapi.Team, 0, len(merged))
	for _, m := range merged {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(x, y opsapi.Team) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

func largest(x, y opsapi.Usage) opsapi.Usage {
	return opsapi.Usage{
		Cores:        max(x.Cores, y.Cores),
		MemoryMB:     max(x.MemoryMB, y.MemoryMB),
		Accelerators: max(x.Accelerators, y.Accelerators),
	}
}
