package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"

	"github.com/savorypass/savorypass/internal/result"
)

// Stream is the log stream that holds the configuration's records.
const Stream = "config"

// MaxRecordBytes bounds an encoded record. JSON escapes of line ends and quotes add to the document's size.
const MaxRecordBytes = 192 * 1024

// maxPublishBytes leaves room for the fields that a checkpoint has and a publish record has not: every version must fit
// a checkpoint.
const maxPublishBytes = MaxRecordBytes - 128

const maxAuthorBytes = 128

var noncePattern = regexp.MustCompile(`^[!-~]{1,64}$`)

// Kind tells what a record is.
type Kind string

// The kinds of records.
const (
	KindPublish    Kind = "publish"    // a new version
	KindCheckpoint Kind = "checkpoint" // the state that all records below AsOf result in
)

// Record is one record of the stream.
type Record struct {
	Kind     Kind   `json:"kind"`
	Schema   int    `json:"schema"`
	Version  uint64 `json:"version"`
	Replaces uint64 `json:"replaces,omitempty"` // publish: the version that it was made from
	Nonce    string `json:"nonce,omitempty"`    // chosen by the publisher, to find the record again
	Author   string `json:"author"`             // who published the document
	AsOf     int64  `json:"as_of,omitempty"`    // checkpoint: records below this offset are included
	Document string `json:"document"`
	Digest   string `json:"digest"` // DocumentDigest of Document
}

// Encode returns the record as the log keeps it. The error is Problems if the record is too large.
func (r Record) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return nil, err
	}
	if limit := r.Kind.maxBytes(); buf.Len() > limit {
		bound := fmt.Sprintf("makes a record of %d bytes, at most %d", buf.Len(), limit)
		return nil, Problems{{Code: result.BodyTooLarge, Bound: bound}}
	}
	return bytes.TrimSpace(buf.Bytes()), nil
}

// DecodeRecord reads a record and checks everything but its document.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, fmt.Errorf("record has %d bytes, at most %d", len(data), MaxRecordBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&r); err != nil {
		return r, fmt.Errorf("record is not valid JSON: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return r, fmt.Errorf("record has data after the JSON value")
	}
	if limit := r.Kind.maxBytes(); len(data) > limit {
		return r, fmt.Errorf("%s record has %d bytes, at most %d", r.Kind, len(data), limit)
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
		return fmt.Errorf("record kind %q is not known", r.Kind)
	case r.Kind == KindPublish && !noncePattern.MatchString(r.Nonce):
		return fmt.Errorf("nonce must have 1 to 64 visible ASCII characters")
	case r.Kind == KindPublish && (r.Version == 0 || r.Version-1 != r.Replaces):
		return fmt.Errorf("version %d does not follow version %d", r.Version, r.Replaces)
	case r.Version == 0 || r.AsOf < 0:
		return fmt.Errorf("checkpoint of version %d as of offset %d", r.Version, r.AsOf)
	case len(r.Author) > maxAuthorBytes:
		return fmt.Errorf("author has %d bytes, at most %d", len(r.Author), maxAuthorBytes)
	case r.Digest != DocumentDigest([]byte(r.Document)):
		return fmt.Errorf("digest of the record does not match its document")
	}
	return nil
}

// checkDocument validates the document and its agreement with the record.
func (r Record) checkDocument() error {
	c, err := Decode([]byte(r.Document))
	if err != nil {
		return err
	}
	if c.Schema != r.Schema {
		return fmt.Errorf("record states schema %d, its document schema %d", r.Schema, c.Schema)
	}
	return nil
}

// readableSchema reports whether this program can validate documents of a schema version.
func readableSchema(schema int) bool {
	return schema >= MinSchemaVersion && schema <= SchemaVersion
}
