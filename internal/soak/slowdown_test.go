package soak

import (
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	slowPeriod  = 70 * time.Millisecond
	slowRunning = 2 * time.Millisecond // longest time in each slowPeriod for which a slow process runs
	// progressInterval is the interval of checks of a process's progress. A fast machine handles a large job in about 0.5 ms.
	progressInterval = 50 * time.Microsecond
)

// slowdown leaves a process so little of the processor that it handles a few messages in each slowPeriod, on a fast machine as on a slow one.
type slowdown struct {
	instance   *instance
	catchingUp atomic.Bool
	stop       func()
	stopped    chan struct{}
	done       sync.WaitGroup
}

// slowDown slows the process of an instance down until the slowdown ends.
func (i *instance) slowDown() *slowdown {
	s := &slowdown{instance: i, stopped: make(chan struct{})}
	s.stop = sync.OnceFunc(func() { close(s.stopped) })
	s.done.Go(s.run)
	return s
}

// catchUp lets the process run for slowRunning in each slowPeriod, whatever it logs.
func (s *slowdown) catchUp() { s.catchingUp.Store(true) }

// end lets the process run. It may be called more than once.
func (s *slowdown) end() {
	s.stop()
	s.done.Wait()
}

func (s *slowdown) run() {
	defer s.instance.signal(syscall.SIGCONT)
	for {
		s.instance.signal(syscall.SIGSTOP)
		select {
		case <-s.stopped:
			return
		case <-time.After(slowPeriod - slowRunning):
		}
		s.runSlice()
	}
}

// runSlice lets the process run until it has logged something, for slowRunning at most. Dispatchers log each decision on a job.
func (s *slowdown) runSlice() {
	before := s.instance.logSize()
	s.instance.signal(syscall.SIGCONT)
	for begun := time.Now(); time.Since(begun) < slowRunning; time.Sleep(progressInterval) {
		if !s.catchingUp.Load() && s.instance.logSize() > before {
			return
		}
	}
}

func (i *instance) logPath() string { return filepath.Join(i.dir, i.spec.Name+".log") }

// logSize returns the size of the log in bytes; 0 if it cannot be read.
func (i *instance) logSize() int64 {
	info, err := os.Stat(i.logPath())
	if err != nil {
		return 0
	}
	return info.Size()
}

func (i *instance) readLog(t *testing.T) string {
	text, err := os.ReadFile(i.logPath())
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
