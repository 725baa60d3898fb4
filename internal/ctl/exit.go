package ctl

import (
	"errors"
	"fmt"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
)

// Exit codes. They are documented in docs/savoryctl.md; their meanings must not change.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the operation failed, or its outcome is unknown
	ExitUsage       = 2 // wrong arguments, settings or input files
	ExitUnreachable = 3 // no instance could be reached
	ExitRefused     = 4 // an instance refused the request; nothing was changed
	ExitConflict    = 5 // another version of the configuration was published first
	ExitPartial     = 6 // carried out, but not in force or not known on every instance
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitf returns a formatted error with an exit code.
func exitf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// usagef returns a formatted error with ExitUsage.
func usagef(format string, args ...any) error { return exitf(ExitUsage, format, args...) }

// exitCode returns the exit code for an error, ExitOK for nil.
func exitCode(err error) int {
	var exit *exitError
	var refused *opsapi.Error
	var noResponse *noResponseError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &refused):
		return refusalExitCode(refused.Code)
	case errors.As(err, &noResponse):
		return ExitUnreachable
	}
	return ExitFailed
}

// refusalExitCode returns the exit code for an instance's refusal.
func refusalExitCode(code result.Code) int {
	switch code {
	case result.ConfigConflict:
		return ExitConflict
	case result.Internal, result.Timeout, result.NoSuchObject, result.ConfigUnresolved:
		return ExitFailed
	}
	return ExitRefused
}

// refusalResult returns the result code of an instance's refusal, or -1 for any other error.
func refusalResult(err error) result.Code {
	var refused *opsapi.Error
	if errors.As(err, &refused) {
		return refused.Code
	}
	return -1
}
