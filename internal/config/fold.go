package config

import "github.com/savorypass/savorypass/internal/platform"

// State is the result of the fold of all records below Next. It is a value: Apply never changes its receiver.
//
// Every instance that has folded the same records holds the same State, because each verdict depends on the records
// alone. A record is folded only in its place: the one at offset Next. Where the log's retention has dropped that
// record, the dropped ones may have changed the version, so nothing more is accepted until a checkpoint or a peer's
// state gives a newer base.
type State struct {
	Version  uint64 `json:"version"` // 0: no configuration yet
	Schema   int    `json:"schema"`
	Author   string `json:"author"`
	Nonce    string `json:"nonce"` // of the record that published the version
	Document string `json:"document"`
	Digest   string `json:"digest"`
	Next     int64  `json:"next"` // offset of the first record that is not folded
}

// Snapshot is a state that one instance passes to another.
type Snapshot = State

// Verdict is what Apply decided on a record.
type Verdict int

// The verdicts.
const (
	Accepted    Verdict = iota // a publish record: its version is the current one
	Conflict                   // a publish record: another one has replaced its base
	Invalid                    // the record or its document is invalid; every instance passes over it
	Duplicate                  // the record is below Next: it is folded already
	Gap                        // records before this one are missing; it cannot be judged
	NewerSchema                // the record needs a newer program; nothing after it can be judged
	Rebased                    // a checkpoint: the state is its own, and the records from Next on are to be folded
	Redundant                  // a checkpoint: the state includes it
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"accepted", "lost", "invalid", "repeated", "gap", "newer schema", "rebased", "redundant"}[v]
}

// Apply folds one record of the log.
func (s State) Apply(raw platform.Record) (State, Verdict) {
	if raw.Offset < s.Next {
		return s, Duplicate
	}
	r, err := DecodeRecord(raw.Data)
	if err == nil && r.Kind == KindCheckpoint {
		return s.checkpoint(raw.Offset, r)
	}
	if raw.Offset > s.Next {
		return s, Gap
	}
	if err != nil {
		return s.passed(Invalid)
	}
	return s.publish(r)
}

func (s State) publish(r Record) (State, Verdict) {
	if r.Replaces != s.Version {
		return s.passed(Conflict)
	}
	if r.Schema > SchemaVersion {
		// The record may be valid to newer instances. Next stays, so that every later record is a gap.
		return s, NewerSchema
	}
	if r.checkDocument() != nil {
		return s.passed(Invalid)
	}
	return r.state(s.Next + 1), Accepted
}

func (s State) checkpoint(offset int64, r Record) (State, Verdict) {
	switch {
	case r.AsOf > offset || r.Version < s.Version:
		return s.after(offset, Invalid)
	case r.AsOf <= s.Next && (s.Version > 0 || r.AsOf < s.Next):
		return s.after(offset, Redundant)
	case r.Schema > SchemaVersion:
		return s, NewerSchema
	case r.checkDocument() != nil:
		return s.after(offset, Invalid)
	}
	return r.state(r.AsOf), Rebased
}

// after passes over a checkpoint if it is the next record in its place.
func (s State) after(offset int64, v Verdict) (State, Verdict) {
	if offset == s.Next {
		return s.passed(v)
	}
	return s, v
}

func (s State) passed(v Verdict) (State, Verdict) {
	s.Next++
	return s, v
}

// state returns the state that the record describes, as of next.
func (r Record) state(next int64) State {
	return State{Version: r.Version, Schema: r.Schema, Author: r.Author, Nonce: r.Nonce, Document: r.Document, Digest: r.Digest, Next: next}
}

// Adopt takes over a peer's state if it is newer: its version is higher, or it is the same version with more records
// folded. The peer's document is validated again.
func (s State) Adopt(p Snapshot) (State, bool) {
	if p.Version < s.Version || p.Version == 0 || !readableSchema(p.Schema) {
		return s, false
	}
	if p.Version == s.Version && (p.Next <= s.Next || p.Nonce != s.Nonce) {
		return s, false
	}
	if p.Next < 0 || p.checkpointRecord().check() != nil || p.checkpointRecord().checkDocument() != nil {
		return s, false
	}
	return p, true
}

// checkpointRecord returns the record that makes the state the base of a starting instance.
func (s State) checkpointRecord() Record {
	return Record{
		Kind: KindCheckpoint, Schema: s.Schema, Version: s.Version, Author: s.Author, Nonce: s.Nonce,
		AsOf: s.Next, Document: s.Document, Digest: s.Digest,
	}
}
