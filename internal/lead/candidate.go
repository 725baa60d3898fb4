package lead

import (
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// strongCapacity is the capacity from which an instance joins its group at once.
	strongCapacity = 2
	// minPatience and extraPatience are how long the members of a zone must lack capacity before a weaker instance joins them:
	// minPatience and a random part of extraPatience. Strong instances join meanwhile, and not all weaker ones at once. For a
	// group without members it is a random part of maxEmptyPatience.
	minPatience      = 600 * time.Millisecond
	extraPatience    = 1500 * time.Millisecond
	maxEmptyPatience = 500 * time.Millisecond
	// minSparePatience takes the place of minPatience if the members lack only spare capacity. A member that joins makes the store deal
	// the partitions anew, and jobs that have started at those that move wait for the end of leases. This must not happen in the seconds after
	// a restart of all instances or a loss, when demand has piled up.
	minSparePatience = 6 * time.Second
	// maxLookUpAge is how old the knowledge of the members may be when an instance decides to join them.
	maxLookUpAge = 200 * time.Millisecond
)

// capacityOf returns the capacity in a member's name, 1 if it holds none.
func capacityOf(member string) int {
	parts := strings.Split(member, memberSeparator)
	if len(parts) < 3 {
		return 1
	}
	capacity, err := strconv.Atoi(parts[len(parts)-2])
	if err != nil || capacity < 1 {
		return 1
	}
	return capacity
}

// Candidate reports whether this instance is a member of its zone's group or is about to join it.
func (c *Controller) Candidate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCandidate()
}

// isCandidate decides whether this instance is to be a member. Once it is, it stays one. c.mu is held.
func (c *Controller) isCandidate() bool {
	if c.candidate {
		return true
	}
	capacity, known := c.membersCapacity()
	switch {
	case c.opts.CapacityNeeded == nil || c.opts.Capacity >= strongCapacity && !c.opts.Substitute:
	case !known:
		return false
	case capacity >= c.opts.CapacityNeeded():
		c.lackingSince = time.Time{}
		return false
	case time.Since(c.noteLack(capacity)) < c.patienceFor(capacity):
		return false
	case time.Since(c.lookedUpAt) > maxLookUpAge: // others may have joined meanwhile
		c.lookUpSoon[c.opts.Zone] = true
		notify(c.lookUpNow)
		return false
	}
	c.candidate = true
	if c.opts.OnCandidate != nil {
		c.opts.OnCandidate()
	}
	c.opts.Log.WithFields(logrus.Fields{"event": "candidate", "capacity": c.opts.Capacity, "members_capacity": capacity}).
		Info("this instance is to be a member of its zone's group")
	return true
}

// noteLack returns since when the members' capacity has been too low as it is now: below what is in use, or below what is to be spare. c.mu
// is held.
func (c *Controller) noteLack(capacity int) time.Time {
	if spare := c.lacksSpareOnly(capacity); c.lackingSince.IsZero() || c.lackingSpare != spare {
		c.lackingSince, c.lackingSpare = time.Now(), spare
	}
	return c.lackingSince
}

// lacksSpareOnly reports whether members with a capacity that is too low have what the partitions need.
func (c *Controller) lacksSpareOnly(capacity int) bool {
	return c.opts.CapacityInUse != nil && capacity >= c.opts.CapacityInUse()
}

// patienceFor returns how long this instance waits before it joins members with a capacity that is too low. c.mu is held.
func (c *Controller) patienceFor(capacity int) time.Duration {
	switch {
	case capacity == 0: // nobody dispatches for the zone
		return c.emptyPatience
	case c.lacksSpareOnly(capacity):
		return c.sparePatience
	}
	return c.patience
}

// membersCapacity returns the sum of the capacities of the members of this instance's zone that hold partitions. Substitutes leave once
// the zone's own instances join, so they count for other substitutes only. known is false until the members have been looked up. c.mu is
// held.
func (c *Controller) membersCapacity() (sum int, known bool) {
	holders, known := c.holders[c.opts.Zone]
	for _, member := range members(holders) {
		if c.opts.Substitute || !isSubstitute(member) {
			sum += capacityOf(member)
		}
	}
	return sum, known
}
