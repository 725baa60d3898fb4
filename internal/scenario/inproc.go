package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/daemon"
	"github.com/savorypass/savorypass/internal/entry"
	"github.com/savorypass/savorypass/internal/standin/instances"
	"github.com/savorypass/savorypass/internal/standin/logservice"
	"github.com/savorypass/savorypass/internal/standin/worker"
)

var errNoPause = errors.New("a program in the test's own process cannot be paused")

// InProcess is a Launcher that runs programs inside the test's own process.
func InProcess(_, executable string, args []string) (Process, error) {
	switch executable {
	case "savoryd":
		return startEntry(args)
	case "savory-log":
		o := logservice.DefaultOptions()
		return startStandin(&o, args, func() (standinProcess, error) { return logservice.Start(o) })
	case "savory-instances":
		o := instances.DefaultOptions()
		return startStandin(&o, args, func() (standinProcess, error) { return instances.Start(o) })
	case "savory-worker":
		o := worker.DefaultOptions()
		return startStandin(&o, args, func() (standinProcess, error) { return worker.Start(o) })
	}
	return nil, fmt.Errorf("unknown executable %q", executable)
}

// standinProcess is a running stand-in.
type standinProcess interface {
	Stop()
	Close()
}

// inProcess is a program that runs inside the test's own process. done is closed when the program has ended.
type inProcess struct {
	stop, kill func()
	done       chan struct{}
	once       sync.Once
}

func (p *inProcess) Kill()         { p.kill() }
func (p *inProcess) Stop()         { p.stop() }
func (p *inProcess) Wait()         { <-p.done }
func (p *inProcess) Ended() bool   { return isClosed(p.done) }
func (p *inProcess) Pause() error  { return errNoPause }
func (p *inProcess) Resume() error { return errNoPause }

// startStandin parses args into options and runs a stand-in with them. start must use these options.
func startStandin(options any, args []string, start func() (standinProcess, error)) (Process, error) {
	if _, err := flags.NewParser(options, flags.None).ParseArgs(args); err != nil {
		return nil, err
	}
	sp, err := start()
	if err != nil {
		return nil, err
	}
	p := &inProcess{done: make(chan struct{})}
	end := func(f func()) func() {
		return func() {
			p.once.Do(func() {
				f()
				close(p.done)
			})
		}
	}
	p.stop, p.kill = end(sp.Stop), end(sp.Close)
	return p, nil
}

// startEntry runs an entry instance with the given command-line arguments and without a log.
func startEntry(args []string) (Process, error) {
	var opts entry.Options
	if err := daemon.Load("savoryd", &opts, args); err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := entry.New(opts, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &inProcess{stop: e.Drain, kill: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer cancel()
		e.Run(ctx)
	}()
	return p, nil
}

// isClosed reports whether a channel that carries no values is closed.
func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
