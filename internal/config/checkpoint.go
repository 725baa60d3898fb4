package config

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// The chosen instance writes a checkpoint when a quarter of the retention has passed since the last one, or when the log
// has dropped it. Each further instance waits a sixteenth longer than the one before it, and none longer than half of the
// retention.
const (
	checkpointFraction = 4
	delayFraction      = 16
)

// missingDelay is how long each further instance waits for the ones before it when the log holds no checkpoint. They read
// the log several times meanwhile.
const missingDelay = 2 * time.Second

// noCheckpoint is the offset of a checkpoint that was never seen.
const noCheckpoint = -1

// retained says whether the log still holds a checkpoint. A log may keep few records, so that publications push the
// newest checkpoint out long before its time; a restart of all instances would then find no base.
type retained struct {
	first        int64 // offset of the first record that the log keeps
	checkpoint   int64 // offset of the newest checkpoint
	missingSince time.Time
}

// read takes the bounds of the log as of now.
func (r *retained) read(first int64, now time.Time) {
	wasMissing := r.missing()
	r.first = first
	if r.missing() && !wasMissing || r.missingSince.IsZero() {
		r.missingSince = now
	}
}

func (r *retained) missing() bool { return r.checkpoint < r.first }

// sawCheckpoint notes the newest checkpoint. Its age counts from its record's time, so that restarts do not postpone
// the next one; it is bounded because the log's clock may differ from ours. c.mu is held.
func (c *Controller) sawCheckpoint(written time.Time) {
	now := c.opts.Clock.Now()
	age := min(max(now.Sub(written), 0), c.opts.Retention/2)
	if at := now.Add(-age); at.After(c.checkpoint) {
		c.checkpoint = at
	}
}

// writeCheckpoint appends a checkpoint if one is due from this instance. A failed or lost append is repeated at the
// next poll; a second checkpoint does no harm.
func (c *Controller) writeCheckpoint(ctx context.Context) {
	s, due := c.checkpointDue()
	if !due {
		return
	}
	data, err := s.checkpointRecord().Encode()
	if err != nil {
		c.opts.Logger.WithField("event", "config_checkpoint_failed").WithError(err).Error("config checkpoint cannot be encoded")
		return
	}
	offset, err := c.append(ctx, data)
	if err != nil {
		c.opts.Logger.WithField("event", "config_checkpoint_failed").WithError(err).Warn("config checkpoint cannot be written")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.Checkpoints++
	c.retained.checkpoint = offset
	c.checkpoint = c.opts.Clock.Now()
}

func (c *Controller) checkpointDue() (State, bool) {
	live := c.opts.LiveInstances()
	if len(live) == 0 {
		return State{}, false // instances that start together would all write one, and push newer records out of the log
	}
	rank := c.checkpointRank(live, c.Version())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Version == 0 || c.behind() || c.newer > 0 {
		return State{}, false
	}
	if c.retained.missing() && c.opts.Clock.Since(c.retained.missingSince) >= time.Duration(rank)*missingDelay {
		return c.state, true
	}
	wait := c.opts.Retention / checkpointFraction
	wait += min(time.Duration(rank)*c.opts.Retention/delayFraction, wait)
	return c.state, c.opts.Clock.Since(c.checkpoint) >= wait
}

// checkpointRank returns how many live instances come before this one in the rendezvous order of a version.
func (c *Controller) checkpointRank(live []string, version uint64) int {
	key := strconv.FormatUint(version, 10)
	rank := 0
	for ; len(live) > 0; rank++ {
		first := rendezvous.New(live, xxhash.Sum64String).Lookup(key)
		if first == c.opts.Name {
			return rank
		}
		live = without(live, first)
	}
	return rank
}

func without(list []string, name string) []string {
	var rest []string
	for _, s := range list {
		if s != name {
			rest = append(rest, s)
		}
	}
	return rest
}
