package entry

import (
	"context"
	"os"

	"github.com/savorypass/savorypass/internal/daemon"
)

// Main runs the program savoryd and returns its exit code.
func Main() int {
	incoming := daemon.CatchSignals()
	var opts Options
	daemon.MustLoad("savoryd", &opts)
	log := daemon.NewLogger(os.Stderr, opts.LogOptions)
	e, err := New(opts, log)
	if err != nil {
		log.WithField("event", "start_failed").WithError(err).Error("entry instance not started")
		return daemon.ExitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := daemon.Signals{Incoming: incoming, Log: log, Drain: e.Drain, Kill: cancel, Reload: e.Reload, Dump: e.Dumps(), Output: os.Stderr}
	go signals.Run(ctx)
	if err := e.Run(ctx); err != nil {
		log.WithField("event", "failed").WithError(err).Error("entry instance failed")
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}
