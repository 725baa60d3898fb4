// Package message defines and encodes the messages between entry instances.
//
// A message is encoded as a msgpack array of its fields in a fixed order. A newer version may append fields: older
// readers skip them, and newer readers use zero values for fields that are missing, so that instances of two versions
// understand each other during an upgrade. Fields are never reordered or removed.
//
// Terms of the messages: An incarnation is one process of an instance, numbered by the time of its start. The home of a job
// is the incarnation that issued the job's identity and answers it. The owner of a worker is the instance that starts
// tasks on the worker's slots. A home whose own slots are taken reports its backlog of waiting tasks to other owners; an
// owner with free slots grants some to the home for a short time, and the home delegates tasks to the owner under the
// grant. When the owner of a worker changes, the new owner claims the worker and the old one hands its slots over.
package message

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxFields      = 15   // maximum length of a msgpack array with a one-byte header
	fixArrayPrefix = 0x90 // header of such an array, msgpack's fixarray, without the length in its low four bits
)

var (
	errTrailing = errors.New("trailing data after the message")
	errTooLong  = errors.New("the length of a list exceeds the size of the message")
)

// Message is implemented by pointers to the message types of this package.
type Message interface {
	visit(c *codec)
}

// codec encodes or decodes the fields that a message's visit method passes to it, in that order. When decoding, calls
// after an error do nothing.
type codec struct {
	err           error
	out           bytes.Buffer
	enc           *msgpack.Encoder // nil when decoding
	fieldsWritten int              // fields of the innermost array that have been encoded
	in            bytes.Reader
	dec           *msgpack.Decoder
	fieldsLeft    int // fields of the innermost array that have not been decoded yet
}

var encoders = sync.Pool{New: func() any {
	c := &codec{}
	c.enc = msgpack.NewEncoder(&c.out)
	c.enc.UseCompactInts(true)
	return c
}}

var decoders = sync.Pool{New: func() any {
	c := &codec{}
	c.dec = msgpack.NewDecoder(&c.in)
	return c
}}

// Encode returns the encoding of a message. It panics if the type of the message has more than maxFields fields.
func Encode(m Message) []byte {
	c := encoders.Get().(*codec)
	defer encoders.Put(c)
	c.out.Reset()
	c.nested(m.visit)
	if c.err != nil { // only for a type with too many fields; writes to a buffer do not fail
		panic(fmt.Sprintf("message %T: %v", m, c.err))
	}
	return bytes.Clone(c.out.Bytes())
}

// Decode decodes a message into m, whose fields must be zero. It returns an error if data is malformed or has
// trailing bytes.
func Decode(data []byte, m Message) error {
	c := decoders.Get().(*codec)
	defer decoders.Put(c)
	c.in.Reset(data)
	c.dec.Reset(&c.in)
	c.err = nil
	c.nested(m.visit)
	if c.err == nil && c.in.Len() > 0 {
		c.err = errTrailing
	}
	if c.err != nil {
		return fmt.Errorf("message %T: %w", m, c.err)
	}
	return nil
}

// nested encodes or decodes an array of fields: a message or an element of a list.
func (c *codec) nested(visit func(*codec)) {
	if c.enc != nil {
		c.writeNested(visit)
		return
	}
	outer := c.fieldsLeft
	c.fieldsLeft, c.err = c.dec.DecodeArrayLen()
	if c.err != nil {
		return
	}
	visit(c)
	for c.err == nil && c.fieldsLeft > 0 {
		c.fieldsLeft--
		c.err = c.dec.Skip()
	}
	c.fieldsLeft = outer
}

func (c *codec) writeNested(visit func(*codec)) {
	outer, at := c.fieldsWritten, c.out.Len()
	c.fieldsWritten = 0
	c.out.WriteByte(fixArrayPrefix)
	visit(c)
	if c.fieldsWritten > maxFields {
		c.err = fmt.Errorf("%d fields, at most %d", c.fieldsWritten, maxFields)
		return
	}
	c.out.Bytes()[at] |= byte(c.fieldsWritten)
	c.fieldsWritten = outer
}

// nextField reports whether the array has a further field to decode, and counts it as decoded.
func (c *codec) nextField() bool {
	if c.err != nil || c.fieldsLeft <= 0 {
		return false
	}
	c.fieldsLeft--
	return true
}

// field encodes or decodes a single field. A field that is missing when decoding keeps its value.
func field[T any](c *codec, v *T, write func(T) error, read func() (T, error)) {
	if c.enc != nil {
		c.fieldsWritten++
		c.err = write(*v)
		return
	}
	if c.nextField() {
		*v, c.err = read()
	}
}

func (c *codec) text(v *string)  { field(c, v, c.enc.EncodeString, c.dec.DecodeString) }
func (c *codec) bytes(v *[]byte) { field(c, v, c.enc.EncodeBytes, c.dec.DecodeBytes) }
func (c *codec) bool(v *bool)    { field(c, v, c.enc.EncodeBool, c.dec.DecodeBool) }
func (c *codec) uint(v *uint64)  { field(c, v, c.enc.EncodeUint, c.dec.DecodeUint64) }

func (c *codec) float(v *float64) { field(c, v, c.enc.EncodeFloat64, c.dec.DecodeFloat64) }
func (c *codec) long(v *int64)    { field(c, v, c.enc.EncodeInt, c.dec.DecodeInt64) }

func (c *codec) int(v *int) {
	n := int64(*v)
	c.long(&n)
	*v = int(n)
}

// duration encodes a duration in whole microseconds.
func (c *codec) duration(v *time.Duration) {
	n := v.Microseconds()
	c.long(&n)
	*v = time.Duration(n) * time.Microsecond
}

// list encodes or decodes a field that is a list of elements, each of which is an array of fields.
func list[T any](c *codec, v *[]T, visit func(*T, *codec)) {
	if c.enc != nil {
		c.fieldsWritten++
		c.err = c.enc.EncodeArrayLen(len(*v))
		for i := range *v {
			c.nested(func(c *codec) { visit(&(*v)[i], c) })
		}
		return
	}
	if c.nextField() {
		readList(c, v, visit)
	}
}

func readList[T any](c *codec, v *[]T, visit func(*T, *codec)) {
	n, err := c.dec.DecodeArrayLen()
	if err == nil && n > c.in.Len() { // each element takes at least one byte
		err = errTooLong
	}
	c.err = err
	for i := 0; i < n && c.err == nil; i++ {
		var e T
		c.nested(func(c *codec) { visit(&e, c) })
		*v = append(*v, e)
	}
}
