package config

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/diff"
)

// Version is one entry of the history.
type Version struct {
	Version      uint64    `json:"version"`
	Schema       int       `json:"schema"`
	Author       string    `json:"author"`
	Digest       string    `json:"digest"`
	Nonce        string    `json:"nonce"`
	InForceSince time.Time `json:"in_force"` // on this instance
	Document     string    `json:"-"`
}

// remember adds the current state to the history. c.mu is held.
func (c *Controller) remember() {
	s := c.state
	c.history = append(c.history, Version{s.Version, s.Schema, s.Author, s.Digest, s.Nonce, c.opts.Clock.Now(), s.Document})
	if extra := len(c.history) - c.opts.HistorySize; extra > 0 {
		c.history = append([]Version(nil), c.history[extra:]...)
	}
}

// History returns the last versions that were in force on this instance, the oldest first. Versions that were
// replaced before this instance learned of them are absent.
func (c *Controller) History() []Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Version(nil), c.history...)
}

// Diff returns the changes from one version of the history to another in unified form.
func (c *Controller) Diff(from, to uint64) (string, error) {
	a, err := c.kept(from)
	if err != nil {
		return "", err
	}
	b, err := c.kept(to)
	if err != nil {
		return "", err
	}
	text := diff.Diff(fmt.Sprintf("version %d", from), []byte(a.Document), fmt.Sprintf("version %d", to), []byte(b.Document))
	return string(text), nil
}

func (c *Controller) kept(version uint64) (Version, error) {
	for _, v := range c.History() {
		if v.Version == version {
			return v, nil
		}
	}
	return Version{}, fmt.Errorf("version %d is not in the history of this instance", version)
}

// Dump returns the controller's state for the operators' port. Documents are left out.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state
	s.Document = ""
	meaning := ""
	if c.config != nil {
		meaning = c.config.Digest()
	}
	seen := make(map[string]uint64, len(c.seen))
	for p, v := range c.seen {
		seen[p] = v
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
		Status      status            `json:"status"`
	}{s, meaning, c.cursor, c.behind(), c.newer, c.checkpoint, seen, append([]Version(nil), c.history...), c.status}
}
