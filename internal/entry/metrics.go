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

// gaugeInterval is how often the gauges are updated. An update reads the latest summary that the engine has published,
// so it costs the engine nothing.
const gaugeInterval = 250 * time.Millisecond

// updateGauges updates the gauges every gaugeInterval until the context ends.
func (e *Entry) updateGauges(ctx context.Context) {
	ticker := e.clock.NewTicker(gaugeInterval)
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
		e.metrics.HeldOff.Add(int64(l.HoldOffs - heldOff))
		heldOff = l.HoldOffs
		e.metrics.InstanceListAgeMS.Set(e.listAge().Milliseconds())
		select {
		case <-e.serving:
			e.metrics.Connections.Set(int64(e.server.Connections()))
		default:
		}
	}
}

// listAge returns the time since the last successful read of the instance list, or since the start of the process if
// there was none.
func (e *Entry) listAge() time.Duration {
	if at := e.listRead.Load(); at != nil {
		return e.clock.Since(*at)
	}
	return e.clock.Since(e.started)
}

// firstRefusal and lastRefusal are the bounds of the result codes that count as refusals, both included.
const (
	firstRefusal = result.MalformedHTTP
	lastRefusal  = result.TaskFailed - 1
)

func countRefusal(m *metric.Set, code result.Code) {
	if code >= firstRefusal && code <= lastRefusal {
		m.Refusals.Add(code)
	}
}

// controlKinds maps the control messages between instances to their kinds in the control_bytes metric. Control messages
// carry no request, task, output or answer.
var controlKinds = map[peer.Method]metric.Kind{
	peer.Heartbeat: metric.ControlHeartbeats, peer.TeamUsage: metric.ControlUsage,
	peer.Backlog: metric.ControlSharing, peer.Grant: metric.ControlSharing, peer.GrantReturn: metric.ControlSharing,
	peer.DelegateStop: metric.ControlSharing,
	peer.Claim:        metric.ControlHandover, peer.Handover: metric.ControlHandover, peer.ConfigFetch: metric.ControlConfig,
}

// countPeer counts the bytes of a message between instances if it is a control message.
func (e *Entry) countPeer(m peer.Method, bytes int) {
	if kind, ok := controlKinds[m]; ok {
		e.metrics.ControlBytes.Add(kind, int64(bytes))
	}
}

// httpOptions returns the options of a platform adapter whose calls count as control messages of a kind.
func (e *Entry) httpOptions(kind metric.Kind) httpx.Options {
	return httpx.Options{Zone: e.opts.Zone, CountControlBytes: func(n int) { e.metrics.ControlBytes.Add(kind, int64(n)) }}
}

// listReadTracker records the time of each successful read of the instance list.
type listReadTracker struct {
	platform.InstanceList
	e *Entry
}

func (e *Entry) trackListReads(l platform.InstanceList) platform.InstanceList {
	return listReadTracker{l, e}
}

// Instances implements platform.InstanceList.
func (l listReadTracker) Instances(ctx context.Context) ([]platform.Instance, error) {
	list, err := l.InstanceList.Instances(ctx)
	if err == nil {
		now := l.e.clock.Now()
		l.e.listRead.Store(&now)
	}
	return list, err
}

// errorCountingLog counts the calls to the log service that fail.
type errorCountingLog struct {
	platform.Log
	errors *metric.Counter
}

// Append implements platform.Log.
func (l errorCountingLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	offset, err := l.Log.Append(ctx, stream, data)
	if err != nil {
		l.errors.Add(1)
	}
	return offset, err
}

// Read implements platform.Log. ErrTruncated is a valid answer to a read outside the log's bounds and is not counted.
func (l errorCountingLog) Read(ctx context.Context, stream string, from int64, limit int) (platform.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, limit)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		l.errors.Add(1)
	}
	return batch, err
}
