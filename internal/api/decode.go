package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/savorypass/savorypass/internal/result"
)

// Bounds of requests that apply to every service. The bounds of run time, cores, memory and accelerators are those of
// one task; MaxIdentities is that of one IdentityRequest.
const (
	MaxTasksPerJob      = 160
	MaxIdentities       = 1000
	MaxDeadlineMS       = 10 * 60 * 1000
	MaxRunTimeMS        = 10 * 60 * 1000
	MaxCores            = 1024
	MaxMemoryMB         = 4 * 1024 * 1024
	MaxAccelerators     = 64
	MaxServiceNameBytes = 64
	MaxIdentityBytes    = 200
)

// Error describes why a request was refused: the code, the faulty field if there is one, and a message that states what
// is required.
type Error struct {
	Code    result.Code
	Field   string
	Message string
}

// Error returns the code's name and the message.
func (e *Error) Error() string {
	return e.Code.String() + ": " + e.Message
}

// Answer converts the error to the answer for the caller.
func (e *Error) Answer() *Answer {
	a := NewAnswer(e.Code, e.Message)
	a.Field = e.Field
	return a
}

// Errorf returns an Error for a field, with a formatted message.
func Errorf(code result.Code, field, format string, args ...any) *Error {
	return &Error{Code: code, Field: field, Message: fmt.Sprintf(format, args...)}
}

// DecodeSubmit decodes a submission and checks the bounds that do not depend on the configuration.
func DecodeSubmit(body []byte) (*Submit, *Error) {
	var s Submit
	if err := decodeStrict(body, &s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// DecodeIdentityRequest decodes a request for identities. An empty body asks for one identity.
func DecodeIdentityRequest(body []byte) (*IdentityRequest, *Error) {
	r := IdentityRequest{Count: 1}
	if len(bytes.TrimSpace(body)) > 0 {
		if err := decodeStrict(body, &r); err != nil {
			return nil, err
		}
	}
	return &r, checkInt("count", int64(r.Count), 1, MaxIdentities)
}

func (s *Submit) check() *Error {
	if s.Identity == "" {
		return Errorf(result.IdentityRequired, "identity", "identity is missing")
	}
	if len(s.Identity) > MaxIdentityBytes {
		return Errorf(result.IdentityMalformed, "identity", "identity has %d bytes, must have at most %d", len(s.Identity), MaxIdentityBytes)
	}
	if s.Service == "" || len(s.Service) > MaxServiceNameBytes {
		return Errorf(result.UnknownService, "service", "service must have 1 to %d bytes", MaxServiceNameBytes)
	}
	if err := checkInt("deadline_ms", s.DeadlineMS, 0, MaxDeadlineMS); err != nil {
		return err
	}
	if len(s.Tasks) == 0 {
		return Errorf(result.NoTasks, "tasks", "tasks is empty, must have at least 1 entry")
	}
	if len(s.Tasks) > MaxTasksPerJob {
		return Errorf(result.TooManyTasks, "tasks", "tasks has %d entries, must have at most %d", len(s.Tasks), MaxTasksPerJob)
	}
	for i := range s.Tasks {
		if err := s.Tasks[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (t *Task) check(i int) *Error {
	if t.Cores < 0 || t.Cores > MaxCores {
		return Errorf(result.OutOfRange, taskField(i, "cores"), "%s is %g, must be 0 to %d", taskField(i, "cores"), t.Cores, MaxCores)
	}
	if t.RunTimeMS < 0 || t.RunTimeMS > MaxRunTimeMS {
		return checkInt(taskField(i, "run_time_ms"), t.RunTimeMS, 0, MaxRunTimeMS)
	}
	if t.MemoryMB < 0 || t.MemoryMB > MaxMemoryMB {
		return checkInt(taskField(i, "memory_mb"), t.MemoryMB, 0, MaxMemoryMB)
	}
	if t.Accelerators < 0 || t.Accelerators > MaxAccelerators {
		return checkInt(taskField(i, "accelerators"), int64(t.Accelerators), 0, MaxAccelerators)
	}
	return nil
}

func taskField(i int, name string) string {
	return "tasks[" + strconv.Itoa(i) + "]." + name
}

func checkInt(field string, v, low, high int64) *Error {
	if v < low || v > high {
		return Errorf(result.OutOfRange, field, "%s is %d, must be %d to %d", field, v, low, high)
	}
	return nil
}

func decodeStrict(body []byte, into any) *Error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Errorf(result.MalformedBody, "", "the body has data after the JSON value")
	}
	return nil
}

func decodeError(err error) *Error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		if strings.HasPrefix(typeErr.Value, "number") && typeErr.Type.Kind().String() != "string" {
			return Errorf(result.OutOfRange, typeErr.Field, "%s: %s is out of range for %s", typeErr.Field, typeErr.Value, typeErr.Type)
		}
		return Errorf(result.WrongType, typeErr.Field, "%s must be %s, got %s", typeErr.Field, typeErr.Type, typeErr.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return Errorf(result.UnknownField, name, "field %q is not known", name)
	}
	return Errorf(result.MalformedBody, "", "the body is not valid JSON: %v", err)
}
