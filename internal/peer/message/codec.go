// Package message holds the messages between entry instances.
//
// On the wire a message is a msgpack array of its fields in a fixed order. A newer version may append fields: an
// older reader skips them and a newer reader takes zero values for those that are missing, so instances of two
// versions understand each other during an upgrade. Fields are never reordered or removed.
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
	maxFields      = 15   // the longest array with a one-byte header
	fixArrayPrefix = 0x90 // msgpack fixarray
)

var (
	errTrailing = errors.New("data after the message")
	errTooLong  = errors.New("list is longer than the message")
)

// Message is a message that can be encoded and decoded.
type Message interface {
	visit(c *codec)
}

// codec encodes or decodes the fields that a message's visit method names, in their order. After an error the rest
// of the calls do nothing.
type codec struct {
	err           error
	out           bytes.Buffer
	enc           *msgpack.Encoder // nil when decoding
	fieldsWritten int
	in            bytes.Reader
	dec           *msgpack.Decoder
	fieldsLeft    int // fields of the message that are still to be read
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

// Encode returns a message's encoding.
func Encode(m Message) []byte {
	c := encoders.Get().(*codec)
	defer encoders.Put(c)
	c.out.Reset()
	c.nested(m.visit)
	if c.err != nil { // only a message with too many fields gets here; writes to a buffer do not fail
		panic(fmt.Sprintf("message %T: %v", m, c.err))
	}
	return bytes.Clone(c.out.Bytes())
}

// Decode reads a message into m, whose fields must be zero.
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

// nested encodes or decodes the fields of a message or of an element of a list.
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

// nextField reports whether the next field is to be read.
func (c *codec) nextField() bool {
	if c.err != nil || c.fieldsLeft <= 0 {
		return false
	}
	c.fieldsLeft--
	return true
}

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

// duration carries whole microseconds.
func (c *codec) duration(v *time.Duration) {
	n := v.Microseconds()
	c.long(&n)
	*v = time.Duration(n) * time.Microsecond
}

// list carries a list of elements, each of which is an array of its own.
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
	if err == nil && n > c.in.Len() { // each element takes a byte at least
		err = errTooLong
	}
	c.err = err
	for i := 0; i < n && c.err == nil; i++ {
		var e T
		c.nested(func(c *codec) { visit(&e, c) })
		*v = append(*v, e)
	}
}
