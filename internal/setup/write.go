package setup

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/config"
)

// Configuration writes the configuration that follows from the answers. Each derived value carries a comment with the
// answers that it came from. The error is config.Problems.
func (a *Answers) Configuration() ([]byte, error) {
	if problems := a.check(); len(problems) > 0 {
		return nil, problems
	}
	w := &writer{}
	w.head(a)
	w.services(a)
	w.teams(a)
	w.operators(a)
	w.rest(a)
	if _, err := config.Decode(w.buf.Bytes()); err != nil {
		return nil, err
	}
	return w.buf.Bytes(), nil
}

type writer struct{ buf bytes.Buffer }

// line writes a key at a depth, with a comment if there is one.
func (w *writer) line(depth int, text, comment string) {
	w.buf.WriteString(strings.Repeat("  ", depth) + text)
	if comment != "" {
		w.buf.WriteString("  # " + comment)
	}
	w.buf.WriteByte('\n')
}

func put[T any](w *writer, depth int, key string, v value[T]) {
	w.line(depth, key+": "+yamlText(v.V), v.From)
}

func yamlText(v any) string {
	switch x := v.(type) {
	case time.Duration:
		return config.FormatDuration(x)
	case string:
		return strconv.Quote(x)
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	case config.Size:
		return fmt.Sprintf("{cores: %s, memory_mb: %d, accelerators: %d}", yamlText(x.Cores), x.MemoryMB, x.Accelerators)
	}
	return fmt.Sprint(v)
}

func (w *writer) head(a *Answers) {
	w.line(0, fmt.Sprintf("# Configuration of %s, written by savory-setup.", strconv.Quote(a.Deployment)), "")
	w.line(0, "# A comment names the answers that a value came from. docs/configuration.md describes every key.", "")
	w.line(0, fmt.Sprintf("schema: %d", config.SchemaVersion), "")
}

func (w *writer) services(a *Answers) {
	w.line(0, "\nservices:", "")
	for i := range a.Services {
		s := &a.Services[i]
		w.line(1, "- name: "+yamlText(s.Name), "")
		put(w, 2, "idempotent", a.idempotent(s))
		put(w, 2, "max_run_time", a.maxRunTime(s))
		put(w, 2, "default_deadline", a.deadline(s))
		put(w, 2, "max_deadline", a.maxDeadline())
		put(w, 2, "expected_run_time", from(s.RunTime, "run_time: %s", s.RunTime))
		size := config.Size{Cores: s.Cores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
		put(w, 2, "default_size", from(size, "cores, memory_mb, accelerators"))
	}
}

func (w *writer) teams(a *Answers) {
	w.line(0, "\nteams:", "")
	for i := range a.Teams {
		t := &a.Teams[i]
		w.line(1, "- name: "+yamlText(t.Name), "")
		put(w, 2, "weight", from(float64(t.Share), "share_percent: %d", t.Share))
		quota := a.quota(t)
		put(w, 2, "quota", quota)
		if !t.Borrow {
			put(w, 2, "hard_limit", from(quota.V, "may_borrow: false"))
		}
		w.line(2, "rate_limit:", "")
		put(w, 3, "requests_per_second", a.rate(t))
		put(w, 3, "burst", a.burst(t))
		w.line(2, "callers:", "")
		for _, c := range t.Callers {
			w.line(3, "- name: "+yamlText(c.Name), "")
			w.line(4, "role: "+config.RoleCaller, "")
			put(w, 4, "token_digest", from(c.TokenDigest, "token_digest of the answers"))
		}
	}
}

func (w *writer) operators(a *Answers) {
	if len(a.Operators) == 0 {
		return
	}
	w.line(0, "\noperators:", "")
	for _, o := range a.Operators {
		w.line(1, "- name: "+yamlText(o.Name), "")
		put(w, 2, "role", from(o.Role, "role: %s", o.Role))
		put(w, 2, "token_digest", from(o.TokenDigest, "token_digest of the answers"))
	}
}

// rest writes the sections that hold for all teams and services.
func (w *writer) rest(a *Answers) {
	def := config.Default()
	w.line(0, "\nlimits:", "")
	put(w, 1, "tasks_per_job", from(def.Limits.TasksPerJob, "default"))
	put(w, 1, "queued_tasks", a.queuedTasks())
	put(w, 1, "requests_per_second_per_caller", a.callerRate())
	w.line(0, "\norder:", "")
	put(w, 1, "short_reserve", a.shortReserve())
	put(w, 1, "short_threshold", a.shortThreshold())
	put(w, 1, "ageing_rate", from(def.Order.AgeingRate, "default"))
	w.line(0, "\nadmission:", "")
	put(w, 1, "safety_factor", a.safety())
	put(w, 1, "max_wait", a.maxWait())
	put(w, 1, "max_drain", a.maxDrain())
	w.line(0, "\nspill:", "")
	put(w, 1, "enabled", a.spill())
	put(w, 1, "wait_difference", from(def.Spill.WaitDifference, "default"))
	w.line(0, "\nretention:", "")
	put(w, 1, "identity_validity", from(def.Retention.IdentityValidity, "default"))
	put(w, 1, "answer_retention", a.answerRetention())
}
