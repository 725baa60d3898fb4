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
	defaultPublishTimeout = 10 * time.Second // below the 11 s within which a change must be in force
	defaultRetention      = time.Hour
	defaultHistorySize    = 32
	readBatch             = 64 // records per read of the log
)

// Peers fetches the configuration state of other entry instances.
type Peers interface {
	Fetch(ctx context.Context, peer string) (Snapshot, error)
}

// Options configures a Controller. Log, Peers and Name are required. A duration or size of 0 stands for its default.
type Options struct {
	Log   platform.Log
	Peers Peers
	Name  string // name of this entry instance, in the form that LiveInstances uses
	// LiveInstances returns the names of the live entry instances, this one included, or none while they are not known. It
	// decides which instance writes checkpoints. The default is this instance alone.
	LiveInstances func() []string
	// MaxCommonSchema returns the highest schema version that all live entry instances read. The default is SchemaVersion.
	MaxCommonSchema func() int
	Clock           clockwork.Clock
	Logger          logrus.FieldLogger
	Retention       time.Duration // retention of the log service
	PollInterval    time.Duration // time between two reads of the log
	ReadTimeout     time.Duration // timeout of one call to the log service
	FetchTimeout    time.Duration // timeout of one call to a peer
	PublishTimeout  time.Duration // after which the outcome of a publication counts as unknown
	HistorySize     int           // number of versions that History and Diff cover
}

func (o *Options) setDefaults() {
	setDefault(&o.PollInterval, defaultPollInterval)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.FetchTimeout, defaultFetchTimeout)
	setDefault(&o.PublishTimeout, defaultPublishTimeout)
	setDefault(&o.Retention, defaultRetention)
	setDefault(&o.HistorySize, defaultHistorySize)
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

// Update describes a version that has come into force on this instance, that is, has become the current version of its
// state.
type Update struct {
	State    State
	Config   *Config   // shared by all subscribers; must not be changed
	LoggedAt time.Time // time of the record in the log; zero for a version fetched from a peer
}

// Controller keeps this instance's configuration equal to the fold of the log. Its exported methods are safe for
// concurrent use.
type Controller struct {
	opts   Options
	pollMu sync.Mutex    // serialises polls of the log
	wake   chan struct{} // signals that a peer's heartbeat had a higher version

	// notifyMu serialises changes of the state together with the calls of the subscribers, so that these see versions in
	// ascending order. It is locked before mu.
	notifyMu    sync.Mutex
	subscribers []func(Update)

	mu               sync.Mutex
	state            State
	config           *Config
	cursor           int64     // offset of the next read; above state.Next while this instance misses records
	newerSchema      int       // schema version of a record that this program is too old to read; 0 if there is none
	lastCheckpointAt time.Time // time of the newest checkpoint; before one was seen, the time that makes one due now
	logRange         logRange
	peerVersions     map[string]uint64 // version in the latest heartbeat of each peer, by the peer's name
	history          []Version
	stats            stats
}

// stats holds the errors and counters that Dump reports in addition to the state. The counters start at 0 with the
// process.
type stats struct {
	LogError     string    `json:"log_error,omitempty"`  // error of the last read of the log; empty if it succeeded
	LastRead     time.Time `json:"last_read"`            // time of the last successful read of the log
	PeerError    string    `json:"peer_error,omitempty"` // error of the last failed fetch from a peer, until a state is adopted
	Accepted     int       `json:"accepted"`             // records with the verdict Accepted
	Conflict     int       `json:"lost"`                 // records with the verdict Conflict
	Invalid      int       `json:"invalid"`              // records with the verdict Invalid
	Gaps         int       `json:"gaps"`                 // records with the verdict Gap
	FromPeers    int       `json:"from_peers"`           // states adopted from peers
	Checkpoints  int       `json:"checkpoints_written"`  // checkpoints that this instance wrote
	LogRestarted int       `json:"log_restarted"`        // times that the log was found to have restarted without its records
}

// New returns a controller without a configuration. Run reads the configuration and keeps it current.
func New(opts Options) *Controller {
	opts.setDefaults()
	return &Controller{
		opts: opts, wake: make(chan struct{}, 1), peerVersions: map[string]uint64{}, logRange: logRange{checkpointOffset: noCheckpoint},
		// If the log holds no checkpoint, the instance of rank 0 is thus due to write one at once. The others wait for the
		// delay of their rank.
		lastCheckpointAt: opts.Clock.Now().Add(-opts.Retention / checkpointDivisor),
	}
}

// Run follows the log and the peers until ctx is done and returns ctx's error.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.followLog(ctx) })
	g.Go(func() error { return c.followPeers(ctx) })
	return g.Wait()
}

// Subscribe registers fn, which is called for each version that comes into force, in ascending order. If there is a
// current version, fn is called with it before Subscribe returns. fn must not block and must not call Publish, Restore
// or Subscribe.
func (c *Controller) Subscribe(fn func(Update)) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	c.subscribers = append(c.subscribers, fn)
	if u := c.Current(); u.Config != nil {
		fn(u)
	}
}

// Current returns the version in force, without LoggedAt. Config is nil before the first version.
func (c *Controller) Current() Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Update{State: c.state, Config: c.config}
}

// Snapshot returns the current state in the form that is sent to peers.
func (c *Controller) Snapshot() Snapshot { return c.Current().State }

// Version returns the number of the current version, or 0 before the first one.
func (c *Controller) Version() uint64 { return c.Current().State.Version }

// Ready returns nil if this instance has a configuration that it can use, and otherwise an error with the reason.
func (c *Controller) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.newerSchema > 0:
		return fmt.Errorf("configuration has schema %d, this program reads schemas up to %d", c.newerSchema, SchemaVersion)
	case c.state.Version == 0:
		return errors.New("no configuration has been read yet")
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

// poll reads the log from the cursor to its end and folds the records.
func (c *Controller) poll(ctx context.Context) error {
	c.pollMu.Lock()
	defer c.pollMu.Unlock()
	for {
		from := c.position()
		batch, err := c.readLog(ctx, from)
		if err != nil && !errors.Is(err, platform.ErrTruncated) {
			c.recordLogError(err)
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

func (c *Controller) recordLogError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.LogError == "" {
		c.opts.Logger.WithField("event", "config_log_failed").WithError(err).WithField("version", c.state.Version).Warn("configuration log cannot be read")
	}
	c.stats.LogError = err.Error()
}

// foldBatch folds a batch that was read at the offset from, and reports whether the end of the log has been reached.
// truncated says that the log has dropped records at that offset.
func (c *Controller) foldBatch(from int64, batch platform.Batch, truncated bool) (end bool) {
	c.notifyMu.Lock()
	defer c.notifyMu.Unlock()
	c.mu.Lock()
	if c.cursor != from {
		c.mu.Unlock()
		return false // a peer's state was adopted during the read
	}
	c.stats.LogError, c.stats.LastRead = "", c.opts.Clock.Now()
	c.logRange.setFirst(batch.First, c.opts.Clock.Now())
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
	// The poll also ends if the batch did not advance the cursor; it would otherwise never end.
	end = c.cursor >= batch.Next || c.cursor == from
	c.mu.Unlock()
	c.notifySubscribers(updates)
	return end
}

// moveCursor adjusts the cursor to a log that has restarted or dropped records. c.mu must be held.
func (c *Controller) moveCursor(batch platform.Batch, truncated bool) {
	if batch.Next < c.cursor {
		// The log has lost its records and its offsets start at 0 again. Folding its records again is safe: a publish
		// record that is already included replaces a lower version, so its verdict is Conflict.
		c.opts.Logger.WithField("event", "config_log_restarted").WithField("next", batch.Next).WithField("cursor", c.cursor).Error("configuration log has lost its records and restarted")
		c.stats.LogRestarted++
		c.state.Next, c.cursor = 0, batch.First
		c.logRange.checkpointOffset = noCheckpoint
		return
	}
	if truncated && batch.First > c.cursor {
		c.cursor = batch.First
	}
}

// foldRecord applies one record and returns the verdict on it. c.mu must be held.
func (c *Controller) foldRecord(r platform.Record) Verdict {
	before := c.state
	next, verdict := c.state.Apply(r)
	switch verdict {
	case Accepted:
		c.stats.Accepted++
	case Conflict:
		c.stats.Conflict++
	case Invalid:
		c.stats.Invalid++
	case Gap:
		c.stats.Gaps++
	case NewerSchema:
		c.newerSchema = schemaOf(r)
	}
	if verdict == Rebased || verdict == Redundant {
		c.logRange.checkpointOffset = r.Offset
		c.recordCheckpoint(r.Time)
	}
	c.state = next
	if verdict == Accepted || verdict == Rebased {
		c.activate(before)
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

// activate makes the configuration of the new state the current one; before is the previous state. c.mu must be held.
func (c *Controller) activate(before State) {
	c.newerSchema = 0
	if c.state.Version == before.Version && c.state.Nonce == before.Nonce {
		return
	}
	cfg, err := Decode([]byte(c.state.Document))
	if err != nil {
		panic(fmt.Sprintf("config: folded document is invalid: %v", err)) // Apply and Adopt have validated the document
	}
	c.config = cfg
	c.appendHistory()
	c.opts.Logger.WithField("event", "config_in_force").WithField("version", c.state.Version).WithField("author", c.state.Author).Info("configuration version is in force")
}

// notifySubscribers calls the subscribers with each update. c.notifyMu must be held, c.mu must not.
func (c *Controller) notifySubscribers(updates []Update) {
	for _, u := range updates {
		for _, fn := range c.subscribers {
			fn(u)
		}
	}
}
