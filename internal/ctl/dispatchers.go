package ctl

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/savorypass/savorypass/internal/dump"
	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/shard"
)

type dispatchersCommand struct{ app *app }

// Execute shows the partitions that the instances at the given endpoints dispatch for.
func (c *dispatchersCommand) Execute([]string) error {
	if err := c.app.requireEndpoints(); err != nil {
		return err
	}
	all, problems := c.app.fetchDumps()
	if len(all) == 0 {
		return exitf(ExitUnreachable, "no instance answered:\n%w", errors.Join(problems...))
	}
	if err := c.app.show(all, func() *table { return dispatchersTable(all) }); err != nil {
		return err
	}
	for _, problem := range problems {
		c.app.notef("%v", problem)
	}
	for _, line := range disagreements(all) {
		c.app.notef("%s", line)
	}
	if len(problems) > 0 {
		return exitf(ExitPartial, "%d of %d instances did not answer", len(problems), len(c.app.Endpoints))
	}
	return nil
}

// fetchDumps reads the states of all endpoints concurrently. It returns those that were read, sorted, and the errors.
func (a *app) fetchDumps() ([]dump.Instance, []error) {
	answers := make([]dump.Instance, len(a.Endpoints))
	errs := make([]error, len(a.Endpoints))
	var wg sync.WaitGroup
	for i, address := range a.Endpoints {
		wg.Go(func() {
			r := request{address: address, method: http.MethodGet, path: dump.Path, timeout: min(a.Timeout, statusTimeout)}
			errs[i] = a.client.call(r, &answers[i])
		})
	}
	wg.Wait()
	var all []dump.Instance
	for i, answer := range answers {
		if errs[i] == nil {
			all = append(all, answer)
		}
	}
	slices.SortFunc(all, func(x, y dump.Instance) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Instance, y.Instance))
	})
	return all, slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

func dispatchersTable(all []dump.Instance) *table {
	t := newTable("ZONE", "INSTANCE", "READY", "CONFIG", "ACTIVE", "GENERATION", "PARTITION", "FENCE", "SETTLED", "ENDPOINTS", "USABLE",
		"JOBS", "WAITING", "RUNS", "USED")
	for _, d := range all {
		leading := slices.DeleteFunc(slices.Clone(d.Shards), func(s shard.Dump) bool { return !s.Leading })
		if len(leading) == 0 {
			t.add(d.Zone, d.Instance, readiness(d), d.ConfigVersion, d.Active, d.Term.Generation, "-", "-", "-", "-", "-", "-", "-", "-", "-")
		}
		for _, s := range leading {
			e := sumEndpoints(s.Pool)
			t.add(d.Zone, d.Instance, readiness(d), d.ConfigVersion, d.Active, d.Term.Generation,
				fmt.Sprintf("%d of %d", s.Partition, d.Partitions[d.Zone]), s.Fence, yesOrNo(s.Settled), len(s.Pool.Endpoints), e.usable,
				len(s.Pool.Jobs), e.waiting, len(s.Pool.Runs), fmt.Sprintf("%d%%", e.usedPercent()))
		}
	}
	return t
}

// readiness returns the cell READY: yes, no or draining.
func readiness(d dump.Instance) string {
	if d.Draining {
		return "draining"
	}
	return yesOrNo(d.Ready)
}

func yesOrNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

// totals are sums over the endpoints and jobs of one partition.
type totals struct {
	usable       int // usable endpoints that are not draining
	waiting      int // jobs that have not started
	milliCPU     int // capacity of the usable endpoints
	usedMilliCPU int // part of milliCPU that is in use
}

func sumEndpoints(p pool.Dump) totals {
	var t totals
	for _, e := range p.Endpoints {
		if e.Usable && !e.Draining {
			t.usable++
			t.milliCPU += e.MilliCPU
			t.usedMilliCPU += e.UsedMilliCPU
		}
	}
	for _, j := range p.Jobs {
		if !j.Started {
			t.waiting++
		}
	}
	return t
}

func (t totals) usedPercent() int { return 100 * t.usedMilliCPU / max(t.milliCPU, 1) }

// disagreements returns one line for each contradiction between the instances: several configuration versions in force,
// evacuated zones, and partitions that no instance or more than one dispatches for.
func disagreements(all []dump.Instance) []string {
	var lines []string
	versions, partitions := map[int64]bool{}, map[string]int{}
	leaders := map[string]map[int][]string{} // instances by zone and partition
	for _, d := range all {
		versions[d.ConfigVersion] = true
		partitions[d.Zone] = max(partitions[d.Zone], d.Partitions[d.Zone])
		if leaders[d.Zone] == nil {
			leaders[d.Zone] = map[int][]string{}
		}
		for _, s := range d.Shards {
			if s.Leading {
				leaders[d.Zone][s.Partition] = append(leaders[d.Zone][s.Partition], d.Instance)
			}
		}
	}
	if len(versions) > 1 {
		lines = append(lines, fmt.Sprintf("%d configuration versions are in force", len(versions)))
	}
	lines = append(lines, evacuations(all)...)
	for _, zone := range slices.Sorted(maps.Keys(partitions)) {
		for partition := range partitions[zone] {
			switch instances := leaders[zone][partition]; len(instances) {
			case 0:
				lines = append(lines, fmt.Sprintf("no named instance dispatches for partition %d of %s", partition, zone))
			case 1:
			default:
				lines = append(lines, fmt.Sprintf("%d instances dispatch for partition %d of %s: %v", len(instances), partition, zone, instances))
			}
		}
	}
	return lines
}
