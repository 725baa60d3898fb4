package entry

import (
	"context"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

const (
	listInterval = time.Second
	listTimeout  = 900 * time.Millisecond
)

// followWorkers keeps the engine's workers equal to the endpoints of the own zone in the instance list.
func (e *Entry) followWorkers(ctx context.Context) {
	ticker := e.clock.NewTicker(listInterval)
	defer ticker.Stop()
	known := map[string]bool{}
	for {
		known = e.syncWorkers(ctx, known)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (e *Entry) syncWorkers(ctx context.Context, known map[string]bool) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := e.list.Instances(ctx)
	if err != nil {
		e.log.WithError(err).Warn("instance list not read")
		return known
	}
	next := map[string]bool{}
	for _, in := range list {
		if in.Kind == platform.KindEndpoint && in.Zone == e.opts.Zone {
			next[in.Name] = true
			e.engine.SetWorker(in, in.Slots)
		}
	}
	for name := range known {
		if !next[name] {
			e.engine.DropWorker(name)
		}
	}
	return next
}
