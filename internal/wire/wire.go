// Package wire decodes MessagePack from other processes. A short payload that claims long lists, or nests them deeply, makes it neither
// allocate much memory nor use up the stack.
package wire

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the lists and maps around a value. Those of the messages and records nest at most five deep.
const maxDepth = 32

// errTooDeep reports a payload with more nested lists than any message or record has.
var errTooDeep = errors.New("wire: lists are nested too deeply")

// Unmarshal decodes a payload. Its lengths are checked first: the library allocates a list of the length that the payload claims, even
// if the entries are missing.
func Unmarshal(payload []byte, target any) error {
	if err := check(payload); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(payload, target); err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	return nil
}

// check reports whether a payload contains all entries of its lists and maps.
func check(payload []byte) error {
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(payload))
	return skip(d, 0)
}

// skip reads a value that is inside a number of lists and maps.
func skip(d *msgpack.Decoder, depth int) error {
	entries, err := entriesOf(d)
	if err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	if entries > 0 && depth == maxDepth {
		return errTooDeep
	}
	for range entries {
		if err := skip(d, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// entriesOf reads a value, or the beginning of a list or map, and returns the number of values that it contains.
func entriesOf(d *msgpack.Decoder) (int, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := d.DecodeMapLen()
		return 2 * n, err
	}
	return 0, d.Skip()
}
