package config

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Any instance can write a checkpoint, but the live instances are ranked so that usually only one does. The instance of
// rank 0 writes a checkpoint when a quarter of the retention has passed since the last checkpoint, or when the log has
// dropped the last checkpoint. Each further instance waits a sixteenth of the retention longer than the instance before
// it, and at most half of the retention in total, so that a checkpoint is written although instances of lower rank are
// down.
const (
	checkpointDivisor = 4
	rankDelayDivisor  = 16
)

// missingCheckpointDelay is the time that each further instance waits, per rank, when the log holds no checkpoint. It
// covers several polls of the log by the instances ranked before it.
const missingCheckpointDelay = 2 * time.Second

// noCheckpoint is the value of logRange.checkpoint before a checkpoint has been seen.
const noCheckpoint = -1

// logRange tracks whether the log still holds a checkpoint. A log may keep so few records that publications push out
// the newest checkpoint long before the next one is due. If all instances were restarted then, none would find a state
// to start from.
type logRange struct {
	first            int64     // offset of the oldest record in the log
	checkpointOffset int64     // offset of the newest checkpoint
	missingSince     time.Time // time of the read that found the last checkpoint dropped, or of the first read; zero before it
}

// setFirst records the offset of the oldest record that a read of the log has returned.
func (r *logRange) setFirst(first int64, now time.Time) {
	wasMissing := r.checkpointMissing()
	r.first = first
	if r.checkpointMissing() && !wasMissing || r.missingSince.IsZero() {
		r.missingSince = now
	}
}

func (r *logRange) checkpointMissing() bool { return r.checkpointOffset < r.first }

// recordCheckpoint records the time of the newest checkpoint. written is the time of its record by the clock of the log,
// so a restart of this instance does not postpone the next checkpoint. The age is limited to half of the retention
// because that clock may differ from the local one. c.mu must be held.
func (c *Controller) recordCheckpoint(written time.Time) {
	now := c.opts.Clock.Now()
	age := min(max(now.Sub(written), 0), c.opts.Retention/2)
	if at := now.Add(-age); at.After(c.lastCheckpointAt) {
		c.lastCheckpointAt = at
	}
}

// writeCheckpoint appends a checkpoint if this instance is due to write one. An append that failed or got no answer is
// repeated after the next poll; a duplicate checkpoint does no harm.
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
	c.logRange.checkpointOffset = offset
	c.lastCheckpointAt = c.opts.Clock.Now()
}

// checkpointDue returns the current state and whether this instance is due to write it as a checkpoint.
func (c *Controller) checkpointDue() (State, bool) {
	live := c.opts.LiveInstances()
	if len(live) == 0 {
		// The rank is not known. Instances that start together would all write a checkpoint and push newer records out of
		// the log.
		return State{}, false
	}
	rank := c.checkpointRank(live, c.Version())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Version == 0 || c.behindLocked() || c.newerSchema > 0 {
		return State{}, false
	}
	if c.logRange.checkpointMissing() && c.opts.Clock.Since(c.logRange.missingSince) >= time.Duration(rank)*missingCheckpointDelay {
		return c.state, true
	}
	wait := c.opts.Retention / checkpointDivisor
	wait += min(time.Duration(rank)*c.opts.Retention/rankDelayDivisor, wait)
	return c.state, c.opts.Clock.Since(c.lastCheckpointAt) >= wait
}

// checkpointRank returns the number of live instances that precede this one in the rendezvous hash order for a version,
// or the number of all live instances if this one is not among them.
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
