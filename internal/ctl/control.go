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

// Execute prints the state of an instance's components.
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
	dec.UseNumber() // float64 cannot hold every 64-bit incarnation
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

// instance returns the named instance, with its status. It returns an error if the instance is unknown or does not
// answer.
func (a *app) instance(name string) (*instanceView, error) {
	views, err := a.instances()
	if err != nil {
		return nil, err
	}
	var names []string
	for i := range views {
		if views[i].Instance == name {
			if views[i].Status == nil {
				return nil, exitf(ExitUnreachable, "%s does not answer: %s", name, views[i].missingStatusReason())
			}
			return &views[i], nil
		}
		names = append(names, views[i].Instance)
	}
	return nil, usagef("there is no instance %q; the known ones are %s", name, strings.Join(names, ", "))
}

// flatten adds one row with path and value for each scalar in decoded JSON.
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

// Execute starts the planned stop of an instance and waits until its work has ended.
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
	var noResponse *noResponseError
	if errors.As(err, &noResponse) && noResponse.maybeSent {
		err = c.app.client.call(r, &d) // a second request has no effect
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

// target returns the instance to stop: the one that --instance names, or the only endpoint. Several endpoints without
// --instance are an error, because it would depend on chance which of them stops.
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

// await polls the instance until it has no work or refuses connections, prints the progress and returns the last state.
// It returns an error with ExitPartial after c.Wait.
func (c *drainCommand) await(address string, d opsapi.Drain) (opsapi.Drain, error) {
	lastLine := ""
	for deadline := c.app.Now().Add(c.Wait); ; c.app.Sleep(pollInterval) {
		var st opsapi.Status
		err := c.app.getFrom(address, opsapi.PathStatus, &st)
		var noResponse *noResponseError
		if errors.As(err, &noResponse) && !noResponse.maybeSent {
			c.app.notef("the instance has stopped")
			return opsapi.Drain{Draining: true}, nil
		}
		if err == nil {
			d = opsapi.Drain{Draining: st.Draining, Queued: st.Queued, Running: st.Running}
			if st.Jobs == 0 && st.Queued == 0 && st.Running == 0 {
				return d, nil
			}
			line := fmt.Sprintf("%d jobs, %d tasks queued, %d running", st.Jobs, st.Queued, st.Running)
			if line != lastLine {
				c.app.notef("%s", line)
			}
			lastLine = line
		}
		if !c.app.Now().Before(deadline) {
			return d, exitf(ExitPartial, "the instance is draining; its work has not ended after %v", c.Wait)
		}
	}
}

type topCommand struct {
	app      *app
	Interval time.Duration `long:"interval" default:"1s" description:"time between two views, at least 200ms; with --once the time over which the rate is measured"`
	Once     bool          `long:"once" description:"show one view and exit"`

	lastStarts map[string]int64 // number of task starts at lastTime, by instance
	lastTime   time.Time        // time of the last view
}

const (
	minTopInterval = 200 * time.Millisecond // limits the load: each view sends three requests to every instance
	clearScreen    = "\x1b[H\x1b[2J"
)

// topView is the JSON output of one view.
type topView struct {
	Instances []topInstance `json:"instances"`
	Teams     []opsapi.Team `json:"teams"`
}

type topInstance struct {
	instanceView
	Starts          int64      `json:"starts"`            // tasks started since the instance started
	StartsPerSecond float64    `json:"starts_per_second"` // rate since the last view; 0 in the first one
	Metrics         topMetrics `json:"metrics"`
}

// topMetrics holds the metrics of an instance that top shows.
type topMetrics struct {
	Starts        int64     `json:"starts"`
	ResponseRatio quantiles `json:"response_ratio"`
	QueueWaitMS   quantiles `json:"queue_wait_ms"`
}

// quantiles summarize a metric over the last minute.
type quantiles struct {
	Count int64   `json:"count"` // number of values
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
}

// cells returns the p99 of the response ratio and the p50 and p99 of the queue wait in ms. A cell is empty if there was
// no value in the last minute.
func (v *topMetrics) cells() (ratio, p50, p99 string) {
	if v.ResponseRatio.Count > 0 {
		ratio = fmt.Sprintf("%.2f", v.ResponseRatio.P99)
	}
	if v.QueueWaitMS.Count > 0 {
		p50, p99 = fmt.Sprintf("%.1f", v.QueueWaitMS.P50), fmt.Sprintf("%.1f", v.QueueWaitMS.P99)
	}
	return ratio, p50, p99
}

// Execute shows one view with --once, otherwise a new view in every interval until the process is interrupted. It
// returns the error of the first view; after that it prints errors and continues.
func (c *topCommand) Execute([]string) error {
	if c.Interval < minTopInterval {
		return usagef("--interval is %v, must be at least %v", c.Interval, minTopInterval)
	}
	if c.Once {
		return c.once()
	}
	if err := c.refresh(clearScreen); exitCode(err) != ExitOK && exitCode(err) != ExitPartial {
		return err // probably wrong settings, which a repetition would not correct
	}
	for {
		c.app.Sleep(c.Interval)
		if err := c.refresh(clearScreen); err != nil {
			c.app.notef("%v", err)
		}
	}
}

// once collects the metrics twice, because a rate needs two readings, and shows the second view.
func (c *topCommand) once() error {
	if _, _, err := c.collect(); err != nil {
		return err
	}
	c.app.Sleep(c.Interval)
	return c.refresh("")
}

// refresh collects the metrics and prints them after prefix.
func (c *topCommand) refresh(prefix string) error {
	top, views, err := c.collect()
	if err != nil {
		return err
	}
	if err := c.print(prefix, top); err != nil {
		return err
	}
	return c.app.reportMissing(views)
}

// collect reads metrics and teams from all instances and computes the rates since the last view.
func (c *topCommand) collect() (*topView, []instanceView, error) {
	views, metrics, err := fetchAll[struct {
		Savory topMetrics `json:"savory"`
	}](c.app, opsapi.PathVars)
	if err != nil {
		return nil, nil, err
	}
	_, teams, err := fetchAll[opsapi.Teams](c.app, opsapi.PathTeams)
	if err != nil {
		return nil, nil, err
	}
	top := topView{Teams: mergeTeams(views, teams)}
	now := c.app.Now()
	starts := map[string]int64{}
	for _, v := range views {
		got, ok := metrics[v.Instance]
		line := topInstance{instanceView: v, Metrics: got.Savory, Starts: got.Savory.Starts}
		if previous, known := c.lastStarts[v.Instance]; known && ok && now.After(c.lastTime) {
			line.StartsPerSecond = float64(max(line.Starts-previous, 0)) / now.Sub(c.lastTime).Seconds()
		}
		if ok {
			starts[v.Instance] = line.Starts
		}
		top.Instances = append(top.Instances, line)
	}
	c.lastStarts, c.lastTime = starts, now
	return &top, views, nil
}

func (c *topCommand) print(prefix string, top *topView) error {
	if c.app.Output == "json" {
		return c.app.showJSON(top)
	}
	fmt.Fprint(c.app.Out, prefix)
	t := newTable("ZONE", "INSTANCE", "STATE", "JOBS", "QUEUED", "RUNNING", "FREE", "STARTS/S", "RATIO_P99", "WAIT_P50_MS", "WAIT_P99_MS")
	var sum opsapi.Status
	rate := 0.0
	for _, v := range top.Instances {
		if v.State == opsapi.MemberGone {
			t.add(v.Zone, v.Instance, v.State, "-", "-", "-", "-", "-", "-", "-", "-")
			continue
		}
		if v.Status == nil {
			t.add(v.Zone, v.Instance, peerState(&v.Member), "?", v.Backlog, "?", v.FreeSlots, "?", "?", "?", "?")
			continue
		}
		s := v.Status
		ratio, p50, p99 := v.Metrics.cells()
		t.add(v.Zone, v.Instance, ownState(s), s.Jobs, s.Queued, s.Running, s.Workers.FreeSlots, math.Round(v.StartsPerSecond), ratio, p50, p99)
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
