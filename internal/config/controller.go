package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/savorypass/savorypass/internal/platform"
)

const (
	defaultPollInterval   = 500 * time.Millisecond
	defaultReadTimeout    = 2 * time.Second
	defaultFetchTimeout   = time.Second
	defaultPublishTimeout = 10 * time.Second // below the 11 s within which a change is in force
	defaultRetention      = time.Hour
	defaultHistory        = 32
	readBatch             = 64 // records per read
)

// Peers fetches the state of another entry instance.
type Peers interface {
	Fetch(ctx context.Context, peer string) (Snapshot, error)
}

// Options configures a Controller. Log, Peer and Name are required.
type Options struct {
	Log   platform.Log
	Peers Peers
	Name  string // of this entry instance
	// LiveInstances returns the names of the live entry instances, this one included, or none while they are not known. They share
	// the writing of checkpoints.
	LiveInstances func() []string
	// MaxCommonSchema returns the highest schema version that all live entry instances read.
	MaxCommonSchema func() int
	Clock           clockwork.Clock
	Logger          logrus.FieldLogger
	Retention       time.Duration // of the log service
	PollInterval    time.Duration
	ReadTimeout     time.Duration // of one call to the log service
	FetchTimeout    time.Duration // of one call to a peer
	PublishTimeout  time.Duration // after which the outcome of a publication counts as unknown
	HistorySize     int           // versions that are kept for History and Diff
}

func (o *Options) setDefaults() {
	setDefault(&o.PollInterval, defaultPollInterval)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.FetchTimeout, defaultFetchTimeout)
	setDefault(&o.PublishTimeout, defaultPublishTimeout)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.HistorySize, defaultHistory)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.LiveInstances == nil {
		o.LiveInstances = func() []string { return []string{o.Name} }
	}
	if o.MaxCommonSchema == nil {
		o.MaxCommonSchema = func() int { return SchemaVersion }
	}
}

func setDefault[T time.Duration | int](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Update is a version that has come into force on this instance.
type Update struct {
	State    State
	Config   *Config   // shared by all subscribers; must not be changed
	LoggedAt time.Time // the log's time of the record; zero for a version from a peer
}

// Controller keeps this instance's configuration equal to the fold of the log. Its methods are safe for concurrent
// use.
type Controller struct {
	opts    Options
	polling sync.Mutex // held by the one poll in progress
	wake    chan struct{}

	// notify serialises changes of the state together with the calls of subscribers. It is taken before mu.
	notify      sync.Mutex
	subscribers []func(Update)

	mu         sync.Mutex
	state      State
	config     *Config
	cursor     int64     // next offset to read; above state.Next while records are missing
	newer      int       // schema version that this program cannot read, 0 if none was met
	checkpoint time.Time // of the newest one that was seen
	retained   retained
	seen       map[string]uint64 // versions that peers have shown
	history    []Version
	status     status
}

// status is what Dump reports beside the state.
type status struct {
	LogError     string    `json:"log_error,omitempty"`
	LastRead     time.Time `json:"last_read"`
	PeerError    string    `json:"peer_error,omitempty"`
	Accepted     int       `json:"accepted"`
	Conflict     int       `json:"lost"`
	Invalid      int       `json:"invalid"`
	Gaps         int       `json:"gaps"`
	FromPeers    int       `json:"from_peers"`
	Checkpoints  int       `json:"checkpoints_written"`
	LogRestarted int       `json:"log_restarted"`
}

// New returns a controller without a configuration. Run fills it.
func New(opts Options) *Controller {
	opts.setDefaults()
	return &Controller{
		opts: opts, wake: make(chan struct{}, 1), seen: map[string]uint64{}, retained: retained{checkpoint: noCheckpoint},
		// Without a checkpoint in the log one is due from the chosen instance at once, from the others after their delay.
		checkpoint: opts.Clock.Now().Add(-opts.Retention / checkpointFraction),
	}
}

// Run follows the log and the peers until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.followLog(ctx) })
	g.Go(func() error { return c.followPeers(ctx) })
	return g.Wait()
}

// Subscribe calls fn for each version that comes into force, in ascending order, and at once for the current one.
// fn must return soon and must not call Publish, Restore or Subscribe.
func (c *Controller) Subscribe(fn func(Update)) {
	c.notify.Lock()
	defer c.notify.Unlock()
	c.subscribers = append(c.subscribers, fn)
	if u := c.Current(); u.Config != nil {
		fn(u)
	}
}

// Current returns the version in force. Its Config is nil before the first one.
func (c *Controller) Current() Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Update{State: c.state, Config: c.config}
}

// Snapshot returns the state for a peer that asks for it.
func (c *Controller) Snapshot() Snapshot { return c.Current().State }

// Version returns the current version, 0 if there is none.
func (c *Controller) Version() uint64 { return c.Current().State.Version }

// Ready returns nil if the instance may serve, and the reason otherwise.
func (c *Controller) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.newer > 0:
		return fmt.Errorf("configuration schema %d is newer than schema %d of this program", c.newer, SchemaVersion)
	case c.state.Version == 0:
		return errors.New("no configuration yet")
	}
	return nil
}

func (c *Controller) followLog(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(c.opts.PollInterval)
	defer ticker.Stop()
	for {
		if err := c.poll(ctx); err == nil {
			c.writeCheckpoint(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

// poll reads the log to its end and folds what it finds.
func (c *Controller) poll(ctx context.Context) error {
	c.polling.Lock()
	defer c.polling.Unlock()
	for {
		from := c.position()
		batch, err := c.readLog(ctx, from)
		if err != nil && !errors.Is(err, platform.ErrTruncated) {
			c.logFailed(err)
			return err
		}
		if end := c.foldBatch(from, batch, err != nil); end {
			return nil
		}
	}
}

func (c *Controller) position() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cursor
}

func (c *Controller) readLog(ctx context.Context, from int64) (platform.Batch, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.ReadTimeout)
	defer cancel()
	return c.opts.Log.Read(ctx, Stream, from, readBatch)
}

func (c *Controller) logFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status.LogError == "" {
		c.opts.Logger.WithField("event", "config_log_failed").WithError(err).WithField("version", c.state.Version).Warn("config log cannot be read")
	}
	c.status.LogError = err.Error()
}

// foldBatch folds a batch that was read from an offset and reports whether the end of the log is reached.
func (c *Controller) foldBatch(from int64, batch platform.Batch, truncated bool) (end bool) {
	c.notify.Lock()
	defer c.notify.Unlock()
	c.mu.Lock()
	if c.cursor != from {
		c.mu.Unlock()
		return false // a peer's state was adopted meanwhile
	}
	c.status.LogError, c.status.LastRead = "", c.opts.Clock.Now()
	c.retained.read(batch.First, c.opts.Clock.Now())
	c.moveCursor(batch, truncated)
	var updates []Update
	for _, r := range batch.Records {
		if r.Offset < c.cursor {
			continue
		}
		c.cursor = r.Offset + 1
		before := c.config
		verdict := c.foldRecord(r)
		if c.config != before {
			updates = append(updates, Update{State: c.state, Config: c.config, LoggedAt: r.Time})
		}
		if verdict == Rebased {
			c.cursor = c.state.Next
			break
		}
	}
	// A log that returns nothing new must not keep the poll running.
	end = c.cursor >= batch.Next || c.cursor == from
	c.mu.Unlock()
	c.announce(updates)
	return end
}

// moveCursor follows the bounds of the log. c.mu is held.
func (c *Controller) moveCursor(batch platform.Batch, truncated bool) {
	if batch.Next < c.cursor {
		// The log lost its records and counts from 0 again. Folding from there is safe: a record that is already
		// included replaces a lower version and loses.
		c.opts.Logger.WithField("event", "config_log_restarted").WithField("next", batch.Next).WithField("cursor", c.cursor).Error("config log has restarted")
		c.status.LogRestarted++
		c.state.Next, c.cursor = 0, batch.First
		c.retained.checkpoint = noCheckpoint
		return
	}
	if truncated && batch.First > c.cursor {
		c.cursor = batch.First
	}
}

// foldRecord applies one record. c.mu is held.
func (c *Controller) foldRecord(r platform.Record) Verdict {
	before := c.state
	next, verdict := c.state.Apply(r)
	switch verdict {
	case Accepted:
		c.status.Accepted++
	case Conflict:
		c.status.Conflict++
	case Invalid:
		c.status.Invalid++
	case Gap:
		c.status.Gaps++
	case NewerSchema:
		c.newer = schemaOf(r)
	}
	if verdict == Rebased || verdict == Redundant {
		c.retained.checkpoint = r.Offset
		c.sawCheckpoint(r.Time)
	}
	c.state = next
	if verdict == Accepted || verdict == Rebased {
		c.enter(before)
	}
	return verdict
}

func schemaOf(r platform.Record) int {
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return 0
	}
	return rec.Schema
}

// enter makes the configuration of the new state the current one. c.mu is held.
func (c *Controller) enter(before State) {
	c.newer = 0
	if c.state.Version == before.Version && c.state.Nonce == before.Nonce {
		return
	}
	cfg, err := Decode([]byte(c.state.Document))
	if err != nil {
		panic(fmt.Sprintf("config: folded document is invalid: %v", err)) // Apply and Adopt have validated it
	}
	c.config = cfg
	c.remember()
	c.opts.Logger.WithField("event", "config_in_force").WithField("version", c.state.Version).WithField("author", c.state.Author).Info("config in force")
}

// announce calls the subscribers. c.notify is held and c.mu is not.
func (c *Controller) announce(updates []Update) {
	for _, u := range updates {
		for _, fn := range c.subscribers {
			fn(u)
		}
	}
}
