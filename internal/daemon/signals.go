package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// maxWaitingSignals bounds the signals that wait to be handled. A dump can take several seconds; further signals are dropped.
const maxWaitingSignals = 8

// CatchSignals returns the process's signals from now on. A program calls it first: until then a SIGHUP, for example, ends the process, and
// the platform may send one at any time.
func CatchSignals() <-chan os.Signal {
	incoming := make(chan os.Signal, maxWaitingSignals)
	signal.Notify(incoming, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	return incoming
}

// Signals holds what a program does on each signal. Incoming and Log are required. A signal whose field is nil is ignored.
type Signals struct {
	Incoming <-chan os.Signal // see CatchSignals
	Log      *logrus.Logger
	// Drain starts the planned stop, on the first SIGTERM or SIGINT: the program refuses new work, finishes its current work
	// and ends. It must not block.
	Drain func()
	// Kill ends the program at once, on the second SIGTERM or SIGINT.
	Kill func()
	// Reload reads keys, certificates and token files again, on SIGHUP. If it fails, the previous ones must stay in use.
	Reload func() error
	// Dump writes the state of every part to Output, on SIGUSR1.
	Dump io.WriterTo
	// Output receives the dump; nil means standard error.
	Output io.Writer
}

// Run handles the process's signals until ctx ends.
func (s *Signals) Run(ctx context.Context) {
	stopping := false
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-s.Incoming:
			s.Log.WithFields(logrus.Fields{"event": "signal", "signal": sig.String()}).Info("signal received")
			stopping = s.act(sig, stopping)
		}
	}
}

// act handles one signal. stopping says whether the program is stopping; act returns its new value.
func (s *Signals) act(sig os.Signal, stopping bool) bool {
	switch sig {
	case syscall.SIGHUP:
		s.reload()
	case syscall.SIGUSR1:
		s.dump()
	default:
		s.stop(stopping)
		return true
	}
	return stopping
}

func (s *Signals) stop(again bool) {
	if again {
		if s.Kill != nil {
			s.Kill()
		}
		return
	}
	if s.Drain != nil {
		s.Drain()
	}
}

func (s *Signals) reload() {
	if s.Reload == nil {
		return
	}
	if err := s.Reload(); err != nil {
		s.Log.WithField("event", "reload_failed").WithError(err).Error("reload failed, what was loaded before stays in use")
		return
	}
	s.Log.WithField("event", "reloaded").Info("reload finished")
}

func (s *Signals) dump() {
	if s.Dump == nil {
		return
	}
	out := s.Output
	if out == nil {
		out = os.Stderr
	}
	if _, err := s.Dump.WriteTo(out); err != nil {
		s.Log.WithField("event", "dump_failed").WithError(err).Error("the state dump could not be written")
	}
}
