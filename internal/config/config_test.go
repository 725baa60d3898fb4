package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func digestOf(token string) string { return TokenDigest(token) }

// validDoc returns a valid document. Documents with different marks differ in max_run_time.
func validDoc(mark int) []byte {
	return fmt.Appendf(nil, `schema: 1
services:
  - name: quote
    max_run_time: %ds
teams:
  - name: counter
    callers:
      - {name: desk, token_digest: "%s"}
`, 10+mark, digestOf("desk"))
}

// Guards against a decoder that stops at the first fault, so that an operator must fix a document one fault at a time.
func TestDecodeNamesEveryProblem(t *testing.T) {
	is := is.New(t)
	doc := `schema: 1
colour: red
services:
  - name: quote
    name: quote
    max_run_time: 10
    default_deadline: soon
teams:
  - name: 7
    weight: heavy
    callers: {}
limits:
  tasks_per_job: 1.5
`
	_, err := Decode([]byte(doc))
	var ps Problems
	is.True(errors.As(err, &ps))
	want := []string{"colour", "services[0].name", "services[0].max_run_time", "services[0].default_deadline",
		"teams[0].name", "teams[0].weight", "teams[0].callers", "limits.tasks_per_job"}
	var got []string
	for _, p := range ps {
		got = append(got, p.Path)
		is.True(p.Line > 0 && p.Bound != "")
	}
	is.Equal(got, want)
}

// Guards against a violated bound whose message does not state the bound, and against a token in an error message.
func TestValidateNamesPathValueAndBound(t *testing.T) {
	is := is.New(t)
	doc := strings.ReplaceAll(string(validDoc(0)), digestOf("desk"), "tok-secret")
	doc += `limits: {tasks_per_job: 161, queued_tasks: 5}
order: {short_reserve: 0.95}
admission: {max_wait: 11m}
operators: [{name: Ann, role: root, token_digest: tok-secret}]
retention: {identity_validity: 30s}
`
	_, err := Decode([]byte(doc))
	is.True(err != nil)
	for _, want := range []string{
		"limits.tasks_per_job: is 161, must be at most 160",
		"limits.queued_tasks: is 5, must be at least tasks_per_job",
		"order.short_reserve: is 0.95, must be at most 0.9",
		"admission.max_wait: is 11m0s, must be at most 10m",
		`operators[0].name: is "Ann", must be 1 to 64`,
		`operators[0].role: is "root", must be one of: operator, viewer`,
		"operators[0].token_digest: is 10 bytes (not shown), must be unique",
		"teams[0].callers[0].token_digest: is 10 bytes (not shown), must be 64",
		"retention.answer_retention: is 1m0s, must be at most identity_validity, which is 30s",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in:\n%v", want, err)
		}
	}
	is.True(!strings.Contains(err.Error(), "secret"))
}

// Guards against defaults that overwrite stated values, and against a digest that differs between documents which state
// the same configuration in different ways.
func TestDefaultsAndDigest(t *testing.T) {
	is := is.New(t)
	a, err := Decode(validDoc(0))
	is.NoErr(err)
	is.Equal(a.Teams[0].Weight, 1.0)
	is.Equal(a.Teams[0].Callers[0].Role, RoleCaller)
	is.Equal(a.Spill.WaitDifference, 50*time.Millisecond)
	is.True(a.Spill.Enabled)
	b, err := Decode(append([]byte("# comment\norder: {ageing_rate: 0.05}\n"), validDoc(0)...))
	is.NoErr(err)
	is.Equal(a.Digest(), b.Digest())
	c, err := Decode(append([]byte("spill: {enabled: false}\norder: {ageing_rate: 0}\n"), validDoc(0)...))
	is.NoErr(err)
	is.True(!c.Spill.Enabled)
	is.Equal(c.Order.AgeingRate, 0.0)
	is.True(c.Digest() != a.Digest())
}

// Guards against a deeply nested document that overflows the stack of the recursive parser, which would end the
// process.
func TestDeepNestingIsRefused(t *testing.T) {
	const n = 40_000
	for _, unit := range []string{"[", "{a: ", "- ", "? ", "&a ", "!x ", "a: ", "[a: ", "{? ", "a:\n"} {
		if _, err := Decode([]byte(strings.Repeat(unit, n))); err == nil {
			t.Errorf("%q repeated: no error", unit)
		}
		if _, err := Decode([]byte("[" + strings.Repeat(unit, n))); err == nil {
			t.Errorf("%q repeated: no error", unit)
		}
	}
}

// Guards against input on which Decode panics or hangs, and against an accepted document that decodes differently the
// second time.
func FuzzDecode(f *testing.F) {
	f.Add(validDoc(0))
	f.Add([]byte("schema: 1\nservices: [{name: a}]\nteams: [{name: b, callers: [{name: c, token_digest: d}]}]"))
	f.Add([]byte("schema: 99999999999999999999\nlimits:\n  body_bytes: -0x10\norder: {short_reserve: .nan}"))
	f.Add([]byte("a: &a [*a]\n---\n? b\n: |\n  x"))
	for _, name := range []string{"halloway", "petra"} {
		doc, err := os.ReadFile("../../examples/" + name + "/config.yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(doc)
	}
	f.Add([]byte("\xff\xfe\x00:\t- {"))
	f.Fuzz(func(t *testing.T, doc []byte) {
		c, err := Decode(doc)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("an error without text")
			}
			return
		}
		again, err := Decode(doc)
		if err != nil || again.Digest() != c.Digest() {
			t.Fatalf("second decoding differs: %v", err)
		}
	})
}
