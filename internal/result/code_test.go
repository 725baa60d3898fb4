package result

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a code without a table row: callers would get the description of an internal fault.
func TestEveryCodeIsDescribed(t *testing.T) {
	is := is.New(t)
	seen := map[string]Code{}
	for _, c := range All() {
		info, ok := Lookup(c)
		is.True(ok)
		is.True(info.Name != "" && info.Meaning != "" && info.Advice != "")
		_, twice := seen[info.Name]
		is.True(!twice) // each name stands once
		seen[info.Name] = c
	}
}

// Guards against a refusal that claims too much: all codes from 100 to 399 say that the work was not run.
func TestRefusalsSayNotRun(t *testing.T) {
	is := is.New(t)
	for _, c := range All() {
		if c >= 100 && c < 400 {
			is.Equal(c.Info().Execution, NotRun)
		}
	}
}
