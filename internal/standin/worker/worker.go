package worker

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/standin"
	"github.com/savorypass/savorypass/internal/standin/instances"
)

const (
	drainPollInterval = 20 * time.Millisecond // interval at which a planned stop checks for running tasks
	shutdownGrace     = time.Second           // time that a planned stop waits for the responses of the last tasks
)

// Worker is a running stand-in for one worker.
type Worker struct {
	opts         *Options
	name         string
	zone         string
	rack         string
	incarnation  uint64
	machine      *machine
	recorder     *recorder
	http         *standin.Server
	instanceList *instances.Client // nil if the options name no instance list
	cancel       context.CancelFunc
	registration sync.WaitGroup // goroutine that renews the registration

	mu           sync.Mutex
	fault        Fault
	leavingSince time.Time     // zero if not leaving
	resumed      chan struct{} // closed at the end of a pause; nil if not paused
	nextAccept   time.Time     // under the fault accept_delay_ms: when the newest connection is served; zero without it
}

// Dump is the state of a worker, the response to GET /dump.
type Dump struct {
	Instance    platform.Instance       `json:"instance"`
	Status      platform.EndpointStatus `json:"status"`
	Connections int                     `json:"connections"` // number of open connections
	Fault       Fault                   `json:"fault"`
	Peak        Peak                    `json:"peak"`
	Retained    int                     `json:"retained"` // number of tasks whose state is known
	Starts      int64                   `json:"starts"`
	Refused     int64                   `json:"refused"`
	Repeated    int64                   `json:"repeated"`
}

func startWorker(o *Options, i int, name string) (*Worker, error) {
	w := &Worker{
		opts:        o,
		name:        name,
		zone:        o.zone(i),
		rack:        o.rack(i),
		incarnation: uint64(time.Now().UnixNano()),
		machine:     newMachine(o),
		recorder:    newRecorder(name, o.KeepStarts),
	}
	address, err := o.address(i)
	if err != nil {
		return nil, err
	}
	// The server may call the handler before Listen returns, so handlers wait for the assignment of w.http.
	ready := make(chan struct{})
	w.http, err = standin.Listen(standin.ServerOptions{
		Listen:         address,
		MaxConnections: o.Connections,
		Clock:          o.Clock,
		Handler: func(ctx *fasthttp.RequestCtx) {
			<-ready
			w.handle(ctx)
		},
	})
	if err != nil {
		return nil, err
	}
	w.register()
	close(ready)
	w.log().WithField("zone", w.zone).WithField("rack", w.rack).Info("worker listening")
	return w, nil
}

// register starts to register the worker and renew its registration, unless the options name no instance list.
func (w *Worker) register() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	if w.opts.Instances == "" {
		return
	}
	w.instanceList = instances.NewClient(w.opts.Instances, w.zone)
	w.registration.Go(func() { w.instanceList.KeepRegistered(ctx, w.opts.RenewInterval, w.Instance) })
}

func (w *Worker) log() *logrus.Entry {
	return logrus.WithField("worker", w.name).WithField("address", w.Address())
}

// Name returns the worker's name.
func (w *Worker) Name() string { return w.name }

// Address returns the bound address as host:port.
func (w *Worker) Address() string { return w.http.Address() }

// Instance returns the worker's entry in the instance list.
func (w *Worker) Instance() platform.Instance {
	in := platform.Instance{
		Name:        w.name,
		Kind:        platform.KindEndpoint,
		Zone:        w.zone,
		Rack:        w.rack,
		State:       platform.StateLive,
		Incarnation: w.incarnation,
		Address:     w.Address(),
		Slots:       w.opts.Slots,
		Connections: w.opts.Connections,
		Size:        w.opts.size(),
	}
	if !w.leaving().IsZero() {
		in.State = platform.StateLeaving
	}
	return in
}

// Starts returns the start record. Its Tasks contains only the tasks with at least min starts.
func (w *Worker) Starts(min int) Starts { return w.recorder.snapshot(min) }

// Dump returns the state of the worker.
func (w *Worker) Dump() Dump {
	w.mu.Lock()
	fault := w.fault
	w.mu.Unlock()
	d := Dump{Instance: w.Instance(), Status: w.status(nil), Connections: w.http.Connections(), Fault: fault}
	w.machine.mu.Lock()
	d.Peak, d.Retained = w.machine.peak, len(w.machine.tasks)
	w.machine.mu.Unlock()
	w.recorder.mu.Lock()
	d.Starts, d.Refused, d.Repeated = w.recorder.starts.Total, w.recorder.starts.Refused, w.recorder.starts.Repeated
	w.recorder.mu.Unlock()
	return d
}

func (w *Worker) status(tasks []platform.TaskStatus) platform.EndpointStatus {
	running, usage := w.machine.load()
	return platform.EndpointStatus{
		Leaving:     !w.leaving().IsZero(),
		Incarnation: w.incarnation,
		Slots:       w.opts.Slots,
		Running:     running,
		Size:        w.opts.size(),
		Usage:       usage,
		Tasks:       tasks,
	}
}

// leaving returns when the worker began to leave, or zero if it is not leaving.
func (w *Worker) leaving() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leavingSince
}

// Kill ends the worker at once. It stays in the instance list until its registration expires.
func (w *Worker) Kill() {
	w.cancel()
	w.machine.close()
	w.http.Close()
	w.registration.Wait()
}

// Leave ends the worker in the planned way: it refuses new tasks, waits at most Options.DrainTimeout for the running ones
// and removes the worker from the instance list.
func (w *Worker) Leave() {
	w.mu.Lock()
	w.fault.Leave = true
	w.fault.LeaveAccepts = false
	w.setLeaving(true)
	w.mu.Unlock()
	if w.instanceList != nil {
		w.logFailure("leave", w.instanceList.Leave(w.ref()))
	}
	w.drain()
	w.cancel()
	w.registration.Wait()
	if w.instanceList != nil {
		w.logFailure("remove", w.instanceList.Remove(w.ref()))
		w.instanceList.Close()
	}
	w.http.Shutdown(shutdownGrace)
	w.Kill()
}

func (w *Worker) drain() {
	end := time.Now().Add(w.opts.DrainTimeout)
	for time.Now().Before(end) {
		if running, _ := w.machine.load(); running == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

func (w *Worker) ref() instances.Ref {
	return instances.Ref{Name: w.name, Incarnation: w.incarnation}
}

func (w *Worker) logFailure(call string, err error) {
	if err != nil {
		w.log().WithError(err).WithField("call", call).Warn("instance list call failed")
	}
}
