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
	patience := c.patience
	if capacity == 0 { // nobody dispatches for the zone
		patience = c.emptyPatience
	}
	switch {
	case c.opts.CapacityNeeded == nil || c.opts.Capacity >= strongCapacity && !c.opts.Substitute:
	case !known:
		return false
	case capacity >= c.opts.CapacityNeeded():
		c.lackingSince = time.Time{}
		return false
	case c.lackingSince.IsZero():
		c.lackingSince = time.Now()
		return false
	case time.Since(c.lackingSince) < patience:
		return false
	case time.Since(c.lookedUpAt) > maxLookUpAge: // others may have joined meanwhile
		c.lookUpSoon[c.opts.Zone] = true
		notify(c.lookUpNow)
		return false
	}
	c.candidate = true
	c.opts.Log.WithFields(logrus.Fields{"event": "candidate", "capacity": c.opts.Capacity, "members_capacity": capacity}).
		Info("this instance is to be a member of its zone's group")
	return true
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
