package setup

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/config"
)

// Configuration returns the configuration that is derived from the answers as YAML. Each derived value has a comment that
// names the answers it was derived from. The error is config.Problems.
func (a *Answers) Configuration() ([]byte, error) {
	if problems := a.check(); len(problems) > 0 {
		return nil, problems
	}
	w := &writer{}
	w.header(a)
	w.services(a)
	w.teams(a)
	w.operators(a)
	w.common(a)
	if _, err := config.Decode(w.buf.Bytes()); err != nil {
		return nil, err
	}
	return w.buf.Bytes(), nil
}

// writer writes the sections of the configuration to a buffer.
type writer struct{ buf bytes.Buffer }

// line writes a line of text, indented by depth levels, and the comment if it is not empty.
func (w *writer) line(depth int, text, comment string) {
	w.buf.WriteString(strings.Repeat("  ", depth) + text)
	if comment != "" {
		w.buf.WriteString("  # " + comment)
	}
	w.buf.WriteByte('\n')
}

// writeDerived writes a key with a derived value, and the value's source as the comment.
func writeDerived[T any](w *writer, depth int, key string, v derived[T]) {
	w.line(depth, key+": "+yamlText(v.value), v.source)
}

// yamlText formats a value as YAML.
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

func (w *writer) header(a *Answers) {
	w.line(0, fmt.Sprintf("# Configuration of %s, written by savory-setup.", strconv.Quote(a.Deployment)), "")
	w.line(0, "# The comments name the answers from which values were derived. docs/configuration.md describes every key.", "")
	w.line(0, fmt.Sprintf("schema: %d", config.SchemaVersion), "")
}

func (w *writer) services(a *Answers) {
	w.line(0, "\nservices:", "")
	for i := range a.Services {
		s := &a.Services[i]
		w.line(1, "- name: "+yamlText(s.Name), "")
		writeDerived(w, 2, "idempotent", a.idempotent(s))
		writeDerived(w, 2, "max_run_time", a.maxRunTime(s))
		writeDerived(w, 2, "default_deadline", a.deadline(s))
		writeDerived(w, 2, "max_deadline", a.maxDeadline())
		writeDerived(w, 2, "expected_run_time", derivedFrom(s.RunTime, "run_time: %s", s.RunTime))
		size := config.Size{Cores: s.Cores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
		writeDerived(w, 2, "default_size", derivedFrom(size, "cores, memory_mb, accelerators"))
	}
}

func (w *writer) teams(a *Answers) {
	w.line(0, "\nteams:", "")
	for i := range a.Teams {
		t := &a.Teams[i]
		w.line(1, "- name: "+yamlText(t.Name), "")
		writeDerived(w, 2, "weight", derivedFrom(float64(t.Share), "share_percent: %d", t.Share))
		quota := a.quota(t)
		writeDerived(w, 2, "quota", quota)
		if !t.Borrow {
			writeDerived(w, 2, "hard_limit", derivedFrom(quota.value, "may_borrow: false"))
		}
		w.line(2, "rate_limit:", "")
		writeDerived(w, 3, "requests_per_second", a.teamRate(t))
		writeDerived(w, 3, "burst", a.teamBurst(t))
		w.line(2, "callers:", "")
		for _, c := range t.Callers {
			w.line(3, "- name: "+yamlText(c.Name), "")
			w.line(4, "role: "+config.RoleCaller, "")
			writeDerived(w, 4, "token_digest", derivedFrom(c.TokenDigest, "token_digest of the answers"))
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
		writeDerived(w, 2, "role", derivedFrom(o.Role, "role: %s", o.Role))
		writeDerived(w, 2, "token_digest", derivedFrom(o.TokenDigest, "token_digest of the answers"))
	}
}

// common writes the sections that apply to all teams and services.
func (w *writer) common(a *Answers) {
	def := config.Default()
	w.line(0, "\nlimits:", "")
	writeDerived(w, 1, "tasks_per_job", derivedFrom(def.Limits.TasksPerJob, "default"))
	writeDerived(w, 1, "queued_tasks", a.queuedTasks())
	writeDerived(w, 1, "requests_per_second_per_caller", a.callerRate())
	w.line(0, "\norder:", "")
	writeDerived(w, 1, "short_reserve", a.shortReserve())
	writeDerived(w, 1, "short_threshold", a.shortThreshold())
	writeDerived(w, 1, "ageing_rate", derivedFrom(def.Order.AgeingRate, "default"))
	w.line(0, "\nadmission:", "")
	writeDerived(w, 1, "safety_factor", a.safetyFactor())
	writeDerived(w, 1, "max_wait", a.maxWait())
	writeDerived(w, 1, "max_drain", a.maxDrain())
	w.line(0, "\nspill:", "")
	writeDerived(w, 1, "enabled", a.spill())
	writeDerived(w, 1, "wait_difference", derivedFrom(def.Spill.WaitDifference, "default"))
	w.line(0, "\nretention:", "")
	writeDerived(w, 1, "identity_validity", derivedFrom(def.Retention.IdentityValidity, "default"))
	writeDerived(w, 1, "answer_retention", a.answerRetention())
}
