// Package division holds into how many partitions each zone is divided. The numbers are records of the store, so that all
// instances divide a zone alike, also one that has just started and finds few endpoints registered.
package division

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/store"
)

const (
	// MaxPartitions is the most partitions of a zone.
	MaxPartitions = 16
	// endpointsPerPartition is how many endpoints one dispatcher looks after. A small instance orders the starts of so
	// many, and they are enough for jobs of usual widths.
	endpointsPerPartition = 40
	// readWait is the longest wait of a read for a new record. A connection that has gone silent is found after it.
	readWait = 10 * time.Second
	// patience is how long an instance that cannot read the numbers leaves its zone to others before it divides it by the
	// endpoints that it knows.
	patience = 2 * time.Second
	// raisePause is the pause between two attempts to raise a zone's number.
	raisePause = 500 * time.Millisecond
	// raiseTimeout is the time for the store's answer to a raise.
	raiseTimeout = 700 * time.Millisecond
)

// PartitionsFor returns the number of partitions, a power of 2, for a number of endpoints.
func PartitionsFor(endpoints int) int {
	parts := 1
	for parts < MaxPartitions && endpoints > parts*endpointsPerPartition {
		parts *= 2
	}
	return parts
}

// Options configures a Controller.
type Options struct {
	Store store.Store
	Topic string
	// OnChange is called when a number has risen or is known for the first time. It must not block.
	OnChange func()
	Log      logrus.FieldLogger
}

// Controller follows the numbers of partitions and raises them. Each number that a zone has had is a record of its own
// that is never changed, and the highest counts: a write that is lost, repeated or late does no harm. A number does not
// fall, so a wave of endpoints that leave and come back moves none of the others between dispatchers.
type Controller struct {
	opts   Options
	follow *follow.Controller

	mu      sync.Mutex
	known   bool
	parts   map[string]int
	guessed map[string]int // by zone, while the numbers are not known
	started time.Time
	changed map[string]time.Time // last rise that was seen in this process's life, by zone
	raised  time.Time            // last attempt to raise
}

// New returns a controller that is not running.
func New(o Options) *Controller {
	c := &Controller{
		opts: o, parts: map[string]int{}, guessed: map[string]int{}, changed: map[string]time.Time{}, started: time.Now(),
	}
	c.follow = follow.New(follow.Options{Store: o.Store, Topic: o.Topic, Wait: readWait, Apply: c.apply, Log: o.Log})
	return c
}

// Run follows the store until ctx ends.
func (c *Controller) Run(ctx context.Context) { c.follow.Run(ctx) }

// Known reports whether the numbers have been read in this process's life.
func (c *Controller) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// Usable reports whether zones may be divided by Partitions: the numbers are known, or could not be read for a while.
func (c *Controller) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known || time.Since(c.started) >= patience
}

// Partitions returns the number of partitions of a zone, 1 if the store has none. While the numbers are not known it is a
// guess from the endpoints of the zone.
func (c *Controller) Partitions(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return max(c.guessed[zone], 1)
	}
	return max(c.parts[zone], 1)
}

// Guess tells how many endpoints a zone has, for the time in which its number is not known.
func (c *Controller) Guess(zone string, endpoints int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known || PartitionsFor(endpoints) <= c.guessed[zone] {
		return
	}
	c.guessed[zone] = PartitionsFor(endpoints)
	c.opts.Log.WithFields(logrus.Fields{"event": "division_guess", "zone": zone, "partitions": c.guessed[zone], "endpoints": endpoints}).
		Info("the zone's number of partitions is not known and is guessed")
}

// ChangedAt returns when a zone's number last rose in this process's life; zero if it did not.
func (c *Controller) ChangedAt(zone string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed[zone]
}

func (c *Controller) apply(u follow.Update) {
	if !c.take(u) {
		return
	}
	c.opts.OnChange()
}

// take notes the numbers of an update and returns whether any is new.
func (c *Controller) take(u follow.Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.known
	fresh := first
	for _, r := range u.Records {
		zone, parts, err := parseKey(r.Key)
		if err != nil {
			c.opts.Log.WithFields(logrus.Fields{"event": "division_ignored", "key": r.Key, "offset": r.Offset}).WithError(err).
				Warn("an unreadable record divides no zone")
			continue
		}
		if parts <= max(c.parts[zone], 1) {
			continue
		}
		c.opts.Log.WithFields(logrus.Fields{
			"event": "division", "zone": zone, "partitions": parts, "before": max(c.parts[zone], 1), "offset": r.Offset,
		}).Info("the zone's number of partitions has risen")
		c.parts[zone] = parts
		if c.known {
			c.changed[zone] = time.Now()
		}
		fresh = true
	}
	if first {
		c.dropGuesses()
	}
	c.known = true
	return fresh
}

// dropGuesses notes the zones that were divided by a guess which was wrong. c.mu is held.
func (c *Controller) dropGuesses() {
	for zone, parts := range c.guessed {
		if parts != max(c.parts[zone], 1) {
			c.changed[zone] = time.Now()
		}
	}
}

// Raise writes the number of partitions that a zone with so many endpoints needs, if the store has a lower one. All
// instances, this one as well, divide the zone anew when they read it.
func (c *Controller) Raise(ctx context.Context, zone string, endpoints int) {
	wanted := PartitionsFor(endpoints)
	c.mu.Lock()
	due := c.known && wanted > max(c.parts[zone], 1) && time.Since(c.raised) >= raisePause
	if due {
		c.raised = time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	log := c.opts.Log.WithFields(logrus.Fields{"event": "division_raise", "zone": zone, "partitions": wanted, "endpoints": endpoints})
	if err := c.opts.Store.Put(ctx, c.opts.Topic, formatKey(zone, wanted), []byte{1}); err != nil {
		log.WithError(err).Warn("the zone's number of partitions may not have been written and is written again")
		return
	}
	log.Info("the zone's number of partitions is written")
}

const keySeparator = "/"

func formatKey(zone string, parts int) string { return zone + keySeparator + strconv.Itoa(parts) }

func parseKey(key string) (zone string, parts int, err error) {
	at := strings.LastIndex(key, keySeparator)
	if at < 0 {
		return "", 0, fmt.Errorf("key %q names no number of partitions", key)
	}
	parts, err = strconv.Atoi(key[at+1:])
	switch {
	case err != nil:
		return "", 0, fmt.Errorf("key %q: %w", key, err)
	case parts < 1 || parts > MaxPartitions || parts&(parts-1) != 0:
		return "", 0, fmt.Errorf("key %q: %d partitions; the number is a power of 2, at most %d", key, parts, MaxPartitions)
	}
	return key[:at], parts, nil
}
