package config

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// The live instances are ranked for the writing of checkpoints. The first one writes a checkpoint when a quarter of the
// retention has passed since the last checkpoint, or when the log has dropped it. Each further instance waits a
// sixteenth of the retention longer than the one before it, and at most half of the retention in total, so that a
// checkpoint is written although instances before it are down.
const (
	checkpointDivisor = 4
	rankDelayDivisor  = 16
)

// missingCheckpointDelay is the time that each further instance waits, per rank, when the log holds no checkpoint. It
// covers several polls of the log by the instances ranked before it.
const missingCheckpointDelay = 2 * time.Second

// noCheckpoint is the checkpoint offset before a checkpoint has been seen.
const noCheckpoint = -1

// logRange tracks whether the log still holds a checkpoint. A log may keep so few records that publications push out
// the newest checkpoint long before the next one is due. Instances that are all restarted would then find no base.
type logRange struct {
	first        int64     // offset of the oldest record in the log
	checkpoint   int64     // offset of the newest checkpoint
	missingSince time.Time // when the log was first found without a checkpoint; zero before the first read
}

// setFirst records the offset of the oldest record that a read of the log has returned.
func (r *logRange) setFirst(first int64, now time.Time) {
	wasMissing := r.missing()
	r.first = first
	if r.missing() && !wasMissing || r.missingSince.IsZero() {
		r.missingSince = now
	}
}

func (r *logRange) missing() bool { return r.checkpoint < r.first }

// recordCheckpoint records the time of the newest checkpoint. Its age is taken from the time of its record, so that a
// restart does not postpone the next checkpoint. The age is limited to half of the retention because the clock of the
// log may differ from the local one. c.mu must be held.
func (c *Controller) recordCheckpoint(written time.Time) {
	now := c.opts.Clock.Now()
	age := min(max(now.Sub(written), 0), c.opts.Retention/2)
	if at := now.Add(-age); at.After(c.checkpoint) {
		c.checkpoint = at
	}
}

// writeCheckpoint appends a checkpoint if this instance is due to write one. A failed append, or one without an answer,
// is repeated at the next poll; a duplicate checkpoint does no harm.
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
	c.stats.Checkpoints++
	c.logRange.checkpoint = offset
	c.checkpoint = c.opts.Clock.Now()
}

func (c *Controller) checkpointDue() (State, bool) {
	live := c.opts.LiveInstances()
	if len(live) == 0 {
		// The rank is not known. Instances that start together would all write one and push newer records out of the log.
		return State{}, false
	}
	rank := c.checkpointRank(live, c.Version())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Version == 0 || c.behindLocked() || c.newerSchema > 0 {
		return State{}, false
	}
	if c.logRange.missing() && c.opts.Clock.Since(c.logRange.missingSince) >= time.Duration(rank)*missingCheckpointDelay {
		return c.state, true
	}
	wait := c.opts.Retention / checkpointDivisor
	wait += min(time.Duration(rank)*c.opts.Retention/rankDelayDivisor, wait)
	return c.state, c.opts.Clock.Since(c.checkpoint) >= wait
}

// checkpointRank returns the number of live instances that precede this one in the rendezvous hash order for a version.
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
