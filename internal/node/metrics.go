package node

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/dump"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/store"
)

// The paths of the operators' listener.
const (
	MetricsPath = "/metrics"
	DumpPath    = dump.Path
)

// Kinds of calls to the store, as the metrics name them.
const (
	callRead   metric.Kind = "read"
	callNewest metric.Kind = "newest"
	callPut    metric.Kind = "put"
	callAppend metric.Kind = "append"
	callTrim   metric.Kind = "trim"
	callJoin   metric.Kind = "join"
	callLeave  metric.Kind = "leave"
	callOwners metric.Kind = "owners"
)

// countedStore wraps a store and counts, by kind, the calls to it and the calls that failed.
type countedStore struct {
	store.Store
	calls  metric.Counters
	failed metric.Counters
}

func (c *countedStore) count(k metric.Kind, err error) {
	c.calls.Add(k, 1)
	if err != nil {
		c.failed.Add(k, 1)
	}
}

// Read implements store.Store.
func (c *countedStore) Read(ctx context.Context, topic string, part int, from int64, wait time.Duration) (store.Batch, error) {
	b, err := c.Store.Read(ctx, topic, part, from, wait)
	c.count(callRead, err)
	return b, err
}

// Newest implements store.Store.
func (c *countedStore) Newest(ctx context.Context, topic string, part int) (store.Batch, error) {
	b, err := c.Store.Newest(ctx, topic, part)
	c.count(callNewest, err)
	return b, err
}

// Put implements store.Store.
func (c *countedStore) Put(ctx context.Context, topic, key string, value []byte) error {
	err := c.Store.Put(ctx, topic, key, value)
	c.count(callPut, err)
	return err
}

// Append implements store.Store.
func (c *countedStore) Append(ctx context.Context, a store.Append) (store.Appended, error) {
	appended, err := c.Store.Append(ctx, a)
	c.count(callAppend, err)
	return appended, err
}

// Trim implements store.Store.
func (c *countedStore) Trim(ctx context.Context, topic string, part int, before int64) error {
	err := c.Store.Trim(ctx, topic, part, before)
	c.count(callTrim, err)
	return err
}

// Join implements store.Store.
func (c *countedStore) Join(ctx context.Context, m store.Membership) (store.Assignment, error) {
	assignment, err := c.Store.Join(ctx, m)
	c.count(callJoin, err)
	return assignment, err
}

// Leave implements store.Store.
func (c *countedStore) Leave(ctx context.Context, m store.Membership) error {
	err := c.Store.Leave(ctx, m)
	c.count(callLeave, err)
	return err
}

// Owners implements store.Store.
func (c *countedStore) Owners(ctx context.Context, group string) ([]store.Owner, error) {
	owners, err := c.Store.Owners(ctx, group)
	c.count(callOwners, err)
	return owners, err
}

// gauge returns a metric whose value is computed by read at each output.
func gauge(read func() int64) expvar.Var { return expvar.Func(func() any { return read() }) }

// namedMetrics returns the instance's metrics. docs/OPERATIONS.md describes them.
func (n *Node) namedMetrics() []metric.Named {
	m, c := &n.metrics, &n.counts
	return []metric.Named{
		{Name: "requests_answered", Var: &m.Answered}, {Name: "requests_refused", Var: &m.Refused},
		{Name: "requests_abandoned", Var: &m.Abandoned}, {Name: "requests_timed_out", Var: &m.TimedOut}, {Name: "requests_given_up", Var: &m.GivenUp},
		{Name: "homes_asked", Var: &m.Claims}, {Name: "homes_unanswered", Var: &m.Unanswered}, {Name: "jobs_followed", Var: &m.Followed},
		{Name: "jobs_searched", Var: &m.Searches}, {Name: "searches_unanswered", Var: &m.SearchesUnanswered},
		{Name: "response_ms", Var: m.ResponseMS},
		{Name: "requests_active", Var: gauge(func() int64 { return int64(n.gateway.Active()) })},
		{Name: "runs_ordered", Var: &c.Starts}, {Name: "jobs_refused", Var: &c.Refused}, {Name: "jobs_passed_on", Var: &c.WouldWait},
		{Name: "starts_unanswered", Var: &c.UnansweredStarts}, {Name: "runs_stalled", Var: &c.Stalled},
		{Name: "repeated_in_vain", Var: &c.RepeatedInVain},
		{Name: "endpoints_disturbed", Var: &c.Disturbed}, {Name: "jobs_delayed", Var: &c.DelayedJobs},
		{Name: "settings_ignored", Var: gauge(func() int64 { return int64(len(n.opts.Settings.Ignored)) })},
		{Name: "runs_found", Var: &c.FoundRuns}, {Name: "runs_stopped", Var: &c.StoppedRuns},
		{Name: "runs_without_success", Var: &c.UnsuccessfulRuns}, {Name: "endpoint_crashes", Var: &c.Crashes},
		{Name: "runs_crashed", Var: &c.CrashedRuns}, {Name: "jobs_given_up", Var: &c.GivenUp},
		{Name: "tasks_with_attempts", Var: gauge(func() int64 { return int64(n.history.Tasks()) })},
		{Name: "jobs_given_back", Var: &c.GivenBack}, {Name: "jobs_completed", Var: &c.Punctuality},
		{Name: "run_ms", Var: c.RunMS}, {Name: "wait_ms", Var: c.WaitMS},
		{Name: "submission_age_ms", Var: c.AgeMS}, {Name: "caller_silence_ms", Var: c.SilenceMS}, {Name: "starts_held", Var: &c.HeldStarts},
		{Name: "partitions_held", Var: gauge(func() int64 { return int64(len(n.lead.Term().Partitions)) })},
		{Name: "zones_substituted", Var: gauge(func() int64 { return int64(len(n.dispatching()) - 1) })},
		{Name: "zones_evacuated", Var: gauge(func() int64 { return int64(len(n.evacuations.Status().Zones)) })},
		{Name: "evacuations_begun", Var: &n.evacuationCounts.Begun}, {Name: "evacuations_ended", Var: &n.evacuationCounts.Ended},
		{Name: "evacuations_foreign", Var: &n.evacuationCounts.Foreign}, {Name: "evacuations_unreadable", Var: &n.evacuationCounts.Unreadable},
		{Name: "jobs_evacuated", Var: &c.Evacuated}, {Name: "jobs_handed_over", Var: &c.HandedOver},
		{Name: "generation", Var: gauge(func() int64 { return n.lead.Term().Generation })},
		{Name: "config_version", Var: gauge(n.configVersion)}, {Name: "invalid_priorities", Var: gauge(n.invalidPriorities)},
		{Name: "store_calls", Var: &n.store.calls}, {Name: "store_failures", Var: &n.store.failed},
		{Name: "traffic", Var: n.opts.Meter},
		{Name: "stored_accepted", Var: &n.stored.counts.Accepted}, {Name: "stored_refused", Var: &n.stored.counts.Refused},
		{Name: "stored_not_saved", Var: &n.stored.counts.NotSaved}, {Name: "stored_not_known", Var: &n.stored.counts.NotKnown},
		{Name: "stored_found", Var: &n.stored.counts.Found}, {Name: "stored_resumed", Var: &n.stored.counts.Resumed},
		{Name: "stored_moved", Var: &n.stored.counts.Moved}, {Name: "stored_ended", Var: &n.stored.counts.Ended}, {Name: "stored_loads", Var: &n.stored.counts.Loads},
		{Name: "endpoint_requests", Var: expvar.Func(func() any { return n.window.Status() })},
		{Name: "ready", Var: expvar.Func(func() any { return n.ready() })},
	}
}

// invalidPriorities returns the number of queues in the configuration in force whose priority is out of range.
func (n *Node) invalidPriorities() int64 {
	if c := n.config.Load(); c != nil {
		return int64(len(c.InvalidPriorities()))
	}
	return 0
}

func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Dump returns the state of the instance for operators.
func (n *Node) Dump() dump.Instance {
	s := n.opts.Settings
	partitions := map[string]int{}
	for _, zone := range s.Zones {
		partitions[zone] = n.divisions.Partitions(zone)
	}
	return dump.Instance{
		Instance: s.Instance, Zone: s.Zone, UptimeMS: n.now().Milliseconds(), Ready: n.ready(), Draining: n.draining(),
		ConfigVersion: n.configVersion(), Active: n.gateway.Active(), Partitions: partitions, Missing: n.directory.Missing(),
		Term: n.lead.Term(), Shards: n.shards.dump(), Log: n.own.ledgers.dump(), Substituted: n.dumpSubstituted(),
		Evacuations: n.evacuations.Status(),
	}
}

func (n *Node) dumpSubstituted() []dump.Substituted {
	var all []dump.Substituted
	for _, d := range n.dispatching()[1:] {
		all = append(all, dump.Substituted{Zone: d.zone, Term: d.lead.Term(), Shards: d.shards.dump(), Log: d.ledgers.dump()})
	}
	return all
}

// trafficInterval is the pause between two log lines on the instance's traffic.
const trafficInterval = 10 * time.Second

// reportTraffic logs the calls and bytes of each kind since the process started, at an interval until ctx ends.
func (n *Node) reportTraffic(ctx context.Context) {
	pause.Every(ctx, trafficInterval, func() {
		fields := logrus.Fields{"event": "traffic"}
		for kind, counts := range n.opts.Meter.Snapshot() {
			fields[string(kind)] = counts.String()
		}
		n.log.WithFields(fields).Info("calls, failed calls, bytes sent and bytes received by kind")
		n.logWindow()
		n.logSilence()
	})
}

// logSilence logs how old submissions and the news of waiting callers were when this instance's shards used them. An overloaded
// instance or path shows here before it costs callers anything.
func (n *Node) logSilence() {
	age, silence := n.counts.AgeMS.Summary(), n.counts.SilenceMS.Summary()
	if silence.Count == 0 {
		return
	}
	n.log.WithFields(logrus.Fields{
		"event": "message_ages", "submission_p99_ms": age.P99, "submission_max_ms": age.Max, "silence_p50_ms": silence.P50,
		"silence_p99_ms": silence.P99, "silence_max_ms": silence.Max, "starts": silence.Count, "starts_held": n.counts.HeldStarts.Value(),
	}).Info("ages of submissions, and of the news that callers wait at the starts of runs, in the last minute")
}

// logWindow logs the state of the window for start requests, so that work that waits for the window can be told from work that waits for
// endpoints.
func (n *Node) logWindow() {
	w := n.window.Status()
	n.log.WithFields(logrus.Fields{
		"event": "endpoint_requests", "size": w.Size, "in_flight": w.InFlight, "waiting": w.Waiting, "delay_ms": w.DelayMS, "base_ms": w.BaseMS,
	}).Info("start requests in flight and waiting, and their response times")
}

// serveOperators starts the listener for metrics and dumps. With an empty address it starts none and returns nil.
func (n *Node) serveOperators(address string) (*fasthttp.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &fasthttp.Server{Handler: n.operators, NoDefaultServerHeader: true, ReadBufferSize: 2048}
	go func() {
		if err := s.Serve(l); err != nil {
			n.log.WithField("event", "operators_listener_failed").WithError(err).Error("metrics are not served")
		}
	}()
	return s, nil
}

func (n *Node) operators(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case MetricsPath:
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBody(n.metricsText())
	case DumpPath:
		raw, err := json.MarshalIndent(n.Dump(), "", "  ")
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(raw)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// metricsText returns one line for each metric: its name, a space and its value, which is a JSON object for groups of
// counters and for quantiles.
func (n *Node) metricsText() []byte {
	var b bytes.Buffer
	for _, m := range n.namedMetrics() {
		fmt.Fprintf(&b, "%s %s\n", m.Name, m.Var.String())
	}
	return b.Bytes()
}
