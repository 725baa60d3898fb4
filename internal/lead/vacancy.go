package lead

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxVacancyAge is how old the last look-up may be on which a vacancy rests.
	maxVacancyAge = 3 * time.Second
	// lostMargin is how much longer than a membership a lost dispatcher makes its zone be looked up more often.
	lostMargin = 3 * time.Second
)

// A zone is vacant while none of its own instances is a member of its group that holds partitions. Its endpoints then have no dispatcher,
// and its stored jobs no holder, until instances of other zones substitute for its own.

// vacancy is what the look-ups of a zone without members of its own have shown.
type vacancy struct {
	since      time.Time // beginning of the first look-up that found none
	lookedUpAt time.Time // beginning of the last one
	former     []string  // addresses of the last members that the zone had, as far as this instance knows
}

// Vacancy describes a zone without members of its own.
type Vacancy struct {
	For time.Duration // for how long the zone has been vacant at least; 0 if it is not, or not known to be
	// Capacity is the sum of the capacities of the substitutes.
	Capacity int
	// Former are the addresses of the last members of the zone's own that this instance has known. They may dispatch without the store.
	Former []string
}

// Vacancy returns whether a zone is vacant, according to a recent look-up.
func (c *Controller) Vacancy(zone string) Vacancy {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.vacancies[zone]
	if v.since.IsZero() || time.Since(v.lookedUpAt) > maxVacancyAge {
		return Vacancy{}
	}
	found := Vacancy{For: max(time.Since(v.since), 1), Former: v.former}
	for _, member := range members(c.holders[zone]) {
		found.Capacity += capacityOf(member)
	}
	return found
}

// noteVacancy applies a look-up. c.mu is held.
func (c *Controller) noteVacancy(zone string, holders map[int]string, begun time.Time) {
	if len(own(holders)) > 0 {
		if v := c.vacancies[zone]; !v.since.IsZero() {
			c.opts.Log.WithFields(logrus.Fields{"event": "zone_occupied", "zone": zone, "after_ms": time.Since(v.since).Milliseconds()}).
				Info("the zone has dispatchers of its own again")
		}
		delete(c.vacancies, zone)
		return
	}
	v := c.vacancies[zone]
	if v.since.IsZero() {
		v.since = begun
		for _, member := range own(c.holders[zone]) {
			v.former = append(v.former, addressOf(member))
		}
		c.opts.Log.WithFields(logrus.Fields{"event": "zone_vacant", "zone": zone, "former": v.former}).Info("the zone has no dispatcher of its own")
	}
	v.lookedUpAt = begun
	c.vacancies[zone] = v
}

// DispatcherLost records that a dispatcher of a zone does not answer, so that the end of its membership is noticed soon.
func (c *Controller) DispatcherLost(zone string) {
	c.mu.Lock()
	c.lostAt[zone] = time.Now()
	c.mu.Unlock()
	c.Search(zone)
}

// lostMemory is for how long the zone of a lost dispatcher is looked up more often.
func (c *Controller) lostMemory() time.Duration { return ttlFactor*c.opts.TTL + lostMargin }

// Occupied reports whether the last look-up of a zone has found instances of its own.
func (c *Controller) Occupied(zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(own(c.holders[zone])) > 0
}

// isSubstitute reports whether a member's name has the mark before the three parts that all names have.
func isSubstitute(member string) bool {
	parts := strings.Split(member, memberSeparator)
	return len(parts) == 4 && parts[0] == substituteMark
}

// own returns the members that are instances of the zone itself.
func own(holders map[int]string) []string { return slices.DeleteFunc(members(holders), isSubstitute) }
