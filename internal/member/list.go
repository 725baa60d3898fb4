package member

import (
	"context"
	"slices"
	"time"

	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/platform"
)

// listDueLocked reports whether a read of the instance list is due, and schedules the next one if so.
func (c *Controller) listDueLocked(now time.Time) bool {
	if now.Before(c.listed.next) || c.reading.Load() {
		return false
	}
	c.listed.next = now.Add(ListInterval)
	return true
}

// readList reads the instance list and applies its content. started is when the read was begun.
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
	c.applyListLocked(list, now)
}

// record records a successful read that began at started and ended at now.
func (l *listReads) record(started, now time.Time) {
	if l.last.IsZero() || now.Sub(l.last) > MaxListGap {
		l.since = now
	}
	l.last, l.lastStarted = now, started
}

// applyListLocked applies the content of the instance list. Members that it does not contain are kept, since the list
// lags; expireLocked removes them once they are silent.
func (c *Controller) applyListLocked(list []platform.Instance, now time.Time) {
	for _, r := range c.members {
		r.listed = false
	}
	for i := range list {
		if list[i].Kind == platform.KindEntry {
			c.applyEntryLocked(&list[i])
		}
	}
	for _, r := range c.members {
		r.updateAbsence(c.listed.since, now)
	}
	if !slices.Equal(c.list, list) {
		c.list = list
		c.pending = append(c.pending, Event{Kind: ListChanged})
	}
}

func (c *Controller) applyEntryLocked(i *platform.Instance) {
	k := key{i.Zone, i.Name}
	if c.isSelf(k) {
		c.supersedeLocked(i.Incarnation)
		return
	}
	r := c.record(k)
	r.listed = true
	r.absentSince = time.Time{}
	if i.Incarnation > r.Incarnation && !r.lastHeard.IsZero() && r.Live() {
		r.Status = Dead // a newer incarnation has replaced the one that sent heartbeats
		c.emitLocked(Died, r)
	}
	if i.Incarnation > r.Incarnation {
		r.Incarnation = i.Incarnation
		r.Status, r.lastHeard = Unheard, time.Time{}
		r.lastAcked, r.lastSeq = 0, 0
	}
	if i.Incarnation == r.Incarnation && i.Address != "" && !r.Live() {
		r.Addr = i.Address
	}
	r.leavingIncarnation = 0
	if i.State == platform.StateLeaving {
		r.leavingIncarnation = i.Incarnation
	}
	if r.leavingIncarnation != 0 && r.leavingIncarnation == r.Incarnation && !r.Draining {
		r.Draining = true
		c.emitLocked(Changed, r)
	}
}

// updateAbsence updates the time since which the lists have not contained the member. The absence starts at the first
// list without the member. If reads were interrupted since then, it starts at the first read after the interruption.
func (r *record) updateAbsence(readableSince, now time.Time) {
	switch {
	case r.listed:
		r.absentSince = time.Time{}
	case r.absentSince.IsZero():
		r.absentSince = now
	case r.absentSince.Before(readableSince):
		r.absentSince = readableSince
	}
}

// Home returns the status of the home of an identity, and its address if one is known. The address is empty for this
// instance itself.
func (c *Controller) Home(h identity.Home) (status HomeStatus, addr string) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := key{h.Zone, h.Instance}
	if c.isSelf(k) {
		return c.ownHomeStatus(h.Incarnation), ""
	}
	r := c.members[k]
	switch {
	case r == nil:
		return c.absentHomeStatusLocked(k.zone, c.listed.since, now), ""
	case r.Incarnation > h.Incarnation:
		return HomeDead, ""
	case r.Incarnation == h.Incarnation && r.Live():
		return HomeLive, r.Addr
	case r.absentSince.IsZero():
		return HomeUnreachable, r.Addr
	case r.absentSince.After(r.lastHeard):
		return c.absentHomeStatusLocked(k.zone, r.absentSince, now), r.Addr
	}
	return c.absentHomeStatusLocked(k.zone, r.lastHeard, now), r.Addr
}

func (c *Controller) ownHomeStatus(incarnation uint64) HomeStatus {
	switch {
	case incarnation == c.opts.Self.Incarnation:
		return HomeSelf
	case incarnation < c.opts.Self.Incarnation:
		return HomeDead
	}
	return HomeUnreachable // issued by a later incarnation of this instance
}

// requiredAbsenceLocked returns how long the list must have lacked a home in a zone before the home counts as dead.
func (c *Controller) requiredAbsenceLocked(zone string) time.Duration {
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

// absentHomeStatusLocked returns the status of a home that has been silent and absent from the list since a time. It is
// HomeDead only if the list was continuously readable for the required absence and its last read is recent, otherwise
// HomeUnreachable.
func (c *Controller) absentHomeStatusLocked(zone string, since, now time.Time) HomeStatus {
	l := &c.listed
	if l.last.IsZero() || since.IsZero() || now.Sub(l.last) > MaxListGap {
		return HomeUnreachable
	}
	if since.Before(l.since) {
		since = l.since
	}
	if l.last.Sub(since) >= c.requiredAbsenceLocked(zone) {
		return HomeDead
	}
	return HomeUnreachable
}
