package config

import "github.com/savorypass/savorypass/internal/platform"

// State is the result of folding all records of the log below the offset Next. It is a value: Apply never changes its
// receiver.
//
// Each verdict depends on the records alone, so all instances that have folded the same records hold the same State.
// Records are folded strictly in order: only the record at offset Next is folded. If the log's retention has dropped
// that record, the version may have changed in the dropped records, so no publish record is accepted until the state is
// replaced by a checkpoint or a peer's state that includes them.
type State struct {
	Version  uint64 `json:"version"` // 0 before the first configuration
	Schema   int    `json:"schema"`
	Author   string `json:"author"`
	Nonce    string `json:"nonce"` // nonce of the record that published the version
	Document string `json:"document"`
	Digest   string `json:"digest"`
	Next     int64  `json:"next"` // offset of the first record that is not folded
}

// Snapshot is a State that one instance sends to another.
type Snapshot = State

// Verdict is the decision of Apply on a record.
type Verdict int

// The verdicts.
const (
	Accepted    Verdict = iota // publish record: its version is now the current one
	Conflict                   // publish record: the version that it replaces is not the current one
	Invalid                    // the record or its document is invalid; every instance skips it
	Duplicate                  // the record is below Next, so it has been folded already
	Gap                        // records before this one are missing or cannot be read, so it cannot be judged
	NewerSchema                // the record needs a newer program; of the later records only a checkpoint can be folded
	Rebased                    // checkpoint: the state was replaced by the checkpoint's; folding continues at the new Next
	Redundant                  // checkpoint: the state already includes it
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"accepted", "lost", "invalid", "repeated", "gap", "newer schema", "rebased", "redundant"}[v]
}

// Apply returns the state after one more record of the log, and the verdict on the record.
func (s State) Apply(raw platform.Record) (State, Verdict) {
	if raw.Offset < s.Next {
		return s, Duplicate
	}
	r, err := DecodeRecord(raw.Data)
	if err == nil && r.Kind == KindCheckpoint {
		return s.applyCheckpoint(raw.Offset, r)
	}
	if raw.Offset > s.Next {
		return s, Gap
	}
	if err != nil {
		return s.skip(Invalid)
	}
	return s.applyPublish(r)
}

func (s State) applyPublish(r Record) (State, Verdict) {
	if r.Replaces != s.Version {
		return s.skip(Conflict)
	}
	if r.Schema > SchemaVersion {
		// Newer instances may accept the record. Next is not advanced, so every later record but a checkpoint is a Gap.
		return s, NewerSchema
	}
	if r.checkDocument() != nil {
		return s.skip(Invalid)
	}
	return r.state(s.Next + 1), Accepted
}

// applyCheckpoint returns the state after the checkpoint at an offset of the log. A checkpoint is invalid if it claims to
// include records after itself, or holds a lower version than the state. It is redundant if the state includes all of
// its records. A state without a version is also replaced by a checkpoint of the same records, because operators can
// restore a document as a checkpoint, see Controller.Restore.
func (s State) applyCheckpoint(offset int64, r Record) (State, Verdict) {
	switch {
	case r.AsOf > offset || r.Version < s.Version:
		return s.skipCheckpoint(offset, Invalid)
	case r.AsOf <= s.Next && (s.Version > 0 || r.AsOf < s.Next):
		return s.skipCheckpoint(offset, Redundant)
	case r.Schema > SchemaVersion:
		return s, NewerSchema
	case r.checkDocument() != nil:
		return s.skipCheckpoint(offset, Invalid)
	}
	return r.state(r.AsOf), Rebased
}

// skipCheckpoint returns the verdict on a checkpoint that changes nothing. Next is advanced only if the checkpoint is
// at Next.
func (s State) skipCheckpoint(offset int64, v Verdict) (State, Verdict) {
	if offset == s.Next {
		return s.skip(v)
	}
	return s, v
}

func (s State) skip(v Verdict) (State, Verdict) {
	s.Next++
	return s, v
}

// state returns the state that the record describes; next is the offset of the first record that is not folded.
func (r Record) state(next int64) State {
	return State{Version: r.Version, Schema: r.Schema, Author: r.Author, Nonce: r.Nonce, Document: r.Document, Digest: r.Digest, Next: next}
}

// Adopt returns the peer's state and true if that state is newer: it has a higher version, or the same version from the
// same publication with more records folded. The peer's document is validated again. Otherwise Adopt returns the receiver
// and false.
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

// checkpointRecord returns a checkpoint of the state. A starting instance can begin its fold with it.
func (s State) checkpointRecord() Record {
	return Record{
		Kind: KindCheckpoint, Schema: s.Schema, Version: s.Version, Author: s.Author, Nonce: s.Nonce,
		AsOf: s.Next, Document: s.Document, Digest: s.Digest,
	}
}
