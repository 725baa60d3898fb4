package entry

import (
	"context"
	"errors"
	"time"

	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/result"
)

// levelInterval is how often the gauges are renewed. It costs one look at the engine's last summary.
const levelInterval = 250 * time.Millisecond

// followLevels keeps the gauges up to date.
func (e *Entry) followLevels(ctx context.Context) {
	ticker := e.clock.NewTicker(levelInterval)
	defer ticker.Stop()
	heldOff := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		l := e.engine.Load()
		e.metrics.Queued.Set(int64(l.Queued))
		e.metrics.Running.Set(int64(l.Running))
		e.metrics.Slots.Set(int64(l.Slots))
		e.metrics.Jobs.Set(int64(l.Jobs))
		e.metrics.HeldOff.Add(int64(l.HeldOff - heldOff))
		heldOff = l.HeldOff
		e.metrics.ListAge.Set(e.listAge().Milliseconds())
		select {
		case <-e.serving:
			e.metrics.Connections.Set(int64(e.server.Connections()))
		default:
		}
	}
}

// listAge returns the time since the last good read of the instance list, or since the start if there was none.
func (e *Entry) listAge() time.Duration {
	if at := e.listRead.Load(); at != nil {
		return e.clock.Since(*at)
	}
	return e.clock.Since(e.started)
}

// firstRefusal and lastRefusal bound the codes of requests that are refused.
const (
	firstRefusal = result.MalformedHTTP
	lastRefusal  = result.TaskFailed - 1
)

func countRefusal(m *metric.Set, code result.Code) {
	if code >= firstRefusal && code <= lastRefusal {
		m.Refusals.Add(code)
	}
}

// controlKinds are the messages between instances that carry no request, task, output or answer.
var controlKinds = map[peer.Method]metric.Kind{
	peer.Heartbeat: metric.ControlHeartbeats, peer.TeamUsage: metric.ControlUsage,
	peer.Backlog: metric.ControlSharing, peer.Grant: metric.ControlSharing, peer.GrantReturn: metric.ControlSharing,
	peer.DelegateStop: metric.ControlSharing,
	peer.Claim:        metric.ControlHandover, peer.Handover: metric.ControlHandover, peer.ConfigFetch: metric.ControlConfig,
}

func (e *Entry) countPeer(m peer.Method, bytes int) {
	if kind, ok := controlKinds[m]; ok {
		e.metrics.ControlBytes.Add(kind, int64(bytes))
	}
}

// web returns the options of an adapter whose calls count as control messages of a kind.
func (e *Entry) web(kind metric.Kind) httpx.Options {
	return httpx.Options{Zone: e.opts.Zone, CountControlBytes: func(n int) { e.metrics.ControlBytes.Add(kind, int64(n)) }}
}

// watchedList notes the good reads of the instance list.
type watchedList struct {
	platform.InstanceList
	e *Entry
}

func (e *Entry) watchList(l platform.InstanceList) platform.InstanceList { return watchedList{l, e} }

// Instances implements platform.InstanceList.
func (l watchedList) Instances(ctx context.Context) ([]platform.Instance, error) {
	list, err := l.InstanceList.Instances(ctx)
	if err == nil {
		now := l.e.clock.Now()
		l.e.listRead.Store(&now)
	}
	return list, err
}

// watchedLog counts the failed calls of the log service.
type watchedLog struct {
	platform.Log
	errors *metric.Counter
}

// Append implements platform.Log.
func (l watchedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	offset, err := l.Log.Append(ctx, stream, data)
	if err != nil {
		l.errors.Add(1)
	}
	return offset, err
}

// Read implements platform.Log. A read behind the log's bounds is answered and no error of the service.
func (l watchedLog) Read(ctx context.Context, stream string, from int64, limit int) (platform.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, limit)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		l.errors.Add(1)
	}
	return batch, err
}
