// Package daemon implements what the long-running programs have in common: settings, logging and signal handling.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the long-running programs.
const (
	ExitOK      = 0
	ExitFailure = 1 // the program failed
	ExitUsage   = 2 // the settings are invalid
)

// Options are a program's settings: a pointer to a struct with go-flags tags. A setting is given by a flag or by an
// environment variable whose name starts with SAVORY_.
type Options interface {
	// Validate returns every problem of the settings. Each error states the setting's flag, its value and what is
	// required.
	Validate() []error
}

// SettingsError lists all problems of a program's settings.
type SettingsError struct{ Problems []error }

// Error returns all problems, one per line.
func (e *SettingsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings have %d problem(s):", len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  %v", p)
	}
	return b.String()
}

// Unwrap returns the problems.
func (e *SettingsError) Unwrap() []error { return e.Problems }

// HelpError is returned by Load if args contain the help flag. Text is the help.
type HelpError struct{ Text string }

// Error returns the help.
func (e *HelpError) Error() string { return e.Text }

// Load reads settings from args and the environment into o and validates them. The error is a *HelpError, a
// *SettingsError, or another error if the tags of o are invalid.
//
// Parsing stops at a value that cannot be parsed as its setting's type, so such a problem is reported alone.
func Load(program string, o Options, args []string) error {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Settings", "", o); err != nil {
		return fmt.Errorf("settings of %s: %w", program, err)
	}
	rest, err := p.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		return &HelpError{flagError.Message}
	}
	if err != nil {
		return &SettingsError{[]error{err}}
	}
	problems := o.Validate()
	for _, arg := range rest {
		problems = append(problems, fmt.Errorf("argument %q is not expected", arg))
	}
	if len(problems) > 0 {
		return &SettingsError{problems}
	}
	return nil
}

// MustLoad is Load for a main function. It reads the process's arguments, and instead of returning an error it prints
// the help or the problems and ends the process.
func MustLoad(program string, o Options) {
	code, done := printError(Load(program, o, os.Args[1:]), os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
}

// printError prints the help or the problems in an error of Load. done says that the process must end with the exit
// code.
func printError(err error, out, problems io.Writer) (code int, done bool) {
	var help *HelpError
	switch {
	case err == nil:
		return ExitOK, false
	case errors.As(err, &help):
		fmt.Fprintln(out, help.Text)
		return ExitOK, true
	}
	fmt.Fprintln(problems, err)
	return ExitUsage, true
}

// Checks collects problems of settings. The name that its methods take is the setting's flag without the dashes.
type Checks struct{ problems []error }

// Problems returns the problems found so far, as the result of Options.Validate.
func (c *Checks) Problems() []error { return c.problems }

// Add records problems that were found elsewhere, for example by an embedded group of settings.
func (c *Checks) Add(problems ...error) {
	c.problems = append(c.problems, problems...)
}

// Addf records a problem of a setting.
func (c *Checks) Addf(name, format string, args ...any) {
	c.Add(fmt.Errorf("--%s: %s", name, fmt.Sprintf(format, args...)))
}

// Name checks a name that becomes part of identities and addresses. It must be 1 to 64 letters, digits, - or _.
func (c *Checks) Name(name, v string) {
	ok := len(v) >= 1 && len(v) <= 64
	for _, r := range v {
		ok = ok && (r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z')
	}
	if !ok {
		c.Addf(name, "is %q, must be 1 to 64 letters, digits, - or _", v)
	}
}

// Address checks an IP address with a port, such as 127.0.0.1:7000 or [::1]:7000. The IP address may be empty.
func (c *Checks) Address(name, v string) {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		c.Addf(name, "is %q, must be IP:PORT", v)
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.Addf(name, "is %q, the host must be an IP address", v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		c.Addf(name, "is %q, the port must be 0 to 65535", v)
	}
}

// Duration checks that a duration is between low and high, both included.
func (c *Checks) Duration(name string, v, low, high time.Duration) {
	if v < low || v > high {
		c.Addf(name, "is %v, must be %v to %v", v, low, high)
	}
}

// Int checks that a number is between low and high, both included.
func (c *Checks) Int(name string, v, low, high int) {
	if v < low || v > high {
		c.Addf(name, "is %d, must be %d to %d", v, low, high)
	}
}

// File checks that a file can be read. An empty path is a problem.
func (c *Checks) File(name, path string) {
	if path == "" {
		c.Addf(name, "is missing")
		return
	}
	f, err := os.Open(path)
	if err != nil {
		c.Addf(name, "cannot be read: %v", err)
		return
	}
	f.Close()
}
