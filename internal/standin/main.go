package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

// Process is a started stand-in.
type Process interface {
	// Stop ends the process in the planned way.
	Stop()
}

// Settings are the options of a program.
type Settings interface {
	// Check lists all problems of the settings.
	Check() error
}

// Main parses settings from flags and environment variables, starts a process and stops it on SIGTERM or SIGINT.
// It returns the exit status.
func Main(name string, settings Settings, start func() (Process, error)) int {
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", settings); err != nil {
		return fail(err)
	}
	err := parse(parser, settings, os.Args[1:])
	if isHelp(err) {
		fmt.Println(err)
		return 0
	}
	if err != nil {
		return fail(err)
	}
	return run(start)
}

// parse reads and checks the settings. go-flags stops at the first malformed value, so malformed environment variables
// are found beforehand.
func parse(parser *flags.Parser, settings Settings, args []string) error {
	malformed := dropMalformed(parser)
	rest, err := parser.ParseArgs(args)
	if isHelp(err) {
		return err
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected arguments: %s", strings.Join(rest, " "))
	}
	return errors.Join(malformed, err, settings.Check())
}

func isHelp(err error) bool {
	var fe *flags.Error
	return errors.As(err, &fe) && fe.Type == flags.ErrHelp
}

// dropMalformed removes malformed variables from the environment and returns what is wrong with them.
func dropMalformed(parser *flags.Parser) error {
	var errs []error
	for _, group := range parser.Groups() {
		for _, option := range group.Options() {
			value, ok := os.LookupEnv(option.EnvDefaultKey)
			if !ok || option.EnvDefaultDelim != "" {
				continue
			}
			if err := option.Set(&value); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", option.EnvDefaultKey, err))
				os.Unsetenv(option.EnvDefaultKey)
			}
		}
	}
	return errors.Join(errs...)
}

func run(start func() (Process, error)) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	p, err := start()
	if err != nil {
		return fail(err)
	}
	s := <-signals
	logrus.WithField("signal", s).Info("stopping")
	p.Stop()
	logrus.Info("stopped")
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// Problems collects what is wrong with settings.
type Problems []string

// AddIf adds a problem if the condition holds.
func (p *Problems) AddIf(condition bool, format string, args ...any) {
	if condition {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// CheckAddress adds a problem if the setting is not of the form host:port.
func (p *Problems) CheckAddress(setting, value string) {
	_, _, err := net.SplitHostPort(value)
	p.AddIf(err != nil, "%s is %q, must be host:port", setting, value)
}

// Err returns all problems as one error, or nil.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return errors.New("invalid settings:\n  " + strings.Join(p, "\n  "))
}
