// Package follow reads a keyed topic of the store continuously and passes its records to a function. In a keyed topic, a
// record replaces the earlier records of the same key.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/pause"
	"github.com/savorypass/savorypass/internal/store"
)

const (
	inactivePause = 100 * time.Millisecond // between two calls of Active
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 400 * time.Millisecond // short, so that reading resumes soon after an outage
)

// MaxFirstPause is the longest pause between a read that failed after a successful one and the next.
const MaxFirstPause = minBackoff/2 + minBackoff

// Options configures a Controller.
type Options struct {
	Store store.Store
	Topic string
	// Wait is the longest time that a read waits for a record. With 0, reads do not wait.
	Wait time.Duration
	// Interval returns the time from the beginning of a read to that of the next one, for topics that change too often for a
	// read of each record. Nil means that reads follow each other without a pause.
	Interval func() time.Duration
	// Active reports whether to read; nil means always. A topic is read from its newest records when Active turns true.
	Active func() bool
	// Apply is called with the result of each successful read, in order, also when it has no records.
	Apply func(Update)
	// Failed is called after each read that failed; nil for none.
	Failed func()
	Log    logrus.FieldLogger
}

// Update is the result of one successful read.
type Update struct {
	Records []store.Record
	// Snapshot is true if the records are those of all keys of the topic: a key without a record in the update does not
	// exist. Otherwise the records are those written since the last read.
	Snapshot bool
	// Recovered is true if the read before this one failed, that is, the store could not be read for some time.
	Recovered bool
	// AsOf is the time at which the read began, or the wait of a read without records ended. Every record that the store held then has been
	// passed to Apply.
	AsOf time.Time
}

// Controller reads one topic continuously.
type Controller struct {
	opts    Options
	refresh chan struct{} // a value ends the pause before the next read
	next    int64         // offset of the next read; negative when all keys must be read again
	failing bool          // the last read failed
}

// New returns a controller. Run must be called to read.
func New(o Options) *Controller {
	return &Controller{opts: o, refresh: make(chan struct{}, 1), next: -1}
}

// Refresh makes the next read begin without a pause. It does not block.
func (c *Controller) Refresh() {
	select {
	case c.refresh <- struct{}{}:
	default:
	}
}

// Run reads the topic until ctx ends. After a failed read it retries with a growing, randomized pause.
func (c *Controller) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if c.opts.Active != nil && !c.opts.Active() {
			c.next = -1
			pause.For(ctx, inactivePause, c.refresh)
			continue
		}
		begun := time.Now()
		if err := c.step(ctx); err != nil {
			c.reportFailure(err)
			pause.For(ctx, backoff/2+rand.N(backoff), c.refresh)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		c.reportRecovery()
		backoff = minBackoff
		if c.opts.Interval != nil {
			pause.For(ctx, c.opts.Interval()-time.Since(begun), c.refresh)
		}
	}
}

// step reads once and applies the result. If the records to read next are no longer retained, it reloads the topic.
func (c *Controller) step(ctx context.Context) error {
	if c.next < 0 {
		return c.reload(ctx)
	}
	asOf := time.Now()
	b, err := c.opts.Store.Read(ctx, c.opts.Topic, 0, c.next, c.opts.Wait)
	if errors.Is(err, store.ErrTruncated) {
		c.next = -1
		return c.reload(ctx)
	}
	if err != nil {
		return err
	}
	c.next = b.Next
	if waited := time.Since(asOf); len(b.Records) == 0 && c.opts.Wait > 0 && waited >= c.opts.Wait {
		asOf = asOf.Add(c.opts.Wait) // the store had no record until the end of its wait, which did not begin before the read
	}
	c.opts.Apply(Update{Records: b.Records, Recovered: c.failing, AsOf: asOf})
	return nil
}

// reload reads the newest record of each key.
func (c *Controller) reload(ctx context.Context) error {
	asOf := time.Now()
	b, err := c.opts.Store.Newest(ctx, c.opts.Topic, 0)
	if err != nil {
		return err
	}
	c.next = b.Next
	c.opts.Apply(Update{Records: b.Records, Snapshot: true, Recovered: c.failing, AsOf: asOf})
	return nil
}

func (c *Controller) reportFailure(err error) {
	if c.opts.Failed != nil {
		c.opts.Failed()
	}
	if c.failing {
		return
	}
	c.failing = true
	c.opts.Log.WithFields(logrus.Fields{"event": "topic_lost", "topic": c.opts.Topic, "offset": c.next}).
		WithError(err).Warn("a topic of the store cannot be read")
}

func (c *Controller) reportRecovery() {
	if !c.failing {
		return
	}
	c.failing = false
	c.opts.Log.WithFields(logrus.Fields{"event": "topic_back", "topic": c.opts.Topic, "offset": c.next}).
		Info("a topic of the store can be read again")
}
