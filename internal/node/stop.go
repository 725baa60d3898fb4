package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/pause"
)

const (
	// minDrainTime is the time that the load balancer needs to detect that the instance is not ready any more. Until then
	// the instance serves new requests.
	minDrainTime = 2500 * time.Millisecond
	// exitReserve is the part of Settings.Grace that is reserved for the exit of the process after the drain.
	exitReserve = time.Second
	// serverStopTimeout is how long to wait for the event loop of the callers' listener to end. It ends at once unless it is busy.
	serverStopTimeout = 600 * time.Millisecond
	// responseTimeout is how long to wait at the end of the drain for responses to be written.
	responseTimeout = 100 * time.Millisecond
	// shutDownTimeout is how long to wait for the health or operators' listener to shut down. It is short because no request
	// that matters is in progress by then.
	shutDownTimeout = 100 * time.Millisecond
)

// Drain starts the planned stop. Run returns when it has completed. Drain may be called again, but not concurrently.
func (n *Node) Drain() {
	select {
	case <-n.drain:
	default:
		close(n.drain)
	}
}

// stopServer closes the callers' listener if it was opened. The process exits afterwards even if the event loops have not stopped.
func (n *Node) stopServer() {
	if n.server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
	defer cancel()
	if err := n.server.Stop(ctx); err != nil {
		n.log.WithField("event", "server_stop").WithError(err).Warn("the callers' listener did not stop in time")
	}
}

// shutDown closes the health or operators' listener. It does not wait for connections that their clients keep open.
func shutDown(s *fasthttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutDownTimeout)
	defer cancel()
	s.ShutdownWithContext(ctx) // the only error is that some connections are still open
}

// awaitResponses waits until the responses to callers have been written, for at most responseTimeout.
func (n *Node) awaitResponses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	for n.server.Active() > 0 && ctx.Err() == nil {
		pause.For(ctx, time.Millisecond, nil)
	}
}

// releasePartitions gives up the instance's partitions in the background. It stops trying at the time latest. The returned
// flag becomes true when it has ended, with or without success.
func (n *Node) releasePartitions(ctx context.Context, latest time.Time) *atomic.Bool {
	released := &atomic.Bool{}
	ctx, cancel := context.WithDeadline(ctx, latest)
	go func() {
		defer cancel()
		n.lead.Leave(ctx)
		n.substituting.Wait()
		released.Store(true)
	}()
	return released
}

// stop carries out the planned stop: it hands the partitions to other instances and waits until the requests in progress
// are answered, for at most Settings.Grace less exitReserve.
func (n *Node) stop(ctx context.Context) {
	n.log.WithFields(logrus.Fields{"event": "draining", "active": n.gateway.Active()}).Info("planned stop started")
	n.server.Drain()
	begun := time.Now()
	end := begun.Add(n.opts.Settings.Grace - exitReserve)
	released := n.releasePartitions(ctx, end)
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(begun) < minDrainTime {
			continue
		}
		n.gateway.Close()
		n.server.CloseIdle()
		if released.Load() && n.gateway.Active() == 0 && n.server.Active() == 0 && n.server.Connections() == 0 {
			break
		}
	}
	active := n.gateway.Active()
	n.gateway.EndPending()
	n.awaitResponses(ctx)
	n.log.WithFields(logrus.Fields{"event": "drained", "active": active, "ms": time.Since(begun).Milliseconds()}).Info("planned stop completed")
}
