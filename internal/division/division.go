// Package division keeps the number of partitions of each zone. A partition is the part of a zone's endpoints that one
// dispatcher serves, see package shard. The numbers are records in the store, so that all instances agree on them, even an
// instance that has just started and finds few endpoints registered.
package division

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/follow"
	"github.com/savorypass/savorypass/internal/store"
)

const (
	// MaxPartitions is the maximum number of partitions of a zone.
	MaxPartitions = 16
	// maxEndpointsPerPartition is the maximum number of endpoints per dispatcher, below MaxPartitions. A small instance can
	// dispatch for that many, and they are enough for jobs of usual widths.
	maxEndpointsPerPartition = 40
	// minEndpointsPerPartition keeps partitions large enough for jobs of usual widths however thin the link is.
	minEndpointsPerPartition = 8
	// endpointsPerMbps is the number of endpoints whose requests 1 Mbit/s of a dispatcher's link carries at the crest, with
	// jobs of short tasks and long specifications.
	endpointsPerMbps = 8
	// guessDelay is how long an instance that cannot read the numbers, although the store has answered another call, lets other instances dispatch
	// for its zone before it uses a number guessed from the registrations that it has read.
	guessDelay = 2 * time.Second
	// raisePause is the minimum time between two attempts to raise a number.
	raisePause = 500 * time.Millisecond
	// raiseTimeout limits the wait for the store's answer to an attempt to raise a number.
	raiseTimeout = 700 * time.Millisecond
)

// EndpointsPerPartition returns the maximum number of endpoints for a dispatcher whose link carries a number of Mbit/s; 0
// for a link of unknown speed.
func EndpointsPerPartition(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxEndpointsPerPartition
	}
	n := min(linkMbps*endpointsPerMbps, maxEndpointsPerPartition)
	return max(int(n), minEndpointsPerPartition)
}

// PartitionsFor returns the number of partitions that a number of endpoints needs: a power of 2, at most most.
func PartitionsFor(endpoints, perPartition, most int) int {
	parts := 1
	for 2*parts <= most && endpoints > parts*perPartition {
		parts *= 2
	}
	return parts
}

// Options configures a Controller.
type Options struct {
	Store store.Store
	Topic string
	// ReadWait is how long a read waits for a new record. It limits the time until a silent connection is detected.
	ReadWait time.Duration
	// EndpointsPerPartition is the maximum number of endpoints for which this instance can dispatch, below MaxPartitions.
	EndpointsPerPartition int
	// GroupPartitions is the number of partitions of a group's topic in the store; MaxPartitions if 0.
	GroupPartitions int
	// OnChange is called when the numbers are known for the first time and whenever a number has risen. It must not block.
	OnChange func()
	Log      logrus.FieldLogger
}

// Controller follows the numbers of partitions and raises them. Each number that a zone has had is a separate record that
// never changes, and the highest one is in force, so a write that is lost, repeated or late does no harm. A number never
// falls, so when many endpoints leave and return, the others keep their dispatchers.
type Controller struct {
	opts   Options
	follow *follow.Controller

	mu           sync.Mutex
	known        bool
	readAsOf     time.Time // the records that the store held at this time have been read
	parts        map[string]int
	guessed      map[string]int       // by zone; used while the numbers are not known
	answeredAt   time.Time            // when the store first answered another call, see NoteAnswer; zero before
	changedAt    map[string]time.Time // by zone, when its number last changed since this process started
	raiseTriedAt time.Time            // time of the last attempt to raise a number

	storedJobs atomic.Bool // see StoredJobs
}

// New returns a controller that is not running.
func New(o Options) *Controller {
	if o.GroupPartitions <= 0 {
		o.GroupPartitions = MaxPartitions
	}
	c := &Controller{
		opts: o, parts: map[string]int{}, guessed: map[string]int{}, changedAt: map[string]time.Time{},
	}
	c.follow = follow.New(follow.Options{Store: o.Store, Topic: o.Topic, Wait: o.ReadWait, Apply: c.apply, Log: o.Log})
	return c
}

// Run follows the store until ctx ends.
func (c *Controller) Run(ctx context.Context) { c.follow.Run(ctx) }

// Known reports whether the numbers have been read since this process started.
func (c *Controller) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

// NoteAnswer notes that the store has answered another call: from now on the numbers can probably be read. An instance that starts while the store
// is away gets its partitions with the store's first answers, and would else use a guess in the moment before it has read the numbers.
func (c *Controller) NoteAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt.IsZero() {
		c.answeredAt = time.Now()
	}
}

// Usable reports whether the results of Partitions may be used: the numbers are known, or could not be read for guessDelay after NoteAnswer.
func (c *Controller) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known || !c.answeredAt.IsZero() && time.Since(c.answeredAt) >= guessDelay
}

// Partitions returns the number of partitions of a zone, 1 if the store has no record of it. While the numbers are not known
// it returns the guess from the zone's endpoints.
func (c *Controller) Partitions(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return max(c.guessed[zone], 1)
	}
	return max(c.parts[zone], 1)
}

func (c *Controller) partitionsFor(endpoints int) int {
	return PartitionsFor(endpoints, c.opts.EndpointsPerPartition, min(c.opts.GroupPartitions, MaxPartitions))
}

// GroupPartition returns the partition of the zone's group in the store whose holder dispatches for a partition of the zone.
func (c *Controller) GroupPartition(zone string, partition int) int {
	return groupPartition(partition, c.Partitions(zone), c.opts.GroupPartitions)
}

// groupPartition spreads the partitions of a zone over those of its group. The store deals all partitions of a group evenly
// to the members, in blocks or in turns, so partitions that lie side by side or at a regular distance would often have the
// same holder.
func groupPartition(partition, partitions, groupPartitions int) int {
	distance := max(groupPartitions/partitions, 1)
	offset := 6*partition + 5*(partition/4) // differs in the remainders by the usual numbers of members
	return partition*distance + offset%distance
}

// Guess sets the number of partitions that a zone with a number of endpoints needs as its guess. It does nothing if the
// numbers are known or the present guess is not lower.
func (c *Controller) Guess(zone string, endpoints int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known || c.partitionsFor(endpoints) <= c.guessed[zone] {
		return
	}
	c.guessed[zone] = c.partitionsFor(endpoints)
	c.opts.Log.WithFields(logrus.Fields{"event": "division_guess", "zone": zone, "partitions": c.guessed[zone], "endpoints": endpoints}).
		Info("the zone's number of partitions is not known; using a guess")
}

// ChangedAt returns when a zone's number last changed since this process started, or the zero time. The first read
// counts as a change only for a zone whose guess was wrong.
func (c *Controller) ChangedAt(zone string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changedAt[zone]
}

// ReadAsOf returns a time such that all numbers which the store held then are known; the zero time before the first read.
func (c *Controller) ReadAsOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAsOf
}

func (c *Controller) apply(u follow.Update) {
	if !c.record(u) {
		return
	}
	c.opts.OnChange()
}

// record records the numbers of an update. It returns whether any has risen or the update is the first.
func (c *Controller) record(u follow.Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.known
	fresh := first
	c.readAsOf = u.AsOf
	for _, r := range u.Records {
		if r.Key == storedJobsKey {
			fresh = !c.storedJobs.Swap(true) || fresh
			continue
		}
		zone, parts, err := parseKey(r.Key)
		if err != nil {
			c.opts.Log.WithFields(logrus.Fields{"event": "division_ignored", "key": r.Key, "offset": r.Offset}).WithError(err).
				Warn("record ignored: its key is invalid")
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
			c.changedAt[zone] = time.Now()
		}
		fresh = true
	}
	if first {
		c.dropGuesses()
	}
	c.known = true
	return fresh
}

// dropGuesses sets the time of change of the zones whose guess was wrong. c.mu is held.
func (c *Controller) dropGuesses() {
	for zone, parts := range c.guessed {
		if parts != max(c.parts[zone], 1) {
			c.changedAt[zone] = time.Now()
		}
	}
}

// Raise writes the number of partitions that a zone with a number of endpoints needs to the store, if the present number is
// lower. All instances, including this one, use the new number once they have read it.
func (c *Controller) Raise(ctx context.Context, zone string, endpoints int) {
	wanted := c.partitionsFor(endpoints)
	c.mu.Lock()
	due := c.known && wanted > max(c.parts[zone], 1) && time.Since(c.raiseTriedAt) >= raisePause
	if due {
		c.raiseTriedAt = time.Now()
	}
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, raiseTimeout)
	defer cancel()
	log := c.opts.Log.WithFields(logrus.Fields{"event": "division_raise", "zone": zone, "partitions": wanted, "endpoints": endpoints})
	if err := c.opts.Store.Put(ctx, c.opts.Topic, formatKey(zone, wanted), []byte{1}); err != nil {
		log.WithError(err).Warn("writing the zone's number of partitions failed or got no answer; retrying")
		return
	}
	log.Info("wrote the zone's number of partitions")
}

const keySeparator = "/"

func formatKey(zone string, parts int) string { return zone + keySeparator + strconv.Itoa(parts) }

func parseKey(key string) (zone string, parts int, err error) {
	at := strings.LastIndex(key, keySeparator)
	if at < 0 {
		return "", 0, fmt.Errorf("key %q: expected ZONE/PARTITIONS", key)
	}
	parts, err = strconv.Atoi(key[at+1:])
	switch {
	case err != nil:
		return "", 0, fmt.Errorf("key %q: expected ZONE/PARTITIONS: %w", key, err)
	case parts < 1 || parts > MaxPartitions || parts&(parts-1) != 0:
		return "", 0, fmt.Errorf("key %q: got %d partitions, expected a power of 2, at most %d", key, parts, MaxPartitions)
	}
	return key[:at], parts, nil
}
