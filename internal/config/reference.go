package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

//go:generate go run ../../cmd/savory-setup reference --out ../../docs/configuration.md

const referenceHead = `# Configuration

This page is generated from the schema in internal/config: ` + "`go generate ./internal/config`" + ` rewrites it.

The configuration is one YAML document of schema version %d with at most %d bytes. Operators publish it through the
operators' port of any entry instance; ` + "`savory-setup`" + ` generates a first one from a questionnaire. Unknown keys, duplicate
keys, anchors, aliases and tags are refused. Every fault is reported with its path, line, value and bound, all of them
at once. Durations are written with their unit, such as 250ms, 30s or 10m. A key with a default may be left out.
`

// Reference returns the text of docs/configuration.md, which describes every key of the schema.
func Reference() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, referenceHead, SchemaVersion, MaxDocumentBytes)
	def := reflect.ValueOf(*Default())
	writeSection(&b, "", def)
	b.WriteString(referenceRelations)
	return []byte(b.String())
}

const referenceRelations = `
## Relations between keys

- Names of services, teams and operators are unique, each among themselves; names of callers are unique within a team.
- A token digest occurs once in the document.
- ` + "`expected_run_time`" + ` is at most ` + "`max_run_time`" + ` and at most ` + "`default_deadline`" + `, which is at most ` + "`max_deadline`" + `.
- Each part of ` + "`hard_limit`" + ` is at least that of ` + "`quota`" + `.
- ` + "`limits.queued_tasks`" + ` is at least ` + "`limits.tasks_per_job`" + `.
- ` + "`retention.answer_retention`" + ` is at most ` + "`retention.identity_validity`" + `.
`

// nested is an object of the schema with its path.
type nested struct {
	path  string
	value reflect.Value
}

// writeSection writes the table of an object's keys, followed by the sections of the objects that it contains.
func writeSection(b *strings.Builder, path string, v reflect.Value) {
	title := "Top level"
	if path != "" {
		title = "`" + path + "`"
	}
	fmt.Fprintf(b, "\n## %s\n\n| key | type | bound | default | meaning |\n|---|---|---|---|---|\n", title)
	var inner []nested
	for i := range v.NumField() {
		f, fv := v.Type().Field(i), v.Field(i)
		key := f.Tag.Get("yaml")
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", key, typeName(f.Type), bounds(f), defaultText(f, fv), f.Tag.Get("doc"))
		if n, ok := nestedObject(joinPath(path, key), fv); ok {
			inner = append(inner, n)
		}
	}
	for _, n := range inner {
		writeSection(b, n.path, n.value)
	}
}

// nestedObject returns the object that a field holds, or the element of a list of objects, with its defaults. The
// second result is false for other fields.
func nestedObject(path string, v reflect.Value) (nested, bool) {
	switch {
	case v.Kind() == reflect.Struct:
		return nested{path, v}, true
	case v.Kind() == reflect.Slice:
		return nested{path + "[]", newWithDefaults(v.Type().Elem()).Elem()}, true
	case v.Kind() == reflect.Pointer:
		return nested{path, newWithDefaults(v.Type().Elem()).Elem()}, true
	}
	return nested{}, false
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Pointer:
		return "object"
	case t.Kind() == reflect.Slice:
		return "list"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return "whole number"
}

func bounds(f reflect.StructField) string {
	var rules []string
	for _, rule := range strings.Split(f.Tag.Get("validate"), ",") {
		name, param, _ := strings.Cut(rule, "=")
		if name == "" || name == "dive" {
			continue
		}
		text := strings.TrimPrefix(ruleText(name, param), "must be ")
		if f.Type.Kind() == reflect.Slice {
			text += " entries"
		}
		rules = append(rules, text)
	}
	return strings.Join(rules, ", ")
}

func defaultText(f reflect.StructField, v reflect.Value) string {
	rules := f.Tag.Get("validate")
	switch {
	case v.Kind() == reflect.Struct || v.Kind() == reflect.Pointer:
		return ""
	case v.Kind() == reflect.Slice:
		if strings.Contains(rules, "min=1") {
			return "required"
		}
		return "none"
	case v.Kind() == reflect.String && v.String() == "", f.Name == "Schema":
		return "required"
	case v.Type() == reflect.TypeFor[time.Duration]():
		return FormatDuration(time.Duration(v.Int()))
	}
	return fmt.Sprint(v.Interface())
}

// FormatDuration formats a duration without trailing zero units: 10m rather than 10m0s.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
