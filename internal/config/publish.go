package config

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/result"
)

// Publication is a request to replace the current version.
type Publication struct {
	Author   string `json:"author"`
	Document []byte `json:"document"`
	Replaces uint64 `json:"replaces"` // the base: the version that the document was made from and replaces
	// Nonce identifies the publication. A publication whose outcome is unknown may be repeated with the same nonce on any
	// instance: its document comes into force at most once. Publish chooses a nonce if it is empty.
	Nonce string `json:"nonce,omitempty"`
}

// Status says how a publication ended.
type Status string

// The statuses of a publication.
const (
	OutcomePublished Status = "won"          // the document was published as Outcome.Version
	OutcomeConflict  Status = "lost"         // another publication has replaced the base: Outcome.Version, by Outcome.Author
	OutcomeRejected  Status = "not accepted" // the document is invalid or could not be appended; Outcome.Reason says why
	OutcomeNotNeeded Status = "not needed"   // only of Restore: the instance misses no records, so Publish works
	OutcomeUnknown   Status = "unknown"      // the append may have taken effect, but the record was not found in the log in time
)

// Outcome is the result of a publication.
type Outcome struct {
	Status   Status   `json:"ending"`
	Version  uint64   `json:"version,omitempty"`
	Author   string   `json:"author,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Problems Problems `json:"problems,omitempty"`
}

func rejected(format string, args ...any) Outcome {
	return Outcome{Status: OutcomeRejected, Reason: fmt.Sprintf(format, args...)}
}

func invalidDocument(ps Problems) Outcome {
	return Outcome{Status: OutcomeRejected, Reason: "the document is invalid", Problems: ps}
}

// Publish validates a document, appends it to the log and waits until the outcome is known or Options.PublishTimeout
// has passed. Every status but OutcomeUnknown is final: OutcomePublished and OutcomeConflict are what every instance
// finds in the log, and after OutcomeRejected the document never comes into force.
func (c *Controller) Publish(ctx context.Context, p Publication) Outcome {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.PublishTimeout)
	defer cancel()
	cfg, err := Decode(p.Document)
	if err != nil {
		return invalidDocument(asProblems(err))
	}
	if support := c.opts.MaxCommonSchema(); cfg.Schema > support {
		return rejected("document has schema %d, all live instances read schemas up to %d", cfg.Schema, support)
	}
	base, out := c.base(ctx, p)
	if out != nil {
		return *out
	}
	if p.Nonce == "" {
		p.Nonce = rand.Text()
	}
	r := Record{
		Kind: KindPublish, Schema: cfg.Schema, Version: p.Replaces + 1, Replaces: p.Replaces, Nonce: p.Nonce,
		Author: p.Author, Document: string(p.Document), Digest: DocumentDigest(p.Document),
	}
	if err := r.check(); err != nil {
		return rejected("%v", err)
	}
	return c.appendAndWait(ctx, base, r)
}

func asProblems(err error) Problems {
	var ps Problems
	if errors.As(err, &ps) {
		return ps
	}
	return Problems{{Code: result.MalformedBody, Bound: err.Error()}}
}

// catchUpPolls is the number of poll intervals for which a publication waits while this instance misses records. In
// each interval, peers that have folded the missing records are asked once for their state.
const catchUpPolls = 4

// base reads the log and returns the state on which to publish, or the outcome if publishing is not possible.
func (c *Controller) base(ctx context.Context, p Publication) (State, *Outcome) {
	if err := c.poll(ctx); err != nil {
		out := rejected("the log cannot be read: %v", err)
		return State{}, &out
	}
	for range catchUpPolls {
		if !c.behind() || !c.pause(ctx) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Outcome
	switch {
	case c.newerSchema > 0:
		out = rejected("the current version has schema %d, this instance reads schemas up to %d", c.newerSchema, SchemaVersion)
	case c.behindLocked():
		out = rejected("this instance misses records of the log; publish through another instance, or use restore if every instance reports this")
	case p.Replaces < c.state.Version:
		out = c.replacedOutcome(p)
	case p.Replaces > c.state.Version:
		out = rejected("version %d does not exist, the current version is %d", p.Replaces, c.state.Version)
	default:
		return c.state, nil
	}
	return State{}, &out
}

func (c *Controller) behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behindLocked()
}

// replacedOutcome returns the outcome of a publication whose base is no longer the current version. If the publication
// is a repetition of the one that replaced the base, it has been published. c.mu must be held.
func (c *Controller) replacedOutcome(p Publication) Outcome {
	for _, v := range c.history {
		if v.Version == p.Replaces+1 && v.Nonce == p.Nonce && p.Nonce != "" {
			return Outcome{Status: OutcomePublished, Version: v.Version, Author: v.Author}
		}
		if v.Version == p.Replaces+1 {
			return Outcome{Status: OutcomeConflict, Version: v.Version, Author: v.Author}
		}
	}
	if p.Nonce != "" {
		return Outcome{Status: OutcomeUnknown, Reason: fmt.Sprintf("version %d is not in the history of this instance", p.Replaces+1)}
	}
	return Outcome{Status: OutcomeConflict, Version: c.state.Version, Author: c.state.Author}
}

// appendAndWait appends a record and reads the log from the base on until the outcome is known. The record may be
// appended more than once: all copies replace the same version, so at most one of them is accepted.
func (c *Controller) appendAndWait(ctx context.Context, base State, r Record) Outcome {
	data, err := r.Encode()
	if err != nil {
		return invalidDocument(asProblems(err))
	}
	f := follower{c: c, state: base, cursor: base.Next, record: r}
	mayHaveEffect := false // whether an earlier append may have taken effect
	for {
		_, err := c.append(ctx, data)
		if errors.Is(err, platform.ErrUnavailable) && !mayHaveEffect {
			return rejected("the log is unavailable: %v", err)
		}
		mayHaveEffect = true
		for acked := err == nil; ; {
			if out, ok := f.follow(ctx); ok {
				_ = c.poll(ctx) // brings the version into force on this instance now; if it fails, the regular poll does so
				return out
			}
			if !c.pause(ctx) {
				return Outcome{Status: OutcomeUnknown, Reason: "the record was not found in the log within the time limit"}
			}
			if !acked {
				break // append again
			}
		}
	}
}

func (c *Controller) append(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.ReadTimeout)
	defer cancel()
	return c.opts.Log.Append(ctx, Stream, data)
}

// pause waits for one poll interval. It returns false if ctx is done before that.
func (c *Controller) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.opts.Clock.After(c.opts.PollInterval):
		return true
	}
}

// follower folds the log from the base of one publication, independently of states that the controller adopts from
// peers.
type follower struct {
	c      *Controller
	state  State
	cursor int64
	record Record // the record whose outcome is wanted
}

// follow reads to the end of the log and returns the outcome. ok is false if the log does not show it yet or cannot be
// read.
func (f *follower) follow(ctx context.Context) (out Outcome, ok bool) {
	for {
		batch, err := f.c.readLog(ctx, f.cursor)
		if err != nil {
			return Outcome{}, false
		}
		for _, raw := range batch.Records {
			if out, ok := f.fold(raw); ok {
				return out, true
			}
			f.cursor = raw.Offset + 1
		}
		if f.cursor >= batch.Next {
			return Outcome{}, false
		}
	}
}

// fold folds one record and returns the outcome if the record decides it.
func (f *follower) fold(raw platform.Record) (Outcome, bool) {
	next, verdict := f.state.Apply(raw)
	f.state = next
	if verdict != Accepted {
		return Outcome{}, false
	}
	// The base has been replaced, so the outcome of every copy of the record is decided.
	if next.Nonce == f.record.Nonce {
		return Outcome{Status: OutcomePublished, Version: next.Version, Author: next.Author}, true
	}
	return Outcome{Status: OutcomeConflict, Version: next.Version, Author: next.Author}, true
}
