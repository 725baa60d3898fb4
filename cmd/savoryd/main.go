// Command savoryd is the dispatcher. One runs on each entry instance.
package main

import (
	"context"
	"os"

	"github.com/savorypass/savorypass/internal/daemon"
	"github.com/savorypass/savorypass/internal/entry"
)

func main() {
	var opts entry.Options
	daemon.MustLoad("savoryd", &opts)
	log := daemon.NewLogger(os.Stderr, opts.LogOptions)
	e, err := entry.New(opts, log)
	if err != nil {
		log.WithError(err).Error("entry instance not started")
		os.Exit(daemon.ExitFault)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := daemon.Signals{Log: log, Drain: e.Drain, Kill: cancel, Reload: e.Reload, Dump: e.Dumps(), Output: os.Stderr}
	go signals.Run(ctx)
	if err := e.Run(ctx); err != nil {
		log.WithError(err).Error("entry instance failed")
		os.Exit(daemon.ExitFault)
	}
}
