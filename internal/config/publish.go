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
	Replaces uint64 `json:"replaces"` // the version that the document was made from
	// Nonce names the publication. A publication whose outcome is unknown may be repeated with the same nonce, at any
	// instance: it comes into force at most once. Publish chooses one if it is empty.
	Nonce string `json:"nonce,omitempty"`
}

// Status tells how a publication ended.
type Status string

// The endings of a publication.
const (
	OutcomePublished Status = "won"          // the document is the version Outcome.Version
	OutcomeConflict  Status = "lost"         // another author has replaced the base: Outcome.Version, Outcome.Author
	OutcomeRejected  Status = "not accepted" // the document was not appended or is invalid; Outcome.Reason says why
	OutcomeNotNeeded Status = "not needed"   // only of Restore: the instance misses no record, so it can publish
	OutcomeUnknown   Status = "unknown"      // the append may have taken effect; it has not been found in the log in time
)

// Outcome is the result of a publication.
type Outcome struct {
	Status   Status   `json:"ending"`
	Version  uint64   `json:"version,omitempty"`
	Author   string   `json:"author,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Problems Problems `json:"problems,omitempty"`
}

func notAccepted(format string, args ...any) Outcome {
	return Outcome{Status: OutcomeRejected, Reason: fmt.Sprintf(format, args...)}
}

func refused(ps Problems) Outcome {
	return Outcome{Status: OutcomeRejected, Reason: "the document is invalid", Problems: ps}
}

// Publish validates a document, appends it and waits until its fate is known or the time is up. An outcome other than
// Unknown is final: Won and LostTo hold on every instance, and after NotAccepted the document never comes into force.
func (c *Controller) Publish(ctx context.Context, p Publication) Outcome {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.PublishTimeout)
	defer cancel()
	cfg, err := Decode(p.Document)
	if err != nil {
		return refused(asProblems(err))
	}
	if support := c.opts.MaxCommonSchema(); cfg.Schema > support {
		return notAccepted("schema %d is above schema %d, the highest that all live instances read", cfg.Schema, support)
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
		return notAccepted("%v", err)
	}
	return c.settle(ctx, base, r)
}

func asProblems(err error) Problems {
	var ps Problems
	if errors.As(err, &ps) {
		return ps
	}
	return Problems{{Code: result.MalformedBody, Bound: err.Error()}}
}

// catchUpPolls is how many poll intervals a publication waits for an instance that misses records. Peers that have
// folded them are asked once in each interval.
const catchUpPolls = 4

// base reads the log and returns the state to publish on, or the outcome if there is none.
func (c *Controller) base(ctx context.Context, p Publication) (State, *Outcome) {
	if err := c.poll(ctx); err != nil {
		out := notAccepted("the log cannot be read: %v", err)
		return State{}, &out
	}
	for range catchUpPolls {
		if !c.missesRecords() || !c.pause(ctx) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Outcome
	switch {
	case c.newer > 0:
		out = notAccepted("the current version has schema %d, this instance reads up to %d", c.newer, SchemaVersion)
	case c.behind():
		out = notAccepted("this instance misses records of the log; publish at another one, or restore if all of them say so")
	case p.Replaces < c.state.Version:
		out = c.replaced(p)
	case p.Replaces > c.state.Version:
		out = notAccepted("version %d does not exist, the current one is %d", p.Replaces, c.state.Version)
	default:
		return c.state, nil
	}
	return State{}, &out
}

func (c *Controller) missesRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behind()
}

// replaced returns the outcome of a publication whose base is not the current version any more. It has won if it is a
// repetition of the publication that replaced the base. c.mu is held.
func (c *Controller) replaced(p Publication) Outcome {
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

// settle appends a record and follows the log from its base until the record's fate is known. The record may be
// appended more than once: at most one of the copies can win, because all of them replace the same version.
func (c *Controller) settle(ctx context.Context, base State, r Record) Outcome {
	data, err := r.Encode()
	if err != nil {
		return refused(asProblems(err))
	}
	f := follower{c: c, state: base, cursor: base.Next, mine: r}
	effect := false // an append may have taken effect
	for {
		_, err := c.append(ctx, data)
		if errors.Is(err, platform.ErrUnavailable) && !effect {
			return notAccepted("the log is unavailable: %v", err)
		}
		effect = true
		for acked := err == nil; ; {
			if out, ok := f.follow(ctx); ok {
				_ = c.poll(ctx) // brings the version into force here; the regular poll does so otherwise
				return out
			}
			if !c.pause(ctx) {
				return Outcome{Status: OutcomeUnknown, Reason: "the record was not found in the log in time"}
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

// pause waits for one poll interval and reports whether there is time left.
func (c *Controller) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.opts.Clock.After(c.opts.PollInterval):
		return true
	}
}

// follower folds the log on its own from the base of a publication, independent of states adopted from peers.
type follower struct {
	c      *Controller
	state  State
	cursor int64
	mine   Record
}

// follow reads to the end of the log. ok is false while the fate of the record is open.
func (f *follower) follow(ctx context.Context) (out Outcome, ok bool) {
	for {
		batch, err := f.c.readLog(ctx, f.cursor)
		if err != nil {
			return Outcome{}, false
		}
		for _, raw := range batch.Records {
			if out, ok := f.judge(raw); ok {
				return out, true
			}
			f.cursor = raw.Offset + 1
		}
		if f.cursor >= batch.Next {
			return Outcome{}, false
		}
	}
}

func (f *follower) judge(raw platform.Record) (Outcome, bool) {
	next, verdict := f.state.Apply(raw)
	f.state = next
	if verdict != Accepted {
		return Outcome{}, false
	}
	// The version has moved on from the base, which settles every copy of the record.
	if next.Nonce == f.mine.Nonce {
		return Outcome{Status: OutcomePublished, Version: next.Version, Author: next.Author}, true
	}
	return Outcome{Status: OutcomeConflict, Version: next.Version, Author: next.Author}, true
}
