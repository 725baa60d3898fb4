package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

const (
	sizesFile    = "sizes.jsonl"
	sizeTasks    = 8                     // tasks per job
	sizeRun      = 50 * time.Millisecond // run time of a task
	sizeDeadline = 20 * time.Second
	sizeSettle   = time.Second // pause before each measurement
	minSizes     = 4           // measured sizes that a fitted line needs
	cpuUnit      = 1e6         // microseconds per second
	memoryUnit   = 1 << 20     // bytes per MB
)

// Size is one cluster size with its measured costs. Costs are sums over the processes of a role.
type Size struct {
	Vary            string          `json:"vary"` // dimension that is varied
	Workers         int             `json:"workers"`
	Teams           int             `json:"teams"`
	Tasks           int             `json:"tasks"` // tasks submitted per second under load
	Instances       int             `json:"instances"`
	Costs           map[string]Cost `json:"costs"` // by role
	StartsPerSecond float64         `json:"done"`  // tasks started per second under load
}

// Cost is the resource use of all processes of one role.
type Cost struct {
	IdleCPU      float64 `json:"idle_cpu"`      // CPU seconds per second
	IdleMemory   float64 `json:"idle_memory"`   // resident bytes
	IdleBytes    float64 `json:"idle_bytes"`    // bytes per second of read and write calls (TCP)
	IdleControl  float64 `json:"idle_control"`  // control bytes per second, from the metric control_bytes; entry instances only
	LoadCPU      float64 `json:"load_cpu"`      // CPU seconds per second
	LoadMemory   float64 `json:"load_memory"`   // resident bytes
	TaskCPU      float64 `json:"task_cpu"`      // CPU seconds per task above the idle cost
	TaskBytes    float64 `json:"task_bytes"`    // bytes per task above the idle cost
	TaskControl  float64 `json:"task_control"`  // control bytes per task above the idle cost; entry instances only
	ProcessCount int     `json:"process_count"` // processes of the role
}

// SizeOptions configure the measurement of one cluster size.
type SizeOptions struct {
	Vary   string        // dimension that is varied
	Tasks  int           // tasks submitted per second under load
	Length time.Duration // length of the idle measurement, and of the measurement under load
	Out    string        // directory for results
}

// MeasureSize measures a running cluster first while idle, then under load, and appends the result to the file sizes.jsonl.
func MeasureSize(c *Cluster, o SizeOptions) error {
	idle, err := c.measureFor(o.Length, sizeSettle)
	if err != nil {
		return err
	}
	jobs := steadyJobs(c, o)
	l, err := StartLoad(c, jobs, LoadOptions{Retries: responseRetries})
	if err != nil {
		return err
	}
	load, err := c.measureFor(o.Length, sizeSettle)
	if err != nil {
		return err
	}
	l.Finish()
	pids, err := c.PIDs()
	if err != nil {
		return err
	}
	size := Size{
		Vary: o.Vary, Workers: len(c.Workers), Teams: len(c.Teams), Tasks: o.Tasks, Instances: len(c.Entries),
		Costs: costs(idle, load, pids), StartsPerSecond: float64(load.vars.Starts) / load.duration.Seconds(),
	}
	text, err := json.Marshal(size)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(o.Out, sizesFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(append(text, '\n'))
	return err
}

// measureFor waits for the time settle, then measures what a cluster uses during the time length.
func (c *Cluster) measureFor(length, settle time.Duration) (snapshot, error) {
	time.Sleep(settle)
	before, err := c.takeSnapshot()
	if err != nil {
		return before, err
	}
	time.Sleep(length)
	after, err := c.takeSnapshot()
	return after.minus(before), err
}

// steadyJobs returns equal jobs at equal intervals, for a time that is longer than the measurement.
func steadyJobs(c *Cluster, o SizeOptions) []*Job {
	interval := time.Second * sizeTasks / time.Duration(o.Tasks)
	length := o.Length + 2*sizeSettle
	var jobs []*Job
	for at := time.Duration(0); at < length; at += interval {
		j := plainJob(sizeTasks, sizeRun)
		j.At, j.Deadline = at, sizeDeadline
		j.Team = len(jobs) % len(c.Teams)
		j.Caller = len(jobs) / len(c.Teams) % len(c.Teams[j.Team].Tokens)
		jobs = append(jobs, j)
	}
	return jobs
}

func costs(idle, load snapshot, pids map[string]int) map[string]Cost {
	out := map[string]Cost{}
	tasks := max(1, float64(load.vars.Starts))
	idleTime, loadTime := idle.duration.Seconds(), load.duration.Seconds()
	for role, u := range load.roles {
		i := idle.roles[role]
		x := Cost{
			IdleCPU: i.CPU.Seconds() / idleTime, IdleMemory: float64(i.Resident), IdleBytes: float64(i.IOBytes) / idleTime,
			LoadCPU: u.CPU.Seconds() / loadTime, LoadMemory: float64(u.Resident),
		}
		x.TaskCPU = (u.CPU.Seconds() - x.IdleCPU*loadTime) / tasks
		x.TaskBytes = (float64(u.IOBytes) - x.IdleBytes*loadTime) / tasks
		if role == roleEntry {
			x.IdleControl = float64(sumCounters(idle.vars.ControlBytes)) / idleTime
			x.TaskControl = (float64(sumCounters(load.vars.ControlBytes)) - x.IdleControl*loadTime) / tasks
		}
		out[role] = x
	}
	for name := range pids {
		x := out[roleOf(name)]
		x.ProcessCount++
		out[roleOf(name)] = x
	}
	return out
}

// dimension is one property of a cluster or its load on which costs depend.
type dimension struct {
	name string
	of   func(*Size) int
}

var dimensions = []dimension{
	{"workers", func(s *Size) int { return s.Workers }},
	{"teams", func(s *Size) int { return s.Teams }},
	{"tasks", func(s *Size) int { return s.Tasks }},
	{"instances", func(s *Size) int { return s.Instances }},
	// Varies the number of instances among which SpreadWorkers workers are divided. The intercept is the cost of owning the
	// workers, which the sum over the instances contains once, however many instances there are.
	{"spread", func(s *Size) int { return s.Instances }},
}

// quantity is one kind of cost, in the unit that the table shows.
type quantity struct {
	name string
	unit string
	of   func(Cost) float64
}

var quantities = []quantity{
	{"idle CPU", "us/s", func(c Cost) float64 { return c.IdleCPU * cpuUnit }},
	{"idle memory", "MB", func(c Cost) float64 { return c.IdleMemory / memoryUnit }},
	{"idle TCP", "B/s", func(c Cost) float64 { return c.IdleBytes }},
	{"idle control", "B/s", func(c Cost) float64 { return c.IdleControl }},
	{"load CPU", "us/s", func(c Cost) float64 { return c.LoadCPU * cpuUnit }},
	{"load memory", "MB", func(c Cost) float64 { return c.LoadMemory / memoryUnit }},
	{"CPU per task", "us", func(c Cost) float64 { return c.TaskCPU * cpuUnit }},
	{"TCP per task", "B", func(c Cost) float64 { return c.TaskBytes }},
	{"control per task", "B", func(c Cost) float64 { return c.TaskControl }},
}

// Fit is a straight line fitted to measured points by least squares.
type Fit struct {
	Slope       float64
	Intercept   float64
	MaxResidual float64 // largest vertical distance of a point from the line
}

func fit(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	f := Fit{}
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
	}
	f.Intercept = (sy - f.Slope*sx) / n
	for i := range x {
		f.MaxResidual = max(f.MaxResidual, y[i]-f.Slope*x[i]-f.Intercept, f.Intercept+f.Slope*x[i]-y[i])
	}
	return f
}

// Slopes prints, for each dimension, role and quantity, the costs at the measured sizes with a fitted line, and writes them to
// slopes.csv. It needs at least minSizes sizes of each dimension.
func Slopes(w io.Writer, out string) error {
	sizes, err := readLines[Size](filepath.Join(out, sizesFile))
	if err != nil {
		return err
	}
	lines := [][]string{{"dimension", "role", "quantity", "unit", "slope", "intercept", "worst", "sizes", "values"}}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PER\tROLE (SUM)\tQUANTITY\tUNIT\tSLOPE\tINTERCEPT\tWORST\tMEASURED AT (SIZE: VALUE)")
	for _, d := range dimensions {
		set := slices.DeleteFunc(slices.Clone(sizes), func(s Size) bool { return s.Vary != d.name })
		slices.SortFunc(set, func(a, b Size) int { return d.of(&a) - d.of(&b) })
		if len(set) < minSizes {
			return fmt.Errorf("dimension %s: %d sizes were measured, expected at least %d", d.name, len(set), minSizes)
		}
		for _, role := range []string{roleEntry, roleWorker, roleLog, roleInstances} {
			for _, q := range quantities {
				if role != roleEntry && (q.name == "idle control" || q.name == "control per task") {
					continue
				}
				lines = append(lines, slopeLine(t, set, d, role, q))
			}
		}
	}
	t.Flush()
	for _, s := range sizes {
		if s.StartsPerSecond < 0.9*float64(s.Tasks) {
			fmt.Fprintf(w, "size %s: only %.0f of %d tasks per second were started\n", s.Vary, s.StartsPerSecond, s.Tasks)
		}
	}
	return writeCSV(filepath.Join(out, "slopes.csv"), lines)
}

func slopeLine(t io.Writer, set []Size, d dimension, role string, q quantity) []string {
	var x, y []float64
	points := ""
	for i := range set {
		size, value := d.of(&set[i]), q.of(set[i].Costs[role])
		x, y = append(x, float64(size)), append(y, value)
		points += strconv.Itoa(size) + ": " + formatNumber(&value) + "  "
	}
	f := fit(x, y)
	fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", d.name, role, q.name, q.unit, formatNumber(&f.Slope), formatNumber(&f.Intercept),
		formatNumber(&f.MaxResidual), points)
	return []string{d.name, role, q.name, q.unit, formatFloat(f.Slope), formatFloat(f.Intercept), formatFloat(f.MaxResidual),
		fmt.Sprint(x), fmt.Sprint(y)}
}
