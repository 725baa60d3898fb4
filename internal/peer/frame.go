package peer

import (
	"encoding/binary"
	"fmt"
	"io"
)

// kind is the kind of a frame.
type kind uint8

const (
	kindRequest   kind = 1
	kindResponse  kind = 2
	kindFailure   kind = 3 // the handler returned an error; the body is its text
	kindRefusal   kind = 4 // the request was not passed to a handler; the body is the reason
	kindNotify    kind = 5
	kindGoAway    kind = 6 // the sender will close the connection; the receiver makes no new calls on it and sends kindGoAwayAck
	kindGoAwayAck kind = 7
)

const (
	headerBytes = 10 // body length 4 bytes, kind 1, method 1, request number 4
	helloBytes  = 10 // wire version 1 byte, class 1, process number 8
	wireVersion = 1
)

type header struct {
	length uint32 // bytes of the body
	kind   kind
	method Method
	id     uint32 // request number, or the stream's class for kindGoAway
}

func appendHeader(b []byte, h header) []byte {
	b = binary.BigEndian.AppendUint32(b, h.length)
	b = append(b, byte(h.kind), byte(h.method))
	return binary.BigEndian.AppendUint32(b, h.id)
}

func readFrame(r io.Reader, scratch *[headerBytes]byte, maxMessage int) (header, []byte, error) {
	if _, err := io.ReadFull(r, scratch[:]); err != nil {
		return header{}, nil, err
	}
	h := header{
		length: binary.BigEndian.Uint32(scratch[:]),
		kind:   kind(scratch[4]),
		method: Method(scratch[5]),
		id:     binary.BigEndian.Uint32(scratch[6:]),
	}
	if int64(h.length) > int64(maxMessage) {
		return h, nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d", h.length, maxMessage)
	}
	body := make([]byte, h.length)
	_, err := io.ReadFull(r, body)
	return h, body, err
}

// class is the size class of a frame. Each class has its own stream in each direction.
type class uint8

const (
	classSmall class = 0
	classLarge class = 1
	classCount       = 2

	smallFrameBytes = 16 << 10 // a larger body on the stream of small frames would delay heartbeats by several packets
)

func classOf(bodyBytes int) class {
	if bodyBytes > smallFrameBytes {
		return classLarge
	}
	return classSmall
}

// appendHello appends the first bytes of a stream: wire version, class and the number of this process.
func appendHello(b []byte, c class, process uint64) []byte {
	b = append(b, wireVersion, byte(c))
	return binary.BigEndian.AppendUint64(b, process)
}

func readHello(r io.Reader) (class, uint64, error) {
	var raw [helloBytes]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return 0, 0, err
	}
	if raw[0] != wireVersion || raw[1] >= classCount {
		return 0, 0, fmt.Errorf("the peer uses wire version %d, this process uses %d", raw[0], wireVersion)
	}
	return class(raw[1]), binary.BigEndian.Uint64(raw[2:]), nil
}
