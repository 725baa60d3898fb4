package member

import (
	"context"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/platform"
)

func (c *Controller) listDueLocked(now time.Time) bool {
	if now.Before(c.listed.next) || c.reading.Load() {
		return false
	}
	c.listed.next = now.Add(ListInterval)
	return true
}

func (c *Controller) readList(ctx context.Context, started time.Time) {
	defer c.reading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, ListTimeout)
	defer cancel()
	list, err := c.opts.List.Instances(ctx)
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.deliver()
	defer c.mu.Unlock()
	c.listed.lastErr = err
	if err != nil {
		return
	}
	c.listed.record(started, now)
	c.foldLocked(list, now)
}

func (l *listReads) record(started, now time.Time) {
	if l.last.IsZero() || now.Sub(l.last) > MaxListGap {
		l.since = now
	}
	l.last, l.lastStarted = now, started
}

// foldLocked takes over a list. Members that it lacks stay while they are heard, since the list lags.
func (c *Controller) foldLocked(list []platform.Instance, now time.Time) {
	for _, r := range c.members {
		r.listed = false
	}
	for i := range list {
		if list[i].Kind == platform.KindEntry {
			c.foldEntryLocked(&list[i])
		}
	}
	for _, r := range c.members {
		r.countAbsence(c.listed.since, now)
	}
	if !slices.Equal(c.list, list) {
		c.list = list
		c.pending = append(c.pending, Event{Kind: ListChanged})
	}
}

func (c *Controller) foldEntryLocked(i *platform.Instance) {
	k := key{i.Zone, i.Name}
	if c.isSelf(k) {
		c.supersedeLocked(i.Incarnation)
		return
	}
	r := c.record(k)
	r.listed = true
	r.absentSince = time.Time{}
	if i.Incarnation > r.Incarnation && !r.heard.IsZero() && r.Live() {
		r.Status = Dead // the incarnation that was heard is over
		c.emitLocked(Died, r)
	}
	if i.Incarnation > r.Incarnation {
		r.Incarnation = i.Incarnation
		r.Status, r.heard = Unheard, time.Time{}
		r.acked, r.seen = 0, 0
	}
	if i.Incarnation == r.Incarnation && i.Address != "" && !r.Live() {
		r.Addr = i.Address
	}
	r.leaving = 0
	if i.State == platform.StateLeaving {
		r.leaving = i.Incarnation
	}
	if r.leaving != 0 && r.leaving == r.Incarnation && !r.Draining {
		r.Draining = true
		c.emitLocked(Changed, r)
	}
}

// countAbsence starts the absence at the first list without the member, and again where reads were interrupted.
func (r *record) countAbsence(readableSince, now time.Time) {
	switch {
	case r.listed:
		r.absentSince = time.Time{}
	case r.absentSince.IsZero():
		r.absentSince = now
	case r.absentSince.Before(readableSince):
		r.absentSince = readableSince
	}
}

// Home returns what is known of the home of an identity and the address that it is reached at.
func (c *Controller) Home(h identity.Home) (status HomeStatus, addr string) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{h.Zone, h.Instance}
	if c.isSelf(k) {
		return c.ownHome(h.Incarnation), ""
	}
	r := c.members[k]
	switch {
	case r == nil:
		return c.absentLocked(k.zone, c.listed.since, now), ""
	case r.Incarnation > h.Incarnation:
		return HomeDead, ""
	case r.Incarnation == h.Incarnation && r.Live():
		return HomeLive, r.Addr
	case r.absentSince.IsZero():
		return HomeUnreachable, r.Addr
	case r.absentSince.After(r.heard):
		return c.absentLocked(k.zone, r.absentSince, now), r.Addr
	}
	return c.absentLocked(k.zone, r.heard, now), r.Addr
}

func (c *Controller) ownHome(incarnation uint64) HomeStatus {
	switch {
	case incarnation == c.opts.Self.Incarnation:
		return HomeSelf
	case incarnation < c.opts.Self.Incarnation:
		return HomeDead
	}
	return HomeUnreachable // issued by a later life of this instance
}

// absenceLocked returns how long the list must have lacked a home of a zone before it counts as dead.
func (c *Controller) absenceLocked(zone string) time.Duration {
	if zone == c.opts.Self.Zone {
		return AbsentAfter
	}
	for k, r := range c.members {
		if k.zone == zone && r.Live() {
			return AbsentAfter
		}
	}
	return SilentZoneAbsentAfter
}

// absentLocked decides on a home that the list has not contained since a time. The last read must confirm the
// whole of the required absence, and must itself be recent.
func (c *Controller) absentLocked(zone string, since, now time.Time) HomeStatus {
	l := &c.listed
	if l.last.IsZero() || since.IsZero() || now.Sub(l.last) > MaxListGap {
		return HomeUnreachable
	}
	if since.Before(l.since) {
		since = l.since
	}
	if l.last.Sub(since) >= c.absenceLocked(zone) {
		return HomeDead
	}
	return HomeUnreachable
}
