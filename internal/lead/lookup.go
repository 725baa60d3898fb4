package lead

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
)

const (
	// ownLookUpInterval and otherLookUpInterval are the pauses between regular look-ups of the dispatchers of this
	// instance's zone and of another zone. When a dispatcher is lost or has changed, Search triggers a look-up sooner.
	ownLookUpInterval   = 5 * time.Second
	otherLookUpInterval = 10 * time.Second
	// ownSearchInterval is the pause between look-ups while a dispatcher of this instance's zone is unknown or
	// unreachable, and after Leave.
	ownSearchInterval = 150 * time.Millisecond
	// otherSearchInterval is the pause between look-ups of another zone while no dispatcher of it is known, and the shortest
	// pause for Search. It is longer than ownSearchInterval, since the zone may be cut off.
	otherSearchInterval = time.Second
)

// Dispatcher returns the address of the instance that holds a zone's partition, or "" if it is not known.
func (c *Controller) Dispatcher(zone string, partition int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if zone == c.opts.Zone && c.term.Holds(partition) {
		return c.opts.Address
	}
	holder := c.holders[zone][partition]
	if holder == c.member() {
		return "" // according to the store, but this instance has no term for it yet
	}
	return addressOf(holder)
}

// Follow keeps the addresses of the zones' dispatchers up to date until ctx ends. settled reports whether all dispatchers of
// this instance's zone are known and can be reached.
func (c *Controller) Follow(ctx context.Context, zones []string, settled func() bool) {
	last := map[string]time.Time{}
	for ctx.Err() == nil {
		unsettled := !settled()
		for _, zone := range zones {
			if time.Since(last[zone]) < c.lookUpPause(zone, unsettled) {
				continue
			}
			c.lookUp(ctx, zone)
			last[zone] = time.Now()
		}
		pause.For(ctx, c.searchPause(), c.lookUpNow)
	}
}

// lookUpPause returns the pause between the last look-up of a zone's dispatchers and the next one.
func (c *Controller) lookUpPause(zone string, unsettled bool) time.Duration {
	hosts := c.hosts(zone)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch own, lookUpSoon := zone == c.opts.Zone, c.lookUpSoon[zone]; {
	case own && lookUpSoon:
		return 0
	case own && (unsettled || c.hasLeft):
		return c.searchPause()
	case own:
		return ownLookUpInterval
	case hosts:
		return hostLookUpPause(!lookUpSoon && len(c.holders[zone]) > 0)
	case lookUpSoon, len(c.holders[zone]) == 0, !c.vacancies[zone].since.IsZero(), time.Since(c.lostAt[zone]) < c.lostMemory():
		return otherSearchInterval
	}
	return otherLookUpInterval
}

// searchPause returns the pause between look-ups while a dispatcher of this instance's zone is unknown or unreachable. It is shorter just
// after the start, since callers' first requests wait for the dispatchers then, and all instances may have started together.
func (c *Controller) searchPause() time.Duration {
	if time.Since(c.started) < settleTime {
		return settleInterval
	}
	return ownSearchInterval
}

func (c *Controller) lookUp(ctx context.Context, zone string) {
	c.mu.Lock()
	delete(c.lookUpSoon, zone)
	c.mu.Unlock()
	begun := time.Now()
	owners, err := c.opts.Store.Owners(ctx, c.opts.Topic(zone))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.vacancies, zone) // memberships may end during an outage of the store
		return                    // join logs failures of the store; the last addresses stay
	}
	holders := map[int]string{}
	for _, o := range owners {
		holders[o.Partition] = o.Member
	}
	c.noteVacancy(zone, holders, begun)
	if zone == c.opts.Zone {
		c.lookedUpAt = begun
		c.leaveAgain(ctx, holders)
	}
	if !maps.Equal(holders, c.holders[zone]) {
		c.opts.Log.WithFields(logrus.Fields{"event": "dispatchers", "zone": zone, "members": members(holders)}).
			Info("the zone's dispatchers changed")
	}
	c.holders[zone] = holders
}

// leaveAgain ends the membership once more if this instance has left and is a member again. This happens when a join is
// delayed, for example on a connection that was interrupted, and carried out after the leave. c.mu is held.
func (c *Controller) leaveAgain(ctx context.Context, holders map[int]string) {
	if !c.hasLeft || !slices.Contains(slices.Collect(maps.Values(holders)), c.member()) {
		return
	}
	c.opts.Log.WithField("event", "member_again").Warn("a delayed join has made this instance a member again; leaving once more")
	go c.leave(ctx)
}

func members(holders map[int]string) []string {
	all := slices.Collect(maps.Values(holders))
	slices.Sort(all)
	return slices.Compact(all)
}
