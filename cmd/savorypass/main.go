// Command savorypass is the dispatcher on the users' platform, which package platform translates to. Each
// entry instance, which accepts callers' requests, runs one process of it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/daemon"
	"github.com/savorypass/savorypass/internal/node"
	"github.com/savorypass/savorypass/internal/traffic"
	"github.com/savorypass/savorypass/platform"
)

// options are the settings of the process that are not in the platform's settings file.
type options struct {
	daemon.LogOptions
	Settings      string `long:"settings" description:"path of the settings file; the default is the path that the platform gives"`
	OperatorsPort int    `long:"operators-port" env:"SAVORY_OPERATORS_PORT" default:"9464" description:"port that serves the metrics and the state dump; 0 for none"`
	Check         bool   `long:"check" description:"read the settings, print them or every problem, and exit"`
	CheckConfig   string `long:"check-config" value-name:"FILE" description:"check a configuration of queues before it is written to the store, print what differs from the version in force, and exit"`
	InForce       string `long:"in-force" value-name:"FILE" description:"the version in force for --check-config; the default is the one in the store that the settings name"`
}

// Validate implements daemon.Options.
func (o *options) Validate() []error {
	var c daemon.Checks
	c.Add(o.LogOptions.Validate()...)
	c.Int("operators-port", o.OperatorsPort, 0, 65535)
	return c.Problems()
}

func main() {
	incoming := daemon.CatchSignals()
	var o options
	daemon.MustLoad("savorypass", &o)
	if o.Settings == "" {
		o.Settings = platform.SettingsPath()
	}
	if o.Check {
		os.Exit(check(o))
	}
	if o.CheckConfig != "" {
		os.Exit(checkConfig(o, os.Stdout, os.Stderr))
	}
	out := daemon.NewAsyncWriter(os.Stdout)
	log := daemon.NewUnredactedLogger(out, o.LogOptions)
	code := run(o, incoming, log)
	out.Flush()
	os.Exit(code)
}

// check prints the settings or their problems and returns the exit code.
func check(o options) int {
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitUsage
	}
	fmt.Printf("%+v\n", settings)
	return daemon.ExitOK
}

// run runs the instance until it has stopped and returns the exit code.
func run(o options, incoming <-chan os.Signal, log *logrus.Logger) int {
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		log.WithField("event", "start_failed").WithError(err).Error("the settings are invalid or cannot be read")
		return daemon.ExitUsage
	}
	meter := traffic.New()
	n := node.New(node.Options{
		Settings: settings, Store: platform.NewStore(settings.Store, meter), Records: platform.Records{}, Codec: platform.Callers{},
		Dialer: platform.Dialer{Meter: meter}, Meter: meter, Log: log, OperatorsAddress: operatorsAddress(settings, o.OperatorsPort),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := daemon.Signals{Incoming: incoming, Log: log, Drain: n.Drain, Kill: cancel, Reload: reload(o, log), Dump: dump{n}}
	go signals.Run(ctx)
	if err := n.Run(ctx); err != nil {
		log.WithField("event", "failed").WithError(err).Error("the instance failed")
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

func operatorsAddress(s node.Settings, port int) string {
	if port == 0 {
		return ""
	}
	return fmt.Sprintf("%s:%d", s.IP, port)
}

// dump writes the state of an instance as one line of JSON.
type dump struct{ node *node.Node }

// WriteTo implements io.WriterTo.
func (d dump) WriteTo(w io.Writer) (int64, error) {
	raw, err := json.Marshal(d.node.Dump())
	if err != nil {
		return 0, err
	}
	n, err := w.Write(append(raw, '\n'))
	return int64(n), err
}

// reload returns a function that reads the settings file again and checks it. The running instance keeps the settings
// that it started with, because they cannot change while it runs; new values take effect at the next start.
func reload(o options, log *logrus.Logger) func() error {
	return func() error {
		settings, err := platform.ReadSettings(o.Settings)
		if err != nil {
			return err
		}
		log.WithFields(logrus.Fields{"event": "settings_read", "instance": settings.Instance}).Info("the settings are valid and take effect at the next start")
		return nil
	}
}
