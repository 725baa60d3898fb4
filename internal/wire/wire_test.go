package wire

import (
	"bytes"
	"errors"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// content has the kinds of fields that messages and records have.
type content struct {
	List   []content      `msgpack:"l,omitempty"`
	Map    map[string]int `msgpack:"m,omitempty"`
	Text   string         `msgpack:"t,omitempty"`
	Raw    []byte         `msgpack:"r,omitempty"`
	Number float64        `msgpack:"n,omitempty"`
}

// maxAllocated bounds the memory that a malformed payload may cost. The library reads a text in pieces of 1 MB.
const maxAllocated = 4 << 20

// Guards against payloads that are not decoded because the check takes them for incomplete.
func TestUnmarshal(t *testing.T) {
	is := is.New(t)
	in := content{
		List: []content{{Text: "a"}, {List: []content{{Number: 1.5}}}}, Map: map[string]int{"x": 1 << 40, "y": -1},
		Text: string(bytes.Repeat([]byte{'t'}, 70_000)), Raw: bytes.Repeat([]byte{7}, 300),
	}
	for range 70_000 {
		in.List = append(in.List, content{})
	}
	payload, err := msgpack.Marshal(&in)
	is.NoErr(err)
	var out content
	is.NoErr(Unmarshal(payload, &out))
	is.Equal(out, in)
}

// Guards against a process that runs out of memory or of stack because of a short payload: lists and maps without their entries, and
// lists in lists.
func TestMalformedPayloads(t *testing.T) {
	field := func(name byte, value ...byte) []byte { return append([]byte{0x81, 0xa1, name}, value...) }
	for name, payload := range map[string][]byte{
		"empty":            {},
		"list":             field('l', 0xdd, 0, 13, 0, 0),
		"map":              field('m', 0xdf, 0, 13, 0, 0),
		"text":             field('t', 0xdb, 0x7f, 0, 0, 0),
		"bytes":            field('r', 0xc6, 0x7f, 0, 0, 0),
		"lists in lists":   bytes.Repeat([]byte{0x91}, 4<<20),
		"in an unknown":    field('?', bytes.Repeat([]byte{0x91}, 4<<20)...),
		"maps in maps":     field('?', bytes.Repeat([]byte{0x81}, 4<<20)...),
		"list of the most": field('l', 0xdd, 255, 255, 255, 255),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := Unmarshal(payload, &content{})
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
		})
	}
	is.New(t).True(errors.Is(Unmarshal(bytes.Repeat([]byte{0x91}, maxDepth+2), &content{}), errTooDeep))
}
