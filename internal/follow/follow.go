// Package follow keeps a reader up to date with a keyed topic of the store.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/store"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond // keeps a reader current soon after an outage
)

// Options configures a Controller.
type Options struct {
	Store store.Store
	Topic string
	// Wait is the longest that a read waits for a record. 0 reads without waiting.
	Wait time.Duration
	// Interval returns the pause between reads, for topics that change too often to be told of each record. Nil means none.
	Interval func() time.Duration
	// Apply takes the records of each read in order, also of one that found none.
	Apply func(Update)
	Log   logrus.FieldLogger
}

// Update is the result of one read.
type Update struct {
	Records []store.Record
	// Whole means that keys without a record in the update do not exist.
	Whole bool
	// Recovered means that the read before has failed: the store was not reached for a while.
	Recovered bool
	// AsOf is when the read began: every record that the store had then is known now.
	AsOf time.Time
}

// Controller follows one topic.
type Controller struct {
	opts Options
	now  chan struct{} // asks for a read without a pause
	next int64
	lost bool // the last read failed
}

// New returns a controller that is not running.
func New(o Options) *Controller {
	return &Controller{opts: o, now: make(chan struct{}, 1), next: -1}
}

// Refresh asks for a read without a pause.
func (c *Controller) Refresh() {
	select {
	case c.now <- struct{}{}:
	default:
	}
}

// Run follows the topic until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := c.step(ctx); err != nil {
			c.reportLost(err)
			c.pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		c.reportBack()
		backoff = minBackoff
		if c.opts.Interval != nil {
			c.pause(ctx, c.opts.Interval())
		}
	}
}

func (c *Controller) step(ctx context.Context) error {
	if c.next < 0 {
		return c.reload(ctx)
	}
	asOf := time.Now()
	b, err := c.opts.Store.Read(ctx, c.opts.Topic, 0, c.next, c.opts.Wait)
	if errors.Is(err, store.ErrTruncated) {
		c.next = -1
		return nil
	}
	if err != nil {
		return err
	}
	c.next = b.Next
	c.opts.Apply(Update{Records: b.Records, Recovered: c.lost, AsOf: asOf})
	return nil
}

func (c *Controller) reload(ctx context.Context) error {
	asOf := time.Now()
	b, err := c.opts.Store.Newest(ctx, c.opts.Topic)
	if err != nil {
		return err
	}
	c.next = b.Next
	c.opts.Apply(Update{Records: b.Records, Whole: true, Recovered: c.lost, AsOf: asOf})
	return nil
}

func (c *Controller) reportLost(err error) {
	if c.lost {
		return
	}
	c.lost = true
	c.opts.Log.WithFields(logrus.Fields{"event": "topic_lost", "topic": c.opts.Topic, "offset": c.next}).
		WithError(err).Warn("the store's topic cannot be read")
}

func (c *Controller) reportBack() {
	if !c.lost {
		return
	}
	c.lost = false
	c.opts.Log.WithFields(logrus.Fields{"event": "topic_back", "topic": c.opts.Topic, "offset": c.next}).
		Info("the store's topic can be read again")
}

func (c *Controller) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-c.now:
	}
}
