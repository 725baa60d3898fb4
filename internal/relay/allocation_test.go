package relay

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// allocated returns the bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an instance that runs out of memory because a short message of another instance claims long lists: they were allocated
// before their entries were read.
func TestClaimedLengths(t *testing.T) {
	const maxBytes = 4 << 20 // 900,000 entries take more
	for k, field := range map[kind]string{kindSubmit: "a", kindHeartbeat: "c"} {
		t.Run(fmt.Sprint("kind ", k), func(t *testing.T) {
			is := is.New(t)
			var payload bytes.Buffer
			e := msgpack.NewEncoder(&payload)
			is.NoErr(e.EncodeMapLen(1))
			is.NoErr(e.EncodeString(field))
			is.NoErr(e.EncodeArrayLen(900_000))
			var err error
			bytes := allocated(func() { _, err = decode(k, payload.Bytes()) })
			is.True(err != nil)
			is.True(bytes < maxBytes)
		})
	}
}

// Guards against an instance that uses up its stack, and ends, because a message nests lists that are read to be skipped.
func TestNestedLists(t *testing.T) {
	is := is.New(t)
	_, err := decode(kindSubmit, append([]byte{0x81, 0xa1, '?'}, bytes.Repeat([]byte{0x91}, maxFrameBytes-3)...))
	is.True(err != nil)
}
