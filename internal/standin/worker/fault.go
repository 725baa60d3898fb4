package worker

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Fault is a set of faults of a worker. Each POST /fault replaces the whole set in force.
type Fault struct {
	Clear         bool    `json:"clear,omitempty"`           // ends all faults; the other fields are ignored
	FailFast      bool    `json:"fail_fast,omitempty"`       // every new task fails after one millisecond
	Silent        bool    `json:"silent,omitempty"`          // connections that are open when the fault is set become silent and stay so; later ones work
	SlowFactor    float64 `json:"slow_factor,omitempty"`     // factor on the run time of tasks, at least 1; 0 for none
	Leave         bool    `json:"leave,omitempty"`           // the worker is leaving and refuses tasks
	LeaveAccepts  bool    `json:"leave_accepts,omitempty"`   // with leave: the worker still starts tasks
	AcceptDelayMS int64   `json:"accept_delay_ms,omitempty"` // interval in ms at which new connections are served, one after the other
	Pause         bool    `json:"pause,omitempty"`           // tasks make no progress and no call is answered
	PauseMS       int64   `json:"pause_ms,omitempty"`        // with pause: time in ms after which the pause ends; 0 for no end
	Exit          bool    `json:"exit,omitempty"`            // with leave: the worker shuts down when its tasks have ended
	Kill          bool    `json:"kill,omitempty"`            // the worker ends at once, without leaving the instance list
}

// Check returns an error that lists all invalid values, or nil.
func (f *Fault) Check() error {
	var errs []error
	if f.SlowFactor != 0 && f.SlowFactor < 1 {
		errs = append(errs, fmt.Errorf("slow_factor is %g, must be 0 or at least 1", f.SlowFactor))
	}
	if f.AcceptDelayMS < 0 {
		errs = append(errs, fmt.Errorf("accept_delay_ms is %d, must be at least 0", f.AcceptDelayMS))
	}
	if f.PauseMS < 0 || f.PauseMS > 0 && !f.Pause {
		errs = append(errs, errors.New("pause_ms must be at least 0, and above 0 only with pause"))
	}
	if (f.LeaveAccepts || f.Exit) && !f.Leave {
		errs = append(errs, errors.New("leave_accepts and exit need leave"))
	}
	return errors.Join(errs...)
}

// SetFault replaces the faults in force. It returns an error and changes nothing if a value is invalid.
func (w *Worker) SetFault(f Fault) error { return w.setFault(f, nil) }

// setFault replaces the faults in force. command is the connection of the request, which the fault silent does not
// silence; it may be nil.
func (w *Worker) setFault(f Fault, command net.Conn) error {
	if f.Clear {
		f = Fault{}
	}
	if err := f.Check(); err != nil {
		return err
	}
	w.log().WithField("fault", fmt.Sprintf("%+v", f)).Info("faults set")
	w.apply(f)
	if f.Silent {
		w.log().WithField("connections", w.http.Silence(command)).Info("connections silenced")
	}
	switch {
	case f.Kill:
		go w.Kill()
	case f.Exit:
		go w.Leave()
	}
	return nil
}

// apply makes a fault take effect, except that it neither silences connections nor ends the worker.
func (w *Worker) apply(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setLeaving(f.Leave)
	w.endPause()
	if f.Pause {
		w.resumed = make(chan struct{})
		w.schedulePauseEnd(time.Duration(f.PauseMS) * time.Millisecond)
	}
	f.Silent = false
	w.fault = f
	w.machine.setFaults(max(f.SlowFactor, 1), f.FailFast, f.Pause)
}

func (w *Worker) setLeaving(on bool) {
	switch {
	case !on:
		w.leavingSince = time.Time{}
	case w.leavingSince.IsZero():
		w.leavingSince = w.opts.Clock.Now()
	}
}

func (w *Worker) endPause() {
	if w.resumed != nil {
		close(w.resumed)
		w.resumed = nil
	}
}

// schedulePauseEnd schedules the end of the present pause after d; 0 means never.
func (w *Worker) schedulePauseEnd(d time.Duration) {
	if d == 0 {
		return
	}
	resumed := w.resumed
	w.opts.Clock.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.resumed != resumed {
			return // this pause has already been ended by another fault
		}
		w.endPause()
		w.fault.Pause, w.fault.PauseMS = false, 0
		w.machine.setFaults(max(w.fault.SlowFactor, 1), w.fault.FailFast, false)
	})
}

// awaitResume waits while the worker is paused. It returns false if the worker is closed meanwhile.
func (w *Worker) awaitResume() bool {
	for {
		w.mu.Lock()
		resumed := w.resumed
		w.mu.Unlock()
		if resumed == nil {
			return true
		}
		select {
		case <-resumed:
		case <-w.http.Closed():
			return false
		}
	}
}
