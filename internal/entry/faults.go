package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
)

// Names of the faults that operators can inject with --enable-faults.
const (
	faultCutPeers = "cut_peers" // argument "peers": zones and ZONE/INSTANCE names, separated by commas
	faultCutLog   = "cut_log"   // calls to the log service hang
	faultCutList  = "cut_list"  // calls to the instance list hang
)

const argPeers = "peers"

// faults implements ops.Faults. Injecting a fault replaces an active one of the same name.
type faults struct {
	node *peer.Node
	log  *cut
	list *cut

	mu     sync.Mutex
	active []opsapi.Fault
	ends   map[string]*time.Timer // timers that end the faults with a duration, by name of the fault
}

func newFaults(node *peer.Node) *faults {
	return &faults{node: node, log: newCut(), list: newCut(), ends: map[string]*time.Timer{}}
}

// backend returns the faults for the operators' interface, or nil if fault injection is disabled.
func (f *faults) backend(enabled bool) ops.Faults {
	if !enabled {
		return nil
	}
	return f
}

// Active implements ops.Faults.
func (f *faults) Active() []opsapi.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.active)
}

// Inject implements ops.Faults. A fault with duration_ms 0 lasts until Clear.
func (f *faults) Inject(fault opsapi.Fault) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault.DurationMS < 0 {
		return fmt.Errorf("duration_ms is %d, must be at least 0", fault.DurationMS)
	}
	if err := f.set(fault.Name, true, fault.Args[argPeers]); err != nil {
		return err
	}
	f.remove(fault.Name)
	f.active = append(f.active, fault)
	if fault.DurationMS > 0 {
		f.endAfter(fault.Name, time.Duration(fault.DurationMS)*time.Millisecond)
	}
	return nil
}

// endAfter ends a fault after d, unless another one of the same name has replaced it by then.
func (f *faults) endAfter(name string, d time.Duration) {
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ends[name] == timer {
			f.remove(name)
			f.set(name, false, "")
		}
	})
	f.ends[name] = timer
}

// Clear implements ops.Faults.
func (f *faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range slices.Clone(f.active) {
		f.remove(fault.Name)
		f.set(fault.Name, false, "")
	}
}

// remove deletes a fault from the list of active ones and stops its timer. It does not end the fault's effect.
func (f *faults) remove(name string) {
	f.active = slices.DeleteFunc(f.active, func(a opsapi.Fault) bool { return a.Name == name })
	if t := f.ends[name]; t != nil {
		t.Stop()
		delete(f.ends, name)
	}
}

// set switches the effect of a fault on or off. peers is the argument of cut_peers; an empty one removes the cut.
func (f *faults) set(name string, on bool, peers string) error {
	switch name {
	case faultCutPeers:
		rule, err := peer.ParseCut(peers)
		if err != nil {
			return err
		}
		return f.node.SetCut(rule)
	case faultCutLog:
		f.log.set(on)
	case faultCutList:
		f.list.set(on)
	default:
		return fmt.Errorf("unknown fault %q, must be %s, %s or %s", name, faultCutPeers, faultCutLog, faultCutList)
	}
	return nil
}

// cut makes calls to a service of the platform hang, as on a network that drops all packets.
type cut struct {
	mu       sync.Mutex
	on       bool
	restored chan struct{} // closed while there is no cut
}

func newCut() *cut {
	c := &cut{restored: make(chan struct{})}
	close(c.restored)
	return c
}

func (c *cut) set(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case on && !c.on:
		c.restored = make(chan struct{})
	case !on && c.on:
		close(c.restored)
	}
	c.on = on
}

// wait blocks while the cut is on. If it returns an error, the context has ended and the call must not be made.
func (c *cut) wait(ctx context.Context) error {
	c.mu.Lock()
	restored := c.restored
	c.mu.Unlock()
	select {
	case <-restored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cutLog is a log service whose calls hang while the cut is on.
type cutLog struct {
	platform.Log
	cut *cut
}

// Append implements platform.Log.
func (l cutLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := l.cut.wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return l.Log.Append(ctx, stream, data)
}

// Read implements platform.Log.
func (l cutLog) Read(ctx context.Context, stream string, from int64, limit int) (platform.Batch, error) {
	if err := l.cut.wait(ctx); err != nil {
		return platform.Batch{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return l.Log.Read(ctx, stream, from, limit)
}

// cutList is an instance list whose calls hang while the cut is on.
type cutList struct {
	platform.InstanceList
	cut *cut
}

// Instances implements platform.InstanceList.
func (l cutList) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := l.cut.wait(ctx); err != nil {
		return nil, err
	}
	return l.InstanceList.Instances(ctx)
}
