package config

import (
	"context"
	"crypto/rand"

	"github.com/jonboulle/clockwork"
)

// Restore appends a checkpoint with an operator's document, from which all instances continue. It is needed when the
// log's retention has dropped records that no live instance has folded, for example after the whole system was stopped
// for longer than the retention: no instance can publish then. On an instance that misses no records the outcome is
// OutcomeNotNeeded.
func (c *Controller) Restore(ctx context.Context, author string, document []byte) Outcome {
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.PublishTimeout)
	defer cancel()
	cfg, err := Decode(document)
	if err != nil {
		return invalidDocument(asProblems(err))
	}
	if err := c.poll(ctx); err != nil {
		return rejected("the log cannot be read: %v", err)
	}
	r, needed := c.restoreRecord()
	if !needed {
		return Outcome{Status: OutcomeNotNeeded, Reason: "this instance misses no records of the log; publish the document instead"}
	}
	r.Nonce = rand.Text()
	r.Schema, r.Author, r.Document, r.Digest = cfg.Schema, author, string(document), DocumentDigest(document)
	if err := r.check(); err != nil {
		return rejected("%v", err)
	}
	data, err := r.Encode()
	if err != nil {
		return invalidDocument(asProblems(err))
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

// restoreRecord returns the checkpoint record without its document, and whether a restore is needed. Its version is
// above every version that this instance knows of.
func (c *Controller) restoreRecord() (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.state.Version
	for _, v := range c.peerVersions {
		version = max(version, v)
	}
	return Record{Kind: KindCheckpoint, Version: version + 1, AsOf: c.cursor}, c.behindLocked()
}
