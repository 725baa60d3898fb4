package standin

import (
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
)

type testSettings struct {
	Count int           `long:"count" env:"SAVORY_TEST_COUNT"`
	Lag   time.Duration `long:"lag" env:"SAVORY_TEST_LAG"`
	Names []string      `long:"name" env:"SAVORY_TEST_NAMES" env-delim:","`
	Rate  float64       `long:"rate" env:"SAVORY_TEST_RATE"`
}

func (s *testSettings) Check() error {
	var p Problems
	p.AddIf(s.Count < 1, "count is %d", s.Count)
	return p.Err()
}

// Guards against settings from flags, variables or defaults that are ignored, and against an error that lists only the
// first of several problems.
func TestSettings(t *testing.T) {
	is := is.New(t)
	load := func(args ...string) (testSettings, error) {
		s := testSettings{Count: 1, Rate: 2, Names: []string{"default"}}
		p := flags.NewNamedParser("test", flags.HelpFlag)
		_, err := p.AddGroup("Settings", "", &s)
		is.NoErr(err)
		err = parse(p, &s, args)
		return s, err
	}
	t.Setenv("SAVORY_TEST_COUNT", "7")
	t.Setenv("SAVORY_TEST_LAG", "3s")
	t.Setenv("SAVORY_TEST_NAMES", "a,b")
	s, err := load("--lag", "4s")
	is.NoErr(err)
	is.Equal(s, testSettings{Count: 7, Lag: 4 * time.Second, Names: []string{"a", "b"}, Rate: 2})

	t.Setenv("SAVORY_TEST_LAG", "x")
	t.Setenv("SAVORY_TEST_RATE", "y")
	_, err = load("--count", "0")
	is.True(err != nil)
	for _, part := range []string{"SAVORY_TEST_LAG", "SAVORY_TEST_RATE", "count is 0"} {
		is.True(strings.Contains(err.Error(), part))
	}
}
