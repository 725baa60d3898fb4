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

// Process is a running stand-in.
type Process interface {
	// Stop performs a planned stop, in which a worker first lets its running tasks end, and returns when it is complete.
	Stop()
}

// Settings are the settings of a program, a struct with go-flags tags.
type Settings interface {
	// Check returns an error that lists all invalid settings, or nil.
	Check() error
}

// Main is the main function of a stand-in's program. It reads settings from flags and environment variables, calls
// start and stops the process on SIGTERM or SIGINT. It returns the exit status: 0 after a stop or for help, 2 after an
// error.
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

// parse reads and checks the settings. The error lists all problems. go-flags stops at the first malformed value, so
// malformed environment variables are collected and unset beforehand.
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

// dropMalformed unsets environment variables with malformed values and returns an error that lists them.
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

// Problems collects messages about invalid settings.
type Problems []string

// AddIf adds a formatted message if the condition is true.
func (p *Problems) AddIf(condition bool, format string, args ...any) {
	if condition {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// CheckAddress adds a message if the value of a setting does not have the form host:port.
func (p *Problems) CheckAddress(setting, value string) {
	_, _, err := net.SplitHostPort(value)
	p.AddIf(err != nil, "%s is %q, must be host:port", setting, value)
}

// Err returns an error that lists all messages, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return errors.New("invalid settings:\n  " + strings.Join(p, "\n  "))
}
