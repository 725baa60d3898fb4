package config

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/diff"
)

// Version is one entry of the history of versions on this instance.
type Version struct {
	Version      uint64    `json:"version"`
	Schema       int       `json:"schema"`
	Author       string    `json:"author"`
	Digest       string    `json:"digest"`   // DocumentDigest of Document
	Nonce        string    `json:"nonce"`    // nonce of the publication
	InForceSince time.Time `json:"in_force"` // when it came into force on this instance
	Document     string    `json:"-"`
}

// appendHistory appends the current state to the history and drops the oldest entry beyond HistorySize. c.mu must be
// held.
func (c *Controller) appendHistory() {
	s := c.state
	c.history = append(c.history, Version{s.Version, s.Schema, s.Author, s.Digest, s.Nonce, c.opts.Clock.Now(), s.Document})
	if extra := len(c.history) - c.opts.HistorySize; extra > 0 {
		c.history = append([]Version(nil), c.history[extra:]...)
	}
}

// History returns the latest versions that have been in force on this instance, the oldest first. Versions that were
// replaced before this instance learned of them are absent.
func (c *Controller) History() []Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Version(nil), c.history...)
}

// Diff returns the differences between the documents of two versions as a unified diff. The error says which version is
// not in the history of this instance.
func (c *Controller) Diff(from, to uint64) (string, error) {
	a, err := c.historyVersion(from)
	if err != nil {
		return "", err
	}
	b, err := c.historyVersion(to)
	if err != nil {
		return "", err
	}
	text := diff.Diff(fmt.Sprintf("version %d", from), []byte(a.Document), fmt.Sprintf("version %d", to), []byte(b.Document))
	return string(text), nil
}

func (c *Controller) historyVersion(version uint64) (Version, error) {
	for _, v := range c.History() {
		if v.Version == version {
			return v, nil
		}
	}
	return Version{}, fmt.Errorf("version %d is not in the history of this instance", version)
}

// Dump returns the controller's state for the operators' port, without documents.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state
	s.Document = ""
	configDigest := ""
	if c.config != nil {
		configDigest = c.config.Digest()
	}
	peerVersions := make(map[string]uint64, len(c.peerVersions))
	for p, v := range c.peerVersions {
		peerVersions[p] = v
	}
	return struct {
		State       State             `json:"state"`
		Meaning     string            `json:"meaning_digest"`
		Cursor      int64             `json:"cursor"`
		Behind      bool              `json:"behind"`
		NewerSchema int               `json:"newer_schema"`
		Checkpoint  time.Time         `json:"last_checkpoint"`
		Peers       map[string]uint64 `json:"peers"`
		History     []Version         `json:"history"`
		Status      stats             `json:"status"`
	}{s, configDigest, c.cursor, c.behindLocked(), c.newerSchema, c.lastCheckpointAt, peerVersions, append([]Version(nil), c.history...), c.stats}
}
