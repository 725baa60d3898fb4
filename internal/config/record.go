package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"

	"github.com/savorypass/savorypass/internal/result"
)

// Stream is the name of the log stream that holds the configuration records.
const Stream = "config"

// MaxRecordBytes is the largest size of an encoded record. It exceeds MaxDocumentBytes because JSON escapes line ends
// and quotes.
const MaxRecordBytes = 192 * 1024

// maxPublishBytes is the largest size of an encoded publish record. It leaves room for the fields that only a
// checkpoint has, so that every published version also fits into a checkpoint.
const maxPublishBytes = MaxRecordBytes - 128

const maxAuthorBytes = 128

var noncePattern = regexp.MustCompile(`^[!-~]{1,64}$`)

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	KindPublish    Kind = "publish"    // publishes a new version
	KindCheckpoint Kind = "checkpoint" // repeats the state that results from all records below the offset AsOf
)

// Record is one record of the configuration stream.
type Record struct {
	Kind     Kind   `json:"kind"`
	Schema   int    `json:"schema"`
	Version  uint64 `json:"version"`            // number of the version that the record publishes or repeats
	Replaces uint64 `json:"replaces,omitempty"` // publish: the version that Version replaces, which is Version-1
	Nonce    string `json:"nonce,omitempty"`    // identifies the publication; chosen by the publisher to find the record again
	Author   string `json:"author"`             // name of the operator who published the document
	AsOf     int64  `json:"as_of,omitempty"`    // checkpoint: offset of the first record that is not included
	Document string `json:"document"`
	Digest   string `json:"digest"` // DocumentDigest of Document
}

// Encode returns the record as JSON, the form that the log stores. The error is of type Problems if the record is too
// large.
func (r Record) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return nil, err
	}
	if limit := r.Kind.maxBytes(); buf.Len() > limit {
		bound := fmt.Sprintf("makes a record of %d bytes, must be at most %d", buf.Len(), limit)
		return nil, Problems{{Code: result.BodyTooLarge, Bound: bound}}
	}
	return bytes.TrimSpace(buf.Bytes()), nil
}

// DecodeRecord decodes a record and checks all its fields, but does not validate the document.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, fmt.Errorf("record has %d bytes, must have at most %d", len(data), MaxRecordBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&r); err != nil {
		return r, fmt.Errorf("record is not valid JSON: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return r, fmt.Errorf("record has data after the JSON value")
	}
	if limit := r.Kind.maxBytes(); len(data) > limit {
		return r, fmt.Errorf("%s record has %d bytes, must have at most %d", r.Kind, len(data), limit)
	}
	return r, r.check()
}

func (k Kind) maxBytes() int {
	if k == KindPublish {
		return maxPublishBytes
	}
	return MaxRecordBytes
}

func (r Record) check() error {
	switch {
	case r.Kind != KindPublish && r.Kind != KindCheckpoint:
		return fmt.Errorf("record kind %q is unknown, must be publish or checkpoint", r.Kind)
	case r.Kind == KindPublish && !noncePattern.MatchString(r.Nonce):
		return fmt.Errorf("nonce must have 1 to 64 visible ASCII characters")
	case r.Kind == KindPublish && (r.Version == 0 || r.Version-1 != r.Replaces):
		return fmt.Errorf("version %d is not the successor of version %d", r.Version, r.Replaces)
	case r.Version == 0 || r.AsOf < 0:
		return fmt.Errorf("record states version %d, must be at least 1, and as_of %d, must be at least 0", r.Version, r.AsOf)
	case len(r.Author) > maxAuthorBytes:
		return fmt.Errorf("author has %d bytes, must have at most %d", len(r.Author), maxAuthorBytes)
	case r.Digest != DocumentDigest([]byte(r.Document)):
		return fmt.Errorf("digest of the record differs from the digest of its document")
	}
	return nil
}

// checkDocument validates the document and checks that its schema is the one that the record states.
func (r Record) checkDocument() error {
	c, err := Decode([]byte(r.Document))
	if err != nil {
		return err
	}
	if c.Schema != r.Schema {
		return fmt.Errorf("record states schema %d, but its document states schema %d", r.Schema, c.Schema)
	}
	return nil
}

// readableSchema reports whether this program can validate documents of a schema version.
func readableSchema(schema int) bool {
	return schema >= MinSchemaVersion && schema <= SchemaVersion
}
