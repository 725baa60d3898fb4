package ctl

import (
	"errors"
	"fmt"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
)

// Exit codes. They are documented in docs/savoryctl.md and never change their meaning.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the operation was carried out and its outcome is a failure, or the outcome is unknown
	ExitUsage       = 2 // wrong arguments, settings or input files
	ExitUnreachable = 3 // no instance could be reached
	ExitRefused     = 4 // an instance refused the request; nothing was changed
	ExitConflict    = 5 // another version of the configuration was published first
	ExitPartial     = 6 // carried out, but not in force or not known on every instance
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

func usagef(format string, args ...any) error { return exitf(ExitUsage, format, args...) }

// exitCode finds the exit code for an error.
func exitCode(err error) int {
	var exit *exitError
	var refused *opsapi.Error
	var broken *brokenError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &refused):
		return refusalCode(refused.Code)
	case errors.As(err, &broken):
		return ExitUnreachable
	}
	return ExitFailed
}

func refusalCode(code result.Code) int {
	switch code {
	case result.ConfigConflict:
		return ExitConflict
	case result.Internal, result.Timeout, result.NoSuchObject, result.ConfigUnresolved:
		return ExitFailed
	}
	return ExitRefused
}

// codeOf returns the result code of an instance's refusal, or -1 for any other error.
func codeOf(err error) result.Code {
	var refused *opsapi.Error
	if errors.As(err, &refused) {
		return refused.Code
	}
	return -1
}
