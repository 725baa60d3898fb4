package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/secure"
)

// table is lines of columns below a heading.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

// add appends a row; values are printed by their usual form.
func (t *table) add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = cell(v)
	}
	t.rows = append(t.rows, row)
}

// cell quotes text that would break the table or send control characters to the terminal.
func cell(v any) string {
	text := fmt.Sprint(v)
	if text == "" {
		return "-"
	}
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

// show prints a value as JSON, or the table that stands for it.
func (a *app) show(v any, t func() *table) error {
	if a.Output == "json" {
		return a.showJSON(v)
	}
	return a.showTable(t())
}

func (a *app) showJSON(v any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

func (a *app) showTable(t *table) error {
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.head, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// notef prints a line for the operator that is not part of the output.
func (a *app) notef(format string, args ...any) {
	fmt.Fprintf(a.Err, format+"\n", args...)
}

// advise prints what an instance's refusal advises to do.
func (a *app) advise(err error) {
	var refused *opsapi.Error
	if !errors.As(err, &refused) {
		return
	}
	for _, p := range refused.Problems {
		a.notef("  %s", problemLine(p))
	}
	if refused.Advice != "" {
		a.notef("advice: %s", refused.Advice)
	}
}

func problemLine(p opsapi.Problem) string {
	line := p.Path + ": " + p.Message
	if p.Value != "" {
		line += fmt.Sprintf(" (is %s)", p.Value)
	}
	if p.Bound != "" {
		line += fmt.Sprintf(" (bound %s)", p.Bound)
	}
	return secure.RedactText(line)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
