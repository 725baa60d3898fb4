package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
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

// hide drops the named columns if all their cells are empty or zero, such as accelerators where no worker has any.
func (t *table) hide(names ...string) *table {
	for _, name := range names {
		if i := slices.Index(t.head, name); i >= 0 && !slices.ContainsFunc(t.rows, func(row []string) bool { return !blank(row[i]) }) {
			t.head = slices.Delete(t.head, i, i+1)
			for r := range t.rows {
				t.rows[r] = slices.Delete(t.rows[r], i, i+1)
			}
		}
	}
	return t
}

func blank(cell string) bool {
	switch cell {
	case "-", "?", "0", "0s", "0 of 0":
		return true
	}
	return false
}

// cell quotes text that would break the table or send control characters to the terminal.
func cell(v any) string {
	text := fmt.Sprint(v)
	if text == "" || v == nil {
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
	switch {
	case refused.Code == result.Unauthenticated:
		a.notef("advice: set SAVORY_TOKEN_FILE or SAVORY_TOKEN to the token of an operator or a viewer, and --endpoint to an operators' address")
	case refused.Advice != "":
		a.notef("advice: %s", refused.Advice)
	}
}

func problemLine(p opsapi.Problem) string {
	line := p.Message
	if !strings.HasPrefix(line, p.Path) {
		line = p.Path + ": " + line
	}
	if p.Value != "" && !strings.Contains(p.Message, p.Value) {
		line += fmt.Sprintf(" (is %s)", p.Value)
	}
	if p.Bound != "" && !strings.Contains(p.Message, p.Bound) {
		line += fmt.Sprintf(" (bound %s)", p.Bound)
	}
	return secure.RedactText(line)
}

// age rounds a time that has passed, for the eye.
func age(ms int64) time.Duration {
	if ms < time.Minute.Milliseconds() {
		return millis(ms).Round(100 * time.Millisecond)
	}
	return millis(ms).Round(time.Second)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
