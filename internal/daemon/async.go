package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is the largest size of the buffered log lines, in bytes.
	maxBufferedBytes = 256 << 10
	// writeInterval is the time for which lines are collected into one write: a system call for each line would cost more
	// than producing the line.
	writeInterval = 20 * time.Millisecond
)

// AsyncWriter buffers log lines and writes them in the background, so that Write does not wait for the output. Lines
// for which the buffer has no room are dropped, and a line with their number is written in their place.
type AsyncWriter struct {
	out      io.Writer
	mu       sync.Mutex
	buffered []byte
	dropped  int           // lines dropped since the last Flush
	wake     chan struct{} // signals that buffered has lines
}

// NewAsyncWriter returns a writer to out. Its goroutine runs until the process ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		time.Sleep(writeInterval)
		w.Flush()
	}
}

// Flush writes the buffered lines.
func (w *AsyncWriter) Flush() {
	w.mu.Lock()
	lines, dropped := w.buffered, w.dropped
	w.buffered, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "event=log_lines_dropped count=%d\n", dropped)
	}
	w.out.Write(lines) // an error is ignored: the log itself is the only place to report it
}
