package filter

import (
	"time"

	"github.com/savorypass/savorypass/internal/sched"
)

// View is the part of one configuration version that the filters need, prepared for lookup. It is immutable.
type View struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
}

// Service is the configuration of one service, which is a kind of task.
type Service struct {
	Idempotent  bool
	Deadline    time.Duration // time from arrival to deadline of jobs that state none
	MaxDeadline time.Duration // maximum that callers may state; 0 for no maximum
	RunTime     time.Duration // expected run time of tasks that declare none
	MaxRunTime  time.Duration // maximum that callers may declare; 0 for no maximum
	Size        sched.Size    // resources that a task needs where it declares none
}

// Limits are the limits of callers' requests.
type Limits struct {
	TasksPerJob int
	BodyBytes   int
	Wait        time.Duration // longest time that one request may wait for its answer
}

// ViewSource returns the view of the configuration in force, or nil while there is none.
type ViewSource interface {
	View() *View
}

// ViewFunc is a function that implements ViewSource.
type ViewFunc func() *View

// View calls f.
func (f ViewFunc) View() *View { return f() }
