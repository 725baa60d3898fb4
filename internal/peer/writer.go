package peer

import (
	"errors"
	"io"
	"sync"
)

const maxSpareBytes = 1 << 20 // a larger buffer is released after a burst

var errPendingFull = errors.New("too many bytes wait to be sent")

// writer collects frames and sends whatever has come together in one write, so that messages under load share
// packets and system calls.
type writer struct {
	out   io.Writer
	limit int
	wake  chan struct{}

	mu      sync.Mutex
	buf     []byte
	spare   []byte
	queued  uint64 // bytes ever queued
	written uint64 // bytes ever passed to the stream
	closed  bool
}

func newWriter(out io.Writer, limit int) *writer {
	return &writer{out: out, limit: limit, wake: make(chan struct{}, 1)}
}

// add queues a frame and returns its position in the stream.
func (w *writer) add(h header, body []byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, io.ErrClosedPipe
	}
	if len(w.buf)+headerBytes+len(body) > w.limit {
		return 0, errPendingFull
	}
	offset := w.queued
	w.buf = appendHeader(w.buf, h)
	w.buf = append(w.buf, body...)
	w.queued += uint64(headerBytes + len(body))
	if offset == w.written {
		w.signal()
	}
	return offset, nil
}

func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run sends frames until a write fails or close is called.
func (w *writer) run() error {
	for range w.wake {
		buf, open := w.take()
		if !open {
			return nil
		}
		if _, err := w.out.Write(buf); err != nil {
			return err
		}
	}
	return nil
}

func (w *writer) take() (buf []byte, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, false
	}
	buf = w.buf
	w.buf = w.spare[:0]
	w.spare = nil
	if cap(buf) <= maxSpareBytes {
		w.spare = buf // safe to reuse: the next take happens after the write of buf has returned
	}
	w.written = w.queued
	return buf, true
}

// close stops the writer. A frame at or behind the returned position was never passed to the stream.
func (w *writer) close() (written uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.signal()
	return w.written
}
