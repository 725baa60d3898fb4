package bench

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/member"
)

// SlopeTable holds the lines that Slopes has fitted. The key is dimension, role and quantity.
type SlopeTable map[[3]string]Fit

func (t SlopeTable) of(dimension, role, quantity string) Fit {
	return t[[3]string{dimension, role, quantity}]
}

// requiredLines are the lines that the model uses.
var requiredLines = [][3]string{
	{"workers", roleEntry, "idle CPU"}, {"workers", roleEntry, "idle memory"}, {"workers", roleEntry, "idle TCP"},
	{"tasks", roleEntry, "load CPU"},
	{"spread", roleEntry, "idle CPU"}, {"spread", roleEntry, "idle memory"}, {"spread", roleEntry, "idle TCP"},
}

// ReadSlopes reads slopes.csv as Slopes writes it. A missing required line is an error.
func ReadSlopes(r io.Reader) (SlopeTable, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, err
	}
	t := SlopeTable{}
	for _, row := range rows[min(1, len(rows)):] {
		f := Fit{}
		for i, v := range []*float64{&f.Slope, &f.Intercept, &f.MaxResidual} {
			if *v, err = strconv.ParseFloat(row[4+i], 64); err != nil {
				return nil, fmt.Errorf("slope of %s, %s, %s: %w", row[0], row[1], row[2], err)
			}
		}
		t[[3]string{row[0], row[1], row[2]}] = f
	}
	for _, k := range requiredLines {
		if _, ok := t[k]; !ok {
			return nil, fmt.Errorf("required slope missing: %s", strings.Join(k[:], ", "))
		}
	}
	return t, nil
}

// Benchmarks holds the figures of Go benchmarks by name and unit. The names have no suffix for the number of processors.
type Benchmarks map[string]map[string]float64

func (b Benchmarks) of(name, unit string) float64 { return b[name][unit] }

// ReadBenchmarks reads the output of go test -bench. A missing benchmark that the model uses is an error.
func ReadBenchmarks(r io.Reader) (Benchmarks, error) {
	b := Benchmarks{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := fields[0]
		if i := strings.LastIndexByte(name, '-'); i > 0 {
			name = name[:i]
		}
		values := map[string]float64{}
		for i := 2; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("benchmark %s: %w", name, err)
			}
			values[fields[i+1]] = v
		}
		b[name] = values
	}
	for _, name := range []string{controlBenchmark, startBenchmark} {
		if b[name] == nil {
			return nil, fmt.Errorf("required benchmark missing: %s", name)
		}
	}
	return b, lines.Err()
}

type capacityCommand struct {
	Slopes string `long:"slopes" default:"out/slopes.csv" description:"slopes, written by make slopes"`
	Bench  string `long:"benchmarks" default:"out/benchmarks.txt" description:"output of the Go benchmarks, written by make capacity"`
	Page   string `long:"page" description:"page whose tables are replaced, such as docs/CAPACITY.md; the default prints them"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	slopes, err := readFile(c.Slopes, ReadSlopes)
	if err != nil {
		return err
	}
	benchmarks, err := readFile(c.Bench, ReadBenchmarks)
	if err != nil {
		return err
	}
	var models []*Model
	for _, s := range systems {
		sizes, err := CountMessages(s)
		if err != nil {
			return err
		}
		state, err := MeasureState(s)
		if err != nil {
			return err
		}
		models = append(models, &Model{System: s, Sizes: sizes, State: state, Slopes: slopes, Benchmarks: benchmarks})
	}
	if c.Page == "" {
		printCapacity(os.Stdout, models)
		return nil
	}
	var tables bytes.Buffer
	printCapacity(&tables, models)
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	if page, err = replaceTables(page, tables.Bytes()); err != nil {
		return fmt.Errorf("%s: %w", c.Page, err)
	}
	return os.WriteFile(c.Page, page, 0o644)
}

// The lines of a page that enclose the generated tables.
const (
	tablesBegin = "<!-- tables of make capacity -->\n"
	tablesEnd   = "<!-- end of the tables -->\n"
)

func replaceTables(page, tables []byte) ([]byte, error) {
	before, rest, begun := bytes.Cut(page, []byte(tablesBegin))
	_, after, ended := bytes.Cut(rest, []byte(tablesEnd))
	if !begun || !ended {
		return nil, fmt.Errorf("expected the lines %q and %q around the tables; at least one is missing", tablesBegin, tablesEnd)
	}
	return slices.Concat(before, []byte(tablesBegin), tables, []byte("\n"+tablesEnd), after), nil
}

func readFile[T any](path string, read func(io.Reader) (T, error)) (v T, err error) {
	f, err := os.Open(path)
	if err != nil {
		return v, err
	}
	defer f.Close()
	if v, err = read(f); err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return v, err
}

// table writes markdown tables with one column for each model.
type table struct {
	w      io.Writer
	models []*Model
}

func (t *table) head(title, first string, last ...string) {
	fmt.Fprintf(t.w, "\n### %s\n\n| %s |", title, first)
	for _, m := range t.models {
		fmt.Fprintf(t.w, " %s |", m.Name)
	}
	for _, l := range last {
		fmt.Fprintf(t.w, " %s |", l)
	}
	fmt.Fprintf(t.w, "\n|%s\n", strings.Repeat("---|", 1+len(t.models)+len(last)))
}

func (t *table) row(name string, of func(*Model) float64, last ...string) {
	fmt.Fprintf(t.w, "| %s |", name)
	for _, m := range t.models {
		v := of(m)
		fmt.Fprintf(t.w, " %s |", formatNumber(&v))
	}
	for _, l := range last {
		fmt.Fprintf(t.w, " %s |", l)
	}
	fmt.Fprintln(t.w)
}

func printCapacity(w io.Writer, models []*Model) {
	t := &table{w, models}
	t.inputs()
	t.flows("Entry instance: control, bytes per second of both directions", (*Model).ControlFlows)
	t.flows("Entry instance: data, bytes per second of both directions", (*Model).DataFlows)
	t.state()
	t.entry()
	t.worker()
	t.log()
	t.list()
	t.losses()
	t.limits()
}

func (t *table) inputs() {
	t.head("Sizes", "input", "source")
	t.row("workers", func(m *Model) float64 { return float64(m.Workers) }, "target")
	t.row("accelerators", func(m *Model) float64 { return float64(m.Accelerators) }, "target")
	t.row("slots of a worker", func(m *Model) float64 { return float64(m.Slots) }, "today's workers")
	t.row("entry instances", func(m *Model) float64 { return float64(m.Instances) }, "design page")
	t.row("zones", func(m *Model) float64 { return float64(m.Zones) }, "target")
	t.row("teams", func(m *Model) float64 { return float64(m.Teams) }, "target")
	t.row("task starts per second", func(m *Model) float64 { return m.Starts }, "target; today: what the slots carry at the run time")
	t.row("jobs per second", func(m *Model) float64 { return m.Jobs() }, "starts over tasks of a job")
	t.row("mean run time, ms", func(m *Model) float64 { return m.RunTime.Seconds() * 1000 }, "assumed")
	t.row("longest mean run time that the slots carry, ms", func(m *Model) float64 { return m.MaxMeanRunTime() * 1000 }, "slots over starts")
	t.row("slots of a worker that the mean run time takes", func(m *Model) float64 { return m.Wanted() / float64(m.Workers) }, "starts times run time")
	t.row("payload and output of a task, bytes", func(m *Model) float64 { return float64(m.Payload + m.Output) }, "assumed")
}

func (t *table) flows(title string, of func(*Model) []Flow) {
	t.head(title, "kind", "messages/s at the last size", "bytes of one", "source", "package")
	last := of(t.models[len(t.models)-1])
	for i, f := range last {
		size, rate := f.Size, f.Rate
		t.row(f.Name, func(m *Model) float64 { return of(m)[i].Bytes() }, formatNumber(&rate), formatNumber(&size), f.Source, f.Package)
	}
	t.row("**sum**", func(m *Model) float64 { return sumFlows(of(m)) }, "", "", "", "")
}

func (t *table) state() {
	t.head("Entry instance: state, MB", "kind", "count at the last size", "bytes of one", "source", "package")
	last := t.models[len(t.models)-1].StateItems()
	for i, h := range last {
		t.row(h.Name, func(m *Model) float64 { return m.StateItems()[i].Bytes() / memoryUnit },
			formatNumber(&h.Count), formatNumber(&h.Size), h.Source, h.Package)
	}
	t.row("**sum**", func(m *Model) float64 { return sumStateItems(m.StateItems()) / memoryUnit }, "", "", "", "")
}

func (t *table) entry() {
	t.head("Entry instance: processor and memory", "figure", "source")
	t.row("control, % of a core", func(m *Model) float64 { return m.ControlCPU() * 100 }, "slopes workers, spread: idle CPU; "+controlBenchmark)
	t.row("of it peers, % of a core", func(m *Model) float64 { return m.PeerCPU(float64(m.Instances-1)) * 100 }, controlBenchmark)
	t.row("idle memory, MB", (*Model).ControlMemory, "slopes workers, spread: idle memory")
	t.row("of it listed workers, MB", func(m *Model) float64 {
		c, _ := m.idleUse("idle memory")
		return c.PerListedWorker * float64(m.Workers)
	}, "slopes workers, spread: idle memory")
	t.row("of it owned workers, MB", func(m *Model) float64 {
		c, _ := m.idleUse("idle memory")
		return c.PerOwnedWorker * m.OwnedWorkers()
	}, "slope spread: idle memory")
	t.row("idle memory if listed workers cost only in their zone, MB", func(m *Model) float64 {
		return m.idleUseZoneLocal("idle memory")
	}, "the same")
	t.row("control if listed workers cost only in their zone, % of a core", func(m *Model) float64 {
		return (m.idleUseZoneLocal("idle CPU")/cpuUnit + m.PeerCPU(max(0, float64(m.Instances-slopeEntries)))) * 100
	}, "the same")
	t.row("control per node over all nodes, B/s", (*Model).ControlPerNode, "control table, worker table")
	t.row("control with renewals that name no tasks, every 2 s, B/s", (*Model).ControlWithIdleRenewals, "control table")
	t.row("idle TCP by slope, B/s", func(m *Model) float64 { return m.idleTCP() }, "slopes workers, spread: idle TCP; compare with the control table without peers")
	t.row("task, us", (*Model).TaskCPU, "slope tasks: load CPU")
	t.row("tasks, cores of an instance", func(m *Model) float64 { return m.Share(m.Starts) * m.TaskCPU() / cpuUnit }, "slope tasks: load CPU")
	t.row("choosing, cores of the engine loop", (*Model).LoopUtilization, startBenchmark)
	t.row("starts/s of an instance of 4 cores at 60%", func(m *Model) float64 {
		return StartsPerInstance(entryCores, entryUtilization, m.TaskCPU())
	}, "slope tasks: load CPU")
	t.row("instances needed, a zone lost", func(m *Model) float64 {
		return float64(InstancesNeeded(m.Starts, StartsPerInstance(entryCores, entryUtilization, m.TaskCPU()), m.Zones))
	}, "slope tasks: load CPU; at least 2 a zone")
	t.row("the same at 10,000 starts/s a core", func(m *Model) float64 {
		return float64(InstancesNeeded(m.Starts, entryCores*entryUtilization*10_000, m.Zones))
	}, "required rate; `make bench` measures it")
}

// idleTCP is the number of bytes per second that an idle entry instance reads and writes over TCP.
func (m *Model) idleTCP() float64 {
	_, bytes := m.idleUse("idle TCP")
	return bytes
}

func (t *table) worker() {
	t.head("Worker (endpoint)", "figure", "source", "package")
	t.row("renewals per second", func(m *Model) float64 { return m.renewRate() / m.OwnedWorkers() }, "interval with tasks older than 1 s", "engine")
	t.row("control, B/s", (*Model).ControlPerWorker, sourceMessage, "engine")
	t.row("task starts per second", func(m *Model) float64 { return m.Starts / float64(m.Workers) }, "starts over workers", "platform/httpx")
	t.row("data, B/s", func(m *Model) float64 { return m.Starts / float64(m.Workers) * m.Sizes.Run }, sourceMessage, "platform/httpx")
	t.row("connections at most", func(m *Model) float64 { return float64(m.Slots) + 2 }, "one a slot, 2 for control", "platform/httpx")
}

func (t *table) log() {
	t.head("Log service", "figure", "source", "package")
	t.row("appends per second", (*Model).Appends, "changes and checkpoints; bound 300", "config")
	t.row("appended, B/s", func(m *Model) float64 { return m.Appends() * m.Sizes.ConfigRecord }, sourceMessage, "config")
	t.row("reads per second", func(m *Model) float64 { return logPollsPerSecond * float64(m.Instances) }, "2 a second and instance", "config")
	t.row("read, B/s", func(m *Model) float64 {
		return float64(m.Instances) * (logPollsPerSecond*m.Sizes.LogPoll + m.Appends()*m.Sizes.ConfigRecord)
	}, sourceMessage, "config")
}

func (t *table) list() {
	t.head("Instance list", "figure", "source", "package")
	t.row("reads per second", func(m *Model) float64 { return float64(m.Instances) / member.ListInterval.Seconds() }, sourceConstant, "member")
	t.row("whole list, bytes", func(m *Model) float64 { return m.Sizes.ListFull }, sourceMessage, "platform/httpx")
	t.row("read, B/s on average", func(m *Model) float64 {
		return float64(m.Instances) * (m.Sizes.ListUnchanged + m.ListChangeRate()*m.Sizes.ListFull)
	}, sourceMessage, "platform/httpx")
	t.row("read, B/s while every read finds a change", func(m *Model) float64 { return float64(m.Instances) * m.Sizes.ListFull }, sourceMessage, "platform/httpx")
}

func (t *table) losses() {
	t.head("Losses", "figure", "source")
	t.row("rack: slots missing, %", func(m *Model) float64 { return RackLoss(m.System).Slots * 100 }, "8 workers a rack")
	t.row("rack: running tasks lost", func(m *Model) float64 { return RackLoss(m.System).Tasks }, "slots in use")
	t.row("rack: no new work after, s", func(*Model) float64 { return engine.DefaultTiming().SuspectAfter.Seconds() }, "engine")
	t.row("rack: tasks answered after, s", func(*Model) float64 { return engine.DefaultTiming().Lease.Seconds() }, "engine")
	t.row("zone: slots missing, %", func(m *Model) float64 { return ZoneLoss(m.System).Slots * 100 }, "zones of one size")
	t.row("zone: running tasks lost", func(m *Model) float64 { return ZoneLoss(m.System).Tasks }, "slots in use")
	t.row("zone: load of the other instances, times", func(m *Model) float64 { return ZoneLoss(m.System).Load }, "zones of one size")
	t.row("zone: peers given up after, s", func(*Model) float64 { return member.OtherZoneDeadAfter.Seconds() }, "member")
	t.row("entry instance: workers that move", func(m *Model) float64 { return m.OwnedWorkers() }, "owner")
	t.row("entry instance: they move after, s", func(*Model) float64 { return member.ZoneDeadAfter.Seconds() }, "member")
}

func (t *table) limits() {
	t.head("Limits, use over bound; the largest is reached first", "limit", "use at the last size", "bound", "unit", "source")
	last := t.models[len(t.models)-1].Limits()
	order := make([]int, len(last))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if last[a].Ratio() > last[b].Ratio() {
			return -1
		}
		return 1
	})
	for _, i := range order {
		l := last[i]
		t.row(l.Name, func(m *Model) float64 { return m.Limits()[i].Ratio() }, formatNumber(&l.Use), formatNumber(&l.Bound), l.Unit, l.Source)
	}
}
