package bench

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
)

const rowsFile = "rows.jsonl"

// Row is one row of the table. Values that were not measured are nil.
type Row struct {
	Measure string   `json:"measure"` // what is measured
	Case    string   `json:"case"`    // load, cluster or part of the measure that the row is about
	Unit    string   `json:"unit"`
	Value   *float64 `json:"value"`           // savorypass with its own scheduler
	Ideal   *float64 `json:"ideal,omitempty"` // ideal scheduler, same arrivals
	Naive   *float64 `json:"naive,omitempty"` // naive scheduler, same arrivals
	Max     *float64 `json:"most,omitempty"`  // upper bound of Value
	Min     *float64 `json:"least,omitempty"` // lower bound of Value
	Note    string   `json:"note,omitempty"`
}

// The verdicts of a row.
const (
	verdictMet     = "met"
	verdictMissed  = "MISS"
	verdictNoValue = "NOT MEASURED"
	verdictNoBound = ""
)

// Verdict compares the value with its bound. A row without a bound has the verdict "".
func (r *Row) Verdict() string {
	switch {
	case r.Max == nil && r.Min == nil:
		return verdictNoBound
	case r.Value == nil:
		return verdictNoValue
	case r.Max != nil && !(*r.Value <= *r.Max), r.Min != nil && !(*r.Value >= *r.Min):
		return verdictMissed // NaN counts as missed too
	}
	return verdictMet
}

// bound returns the bound as text, "" without one.
func (r *Row) bound() string {
	switch {
	case r.Max != nil:
		return "<= " + formatNumber(r.Max)
	case r.Min != nil:
		return ">= " + formatNumber(r.Min)
	}
	return ""
}

// formatNumber formats a value with three significant digits, or without decimals if it is 1,000 or more. A nil value is "-".
func formatNumber(v *float64) string {
	switch {
	case v == nil:
		return "-"
	case *v >= 1000 || *v <= -1000:
		return strconv.FormatFloat(*v, 'f', 0, 64)
	}
	return strconv.FormatFloat(*v, 'g', 3, 64)
}

// finite returns a pointer to a value, or nil if it is infinite or NaN, so that its row is reported as not measured.
func finite(v float64) *float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return nil
	}
	return &v
}

// appendRows appends rows to rows.jsonl in the directory out.
func appendRows(out string, rows ...Row) error {
	f, err := os.OpenFile(filepath.Join(out, rowsFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for i := range rows {
		if err := enc.Encode(&rows[i]); err != nil {
			return err
		}
	}
	return nil
}

// readLines decodes a file with one JSON value per line.
func readLines[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []T
	dec := json.NewDecoder(f)
	for {
		var v T
		switch err := dec.Decode(&v); err {
		case nil:
			list = append(list, v)
		case io.EOF:
			return list, nil
		default:
			return list, fmt.Errorf("%s: %w", path, err)
		}
	}
}

// Table prints the rows of a run and writes them to table.csv. It returns the number of rows that miss their bound or have a
// bound but no value.
func Table(w io.Writer, out string) (int, error) {
	rows, err := readLines[Row](filepath.Join(out, rowsFile))
	if err != nil {
		return 0, err
	}
	missed := printRows(w, rows)
	return missed, writeRows(filepath.Join(out, "table.csv"), rows)
}

func printRows(w io.Writer, rows []Row) int {
	missed := 0
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEASURE\tCASE\tVALUE\tIDEAL\tNAIVE\tUNIT\tBOUND\tVERDICT\tNOTE")
	for i := range rows {
		r := &rows[i]
		verdict := r.Verdict()
		if verdict == verdictMissed || verdict == verdictNoValue {
			missed++
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Measure, r.Case, formatNumber(r.Value), formatNumber(r.Ideal),
			formatNumber(r.Naive), r.Unit, r.bound(), verdict, r.Note)
	}
	t.Flush()
	fmt.Fprintf(w, "%d rows, %d miss their bound\n", len(rows), missed)
	return missed
}

func writeRows(path string, rows []Row) error {
	lines := [][]string{{"measure", "case", "value", "ideal", "naive", "unit", "bound", "verdict", "note"}}
	for i := range rows {
		r := &rows[i]
		lines = append(lines, []string{r.Measure, r.Case, formatExact(r.Value), formatExact(r.Ideal), formatExact(r.Naive), r.Unit, r.bound(),
			r.Verdict(), r.Note})
	}
	return writeCSV(path, lines)
}

// formatExact formats a value with all its digits. A nil value is "".
func formatExact(v *float64) string {
	if v == nil {
		return ""
	}
	return strconv.FormatFloat(*v, 'g', -1, 64)
}

func writeCSV(path string, lines [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	w.WriteAll(lines)
	return w.Error()
}
