// Package metric implements the dispatcher's counters, gauges and quantiles. They are published through expvar and
// described in docs/metrics.md.
//
// The metrics are those of one entry instance. A job's home is the instance that issued the job's identity. Another
// instance that receives a request for the job forwards it to the home. A slot is room for one running task on a worker,
// and each worker is owned by one instance. A home whose own slots do not suffice reports this backlog to other
// instances. They grant it free slots for a limited time, and the home delegates tasks to them.
package metric

import (
	"encoding/json"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/savorypass/savorypass/internal/result"
)

// Kind is the label of one counter in Counters.
type Kind string

// The kinds of wasted messages: messages about slots and tasks that led to no start or answer.
const (
	WastedGrantReturned     Kind = "grant_returned"    // the home instance had no tasks left for granted slots
	WastedGrantExpired      Kind = "grant_expired"     // a grant was not used in time
	WastedBacklog           Kind = "backlog"           // a backlog report was not answered by a grant
	WastedEndpointRefused   Kind = "endpoint_refused"  // an endpoint refused a task before its start
	WastedEndpointUnreached Kind = "endpoint_missed"   // a task was not started because no byte reached the endpoint
	WastedDelegationFailed  Kind = "delegation_failed" // a delegated task was returned without having been started
	WastedForwardFailed     Kind = "forward_failed"    // a forwarded request got no answer from its home
	WastedTaskFetch         Kind = "fetch"             // the state of a task was fetched because its call brought no answer
	WastedLateAnswer        Kind = "late_answer"       // an answer arrived after its task had already been settled
)

// The kinds of delegations, forwards and copies.
const (
	Sent     Kind = "sent"
	Received Kind = "received"
	Served   Kind = "served" // copies: a request was answered from a copy because its home could not be reached
	Lost     Kind = "lost"   // delegations: the outcome of a delegated task is unknown
)

// The kinds of control messages.
const (
	ControlHeartbeats Kind = "heartbeats"
	ControlUsage      Kind = "usage"    // the teams' usage of slots
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
	MemberReturned Kind = "back"   // a suspect or gone member is live again
	MemberPaused   Kind = "paused" // this process found that it had been paused
)

// Counter is a number that only increases. It is safe for concurrent use.
type Counter struct{ v atomic.Int64 }

// Add adds n.
func (c *Counter) Add(n int64) { c.v.Add(n) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.v.Load() }

// String returns the count as JSON, as expvar requires.
func (c *Counter) String() string { return string(jsonOf(c.v.Load())) }

// Counters is a group of counters, one per kind. It is safe for concurrent use.
type Counters struct{ m expvar.Map }

// Add adds n to the counter of the kind k.
func (c *Counters) Add(k Kind, n int64) { c.m.Add(string(k), n) }

// Value returns the counter of the kind k, or 0 if it was never added to.
func (c *Counters) Value(k Kind) int64 {
	if v, ok := c.m.Get(string(k)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as JSON, as expvar requires.
func (c *Counters) String() string { return c.m.String() }

// CodeCounters counts results by result code. It is safe for concurrent use.
type CodeCounters struct{ m expvar.Map }

// Add counts one result.
func (c *CodeCounters) Add(code result.Code) { c.m.Add(code.String(), 1) }

// Value returns the number of results with a code.
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

// Set holds the metrics of one daemon. Its fields may be used concurrently.
type Set struct {
	// Jobs, tasks and messages.
	Starts       Counter      // tasks that this instance started on its own workers, including those delegated to it
	Answers      CodeCounters // final answers by code
	Refusals     CodeCounters // refused requests by code
	Identities   Counter      // identities issued
	Resubmitted  Counter      // submissions whose job was already known
	Delegations  Counters     // tasks delegated to or by other instances
	Forwards     Counters     // requests forwarded to or by other instances
	AnswerCopies Counters     // copies of final answers, which are kept on other instances in case the home is lost
	Wasted       Counters     // messages that led to no start or answer, by kind
	Replaced     Counter      // connections to workers that were replaced because they were silent
	HeldOff      Counter      // times that a worker got no tasks for a period because of its failures

	// Current levels.
	Queued      Gauge // tasks that wait to be started
	Running     Gauge // tasks that run on this instance's workers
	Slots       Gauge // slots that this instance owns
	Jobs        Gauge // jobs that have not been answered
	Connections Gauge // open connections of callers

	// Times in milliseconds and ratios, over the last minute.
	ResponseRatio *Quantiles // response time divided by the longest run time of the job's tasks, per completed job
	QueueWait     *Quantiles // from arrival to start, per task
	Overhead      *Quantiles // response time minus the longest run time, per completed job that did not wait
	ConfigLag     *Quantiles // from the time of a configuration record in the log until its version is in force on this instance

	// Configuration, membership and control messages.
	ConfigVersion     Gauge    // number of the configuration version in force; 0 before the first one
	MemberChanges     Counters // changes in the states of the entry instances, by kind
	ControlBytes      Counters // bytes of control messages between instances and to workers, log and instance list, by kind
	InstanceListAgeMS Gauge    // milliseconds since the last successful read of the platform's list of instances
	LogErrors         Counter  // failed calls to the log service

	named []Named // all metrics above, in the order of docs/metrics.md
}

// Named is a metric and the name under which it is published.
type Named struct {
	Name string
	Var  expvar.Var
}

const (
	maxMilliseconds = 10 * 60 * 1000.0 // the longest run time and the longest deadline
	maxRatio        = 100_000.0
	microsPerMilli  = 1000 // resolution of times: microseconds
	ratioSteps      = 1000 // resolution of ratios: 1/1000
)

// New returns a set whose time windows follow the wall clock.
func New() *Set { return NewWithClock(time.Now) }

// NewWithClock returns a set whose time windows follow the clock now.
func NewWithClock(now func() time.Time) *Set {
	s := &Set{
		ResponseRatio: newQuantiles(now, ratioSteps, maxRatio),
		QueueWait:     newQuantiles(now, microsPerMilli, maxMilliseconds),
		Overhead:      newQuantiles(now, microsPerMilli, maxMilliseconds),
		ConfigLag:     newQuantiles(now, microsPerMilli, maxMilliseconds),
	}
	s.named = []Named{
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

// NewMillisecondQuantiles returns quantiles over the last minute for times in milliseconds.
func NewMillisecondQuantiles() *Quantiles {
	return newQuantiles(time.Now, microsPerMilli, maxMilliseconds)
}

// All returns every metric with its published name, in the order of docs/metrics.md.
func (s *Set) All() []Named { return s.named }

// String returns all metrics as a JSON object, as expvar requires.
func (s *Set) String() string {
	all := make(map[string]json.RawMessage, len(s.named))
	for _, n := range s.named {
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
