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
	Slots          int // of each worker
	Instances      int // entry instances
	Zones          int
	Regions        int
	Teams          int
	Services       int
	Starts         float64 // tasks per second
	TasksPerJob    float64 // tasks of a job
	RunTime        time.Duration
	ConfigChanges  float64 // of the configuration, per day
	InstanceEvents float64 // instances that fail or are replaced, per day
	Payload        int     // bytes of a task
	Output         int     // bytes of a task
}

// The users' bounds at the target, those of the platform, and assumptions of the extrapolation.
const (
	boundControlCPU    = 0.028  // of a core, per node
	boundControlMemory = 32     // MB, per node
	boundControlBytes  = 18_000 // per second and node
	boundLogAppends    = 300    // per second; the low end of "several hundred"

	entryCores          = 4
	entryUtilization    = 0.6  // of an entry instance's cores at the peak, so that bursts and failures find room
	minEntriesPerZone   = 2    // entry instances, so that a zone outlives one of them
	forwardedShare      = 0.10 // submissions that do not arrive at their home, as in the load of make bench
	delegatedShare      = 0.10 // tasks that run on another instance's slots; an assumption
	answerCopies        = 2    // of each answer
	listChangesPerEvent = 3    // versions of the instance list for an event: leaving, gone, back
	checkpointsPerDay   = 48   // a day, at half of a retention of one hour
	logPollsPerSecond   = 2    // per second and instance
	usageReportSeconds  = 2
	slopeZones          = 2 // of all sizes of make slopes
	slopeEntries        = 3 // entry instances of the sizes of make slopes, unless they are what varies
	secondsPerDay       = 86400.0
)

// namedShare is the part of the tasks in flight that are a second old or more, which renewals name: with the run times of
// savory-bench, 2% of the tasks run 4 s and 1% about 9 s, against a mean of 0.4 s.
const namedTaskShare = 0.3

// Today and the users' target, in jobs of 160 tasks and in jobs of 10.
var systems = []System{
	{Name: "today", Workers: 50, Slots: 8, Instances: 6, Zones: 3, Regions: 1, Teams: 8, Services: 4, Starts: 1300, TasksPerJob: 10,
		RunTime: 300 * time.Millisecond, ConfigChanges: 10, InstanceEvents: 2, Payload: 256, Output: 128},
	target("target, jobs of 160", 160), target("target, jobs of 10", 10),
}

func target(name string, tasks float64) System {
	return System{Name: name, Workers: 1200, Accelerators: 2500, Slots: 8, Instances: 20, Zones: 5, Regions: 2, Teams: 43, Services: 7,
		Starts: 66_000, TasksPerJob: tasks, RunTime: 300 * time.Millisecond, ConfigChanges: 860, InstanceEvents: 19 + 71, Payload: 256, Output: 128}
}

// Jobs is the number of jobs per second.
func (s System) Jobs() float64 { return s.Starts / s.TasksPerJob }

// ZonePeers is the number of an instance's peers in its own zone.
func (s System) ZonePeers() float64 { return float64(s.Instances)/float64(s.Zones) - 1 }

// FarPeers is the number of an instance's peers in other zones.
func (s System) OtherZonePeers() float64 { return float64(s.Instances) * (1 - 1/float64(s.Zones)) }

// OwnedWorkers is the number of workers whose slots one instance assigns.
func (s System) OwnedWorkers() float64 { return float64(s.Workers) / float64(s.Instances) }

// Share is an instance's part of a total.
func (s System) Share(total float64) float64 { return total / float64(s.Instances) }

// Wanted is the number of slots that the starts keep in use.
func (s System) Wanted() float64 { return s.Starts * s.RunTime.Seconds() }

// InFlight is the number of running tasks, which the slots bound.
func (s System) InFlight() float64 { return min(s.Wanted(), float64(s.Workers*s.Slots)) }

// LongestMeanRun is the mean run time in seconds at which the slots are just enough for the starts.
func (s System) MaxMeanRunTime() float64 { return float64(s.Workers*s.Slots) / s.Starts }

// Beats is the number of heartbeats that an instance sends per second.
func (s System) HeartbeatRate() float64 {
	return s.ZonePeers()/member.ZoneHeartbeatInterval.Seconds() + s.OtherZonePeers()/member.OtherZoneHeartbeatInterval.Seconds()
}

// ListVersions is the number of changes of the instance list per second.
func (s System) ListChangeRate() float64 {
	return s.InstanceEvents * listChangesPerEvent / secondsPerDay
}

// InstancesNeeded is the number of entry instances that carry the starts while one zone is lost.
func InstancesNeeded(starts, perInstance float64, zones int) int {
	zonesLeft := max(1, zones-1)
	perZone := math.Ceil(starts / float64(zonesLeft) / perInstance)
	return zones * max(minEntriesPerZone, int(perZone))
}

// StartsPerInstance is what an entry instance carries at its planned use, for a cost in microseconds per task.
func StartsPerInstance(cores, utilization, microseconds float64) float64 {
	return cores * utilization * cpuUnit / microseconds
}

// Loss is what a failure takes away.
type Loss struct {
	Slots float64 // share of all
	Tasks float64 // running tasks that end as "may have run"
	Load  float64 // load of the remaining entry instances over the load before
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

// Flow is one kind of message at one node: both directions.
type Flow struct {
	Name    string
	Rate    float64 // messages or exchanges per second
	Size    float64 // bytes
	Source  string  // of the size
	Package string  // package
}

// Bytes is the flow per second.
func (f Flow) Bytes() float64 { return f.Rate * f.Size }

func sumFlows(flows []Flow) (bytes float64) {
	for _, f := range flows {
		bytes += f.Bytes()
	}
	return bytes
}

// Model is a system with the costs that were measured and counted.
type Model struct {
	System
	Sizes      MessageSizes
	State      StateSizes
	Slopes     SlopeTable
	Benchmarks Benchmarks
}

// Sources of figures.
const (
	sourceMessage  = "counted message"
	sourceHeap     = "counted heap"
	sourceConstant = "constant of the package"
)

// renewRate takes the interval of workers with tasks older than 1 s, which nearly every worker has at the peak.
func (m *Model) renewRate() float64 {
	return m.OwnedWorkers() / engine.DefaultTiming().RenewBusy.Seconds()
}

// PeerOverhead is the transport's share of the control traffic with one peer, in bytes per second of both directions:
// the measured traffic less the heartbeats in it.
func TransportOverhead(measured, beats, size, peers float64) float64 {
	return max(0, measured-2*beats*size) / peers
}

const controlBenchmark = "BenchmarkControl/zones=5/perzone=4"

func (m *Model) transportOverhead() float64 {
	sample := System{Instances: 20, Zones: 5}
	measured := m.Benchmarks.of(controlBenchmark, "sent-B/s") + m.Benchmarks.of(controlBenchmark, "received-B/s")
	return TransportOverhead(measured, sample.HeartbeatRate(), encodedLength(sampleHeartbeat(sample)), float64(sample.Instances-1))
}

// Control is the control traffic of one entry instance.
func (m *Model) ControlFlows() []Flow {
	n := float64(m.Instances)
	entryEvents := m.InstanceEvents * n / (n + float64(m.Workers)) / secondsPerDay // events of entry instances
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
		{"lease renewals, tasks in them", m.renewRate() * namedTaskShare * m.InFlight() / float64(m.Workers), m.Sizes.RenewTask, sourceMessage, "engine"},
	}
}

// Data is the traffic of one entry instance for jobs.
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

// Held is one kind of state of one entry instance.
type StateItem struct {
	Name    string
	Count   float64
	Size    float64 // bytes
	Source  string
	Package string
}

// Bytes is the state's size.
func (h StateItem) Bytes() float64 { return h.Count * h.Size }

const (
	recordTTLSeconds  = 600
	answerTTLSeconds  = 60
	stringHeaderBytes = 16
	taskBytes         = 150 // a queued or running task: phase, output, place, shape; from the fields' sizes
	copyOverheadBytes = 160 // replica's own estimate for a copy
	memberBytes       = 512 // a member's record and its connection without buffers; from the fields' sizes
)

// Holds is the state of one entry instance.
func (m *Model) StateItems() []StateItem {
	tasks := m.Share(m.Starts)
	output := float64(m.Output) + stringHeaderBytes
	return []StateItem{
		{"tasks in progress", m.Share(m.InFlight()), taskBytes + float64(m.Payload), "fields", "engine"},
		{"records of identities, 10 min", m.Share(m.Jobs()) * recordTTLSeconds, m.State.Record, sourceHeap, "registry"},
		{"outputs of answers, 60 s", tasks * answerTTLSeconds, output, "fields", "registry"},
		{"copies for peers, 60 s, by job", answerCopies * m.Share(m.Jobs()) * answerTTLSeconds, copyOverheadBytes + m.Sizes.CopyJob, sourceMessage, "replica"},
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

// CopyBytes is what the copies for peers want, before replica's bound drops the oldest.
func (m *Model) CopyBytes() (bytes float64) {
	for _, h := range m.StateItems() {
		if h.Package == "replica" {
			bytes += h.Bytes()
		}
	}
	return bytes
}

// SpreadWorkers is the number of workers in the sizes of the dimension spread.
const SpreadWorkers = 400

// IdleCost splits an idle instance's use of a quantity by what it depends on.
type IdleCost struct {
	Base            float64 // without workers
	PerListedWorker float64 // of each worker in the list
	PerOwnedWorker  float64 // of each worker that the instance owns
}

// SplitIdle reads two lines of sums over the instances. Over n instances at w workers the sum is n times the base and the
// listed workers, and once the owned ones: the line over n has the intercept w*Owned, and the line over w the slope
// n*Listed + Owned.
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

// zoneIdle is the idle use when the listed workers cost only in their own zone: the clusters of make slopes have two zones.
func (m *Model) idleUseZoneLocal(quantity string) float64 {
	c, _ := m.idleUse(quantity)
	return c.Base + c.PerListedWorker*float64(m.Workers)*slopeZones/float64(m.Zones) + c.PerOwnedWorker*m.OwnedWorkers()
}

// ControlCPU is the idle cost of one instance in cores, with its peers above the two that the slopes contain.
func (m *Model) ControlCPU() float64 {
	_, idleUse := m.idleUse("idle CPU")
	return idleUse/cpuUnit + m.PeerCPU(max(0, float64(m.Instances-slopeEntries)))
}

// PeerCPU is the cost of membership in cores, in proportion to the number of peers.
func (m *Model) PeerCPU(peers float64) float64 {
	return m.Benchmarks.of(controlBenchmark, "%core/instance") / 100 * peers / 19
}

// ControlMemory is the resident memory of an idle instance in MB.
func (m *Model) ControlMemory() float64 {
	_, idleUse := m.idleUse("idle memory")
	return idleUse
}

// NodeControl is the mean control traffic of a node in bytes per second, over entry instances and workers.
func (m *Model) ControlPerNode() float64 {
	entries := sumFlows(m.ControlFlows()) * float64(m.Instances)
	return (entries + m.ControlPerWorker()*float64(m.Workers)) / float64(m.Instances+m.Workers)
}

// WorkerControl is the control traffic of a worker in bytes per second.
func (m *Model) ControlPerWorker() float64 {
	return m.renewRate() / m.OwnedWorkers() * (m.Sizes.RenewIdle + m.Sizes.RenewTask*namedTaskShare*m.InFlight()/float64(m.Workers))
}

// LeanControl is the control traffic of an instance when renewals name no tasks and come at the longer interval.
func (m *Model) ControlWithIdleRenewals() float64 {
	sum := 0.0
	for _, f := range m.ControlFlows() {
		if f.Package != "engine" {
			sum += f.Bytes()
		}
	}
	return sum + m.OwnedWorkers()/engine.DefaultTiming().RenewIdle.Seconds()*m.Sizes.RenewIdle
}

// TaskCPU is the cost of a task in microseconds of an entry instance.
func (m *Model) TaskCPU() float64 { return m.Slopes.of("tasks", roleEntry, "load CPU").Slope }

const startBenchmark = "BenchmarkStart/workers=60"

// LoopUse is the share of the engine's one goroutine that choosing tasks and workers takes at one instance.
func (m *Model) LoopUtilization() float64 {
	return m.Share(m.Starts) * m.Benchmarks.of(startBenchmark, "ns/op") / float64(time.Second)
}

// Limit is a bound with its use.
type Limit struct {
	Name   string
	Use    float64
	Bound  float64
	Unit   string
	Source string
}

// Ratio is the use over the bound; above 1 the limit is exceeded.
func (l Limit) Ratio() float64 { return l.Use / l.Bound }

// Limits are the bounds of a system.
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

// Appends is the log's number of appends per second.
func (m *Model) Appends() float64 { return (m.ConfigChanges + checkpointsPerDay) / secondsPerDay }
