package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/result"
)

// faultMetrics are the metrics that stay at zero unless workers or the log service fail.
var faultMetrics = map[string]bool{"connections_replaced": true, "workers_held_off": true, "wasted_messages": true, "log_errors": true}

// addNonZero adds to seen the names of the metrics of an instance that are not zero now.
func addNonZero(e *Entry, seen map[string]bool) {
	for _, m := range e.metrics.All() {
		var v struct{ Total int }
		text := m.Var.String()
		quantiles := strings.Contains(text, `"total"`)
		if quantiles && (json.Unmarshal([]byte(text), &v) != nil || v.Total == 0) {
			continue
		}
		if text != "0" && text != "{}" {
			seen[m.Name] = true
		}
	}
}

// Guards against documented metrics that nothing sets, against a start that two instances count, and against log lines
// without an event key.
func TestEveryMetricIsSet(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone")
	lines := &eventlessLines{}
	s.hooks = append(s.hooks, lines)
	home := s.start("blackstone", "b1")
	// The second instance starts after the first one owns workers, so that workers are handed over. Two instances that
	// know each other before they own workers would send no claims.
	s.ready(home)
	near := s.start("blackstone", "b2")
	s.waitFor("both have slots", func() bool {
		return home.engine.Load().FreeSlots > 0 && near.engine.Load().FreeSlots > 0 && len(home.members.View().Live()) == 1
	})
	single := s.identity(home, surveyToken)
	is.Equal(s.do(home, surveyToken, "POST", "/v1/jobs", job(single, 1, 10)).Code, result.Complete)
	is.Equal(s.do(near, surveyToken, "POST", "/v1/jobs", job(single, 1, 10)).Code, result.Complete) // forwarded
	refused := s.do(near, surveyToken, "POST", "/v1/jobs", job(single, 2, 10))
	is.Equal(refused.Code, result.IdentityReused)
	large := s.identity(home, surveyToken)
	is.Equal(s.do(home, surveyToken, "POST", "/v1/jobs?wait_ms=0", job(large, 160, 100)).Code, result.Running)
	seen := map[string]bool{}
	// A version that arrives from a peer before the log is read counts no lag, so versions are published until one counts.
	const versions = 20
	for version := uint64(2); version < 2+versions && !seen["config_lag_ms"]; version++ {
		s.publishVersion(version, document+fmt.Sprintf("limits: {queued_tasks: %d}\n", 40000+version))
		addNonZero(home, seen)
	}
	_, err := near.Fetch(context.Background(), "blackstone/b1")
	is.NoErr(err)

	missing := func() (names []string) {
		addNonZero(home, seen)
		for _, m := range home.metrics.All() {
			if !seen[m.Name] && !faultMetrics[m.Name] {
				names = append(names, m.Name)
			}
		}
		return names
	}
	defer func() { t.Log("not moved:", missing()) }()
	s.waitFor("the metrics have moved", func() bool { return len(missing()) == 0 })
	is.Equal(s.do(home, surveyToken, "GET", "/v1/jobs/"+large+"?wait_ms=20000", nil).Code, result.Complete)
	is.Equal(home.metrics.Starts.Value()+near.metrics.Starts.Value(), int64(161))
	is.Equal(home.metrics.Refusals.Value(result.IdentityReused), int64(1))
	is.Equal(near.metrics.Refusals.Value(result.IdentityReused), int64(0)) // counted by the home
	is.Equal(home.metrics.Resubmitted.Value(), int64(1))
	is.Equal(near.metrics.Forwards.Value(metric.Sent), int64(2))
	is.Equal(home.metrics.Forwards.Value(metric.Received), int64(2))
	// A grant can expire before the delegation arrives. Its tasks are returned without having been started.
	is.Equal(home.metrics.Delegations.Value(metric.Sent),
		near.metrics.Delegations.Value(metric.Received)+home.metrics.Wasted.Value(metric.WastedDelegationFailed))
	is.True(near.metrics.Delegations.Value(metric.Received) > 0)
	s.waitFor("the copies arrive", func() bool { return near.metrics.AnswerCopies.Value(metric.Received) == 2 })
	for _, kind := range []metric.Kind{
		metric.ControlHeartbeats, metric.ControlUsage, metric.ControlSharing, metric.ControlHandover, metric.ControlConfig,
		metric.ControlLeases, metric.ControlList, metric.ControlLog,
	} {
		s.waitFor("control bytes of "+string(kind), func() bool { return home.metrics.ControlBytes.Value(kind) > 0 })
	}
	home.faults.log.set(true)
	defer home.faults.log.set(false)
	s.waitFor("a failed call of the log is counted", func() bool { return home.metrics.LogErrors.Value() > 0 })
	lines.mu.Lock()
	defer lines.mu.Unlock()
	is.Equal(lines.messages, nil)
}

// eventlessLines collects the messages of log lines without an event key.
type eventlessLines struct {
	mu       sync.Mutex
	messages []string
}

// Levels implements logrus.Hook.
func (*eventlessLines) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *eventlessLines) Fire(e *logrus.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := e.Data["event"]; !ok {
		h.messages = append(h.messages, e.Message)
	}
	return nil
}
