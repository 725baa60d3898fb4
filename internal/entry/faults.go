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
	faultCutLog   = "cut_log"   // calls to the log hang
	faultCutList  = "cut_list"  // calls to the instance list hang
)

const argPeers = "peers"

// faults implements ops.Faults. A fault replaces the earlier one of its name.
type faults struct {
	node *peer.Node
	log  *cut
	list *cut

	mu     sync.Mutex
	active []opsapi.Fault
	ends   map[string]*time.Timer
}

func newFaults(node *peer.Node) *faults {
	return &faults{node: node, log: newCut(), list: newCut(), ends: map[string]*time.Timer{}}
}

// backend returns the operators' view of the faults, which is nil when they are disabled.
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

// Inject implements ops.Faults. A duration of 0 keeps the fault until Clear.
func (f *faults) Inject(fault opsapi.Fault) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault.DurationMS < 0 {
		return fmt.Errorf("duration_ms is %d, must be at least 0", fault.DurationMS)
	}
	if err := f.set(fault.Name, true, fault.Args[argPeers]); err != nil {
		return err
	}
	f.forget(fault.Name)
	f.active = append(f.active, fault)
	if fault.DurationMS > 0 {
		f.endAfter(fault.Name, time.Duration(fault.DurationMS)*time.Millisecond)
	}
	return nil
}

// endAfter ends a fault unless another one of its name has replaced it.
func (f *faults) endAfter(name string, d time.Duration) {
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ends[name] == timer {
			f.forget(name)
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
		f.forget(fault.Name)
		f.set(fault.Name, false, "")
	}
}

func (f *faults) forget(name string) {
	f.active = slices.DeleteFunc(f.active, func(a opsapi.Fault) bool { return a.Name == name })
	if t := f.ends[name]; t != nil {
		t.Stop()
		delete(f.ends, name)
	}
}

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
		return fmt.Errorf("fault %q is not known, must be %s, %s or %s", name, faultCutPeers, faultCutLog, faultCutList)
	}
	return nil
}

// cut makes the calls to a part of the platform hang, as a network does that silently loses packets.
type cut struct {
	mu     sync.Mutex
	on     bool
	opened chan struct{} // closed while there is no cut
}

func newCut() *cut {
	c := &cut{opened: make(chan struct{})}
	close(c.opened)
	return c
}

func (c *cut) set(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case on && !c.on:
		c.opened = make(chan struct{})
	case !on && c.on:
		close(c.opened)
	}
	c.on = on
}

// pass waits for the end of the cut. A call that waited until its context ended has had no effect.
func (c *cut) pass(ctx context.Context) error {
	c.mu.Lock()
	opened := c.opened
	c.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cutLog is the log service behind a cut.
type cutLog struct {
	platform.Log
	cut *cut
}

// Append implements platform.Log.
func (l cutLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := l.cut.pass(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return l.Log.Append(ctx, stream, data)
}

// Read implements platform.Log.
func (l cutLog) Read(ctx context.Context, stream string, from int64, limit int) (platform.Batch, error) {
	if err := l.cut.pass(ctx); err != nil {
		return platform.Batch{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return l.Log.Read(ctx, stream, from, limit)
}

// cutList is the instance list behind a cut.
type cutList struct {
	platform.InstanceList
	cut *cut
}

// Instances implements platform.InstanceList.
func (l cutList) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := l.cut.pass(ctx); err != nil {
		return nil, err
	}
	return l.InstanceList.Instances(ctx)
}
