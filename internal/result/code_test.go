package result

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a code with an incomplete row in the table, which callers would receive without a meaning or advice,
// and against two codes with the same name.
func TestEveryCodeIsDescribed(t *testing.T) {
	is := is.New(t)
	seen := map[string]Code{}
	for _, c := range All() {
		info, ok := Lookup(c)
		is.True(ok)
		is.True(info.Name != "" && info.Meaning != "" && info.Advice != "")
		_, twice := seen[info.Name]
		is.True(!twice) // names are unique
		seen[info.Name] = c
	}
}

// Guards against a refusal with the wrong claim on execution: all codes from 100 to 399 mean that no task was run.
func TestRefusalsSayNotRun(t *testing.T) {
	is := is.New(t)
	for _, c := range All() {
		if c >= 100 && c < 400 {
			is.Equal(c.Info().Execution, NotRun)
		}
	}
}
