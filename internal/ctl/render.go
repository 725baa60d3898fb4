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

// table is a text table with a line of column headings.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

// add appends a row. The values are formatted by cell.
func (t *table) add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = cell(v)
	}
	t.rows = append(t.rows, row)
}

// hideEmpty removes each of the named columns whose cells are all empty or zero, such as accelerators when no worker
// has any.
func (t *table) hideEmpty(names ...string) *table {
	for _, name := range names {
		if i := slices.Index(t.header, name); i >= 0 && !slices.ContainsFunc(t.rows, func(row []string) bool { return !isBlank(row[i]) }) {
			t.header = slices.Delete(t.header, i, i+1)
			for r := range t.rows {
				t.rows[r] = slices.Delete(t.rows[r], i, i+1)
			}
		}
	}
	return t
}

// isBlank reports whether a cell shows that a value is empty, unknown or zero.
func isBlank(cell string) bool {
	switch cell {
	case "-", "?", "0", "0s", "0 of 0":
		return true
	}
	return false
}

// cell formats a value, and an empty value as -. It quotes text with unprintable characters, which could break the table
// or control the terminal.
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

// show prints a value as JSON or as a table, as --output says.
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
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// notef prints a line on standard error, apart from the command's output.
func (a *app) notef(format string, args ...any) {
	fmt.Fprintf(a.Err, format+"\n", args...)
}

// printAdvice prints the problems and the advice of an instance's refusal.
func (a *app) printAdvice(err error) {
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

// problemLine returns a problem as one line without secrets. It adds the path, the value and the bound unless the
// message holds them.
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

// roundAge returns a duration in milliseconds rounded for display: to 0.1 s below a minute, otherwise to 1 s.
func roundAge(ms int64) time.Duration {
	if ms < time.Minute.Milliseconds() {
		return millis(ms).Round(100 * time.Millisecond)
	}
	return millis(ms).Round(time.Second)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
