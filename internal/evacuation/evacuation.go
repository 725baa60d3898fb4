// Package evacuation holds which availability zones the operators have evacuated: their endpoints get no new runs until the evacuation is
// taken back. It does no I/O; docs/design/evacuation.md describes the whole feature.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// State tells whether runs may start in a zone.
type State int

// The states.
const (
	Open      State = iota // the zone is not evacuated
	Evacuated              // the operators have evacuated the zone
	Unknown                // the operators' records have not been read yet, and the zone may be evacuated
)

// Record is what a read tells of the record of one zone.
type Record struct {
	Zone string
	// Present is true if the zone is to be evacuated, false if the record was removed.
	Present bool
	// Unreadable means that the record exists and cannot be decoded. It changes nothing.
	Unreadable bool
}

// Read is the result of one successful read of the operators' records.
type Read struct {
	Records []Record
	// Complete means that a zone without a record in the read has none. Otherwise the records are those written since the last read.
	Complete bool
}

// Change is what a read has changed, with zones in alphabetical order.
type Change struct {
	Begun      []string // zones that are evacuated now
	Ended      []string // zones whose evacuation was taken back
	Foreign    []string // zones of records that have appeared and that are no zones of the deployment
	Unreadable []string // zones of records that cannot be decoded
}

// Options configures Zones.
type Options struct {
	Zones []string // all zones of the deployment
	// FirstReadLimit is how long after the start runs wait for the first read of the operators' records; 0 if they do not wait.
	FirstReadLimit time.Duration
	Now            func() time.Duration // time since the start of the process
}

// Zones holds the evacuated zones. It is safe for concurrent use. A nil *Zones stands for a deployment without evacuations.
type Zones struct {
	opts      Options
	evacuated atomic.Pointer[map[string]bool] // never changed after it was stored; nil before the first read

	mu      sync.Mutex // held by Apply
	foreign map[string]bool
}

// New returns zones of whose records nothing has been read.
func New(o Options) *Zones { return &Zones{opts: o, foreign: map[string]bool{}} }

// Apply records the result of a read.
func (z *Zones) Apply(r Read) Change {
	z.mu.Lock()
	defer z.mu.Unlock()
	before := z.current()
	after, foreign := maps.Clone(before), z.foreign
	if r.Complete {
		after, foreign = map[string]bool{}, map[string]bool{}
	}
	var c Change
	for _, record := range r.Records {
		zone := record.Zone
		switch {
		case record.Unreadable:
			c.Unreadable = append(c.Unreadable, zone)
			set(after, zone, before[zone])
		case !slices.Contains(z.opts.Zones, zone):
			if record.Present && !z.foreign[zone] {
				c.Foreign = append(c.Foreign, zone)
			}
			set(foreign, zone, record.Present)
		default:
			set(after, zone, record.Present)
		}
	}
	z.foreign = foreign
	z.evacuated.Store(&after)
	c.Begun, c.Ended = missingIn(before, after), missingIn(after, before)
	slices.Sort(c.Foreign)
	slices.Sort(c.Unreadable)
	return c
}

// current returns the evacuated zones, which must not be changed.
func (z *Zones) current() map[string]bool {
	if now := z.evacuated.Load(); now != nil {
		return *now
	}
	return map[string]bool{}
}

func set(zones map[string]bool, zone string, present bool) {
	if present {
		zones[zone] = true
		return
	}
	delete(zones, zone)
}

// missingIn returns the zones of all that are not among some, sorted.
func missingIn(some, all map[string]bool) []string {
	var missing []string
	for zone := range all {
		if !some[zone] {
			missing = append(missing, zone)
		}
	}
	slices.Sort(missing)
	return missing
}

// Of returns the state of a zone. It takes no lock.
func (z *Zones) Of(zone string) State {
	if z == nil {
		return Open
	}
	now := z.evacuated.Load()
	switch {
	case now != nil && (*now)[zone]:
		return Evacuated
	case now == nil && z.opts.FirstReadLimit > 0 && z.opts.Now() < z.opts.FirstReadLimit:
		return Unknown
	}
	return Open
}

// Evacuated reports whether a zone is known to be evacuated.
func (z *Zones) Evacuated(zone string) bool { return z.Of(zone) == Evacuated }

// Status is the state for operators.
type Status struct {
	Known   bool     `json:"known"`             // the operators' records have been read
	Zones   []string `json:"zones,omitempty"`   // evacuated zones
	Foreign []string `json:"foreign,omitempty"` // zones of records that are no zones of the deployment
}

// Status returns the state for operators.
func (z *Zones) Status() Status {
	z.mu.Lock()
	defer z.mu.Unlock()
	return Status{
		Known: z.evacuated.Load() != nil, Zones: slices.Sorted(maps.Keys(z.current())), Foreign: slices.Sorted(maps.Keys(z.foreign)),
	}
}
