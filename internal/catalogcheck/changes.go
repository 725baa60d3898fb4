package catalogcheck

import (
	"fmt"

	"github.com/savorypass/savorypass/internal/catalog"
)

// Changes returns the differences between two documents, one line each.
func Changes(inForce, next *Document) []string {
	var lines []string
	lines = append(lines, queueChanges(inForce.Queues, next.Queues)...)
	lines = append(lines, serviceChanges(inForce.Services, next.Services)...)
	lines = append(lines, fieldChanges("limits", limitFields(&inForce.Limits), limitFields(&next.Limits))...)
	return lines
}

func queueChanges(inForce, next []catalog.Queue) []string {
	var lines []string
	old := map[string]*catalog.Queue{}
	for i := range inForce {
		old[inForce[i].Name] = &inForce[i]
	}
	for i := range next {
		q := &next[i]
		before, known := old[q.Name]
		delete(old, q.Name)
		if !known {
			lines = append(lines, fmt.Sprintf("%s is added: %s%s, service %s", subjectOf(q), q.Host, q.Prefix, q.Service))
			continue
		}
		lines = append(lines, fieldChanges(subjectOf(q), queueFields(before), queueFields(q))...)
	}
	for i := range inForce {
		if q := &inForce[i]; old[q.Name] == q {
			lines = append(lines, subjectOf(q)+" is removed: its requests are answered with 404")
		}
	}
	return lines
}

func serviceChanges(inForce, next []Service) []string {
	var lines []string
	old := map[string]Service{}
	for _, s := range inForce {
		old[s.Name] = s
	}
	for _, s := range next {
		before, known := old[s.Name]
		delete(old, s.Name)
		switch {
		case !known:
			lines = append(lines, fmt.Sprintf("service %q is added", s.Name))
		case before.Standby != s.Standby:
			lines = append(lines, fmt.Sprintf("service %q: standby %t -> %t", s.Name, before.Standby, s.Standby))
		}
	}
	for _, s := range inForce {
		if _, removed := old[s.Name]; removed {
			lines = append(lines, fmt.Sprintf("service %q is removed", s.Name))
		}
	}
	return lines
}

// field is one value of a queue or of the limits, as text.
type field struct{ name, value string }

func fieldChanges(subject string, inForce, next []field) []string {
	var lines []string
	for i, f := range next {
		if f.value != inForce[i].value {
			lines = append(lines, fmt.Sprintf("%s: %s %s -> %s", subject, f.name, inForce[i].value, f.value))
		}
	}
	return lines
}

func queueFields(q *catalog.Queue) []field {
	return []field{
		{"host", q.Host},
		{"prefix", q.Prefix},
		{"service", q.Service},
		{"timeout", q.Timeout.String()},
		{"stretch", fmt.Sprint(q.Objective.Stretch)},
		{"added time", q.Objective.Extra.String()},
		{"priority", fmt.Sprint(q.Objective.Priority)},
		{"attempts", fmt.Sprint(q.Objective.Attempts)},
		{"needs advice", fmt.Sprint(q.NeedsAdvice)},
	}
}

func limitFields(l *catalog.Limits) []field {
	return []field{
		{"header bytes", fmt.Sprint(l.HeaderBytes)},
		{"body bytes", fmt.Sprint(l.BodyBytes)},
		{"timeout of headers", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}
