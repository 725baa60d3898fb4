// Command savorypass is the dispatcher on the users' platform. One runs on each entry instance.
package main

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/daemon"
	"github.com/savorypass/savorypass/internal/node"
	"github.com/savorypass/savorypass/platform"
)

func main() {
	out := daemon.NewAsyncWriter(os.Stdout)
	log := daemon.NewLogger(out, daemon.LogOptions{Level: "info"})
	code := run(out, log)
	out.Flush()
	os.Exit(code)
}

func run(out *daemon.AsyncWriter, log *logrus.Logger) int {
	settings, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		log.WithField("event", "start_failed").WithError(err).Error("the settings cannot be used")
		return daemon.ExitUsage
	}
	n := node.New(node.Options{
		Settings: settings, Store: platform.NewStore(settings.Store), Records: platform.Names{}, Codec: platform.Callers{},
		Dialer: platform.Dialer{}, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := daemon.Signals{Log: log, Drain: n.Drain, Kill: cancel, Reload: reload(log), Output: out}
	go signals.Run(ctx)
	if err := n.Run(ctx); err != nil {
		log.WithField("event", "failed").WithError(err).Error("the instance failed")
		return daemon.ExitFault
	}
	return daemon.ExitOK
}

// reload checks the settings file again. What an instance is told at its start does not change during its life; new
// values are taken at the next start.
func reload(log *logrus.Logger) func() error {
	return func() error {
		settings, err := platform.ReadSettings(platform.SettingsPath())
		if err != nil {
			return err
		}
		log.WithFields(logrus.Fields{"event": "settings_read", "instance": settings.Instance}).Info("settings read again")
		return nil
	}
}
