package bench

import (
	"math"
	"time"

	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/replica"
)

// System is the size of a deployment.
type System struct {
	Name           string
	Workers        int
	Accelerators   int
	Slots          int // per worker
	Instances      int // entry instances
	Zones          int
	Regions        int
	Teams          int
	Services       int
	Starts         float64 // task starts per second
	TasksPerJob    float64
	RunTime        time.Duration // mean run time of a task
	ConfigChanges  float64       // per day
	InstanceEvents float64       // instances that fail or are replaced, per day
	Payload        int           // bytes per task
	Output         int           // bytes per task
}

const (
	// Bounds that the users state for the target.
	boundControlCPU    = 0.028  // of a core, per node
	boundControlMemory = 32     // MB, per node
	boundControlBytes  = 18_000 // per second and node

	// Bound of the platform.
	boundLogAppends = 300 // per second; the low end of "several hundred"

	// Assumptions of the extrapolation, and settings of the product.
	entryCores          = 4
	entryUtilization    = 0.6  // used share of an entry instance's cores at the peak; the rest is reserved for bursts and failures
	minEntriesPerZone   = 2    // so that a zone still has an entry instance after one has failed
	forwardedShare      = 0.10 // share of the submissions that arrive at another instance than the job's home, as in the load of `make bench`
	delegatedShare      = 0.10 // share of the tasks that run on another instance's slots; an assumption
	answerCopies        = 2    // peers that hold a copy of each answer
	listChangesPerEvent = 3    // changes of the instance list: the instance is listed as leaving, removed, and listed again
	checkpointsPerDay   = 48   // copies of the configuration in the log: one every 30 min, half of the log's retention of one hour
	logPollsPerSecond   = 2    // reads of the log by each entry instance
	usageReportSeconds  = 2    // interval at which an instance reports the teams' usage to its peers in the zone

	// Sizes of the clusters that `make slopes` measures.
	slopeZones   = 2
	slopeEntries = 3 // entry instances, unless their number is varied

	secondsPerDay = 86400.0
)

// namedTaskShare is the share of the running tasks that are at least 1 s old; lease renewals name only these. It follows
// from the run times of savory-bench: 2% of the tasks run 4 s and 1% about 9 s, and the mean is 0.4 s.
const namedTaskShare = 0.3

// systems are today's deployment and the users' target; the target is calculated with jobs of 160 tasks and with jobs of 10.
var systems = []System{
	{Name: "today", Workers: 50, Slots: 8, Instances: 6, Zones: 3, Regions: 1, Teams: 8, Services: 4, Starts: 1300, TasksPerJob: 10,
		RunTime: 300 * time.Millisecond, ConfigChanges: 10, InstanceEvents: 2, Payload: 256, Output: 128},
	target("target, jobs of 160", 160), target("target, jobs of 10", 10),
}

func target(name string, tasks float64) System {
	return System{Name: name, Workers: 1200, Accelerators: 2500, Slots: 8, Instances: 20, Zones: 5, Regions: 2, Teams: 43, Services: 7,
		Starts: 66_000, TasksPerJob: tasks, RunTime: 300 * time.Millisecond, ConfigChanges: 860,
		InstanceEvents: 19 + 71, Payload: 256, Output: 128}
}

// Jobs is the number of jobs per second.
func (s System) Jobs() float64 { return s.Starts / s.TasksPerJob }

// ZonePeers is the number of an instance's peers in its own zone.
func (s System) ZonePeers() float64 { return float64(s.Instances)/float64(s.Zones) - 1 }

// OtherZonePeers is the number of an instance's peers in other zones.
func (s System) OtherZonePeers() float64 { return float64(s.Instances) * (1 - 1/float64(s.Zones)) }

// OwnedWorkers is the number of workers whose slots one instance assigns.
func (s System) OwnedWorkers() float64 { return float64(s.Workers) / float64(s.Instances) }

// Share is one entry instance's part of a total.
func (s System) Share(total float64) float64 { return total / float64(s.Instances) }

// Wanted is the number of slots that the starts need: start rate times mean run time. It may exceed the existing slots.
func (s System) Wanted() float64 { return s.Starts * s.RunTime.Seconds() }

// InFlight is the number of running tasks, at most one per slot.
func (s System) InFlight() float64 { return min(s.Wanted(), float64(s.Workers*s.Slots)) }

// MaxMeanRunTime is the mean run time in seconds at which the starts use every slot.
func (s System) MaxMeanRunTime() float64 { return float64(s.Workers*s.Slots) / s.Starts }

// HeartbeatRate is the number of heartbeats that an entry instance sends per second.
func (s System) HeartbeatRate() float64 {
	return s.ZonePeers()/member.ZoneHeartbeatInterval.Seconds() + s.OtherZonePeers()/member.OtherZoneHeartbeatInterval.Seconds()
}

// ListChangeRate is the number of changes of the instance list per second.
func (s System) ListChangeRate() float64 {
	return s.InstanceEvents * listChangesPerEvent / secondsPerDay
}

// InstancesNeeded is the number of entry instances that handle the starts per second while one zone is lost. perInstance is
// the number of starts per second that one instance handles.
func InstancesNeeded(starts, perInstance float64, zones int) int {
	zonesLeft := max(1, zones-1)
	perZone := math.Ceil(starts / float64(zonesLeft) / perInstance)
	return zones * max(minEntriesPerZone, int(perZone))
}

// StartsPerInstance is the number of starts per second that an entry instance handles at the given utilization of its
// cores, for a cost in CPU microseconds per task.
func StartsPerInstance(cores, utilization, microseconds float64) float64 {
	return cores * utilization * cpuUnit / microseconds
}

// Loss is the effect of a failure.
type Loss struct {
	Slots float64 // lost slots, as a share of all
	Tasks float64 // running tasks that end as "may have run"
	Load  float64 // load of each remaining entry instance, as a multiple of its load before
}

// RackLoss is the loss of one rack of workers.
func RackLoss(s System) Loss {
	share := workersPerRack / float64(s.Workers)
	return Loss{Slots: share, Tasks: s.InFlight() * share, Load: 1}
}

// ZoneLoss is the loss of one zone with its workers and entry instances.
func ZoneLoss(s System) Loss {
	share := 1 / float64(s.Zones)
	return Loss{Slots: share, Tasks: s.InFlight() * share, Load: 1 / (1 - share)}
}

// Flow is the traffic of one kind of message at one node (entry instance or worker), in both directions.
type Flow struct {
	Name    string
	Rate    float64 // messages or exchanges per second
	Size    float64 // bytes per message or exchange
	Source  string  // where Size comes from
	Package string  // package that sends the messages
}

// Bytes is the number of bytes per second.
func (f Flow) Bytes() float64 { return f.Rate * f.Size }

func sumFlows(flows []Flow) (bytes float64) {
	for _, f := range flows {
		bytes += f.Bytes()
	}
	return bytes
}

// Model is a system with the measured costs from which its needs are extrapolated.
type Model struct {
	System
	Sizes      MessageSizes
	State      StateSizes
	Slopes     SlopeTable
	Benchmarks Benchmarks
}

// Sources of sizes, as the tables show them.
const (
	sourceMessage  = "counted message"
	sourceHeap     = "counted heap"
	sourceConstant = "constant of the package"
)

// renewRate is the number of lease renewals that an entry instance sends per second. It uses the interval for workers with
// tasks older than 1 s, because nearly every worker has some at the peak.
func (m *Model) renewRate() float64 {
	return m.OwnedWorkers() / engine.DefaultTiming().RenewBusy.Seconds()
}

// TransportOverhead is the transport's share of the control traffic with one peer, in bytes per second of both directions:
// the measured traffic without the heartbeats, divided by the number of peers. heartbeatRate is the number of heartbeats per
// second in one direction, heartbeatSize the number of bytes of one heartbeat.
func TransportOverhead(measured, heartbeatRate, heartbeatSize, peers float64) float64 {
	return max(0, measured-2*heartbeatRate*heartbeatSize) / peers
}

// controlBenchmark is the Go benchmark of the traffic and CPU time for membership of 20 entry instances in 5 zones.
const controlBenchmark = "BenchmarkControl/zones=5/perzone=4"

func (m *Model) transportOverhead() float64 {
	sample := System{Instances: 20, Zones: 5}
	measured := m.Benchmarks.of(controlBenchmark, "sent-B/s") + m.Benchmarks.of(controlBenchmark, "received-B/s")
	return TransportOverhead(measured, sample.HeartbeatRate(), encodedLength(sampleHeartbeat(sample)), float64(sample.Instances-1))
}

// ControlFlows returns the control traffic of one entry instance.
func (m *Model) ControlFlows() []Flow {
	n := float64(m.Instances)
	entryEvents := m.InstanceEvents * n / (n + float64(m.Workers)) / secondsPerDay // per second, of entry instances only
	return []Flow{
		{"heartbeats", 2 * m.HeartbeatRate(), m.Sizes.Heartbeat, sourceMessage, "member"},
		{"transport of peers (QUIC, keep-alives)", m.ZonePeers() + m.OtherZonePeers(), m.transportOverhead(), controlBenchmark, "peer"},
		{"usage reports", 2 * m.ZonePeers() / usageReportSeconds, m.Sizes.Usage, sourceMessage, "entry"},
		{"ownership", 2 * entryEvents * m.ZonePeers(), m.Sizes.Claim, sourceMessage, "owner"},
		{"configuration polls", logPollsPerSecond, m.Sizes.LogPoll, sourceMessage, "config"},
		{"configuration changes", (m.ConfigChanges + checkpointsPerDay) / secondsPerDay, m.Sizes.ConfigRecord, sourceMessage, "config"},
		{"list reads, unchanged", 1 / member.ListInterval.Seconds(), m.Sizes.ListUnchanged, sourceMessage, "platform/httpx"},
		{"list reads, changed", m.ListChangeRate(), m.Sizes.ListFull, sourceMessage, "platform/httpx"},
		{"lease renewals, workers", m.renewRate(), m.Sizes.RenewIdle, sourceMessage, "engine"},
		{"lease renewals, tasks in them", m.renewRate() * namedTaskShare * m.InFlight() / float64(m.Workers), m.Sizes.RenewTask,
			sourceMessage, "engine"},
	}
}

// DataFlows returns the traffic of one entry instance for jobs.
func (m *Model) DataFlows() []Flow {
	starts, jobs := m.Share(m.Starts), m.Share(m.Jobs())
	perTask := m.Sizes.SubmitTask + m.Sizes.AnswerTask
	return []Flow{
		{"submissions and answers, by task", starts, perTask, sourceMessage, "server, api"},
		{"forwards, by task (10% assumed)", 2 * starts * forwardedShare, perTask, sourceMessage, "peer"},
		{"task starts", starts, m.Sizes.Run, sourceMessage, "platform/httpx"},
		{"delegated tasks (10% assumed)", 2 * starts * delegatedShare, m.Sizes.Delegate, sourceMessage, "share"},
		{"copies of answers, by job", 2 * answerCopies * jobs, m.Sizes.CopyJob, sourceMessage, "replica"},
		{"copies of answers, by task", 2 * answerCopies * starts, m.Sizes.AnswerTask, sourceMessage, "replica"},
	}
}

// StateItem is one kind of state that an entry instance keeps in memory.
type StateItem struct {
	Name    string
	Count   float64
	Size    float64 // bytes per item
	Source  string  // where Size comes from
	Package string  // package that keeps the items
}

// Bytes is the size of all items of this kind.
func (h StateItem) Bytes() float64 { return h.Count * h.Size }

const (
	recordTTLSeconds  = 600
	answerTTLSeconds  = 60
	stringHeaderBytes = 16
	taskBytes         = 150 // a queued or running task: phase, output, placement, resources; sum of the fields' sizes
	copyOverheadBytes = 160 // what package replica counts for a copy besides its content
	memberBytes       = 512 // a member's record and its connection without buffers; sum of the fields' sizes
)

// StateItems returns the state of one entry instance.
func (m *Model) StateItems() []StateItem {
	tasks := m.Share(m.Starts)
	output := float64(m.Output) + stringHeaderBytes
	return []StateItem{
		{"tasks in progress", m.Share(m.InFlight()), taskBytes + float64(m.Payload), "fields", "engine"},
		{"records of identities, 10 min", m.Share(m.Jobs()) * recordTTLSeconds, m.State.Record, sourceHeap, "registry"},
		{"outputs of answers, 60 s", tasks * answerTTLSeconds, output, "fields", "registry"},
		{"copies for peers, 60 s, by job", answerCopies * m.Share(m.Jobs()) * answerTTLSeconds, copyOverheadBytes + m.Sizes.CopyJob,
			sourceMessage, "replica"},
		{"copies for peers, 60 s, by task", answerCopies * tasks * answerTTLSeconds, m.Sizes.AnswerTask, sourceMessage, "replica"},
		{"estimates", float64(m.Teams * m.Services), m.State.Class, sourceHeap, "estimate"},
		{"members", float64(m.Instances), memberBytes, "fields", "member"},
		{"instance list", float64(m.Workers + m.Instances), m.State.Instances, sourceHeap, "member"},
		{"configuration", 1, m.State.Config, sourceHeap, "config"},
	}
}

func sumStateItems(items []StateItem) (bytes float64) {
	for _, h := range items {
		bytes += h.Bytes()
	}
	return bytes
}

// CopyBytes is the size of all copies that an entry instance keeps for its peers. Above replica.DefaultMaxBytes the oldest
// are dropped.
func (m *Model) CopyBytes() (bytes float64) {
	for _, h := range m.StateItems() {
		if h.Package == "replica" {
			bytes += h.Bytes()
		}
	}
	return bytes
}

// SpreadWorkers is the number of workers in the clusters that vary the dimension spread; scripts/bench.sh sets it too.
const SpreadWorkers = 400

// IdleCost is an idle entry instance's use of a quantity, split by what it depends on.
type IdleCost struct {
	Base            float64 // use without workers
	PerListedWorker float64 // further use for each worker in the instance list
	PerOwnedWorker  float64 // further use for each worker that the instance owns
}

// SplitIdle derives the parts of the idle cost from two fitted lines, whose values are sums over all entry instances.
//
// Each of n instances has the base cost and the cost of all w listed workers, while each worker is owned once, so the sum
// is n*(Base + w*PerListedWorker) + w*PerOwnedWorker. The line over n (spread, at w = SpreadWorkers) therefore has the
// intercept w*PerOwnedWorker, and the line over w (workers, at n = slopeEntries) has the slope
// n*PerListedWorker + PerOwnedWorker and the intercept n*Base.
func SplitIdle(workers, spread Fit) IdleCost {
	owned := max(0, spread.Intercept) / SpreadWorkers
	owned = min(owned, max(0, workers.Slope))
	return IdleCost{
		Base:            workers.Intercept / slopeEntries,
		PerListedWorker: max(0, workers.Slope-owned) / slopeEntries,
		PerOwnedWorker:  owned,
	}
}

func (m *Model) idleUse(quantity string) (IdleCost, float64) {
	c := SplitIdle(m.Slopes.of("workers", roleEntry, quantity), m.Slopes.of("spread", roleEntry, quantity))
	return c, c.Base + c.PerListedWorker*float64(m.Workers) + c.PerOwnedWorker*m.OwnedWorkers()
}

// idleUseZoneLocal is the idle use if listed workers had a cost only at the instances of their own zone. The clusters of
// `make slopes` have two zones, so an instance there would have that cost for half of the listed workers.
func (m *Model) idleUseZoneLocal(quantity string) float64 {
	c, _ := m.idleUse(quantity)
	return c.Base + c.PerListedWorker*float64(m.Workers)*slopeZones/float64(m.Zones) + c.PerOwnedWorker*m.OwnedWorkers()
}

// ControlCPU is the CPU use of one idle entry instance in cores. The slopes contain the cost of two peers; ControlCPU adds
// the cost of the other peers.
func (m *Model) ControlCPU() float64 {
	_, idleUse := m.idleUse("idle CPU")
	return idleUse/cpuUnit + m.PeerCPU(max(0, float64(m.Instances-slopeEntries)))
}

// PeerCPU is the CPU cost of membership in cores, in proportion to the number of peers. The benchmark runs with 19 peers.
func (m *Model) PeerCPU(peers float64) float64 {
	return m.Benchmarks.of(controlBenchmark, "%core/instance") / 100 * peers / 19
}

// ControlMemory is the resident memory of an idle instance in MB.
func (m *Model) ControlMemory() float64 {
	_, idleUse := m.idleUse("idle memory")
	return idleUse
}

// ControlPerNode is the mean control traffic of a node in bytes per second, over all entry instances and workers.
func (m *Model) ControlPerNode() float64 {
	entries := sumFlows(m.ControlFlows()) * float64(m.Instances)
	return (entries + m.ControlPerWorker()*float64(m.Workers)) / float64(m.Instances+m.Workers)
}

// ControlPerWorker is the control traffic of a worker in bytes per second.
func (m *Model) ControlPerWorker() float64 {
	return m.renewRate() / m.OwnedWorkers() * (m.Sizes.RenewIdle + m.Sizes.RenewTask*namedTaskShare*m.InFlight()/float64(m.Workers))
}

// ControlWithIdleRenewals is the control traffic of an entry instance in bytes per second if lease renewals named no tasks
// and came at the longer interval of idle workers.
func (m *Model) ControlWithIdleRenewals() float64 {
	sum := 0.0
	for _, f := range m.ControlFlows() {
		if f.Package != "engine" {
			sum += f.Bytes()
		}
	}
	return sum + m.OwnedWorkers()/engine.DefaultTiming().RenewIdle.Seconds()*m.Sizes.RenewIdle
}

// TaskCPU is the CPU cost of one task at the entry instances, in microseconds.
func (m *Model) TaskCPU() float64 { return m.Slopes.of("tasks", roleEntry, "load CPU").Slope }

// startBenchmark is the Go benchmark of the scheduler's work for one task, with 60 workers.
const startBenchmark = "BenchmarkStart/workers=60"

// LoopUtilization is the share of its time that the engine's single goroutine spends on choosing tasks and workers.
func (m *Model) LoopUtilization() float64 {
	return m.Share(m.Starts) * m.Benchmarks.of(startBenchmark, "ns/op") / float64(time.Second)
}

// Limit compares the use of a resource with its bound.
type Limit struct {
	Name   string
	Use    float64
	Bound  float64
	Unit   string // unit of Use and Bound
	Source string // where Use comes from
}

// Ratio is the use divided by the bound; above 1 the bound is exceeded.
func (l Limit) Ratio() float64 { return l.Use / l.Bound }

// Limits returns the bounds of a system with its use of each.
func (m *Model) Limits() []Limit {
	perInstance := StartsPerInstance(entryCores, entryUtilization, m.TaskCPU())
	needed := float64(InstancesNeeded(m.Starts, perInstance, m.Zones))
	return []Limit{
		{"control traffic of an entry instance", sumFlows(m.ControlFlows()) / 1000, boundControlBytes / 1000, "KB/s", "control table"},
		{"control processor time of an entry instance", m.ControlCPU() * 100, boundControlCPU * 100, "% of a core", "slopes workers and spread, " + controlBenchmark},
		{"memory of an idle entry instance", m.ControlMemory(), boundControlMemory, "MB", "slopes workers and spread"},
		{"slots in use at the mean run time", m.Wanted(), float64(m.Workers * m.Slots), "slots", "System.Wanted"},
		{"log appends", m.Appends(), boundLogAppends, "per second", "changes, checkpoints"},
		{"copies of answers", m.CopyBytes() / memoryUnit, replica.DefaultMaxBytes / memoryUnit, "MB", "state table"},
		{"engine loop, choosing", m.LoopUtilization(), 1, "of a core", startBenchmark},
		{"entry instances, a zone lost", needed, float64(m.Instances), "instances", "slope tasks"},
	}
}

// Appends is the number of appends to the log per second.
func (m *Model) Appends() float64 { return (m.ConfigChanges + checkpointsPerDay) / secondsPerDay }
