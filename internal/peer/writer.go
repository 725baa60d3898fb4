package peer

import (
	"errors"
	"io"
	"sync"
)

// maxSpareBytes is the size above which a buffer is not reused, so that a burst does not occupy memory afterwards.
const maxSpareBytes = 1 << 20

var errPendingFull = errors.New("the send queue is full")

// writer queues frames and passes all queued frames to the stream in one write, so that under load several messages
// share a packet and a system call.
type writer struct {
	out   io.Writer
	limit int // bytes that may be queued
	wake  chan struct{}

	mu      sync.Mutex
	buf     []byte
	spare   []byte // buffer to reuse
	queued  uint64 // total of bytes queued
	written uint64 // total of bytes passed to the stream, or about to be
	closed  bool
}

func newWriter(out io.Writer, limit int) *writer {
	return &writer{out: out, limit: limit, wake: make(chan struct{}, 1)}
}

// add queues a frame and returns its offset in the stream. It returns errPendingFull if the queue has no space for the
// frame, and io.ErrClosedPipe after close.
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

// run sends frames until a write fails or close is called. After close it returns nil.
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

// take returns the queued bytes and starts a new buffer. open is false after close.
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
		w.spare = buf // safe to reuse: the next take follows the end of the write of buf
	}
	w.written = w.queued
	return buf, true
}

// close stops the writer. Frames at or after the returned offset have not been passed to the stream and never will be.
func (w *writer) close() (written uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.signal()
	return w.written
}
