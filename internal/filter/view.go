package filter

import (
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// View is the part of a configuration version that requests need, prepared for look-up. It is never changed.
type View struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
}

// Service is the configuration of one kind of task.
type Service struct {
	Idempotent  bool
	Deadline    time.Duration // default
	MaxDeadline time.Duration // bound of deadlines that callers state
	RunTime     time.Duration // expected, where a task declares none
	MaxRunTime  time.Duration // bound of declared run times
	Size        sched.Size    // where a task declares none
}

// Limits bounds what callers may ask.
type Limits struct {
	TasksPerJob int
	BodyBytes   int
	Wait        time.Duration // longest wait of one request
}

// ViewSource gives the view in force; nil while there is no configuration.
type ViewSource interface {
	View() *View
}

// ViewFunc adapts a function to Views.
type ViewFunc func() *View

// View calls f.
func (f ViewFunc) View() *View { return f() }
