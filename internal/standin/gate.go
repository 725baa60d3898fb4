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

// The kinds of outage, values of GateFault.Outage.
const (
	OutageRefuse = "refuse" // every call is answered with status 503
	OutageDrop   = "drop"   // the connection is closed without a response
	OutageHang   = "hang"   // the call hangs: no response until faults are set again; then the connection is closed
)

// GateFault describes the faults that the log service and the instance list have in common. A call during an outage is
// not carried out, nor is one from an availability zone that CutZones lists.
type GateFault struct {
	Outage   string   `json:"outage,omitempty"`    // one of the kinds of outage; empty for none
	SlowMS   int64    `json:"slow_ms,omitempty"`   // delay in ms before a call is carried out
	CutZones []string `json:"cut_zones,omitempty"` // calls whose header names one of these availability zones hang as with OutageHang
}

// Check returns an error if a value is invalid.
func (f *GateFault) Check() error {
	if !slices.Contains([]string{"", OutageRefuse, OutageDrop, OutageHang}, f.Outage) {
		return fmt.Errorf("outage is %q, must be empty, %s, %s or %s", f.Outage, OutageRefuse, OutageDrop, OutageHang)
	}
	if f.SlowMS < 0 {
		return fmt.Errorf("slow_ms is %d, must be at least 0", f.SlowMS)
	}
	return nil
}

// Gate applies a GateFault to calls.
type Gate struct {
	clock clockwork.Clock

	mu      sync.Mutex
	fault   GateFault
	changed chan struct{} // closed and replaced each time the faults are set
	hanging int           // number of calls that hang now
}

// NewGate returns a gate without faults.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: clock, changed: make(chan struct{})}
}

// Set replaces the faults. It ends all hanging calls by closing their connections.
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

// HangingCalls returns the number of calls that hang at present.
func (g *Gate) HangingCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hanging
}

// hang blocks until the faults are set again or the server closes.
func (g *Gate) hang(changed, closed <-chan struct{}) {
	g.addHanging(1)
	defer g.addHanging(-1)
	select {
	case <-changed:
	case <-closed:
	}
}

func (g *Gate) addHanging(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hanging += n
}

// Pass applies the faults to a call. It returns true if the caller is to carry out the call, and false if Pass has
// already refused the call or dropped its connection. closed is the channel of Server.Closed.
func (g *Gate) Pass(ctx *fasthttp.RequestCtx, closed <-chan struct{}) bool {
	zone := string(ctx.Request.Header.Peek(httpx.HeaderZone))
	g.mu.Lock()
	f, changed := g.fault, g.changed
	g.mu.Unlock()
	switch {
	case f.Outage == OutageHang || slices.Contains(f.CutZones, zone):
		g.hang(changed, closed)
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

// delay waits for d. If the server closes earlier, delay drops the connection and returns false.
func (g *Gate) delay(ctx *fasthttp.RequestCtx, d time.Duration, closed <-chan struct{}) bool {
	select {
	case <-g.clock.After(d):
		return true
	case <-closed:
		Drop(ctx)
		return false
	}
}
