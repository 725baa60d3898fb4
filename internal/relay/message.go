// Package relay carries jobs from the instances that callers reach to the instance that dispatches for a zone, and the
// answers back, over one TCP connection for each pair.
package relay

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/savorypass/savorypass/internal/pool"
	"github.com/savorypass/savorypass/internal/work"
)

// Submit asks a dispatcher to run a job, or to go on with it.
type Submit struct {
	Job work.Job `msgpack:"j"`
	// Partition is the part of the zone whose dispatcher is meant.
	Partition int `msgpack:"p,omitempty"`
	// Resumed tells that another dispatcher may have started tasks of the job.
	Resumed bool `msgpack:"r,omitempty"`
	// Waited is the time since the caller's request arrived.
	Waited time.Duration `msgpack:"w,omitempty"`
}

// Cancel tells a dispatcher that nobody waits for a job any more.
type Cancel struct {
	Job       work.JobID `msgpack:"j"`
	Partition int        `msgpack:"p,omitempty"`
}

// Answer is a dispatcher's last word on a job.
type Answer struct {
	Job work.JobID `msgpack:"j"`
	// State is Completed or Failed; empty for a refusal.
	State work.State `msgpack:"s,omitempty"`
	// Refused says why the job was not taken; no task of it has started.
	Refused    pool.Reason   `msgpack:"r,omitempty"`
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// Started tells, with a refusal by a dispatcher whose term has ended, that tasks of the job may have started.
	Started bool `msgpack:"t,omitempty"`
}

// Load tells how much work a dispatcher has.
type Load struct {
	Partition int `msgpack:"p"`
	// Pressure is the room that is taken or waited for, in percent of the whole.
	Pressure int `msgpack:"l"`
}

// beat keeps a connection known to be alive. A dispatcher's beat carries its loads.
type beat struct {
	Loads []Load `msgpack:"l,omitempty"`
}

type kind byte

const (
	kindBeat kind = iota
	kindSubmit
	kindCancel
	kindAnswer
)

const (
	frameHeaderBytes = 5 // length of the payload and kind
	maxFrameBytes    = 1 << 20
)

// encode returns the frame of a message.
func encode(message any) ([]byte, error) {
	k, ok := kindOf(message)
	if !ok {
		return nil, fmt.Errorf("relay: no kind for %T", message)
	}
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if len(payload) > maxFrameBytes {
		return nil, fmt.Errorf("relay: message of %d bytes, at most %d are allowed", len(payload), maxFrameBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame[4] = byte(k)
	return append(frame, payload...), nil
}

func kindOf(message any) (kind, bool) {
	switch message.(type) {
	case *beat:
		return kindBeat, true
	case *Submit:
		return kindSubmit, true
	case *Cancel:
		return kindCancel, true
	case *Answer:
		return kindAnswer, true
	}
	return 0, false
}

// read returns the next message.
func read(r io.Reader) (any, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("relay: message of %d bytes, at most %d are allowed", n, maxFrameBytes)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	return decode(kind(header[4]), payload)
}

func decode(k kind, payload []byte) (any, error) {
	var message any
	switch k {
	case kindBeat:
		message = &beat{}
	case kindSubmit:
		message = &Submit{}
	case kindCancel:
		message = &Cancel{}
	case kindAnswer:
		message = &Answer{}
	default:
		return nil, fmt.Errorf("relay: message of unknown kind %d", k)
	}
	if err := msgpack.Unmarshal(payload, message); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return message, nil
}
