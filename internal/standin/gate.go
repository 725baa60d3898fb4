package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform/httpx"
)

// The kinds of outage.
const (
	OutageRefuse = "refuse" // every call is answered 503
	OutageDrop   = "drop"   // the connection is closed without a response
	OutageHang   = "hang"   // there is no response until the outage ends; then the connection is closed
)

// GateFault holds the faults that the log service and the instance list have in common. A call under an outage or
// from a cut zone has no effect.
type GateFault struct {
	Outage   string   `json:"outage,omitempty"`    // one of the kinds of outage, or empty
	SlowMS   int64    `json:"slow_ms,omitempty"`   // delay before a call takes effect
	CutZones []string `json:"cut_zones,omitempty"` // calls that name one of these zones hang as in OutageHang
}

// Check returns the problems of a fault.
func (f *GateFault) Check() error {
	if !slices.Contains([]string{"", OutageRefuse, OutageDrop, OutageHang}, f.Outage) {
		return fmt.Errorf("outage is %q, must be empty, %s, %s or %s", f.Outage, OutageRefuse, OutageDrop, OutageHang)
	}
	if f.SlowMS < 0 {
		return fmt.Errorf("slow_ms is %d, must be at least 0", f.SlowMS)
	}
	return nil
}

// Gate lets calls pass or applies faults to them.
type Gate struct {
	clock clockwork.Clock

	mu      sync.Mutex
	fault   GateFault
	changed chan struct{}
	held    int
}

// NewGate returns a gate without faults.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: clock, changed: make(chan struct{})}
}

// Set replaces the faults.
func (g *Gate) Set(f GateFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
	close(g.changed)
	g.changed = make(chan struct{})
}

// Fault returns the faults in force.
func (g *Gate) Fault() GateFault {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault
}

// HangingCalls returns the number of calls that hang now.
func (g *Gate) HangingCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// hold keeps a call until the faults change.
func (g *Gate) hold(changed, closed <-chan struct{}) {
	g.addHeld(1)
	defer g.addHeld(-1)
	select {
	case <-changed:
	case <-closed:
	}
}

func (g *Gate) addHeld(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held += n
}

// Pass applies the faults to a call. It returns false when it has settled the call itself.
func (g *Gate) Pass(ctx *fasthttp.RequestCtx, closed <-chan struct{}) bool {
	zone := string(ctx.Request.Header.Peek(httpx.HeaderZone))
	g.mu.Lock()
	f, changed := g.fault, g.changed
	g.mu.Unlock()
	switch {
	case f.Outage == OutageHang || slices.Contains(f.CutZones, zone):
		g.hold(changed, closed)
		Drop(ctx)
		return false
	case f.Outage == OutageDrop:
		Drop(ctx)
		return false
	case f.Outage == OutageRefuse:
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return false
	}
	if f.SlowMS > 0 {
		return g.delay(ctx, time.Duration(f.SlowMS)*time.Millisecond, closed)
	}
	return true
}

func (g *Gate) delay(ctx *fasthttp.RequestCtx, d time.Duration, closed <-chan struct{}) bool {
	select {
	case <-g.clock.After(d):
		return true
	case <-closed:
		Drop(ctx)
		return false
	}
}
