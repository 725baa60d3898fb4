package config

import (
	"context"
	"crypto/rand"

	"github.com/jonboulle/clockwork"
)

// Restore appends a checkpoint with an operator's document as a new base. It is for the case that the log's retention
// has dropped records that no live instance has folded, for example after the whole system was stopped for longer than
// the retention: nobody can publish then. It is refused on an instance that has folded the whole log.
func (c *Controller) Restore(ctx context.Context, author string, document []byte) Outcome {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.PublishTimeout)
	defer cancel()
	cfg, err := Decode(document)
	if err != nil {
		return refused(asProblems(err))
	}
	if err := c.poll(ctx); err != nil {
		return notAccepted("the log cannot be read: %v", err)
	}
	r, ok := c.restoreRecord()
	if !ok {
		return Outcome{Status: OutcomeNotNeeded, Reason: "this instance has the whole log; publish instead"}
	}
	r.Nonce = rand.Text()
	r.Schema, r.Author, r.Document, r.Digest = cfg.Schema, author, string(document), DocumentDigest(document)
	if err := r.check(); err != nil {
		return notAccepted("%v", err)
	}
	data, err := r.Encode()
	if err != nil {
		return refused(asProblems(err))
	}
	if _, err := c.append(ctx, data); err != nil {
		return Outcome{Status: OutcomeUnknown, Reason: err.Error()}
	}
	if err := c.poll(ctx); err != nil {
		return Outcome{Status: OutcomeUnknown, Reason: err.Error()}
	}
	s := c.Current().State
	if s.Version == r.Version && s.Nonce == r.Nonce {
		return Outcome{Status: OutcomePublished, Version: s.Version, Author: s.Author}
	}
	return Outcome{Status: OutcomeConflict, Version: s.Version, Author: s.Author}
}

// restoreRecord returns the record without its document. Its version is above every version known here.
func (c *Controller) restoreRecord() (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.state.Version
	for _, v := range c.seen {
		version = max(version, v)
	}
	return Record{Kind: KindCheckpoint, Version: version + 1, AsOf: c.cursor}, c.behind()
}
