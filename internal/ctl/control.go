package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

type dumpCommand struct {
	app      *app
	Instance string `long:"instance" value-name:"NAME" description:"the instance to ask; the default is the first endpoint that answers"`
	Args     struct {
		Name string `positional-arg-name:"PART" description:"the part to dump; all parts without it"`
	} `positional-args:"yes"`
}

// Execute prints an instance's state.
func (c *dumpCommand) Execute([]string) error {
	path := opsapi.PathDump
	if c.Args.Name != "" {
		path += "/" + url.PathEscape(c.Args.Name)
	}
	var raw json.RawMessage
	if err := c.fetch(path, &raw); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // keeps 64-bit incarnations exact
	var v any
	if err := dec.Decode(&v); err != nil {
		return exitf(ExitFailed, "the dump cannot be read: %w", err)
	}
	return c.app.show(v, func() *table {
		t := newTable("PATH", "VALUE")
		flatten(t, "", v)
		return t
	})
}

func (c *dumpCommand) fetch(path string, into any) error {
	if c.Instance == "" {
		_, err := c.app.get(path, into)
		return err
	}
	v, err := c.app.instance(c.Instance)
	if err != nil {
		return err
	}
	return c.app.getFrom(v.Operators, path, into)
}

// instance finds an instance by its name.
func (a *app) instance(name string) (*instanceView, error) {
	views, err := a.instances()
	if err != nil {
		return nil, err
	}
	var names []string
	for i := range views {
		if views[i].Instance == name {
			if views[i].Status == nil {
				return nil, exitf(ExitUnreachable, "%s does not answer: %s", name, views[i].silence())
			}
			return &views[i], nil
		}
		names = append(names, views[i].Instance)
	}
	return nil, usagef("there is no instance %q, known are %s", name, strings.Join(names, ", "))
}

// flatten adds one row for each value within v.
func flatten(t *table, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			flatten(t, strings.TrimPrefix(path+"."+name, "."), v[name])
		}
	case []any:
		for i := range v {
			flatten(t, path+"["+strconv.Itoa(i)+"]", v[i])
		}
	default:
		t.add(path, v)
	}
}

type drainCommand struct {
	app      *app
	Instance string        `long:"instance" value-name:"NAME" description:"the instance to stop; needed unless exactly one --endpoint is given"`
	Yes      bool          `short:"y" long:"yes" description:"do not ask for confirmation"`
	Wait     time.Duration `long:"wait" default:"60s" description:"longest wait until the work has ended; 0s does not wait"`
}

// Execute stops an instance as planned.
func (c *drainCommand) Execute([]string) error {
	target, err := c.target()
	if err != nil {
		return err
	}
	if !c.Yes {
		if err := c.app.confirm(fmt.Sprintf("Stop %s in %s as planned?", target.Instance, target.Zone)); err != nil {
			return err
		}
	}
	r := request{address: target.Operators, method: http.MethodPost, path: opsapi.PathDrain, timeout: c.app.Timeout}
	var d opsapi.Drain
	err = c.app.client.call(r, &d)
	var broken *brokenError
	if errors.As(err, &broken) && broken.sent {
		err = c.app.client.call(r, &d) // draining twice changes nothing
	}
	if err != nil {
		return err
	}
	if c.Wait > 0 {
		if d, err = c.await(target.Operators, d); err != nil {
			return err
		}
	}
	return c.app.show(d, func() *table {
		t := newTable("INSTANCE", "DRAINING", "QUEUED", "RUNNING")
		t.add(target.Instance, d.Draining, d.Queued, d.Running)
		return t
	})
}

// target finds the one instance that is meant. Stopping whichever of several endpoints answers first would be a guess.
func (c *drainCommand) target() (*instanceView, error) {
	if c.Instance != "" {
		return c.app.instance(c.Instance)
	}
	if len(c.app.Endpoints) != 1 {
		return nil, usagef("name the instance with --instance, or give exactly one --endpoint (%d are given)", len(c.app.Endpoints))
	}
	var st opsapi.Status
	if _, err := c.app.get(opsapi.PathStatus, &st); err != nil {
		return nil, err
	}
	m := opsapi.Member{Zone: st.Zone, Instance: st.Instance, Operators: c.app.Endpoints[0]}
	return &instanceView{Member: m, Status: &st}, nil
}

// await waits until the instance has no work or is gone.
func (c *drainCommand) await(address string, d opsapi.Drain) (opsapi.Drain, error) {
	last := ""
	for end := c.app.Now().Add(c.Wait); ; c.app.Sleep(pollInterval) {
		var st opsapi.Status
		err := c.app.getFrom(address, opsapi.PathStatus, &st)
		var broken *brokenError
		if errors.As(err, &broken) && !broken.sent {
			c.app.notef("the instance has stopped")
			return opsapi.Drain{Draining: true}, nil
		}
		if err == nil {
			d = opsapi.Drain{Draining: st.Draining, Queued: st.Queued, Running: st.Running}
			if st.Jobs == 0 && st.Queued == 0 && st.Running == 0 {
				return d, nil
			}
			line := fmt.Sprintf("%d jobs, %d tasks queued, %d running", st.Jobs, st.Queued, st.Running)
			if line != last {
				c.app.notef("%s", line)
			}
			last = line
		}
		if !c.app.Now().Before(end) {
			return d, exitf(ExitPartial, "draining; the work has not ended after %v", c.Wait)
		}
	}
}

type topCommand struct {
	app      *app
	Interval time.Duration `long:"interval" default:"1s" description:"time between two views, at least 200ms; with --once the time over which the rate is taken"`
	Once     bool          `long:"once" description:"show one view and end"`

	starts map[string]int64 // at the last view, by instance
	at     time.Time
}

const (
	minTopInterval = 200 * time.Millisecond // each view asks every instance three times
	clearScreen    = "\x1b[H\x1b[2J"
)

// topView is the JSON output.
type topView struct {
	Instances []topInstance `json:"instances"`
	Teams     []opsapi.Team `json:"teams"`
}

type topInstance struct {
	instanceView
	Starts          int64   `json:"starts"`
	StartsPerSecond float64 `json:"starts_per_second"`
	Metrics         topVars `json:"metrics"`
}

// topVars is the part of an instance's metrics that is shown.
type topVars struct {
	Starts        int64     `json:"starts"`
	ResponseRatio quantiles `json:"response_ratio"`
	QueueWaitMS   quantiles `json:"queue_wait_ms"`
}

type quantiles struct {
	Count int64   `json:"count"` // in the last minute
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
}

// cells returns the ratio's p99 and the wait's p50 and p99, empty without a value in the last minute.
func (v *topVars) cells() (ratio, p50, p99 string) {
	if v.ResponseRatio.Count > 0 {
		ratio = fmt.Sprintf("%.2f", v.ResponseRatio.P99)
	}
	if v.QueueWaitMS.Count > 0 {
		p50, p99 = fmt.Sprintf("%.1f", v.QueueWaitMS.P50), fmt.Sprintf("%.1f", v.QueueWaitMS.P99)
	}
	return ratio, p50, p99
}

// Execute shows the view once or until it is interrupted. A view that fails is shown as such and tried again.
func (c *topCommand) Execute([]string) error {
	if c.Interval < minTopInterval {
		return usagef("--interval is %v, must be at least %v", c.Interval, minTopInterval)
	}
	if c.Once {
		return c.once()
	}
	if err := c.view(clearScreen); exitCode(err) != ExitOK && exitCode(err) != ExitPartial {
		return err // wrong settings do not heal
	}
	for {
		c.app.Sleep(c.Interval)
		if err := c.view(clearScreen); err != nil {
			c.app.notef("%v", err)
		}
	}
}

// once looks twice, because a rate needs two readings.
func (c *topCommand) once() error {
	if _, _, err := c.look(); err != nil {
		return err
	}
	c.app.Sleep(c.Interval)
	return c.view("")
}

func (c *topCommand) view(before string) error {
	top, views, err := c.look()
	if err != nil {
		return err
	}
	if err := c.print(before, top); err != nil {
		return err
	}
	return c.app.incomplete(views)
}

func (c *topCommand) look() (*topView, []instanceView, error) {
	views, vars, err := gather[struct {
		Savory topVars `json:"savory"`
	}](c.app, opsapi.PathVars)
	if err != nil {
		return nil, nil, err
	}
	_, teams, err := gather[opsapi.Teams](c.app, opsapi.PathTeams)
	if err != nil {
		return nil, nil, err
	}
	top := topView{Teams: mergeTeams(views, teams)}
	now := c.app.Now()
	seen := map[string]int64{}
	for _, v := range views {
		got, ok := vars[v.Instance]
		line := topInstance{instanceView: v, Metrics: got.Savory, Starts: got.Savory.Starts}
		if old, known := c.starts[v.Instance]; known && ok && now.After(c.at) {
			line.StartsPerSecond = float64(max(line.Starts-old, 0)) / now.Sub(c.at).Seconds()
		}
		if ok {
			seen[v.Instance] = line.Starts
		}
		top.Instances = append(top.Instances, line)
	}
	c.starts, c.at = seen, now
	return &top, views, nil
}

func (c *topCommand) print(before string, top *topView) error {
	if c.app.Output == "json" {
		return c.app.showJSON(top)
	}
	fmt.Fprint(c.app.Out, before)
	t := newTable("ZONE", "INSTANCE", "STATE", "JOBS", "QUEUED", "RUNNING", "FREE", "STARTS/S", "RATIO_P99", "WAIT_P50_MS", "WAIT_P99_MS")
	var sum opsapi.Status
	rate := 0.0
	for _, v := range top.Instances {
		if v.State == opsapi.MemberGone {
			t.add(v.Zone, v.Instance, v.State, "-", "-", "-", "-", "-", "-", "-", "-")
			continue
		}
		if v.Status == nil {
			t.add(v.Zone, v.Instance, seenState(&v.Member), "?", v.Backlog, "?", v.FreeSlots, "?", "?", "?", "?")
			continue
		}
		s := v.Status
		ratio, p50, p99 := v.Metrics.cells()
		t.add(v.Zone, v.Instance, stateOf(s), s.Jobs, s.Queued, s.Running, s.Workers.FreeSlots, math.Round(v.StartsPerSecond), ratio, p50, p99)
		sum.Jobs, sum.Queued, sum.Running = sum.Jobs+s.Jobs, sum.Queued+s.Queued, sum.Running+s.Running
		sum.Workers.FreeSlots += s.Workers.FreeSlots
		rate += v.StartsPerSecond
	}
	t.add("all", "", "", sum.Jobs, sum.Queued, sum.Running, sum.Workers.FreeSlots, math.Round(rate), "", "", "")
	if err := c.app.showTable(t); err != nil {
		return err
	}
	fmt.Fprintln(c.app.Out)
	return c.app.showTable(teamsTable(top.Teams))
}
