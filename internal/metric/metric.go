// Package metric holds the dispatcher's counters, gauges and quantiles. They are published through expvar and described
// in docs/metrics.md.
package metric

import (
	"encoding/json"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/result"
)

// Kind labels one part of a counter.
type Kind string

// The kinds of wasted messages: messages about slots and tasks that led to no start or answer.
const (
	WastedGrantReturned     Kind = "grant_returned"    // the home had no work left for granted slots
	WastedGrantExpired      Kind = "grant_expired"     // a grant was not used in time
	WastedBacklog           Kind = "backlog"           // a backlog report that got no grant
	WastedEndpointRefused   Kind = "endpoint_refused"  // an endpoint refused a task before its start
	WastedEndpointUnreached Kind = "endpoint_missed"   // no byte reached the endpoint
	WastedDelegationFailed  Kind = "delegation_failed" // a delegated task came back without a start
	WastedForwardFailed     Kind = "forward_failed"    // a forwarded request did not reach its home
	WastedTaskFetch         Kind = "fetch"             // a task whose call brought no answer was asked after
	WastedLateAnswer        Kind = "late_answer"       // the answer to a task that was given up came late
)

// The kinds of delegations, forwards and copies.
const (
	Sent     Kind = "sent"
	Received Kind = "received"
	Served   Kind = "served" // answered from a copy after the home was lost
	Lost     Kind = "lost"   // the fate is unknown
)

// The kinds of control messages.
const (
	ControlHeartbeats Kind = "heartbeats"
	ControlUsage      Kind = "usage"    // the teams' use of slots
	ControlSharing    Kind = "sharing"  // backlogs, grants and stops of delegated tasks
	ControlHandover   Kind = "handover" // claims and handovers of workers
	ControlConfig     Kind = "config"   // configuration between instances
	ControlLeases     Kind = "leases"   // renewals, stops and reports of the workers
	ControlList       Kind = "list"     // the instance list
	ControlLog        Kind = "log"      // the log service
)

// The kinds of member changes.
const (
	MemberJoined   Kind = "joined"
	MemberSuspect  Kind = "suspect"
	MemberGone     Kind = "gone"
	MemberReturned Kind = "back"
	MemberPaused   Kind = "paused" // this process found that it had been paused
)

// Counter is a number that only grows. It is safe for concurrent use.
type Counter struct{ v atomic.Int64 }

// Add adds n.
func (c *Counter) Add(n int64) { c.v.Add(n) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.v.Load() }

// String returns the count as JSON, as expvar requires.
func (c *Counter) String() string { return string(jsonOf(c.v.Load())) }

// Counters is a group of counters by kind. It is safe for concurrent use.
type Counters struct{ m expvar.Map }

// Add adds n to the counter of a kind.
func (c *Counters) Add(k Kind, n int64) { c.m.Add(string(k), n) }

// Value returns the counter of a kind.
func (c *Counters) Value(k Kind) int64 {
	if v, ok := c.m.Get(string(k)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as JSON, as expvar requires.
func (c *Counters) String() string { return c.m.String() }

// CodeCounters counts results by code. It is safe for concurrent use.
type CodeCounters struct{ m expvar.Map }

// Add counts one result.
func (c *CodeCounters) Add(code result.Code) { c.m.Add(code.String(), 1) }

// Value returns how often a code was counted.
func (c *CodeCounters) Value(code result.Code) int64 {
	if v, ok := c.m.Get(code.String()).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as JSON, as expvar requires.
func (c *CodeCounters) String() string { return c.m.String() }

// Gauge is a number that goes up and down. It is safe for concurrent use.
type Gauge struct{ v atomic.Int64 }

// Set replaces the number.
func (g *Gauge) Set(n int64) { g.v.Store(n) }

// Add changes the number by n.
func (g *Gauge) Add(n int64) { g.v.Add(n) }

// Value returns the number.
func (g *Gauge) Value() int64 { return g.v.Load() }

// String returns the number as JSON, as expvar requires.
func (g *Gauge) String() string { return string(jsonOf(g.v.Load())) }

// Set is the metrics of one daemon. The fields may be used concurrently.
type Set struct {
	// Work.
	Starts       Counter      // tasks that this instance started on its own workers
	Answers      CodeCounters // final answers by code
	Refusals     CodeCounters // refused requests by code
	Identities   Counter      // identities issued
	Resubmitted  Counter      // submissions that attached to a known job
	Delegations  Counters     // tasks delegated to or by other instances
	Forwards     Counters     // requests forwarded to or by other instances
	AnswerCopies Counters     // copies of finished answers
	Wasted       Counters     // messages that led to no start
	Replaced     Counter      // connections that were replaced because they were silent
	HeldOff      Counter      // times that a worker was taken out of service

	// Levels.
	Queued      Gauge // tasks that wait
	Running     Gauge // tasks that run on this instance's workers
	Slots       Gauge // slots that this instance owns
	Jobs        Gauge // jobs that are not answered
	Connections Gauge // callers' connections

	// Times in milliseconds and ratios, over the last minute.
	ResponseRatio *Quantiles // job response time over the job's own longest run time
	QueueWait     *Quantiles // from arrival to start, per task
	Overhead      *Quantiles // response time less the own run time, for jobs that did not wait
	ConfigLag     *Quantiles // from the log's time of a record until it is in force here

	// Control.
	ConfigVersion     Gauge
	MemberChanges     Counters
	ControlBytes      Counters // bytes of messages between instances, to the log and to the instance list
	InstanceListAgeMS Gauge    // milliseconds since the last good read of the instance list
	LogErrors         Counter

	byName []Named
}

// Named is a metric with its published name.
type Named struct {
	Name string
	Var  expvar.Var
}

const (
	maxMilliseconds = 10 * 60 * 1000.0 // the longest run time and deadline
	maxRatio        = 100_000.0
	microsPerMilli  = 1000
	ratioSteps      = 1000
)

// New returns a set that reads the wall clock.
func New() *Set { return NewWithClock(time.Now) }

// NewWithClock returns a set whose windows follow a clock.
func NewWithClock(now func() time.Time) *Set {
	s := &Set{
		ResponseRatio: newQuantiles(now, ratioSteps, maxRatio),
		QueueWait:     newQuantiles(now, microsPerMilli, maxMilliseconds),
		Overhead:      newQuantiles(now, microsPerMilli, maxMilliseconds),
		ConfigLag:     newQuantiles(now, microsPerMilli, maxMilliseconds),
	}
	s.byName = []Named{
		{"starts", &s.Starts}, {"answers", &s.Answers}, {"refusals", &s.Refusals},
		{"identities", &s.Identities}, {"resubmitted", &s.Resubmitted},
		{"delegations", &s.Delegations}, {"forwards", &s.Forwards}, {"copies", &s.AnswerCopies},
		{"wasted_messages", &s.Wasted}, {"connections_replaced", &s.Replaced}, {"workers_held_off", &s.HeldOff},
		{"queued", &s.Queued}, {"running", &s.Running}, {"slots", &s.Slots},
		{"jobs", &s.Jobs}, {"connections", &s.Connections},
		{"response_ratio", s.ResponseRatio}, {"queue_wait_ms", s.QueueWait}, {"overhead_ms", s.Overhead},
		{"config_lag_ms", s.ConfigLag}, {"config_version", &s.ConfigVersion},
		{"member_changes", &s.MemberChanges}, {"control_bytes", &s.ControlBytes},
		{"instance_list_age_ms", &s.InstanceListAgeMS}, {"log_errors", &s.LogErrors},
	}
	return s
}

// NewMillisecondQuantiles returns quantiles of times in milliseconds over the last minute.
func NewMillisecondQuantiles() *Quantiles {
	return newQuantiles(time.Now, microsPerMilli, maxMilliseconds)
}

// All returns every metric with its published name, in the order of the documentation.
func (s *Set) All() []Named { return s.byName }

// String returns all metrics as a JSON object, as expvar requires.
func (s *Set) String() string {
	all := make(map[string]json.RawMessage, len(s.byName))
	for _, n := range s.byName {
		all[n.Name] = json.RawMessage(n.Var.String())
	}
	return string(jsonOf(all))
}

func jsonOf(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return []byte("null")
	}
	return text
}
