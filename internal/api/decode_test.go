package api

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/result"
)

const valid = `{"identity":"i","service":"washout","tasks":[{"payload":"p"}]}`

// Guards against invalid submissions that get a code other than the documented one, or a message that does not name the
// field.
func TestBadSubmissions(t *testing.T) {
	is := is.New(t)
	with := func(field string) string { return strings.Replace(valid, "{", "{"+field+",", 1) }
	task := func(fields string) string { return strings.Replace(valid, `{"payload":"p"}`, "{"+fields+"}", 1) }
	many := strings.Repeat(`{"payload":"p"},`, MaxTasksPerJob) + `{"payload":"p"}`
	for _, c := range []struct {
		body  string
		code  result.Code
		field string
	}{
		{`{`, result.MalformedBody, ""},
		{`[]`, result.WrongType, ""},
		{valid + `{}`, result.MalformedBody, ""},
		{with(`"priority":1`), result.UnknownField, "priority"},
		{with(`"deadline_ms":"soon"`), result.WrongType, "deadline_ms"},
		{with(`"deadline_ms":-1`), result.OutOfRange, "deadline_ms"},
		{with(fmt.Sprintf(`"deadline_ms":%d`, MaxDeadlineMS+1)), result.OutOfRange, "deadline_ms"},
		{with(`"deadline_ms":1e99`), result.OutOfRange, "deadline_ms"},
		{task(`"run_time_ms":-1`), result.OutOfRange, "tasks[0].run_time_ms"},
		{task(`"cores":-0.5`), result.OutOfRange, "tasks[0].cores"},
		{task(`"cores":1e300`), result.OutOfRange, "tasks[0].cores"},
		{task(`"memory_mb":99999999`), result.OutOfRange, "tasks[0].memory_mb"},
		{task(`"accelerators":65`), result.OutOfRange, "tasks[0].accelerators"},
		{task(`"payload":7`), result.WrongType, "tasks.payload"},
		{strings.Replace(valid, `{"payload":"p"}`, many, 1), result.TooManyTasks, "tasks"},
		{strings.Replace(valid, `{"payload":"p"}`, "", 1), result.NoTasks, "tasks"},
		{strings.Replace(valid, `"i"`, `""`, 1), result.IdentityRequired, "identity"},
		{strings.Replace(valid, `"i"`, `"`+strings.Repeat("i", MaxIdentityBytes+1)+`"`, 1), result.IdentityMalformed, "identity"},
		{strings.Replace(valid, `"washout"`, `""`, 1), result.UnknownService, "service"},
	} {
		_, err := DecodeSubmit([]byte(c.body))
		is.True(err != nil)
		is.Equal(err.Code, c.code)
		is.Equal(err.Field, c.field)
		is.True(strings.Contains(err.Message, c.field)) // the message names the field
	}
	_, err := DecodeSubmit([]byte(valid))
	is.True(err == nil)
}

// Guards against a body on which the decoder panics, and against an accepted submission that is out of bounds.
func FuzzDecodeSubmit(f *testing.F) {
	f.Add(valid)
	f.Add(`{"identity":"i","service":"s","tasks":[{"cores":1e400}]}`)
	f.Add(`{"tasks":[[[[`)
	f.Add("\xff\x00")
	f.Fuzz(func(t *testing.T, body string) {
		s, err := DecodeSubmit([]byte(body))
		if err != nil {
			return
		}
		if s.Identity == "" || len(s.Tasks) == 0 || len(s.Tasks) > MaxTasksPerJob || s.DeadlineMS < 0 {
			t.Fatalf("accepted %q", body)
		}
	})
}
