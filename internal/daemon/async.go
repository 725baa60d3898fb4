package daemon

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxUnwritten bounds the log lines that wait to be written, in bytes.
	maxUnwritten = 256 << 10
	// writeInterval collects lines into one write; a system call for each line costs more than the line.
	writeInterval = 20 * time.Millisecond
)

// AsyncWriter is a writer that never blocks. Lines that find no room are left out; their number is written as a line of
// its own.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	dropped int
	wake    chan struct{}
}

// NewAsyncWriter returns a writer to out that runs until the process ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes a line. It always succeeds.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > maxUnwritten {
		w.dropped++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
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

// Flush writes what waits.
func (w *AsyncWriter) Flush() {
	w.mu.Lock()
	lines, dropped := w.waiting, w.dropped
	w.waiting, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "event=log_lines_dropped count=%d\n", dropped)
	}
	w.out.Write(lines) // standard output; there is nowhere to report an error
}
