package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/platform"
)

// View is a snapshot of the controller's state.
type View struct {
	Self       identity.Home       `json:"self"`
	Draining   bool                `json:"draining"`
	Settled    bool                `json:"settled"`    // this instance may own workers
	Superseded bool                `json:"superseded"` // a newer incarnation exists, or this one is fenced
	Paused     bool                `json:"paused"`     // this process is recovering from a pause
	Members    []Member            `json:"members"`    // all peers, sorted by zone and name
	Instances  []platform.Instance `json:"instances"`
	ListAge    time.Duration       `json:"list_age_ns"` // time since the last successful read of the instance list; -1: none yet
	ListError  string              `json:"list_error,omitempty"`
	// Returns counts the events after which this instance and a peer of its zone may both have owned a worker, so that
	// ownership must be claimed again: returns of peers of the zone that were declared dead, and pauses of this process.
	Returns uint64 `json:"returns"`
}

// View returns a snapshot of the current state.
func (c *Controller) View() View {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	v := View{
		Self:       c.opts.Self,
		Draining:   c.draining,
		Settled:    c.settled,
		Superseded: c.superseded,
		Paused:     c.gate.paused.Load(),
		Instances:  c.list,
		ListAge:    -1,
		Returns:    c.returnCount,
	}
	if !c.listed.last.IsZero() {
		v.ListAge = now.Sub(c.listed.last)
	}
	if c.listed.lastErr != nil {
		v.ListError = c.listed.lastErr.Error()
	}
	for _, r := range c.members {
		m := r.Member
		if !r.lastHeard.IsZero() {
			m.SilentFor = now.Sub(r.lastHeard)
		}
		v.Members = append(v.Members, m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Instance, b.Instance))
	})
	return v
}

// Dump returns the view, for the operators' state dump.
func (c *Controller) Dump() any { return c.View() }

// Live returns the live members, draining ones included.
func (v View) Live() []Member {
	var live []Member
	for _, m := range v.Members {
		if m.Live() {
			live = append(live, m)
		}
	}
	return live
}

// Newest returns the live member with the highest configuration version. ok is false if none is above version.
func (v View) Newest(version uint64) (newest Member, ok bool) {
	for _, m := range v.Live() {
		if m.Version > max(version, newest.Version) {
			newest, ok = m, true
		}
	}
	return newest, ok
}

// LowestSchema returns the highest configuration schema that this instance and all live members support. own is the
// highest one that this instance supports.
func (v View) LowestSchema(own int) int {
	for _, m := range v.Live() {
		own = min(own, m.Schema)
	}
	return own
}
