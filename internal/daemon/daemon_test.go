package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/secure"
)

type options struct {
	LogOptions
	Zone   string        `long:"zone" env:"SAVORY_TEST_ZONE"`
	Listen string        `long:"listen" default:"127.0.0.1:0"`
	Wait   time.Duration `long:"wait" default:"1s"`
	Lanes  int           `long:"lanes" default:"8"`
	Keys   string        `long:"keys"`
}

func (o *options) Validate() []error {
	var c Checks
	c.Add(o.LogOptions.Validate()...)
	c.Name("zone", o.Zone)
	c.Address("listen", o.Listen)
	c.Duration("wait", o.Wait, time.Second, time.Minute)
	c.Int("lanes", o.Lanes, 1, 64)
	c.File("keys", o.Keys)
	return c.Problems()
}

// Guards against a program that starts with invalid settings, and against one that reports only the first problem.
func TestLoadListsEveryProblem(t *testing.T) {
	is := is.New(t)
	t.Setenv("SAVORY_TEST_ZONE", "salt store")
	args := []string{"--listen", "host:x", "--wait", "1h", "--lanes", "0", "--log-level", "panic", "extra"}
	err := Load("savoryd", new(options), args)
	var s *SettingsError
	is.True(errors.As(err, &s))
	is.Equal(len(s.Problems), 8) // the address has two problems
	for _, part := range []string{`--zone: is "salt store"`, "1s to 1m0s", "1 to 64", "--keys: is missing", `"extra"`} {
		is.True(strings.Contains(err.Error(), part))
	}
	var out, problems bytes.Buffer
	code, done := printError(err, &out, &problems)
	is.True(done && code == ExitUsage && out.Len() == 0)
	code, done = printError(Load("savoryd", new(options), []string{"--help"}), &out, &problems)
	is.True(done && code == ExitOK && strings.Contains(out.String(), "$SAVORY_LOG_LEVEL"))
	is.True(errors.As(Load("savoryd", new(options), []string{"--wait", "soon"}), &s))
	t.Setenv("SAVORY_TEST_ZONE", "salt-store")
	is.NoErr(Load("savoryd", new(options), []string{"--keys", os.DevNull, "--listen", "[::1]:70"}))
}

// Guards against a token in a program's log.
func TestLoggerRedacts(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	token := secure.NewToken().Reveal()
	log := NewLogger(&out, LogOptions{Level: "debug"})
	log.WithField("event", "start").Debug("with " + token)
	is.True(strings.Contains(out.String(), "event=start") && !strings.Contains(out.String(), token))
}

// dump is a state dump with a fixed text.
type dump string

func (d dump) WriteTo(w io.Writer) (int64, error) {
	n, err := io.WriteString(w, string(d))
	return int64(n), err
}

// Guards against a first SIGTERM that ends the program without draining, and against a failed reload that ends it.
func TestSignals(t *testing.T) {
	is := is.New(t)
	var calls []string
	var out, log bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	incoming := make(chan os.Signal)
	s := Signals{
		Incoming: incoming,

		Log:    NewLogger(&log, LogOptions{}),
		Drain:  func() { calls = append(calls, "drain") },
		Kill:   func() { calls = append(calls, "kill"); cancel() },
		Reload: func() error { calls = append(calls, "reload"); return errors.New("no key") },
		Dump:   dump("state"),
		Output: &out,
	}
	go func() {
		for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
			incoming <- sig
		}
	}()
	s.Run(ctx)
	is.Equal(calls, []string{"reload", "drain", "reload", "kill"})
	is.Equal(out.String(), "state")
	is.True(strings.Contains(log.String(), "event=reload_failed"))
}

// Guards against a process that a SIGHUP ends because it comes before the process handles its signals (soak seed 9820).
func TestSignalBeforeItIsHandled(t *testing.T) {
	is := is.New(t)
	incoming := CatchSignals()
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reloads := 0
	s := Signals{Incoming: incoming, Log: NewLogger(io.Discard, LogOptions{}), Reload: func() error { reloads++; cancel(); return nil }}
	s.Run(ctx)
	is.Equal(reloads, 1)
}
